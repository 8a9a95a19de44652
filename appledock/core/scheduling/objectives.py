"""Service-level objectives: the limits on waiting and completion that order the queue."""

from __future__ import annotations

import enum
import logging
from collections.abc import Iterable

from appledock import constants, wire
from appledock.settings import Objective

log = logging.getLogger(__name__)

LimitsByClass = dict[str | None, set[float]]
"""job class -> limits; the key None has the limits of objectives that apply to every class"""


class ObjectiveKind(enum.StrEnum):
    """What an objective limits; the values are those of the settings file.

    A job is ready once it is submitted and all jobs that it depends on are done.
    """

    WAIT = "wait"
    """time from the job's readiness to its start"""
    DEADLINE = "deadline"
    """time from submission to completion, as a multiple of the job's own deadline"""
    FINISHED = "finished"
    """time from the job's readiness to its completion"""
    GUARANTEE = "guarantee"
    """delivery of the teams' guaranteed quota; it does not affect the queue order"""


class ServiceLevelObjectives:
    """Limits by job class; an objective without a class applies to all classes."""

    def __init__(self, objectives: Iterable[Objective]) -> None:
        self._deadline_factors: LimitsByClass = {}
        """multiples of a job's own deadline"""
        self._finish_limits_s: LimitsByClass = {}
        self._wait_limits_s: LimitsByClass = {}
        for objective in objectives:
            self._add(objective)

    def _add(self, objective: Objective) -> None:
        match objective.kind:
            case ObjectiveKind.DEADLINE:
                _add_limit(self._deadline_factors, objective.job_class, objective.times)
            case ObjectiveKind.FINISHED:
                _add_limit(self._finish_limits_s, objective.job_class, objective.within_s)
            case ObjectiveKind.WAIT:
                _add_limit(self._wait_limits_s, objective.job_class, objective.within_s)
            case ObjectiveKind.GUARANTEE:
                pass
            case unknown:
                log.info("objective ignored: unknown_kind=%s", unknown)

    def finish_limits_s(self, spec: wire.JobSpec) -> list[float]:
        """Return the limits (s) from the job's readiness to its completion, in ascending order."""
        return sorted(_limits_of(self._finish_limits_s, spec.job_class))

    def deadline_limits_s(self, spec: wire.JobSpec) -> list[float]:
        """Return the limits (s) from submission to completion that follow from the deadline.

        They are in ascending order: multiples of the job's own deadline, or the deadline itself
        if no objective sets a multiple. Empty for a job without a deadline.
        """
        if spec.deadline_s is None:
            return []
        factors = _limits_of(self._deadline_factors, spec.job_class) or {1.0}
        return sorted(spec.deadline_s * factor for factor in factors)

    def has_wait_limit(self, spec: wire.JobSpec) -> bool:
        """Return whether an objective limits the wait of jobs of this class for their start."""
        return bool(_limits_of(self._wait_limits_s, spec.job_class))

    def ageing_threshold_s(self, spec: wire.JobSpec) -> float:
        """Return the wait (s) after which a job that has not started comes first in its rank."""
        limits_s = _limits_of(self._wait_limits_s, spec.job_class)
        if not limits_s or spec.service:
            return constants.AGEING_THRESHOLD_S
        return min(constants.OVERDUE_THRESHOLD_S, constants.AGEING_THRESHOLD_SHARE * min(limits_s))


def _add_limit(table: LimitsByClass, job_class: str | None, limit: float | None) -> None:
    """Add the limit of an objective, if it has one."""
    if limit:
        table.setdefault(job_class, set()).add(limit)


def _limits_of(table: LimitsByClass, job_class: str) -> set[float]:
    """Return the limits that apply to a class, including those that apply to every class."""
    return table.get(job_class, set()) | table.get(None, set())
