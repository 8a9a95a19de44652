"""What the platform's objectives ask of the order in which jobs are served."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from appledock import constants as c
from appledock import wire
from appledock.settings import Objective

log = logging.getLogger(__name__)

KNOWN = frozenset({"wait", "deadline", "finished", "guarantee"})


class Objectives:
    """Limits by class of jobs; an objective without a class is for all of them."""

    def __init__(self, objectives: Iterable[Objective]) -> None:
        self.times: dict[str | None, set[float]] = {}
        """class -> multiples of the deadline that an objective names"""
        self.finished: dict[str | None, set[float]] = {}
        """class -> s, from submission to the end"""
        self.wait: dict[str | None, set[float]] = {}
        """class -> s, from submission to the start"""
        for objective in objectives:
            name = objective.job_class
            if objective.kind == "deadline" and objective.times:
                self.times.setdefault(name, set()).add(objective.times)
            elif objective.kind == "finished" and objective.within_s:
                self.finished.setdefault(name, set()).add(objective.within_s)
            elif objective.kind == "wait" and objective.within_s:
                self.wait.setdefault(name, set()).add(objective.within_s)
            elif objective.kind not in KNOWN:
                log.info("an objective of kind %s is not known and ignored", objective.kind)

    @staticmethod
    def _of(table: dict[str | None, set[float]], job_class: str) -> set[float]:
        return table.get(job_class, set()) | table.get(None, set())

    def finish_limits_s(self, spec: wire.JobSpec) -> list[float]:
        """Seconds by which it should be over from when it can start, one for each objective."""
        return sorted(self._of(self.finished, spec.job_class))

    def deadline_limits_s(self, spec: wire.JobSpec) -> list[float]:
        """Seconds from submission by which it should be over, one for each objective."""
        if spec.deadline_s is None:
            return []
        return sorted(
            spec.deadline_s * times for times in self._of(self.times, spec.job_class) or {1.0}
        )

    def has_wait_limit(self, spec: wire.JobSpec) -> bool:
        """Does an objective limit how long a job of the class waits for its start?"""
        return bool(self._of(self.wait, spec.job_class))

    def ageing_threshold_s(self, spec: wire.JobSpec) -> float:
        """Seconds of waiting after which a job that has not begun comes first in its rank."""
        limits = self._of(self.wait, spec.job_class)
        if not limits or spec.service:
            return c.AGED_S
        return min(c.OVERDUE_S, c.AGED_SHARE * min(limits))
