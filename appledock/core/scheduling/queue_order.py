"""Queue sort: the order in which queued jobs are served."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from appledock import constants
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.objectives import ServiceLevelObjectives
from appledock.core.store.replica import Replica

AGEING = -1
"""`missed_limits` of a job that has waited too long: before all others of its rank"""


class GuaranteeClass(enum.IntEnum):
    """First term of the sort key."""

    OVERDUE = -1
    """has waited so long that it is served before all others"""
    WITHIN_GUARANTEE = 0
    """within its team's guaranteed quota, or ageing"""
    BEYOND_GUARANTEE = 1


class QueueSortKey(NamedTuple):
    """Compared term by term; what is lower is served first."""

    guarantee: GuaranteeClass
    negative_rank: int
    """the job's rank, or the higher one of a job that depends on it, times -1"""
    missed_limits: int
    """how many of its limits on completion the job can no longer meet"""
    tie_break: float
    """work left (core seconds) while a limit can be met, else moment since which it waits"""


class QuotaUsage(Protocol):
    """What the queue order asks of quota."""

    def is_within_guarantee(self, job: Job) -> bool:
        """Is the job, with all that its team's others hold, within the guarantee?"""


class QueueOrder:
    """Orders jobs by guarantee, rank and slack; then by work left, or by age."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        quota: QuotaUsage,
        objectives: ServiceLevelObjectives,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._quota = quota
        self._objectives = objectives
        self._ready_at: dict[str, float] = {}
        """job with dependencies -> time of day when they were first seen to be met"""

    def on_dependencies_met(self, job_id: str) -> None:
        """All dependencies of the job are met; only the first call for a job counts."""
        self._ready_at.setdefault(job_id, self._runtime.wall_time)

    def forget(self, job_id: str) -> None:
        """Drop what is kept of a job that is over."""
        self._ready_at.pop(job_id, None)

    def waiting_since(self, job: Job) -> float:
        """Time of day (s) from which the job waits for being served."""
        return self._ready_at.get(job.id, job.submitted_at)

    def sort_key(self, job: Job) -> QueueSortKey:
        """Sort key of the job: guarantee, rank, slack, then work left or age.

        A job that others depend on has the highest rank of them, and as its limit the
        earliest of their deadlines less the time that they take themselves.
        """
        rank, inherited_deadline_at = self._replica.dependencies.inherited_priority(job)
        since = self.waiting_since(job)
        waited_s = self._runtime.wall_time - since
        if self._is_ageing(job, waited_s):
            is_overdue = waited_s > constants.OVERDUE_THRESHOLD_S
            guarantee = GuaranteeClass.OVERDUE if is_overdue else GuaranteeClass.WITHIN_GUARANTEE
            return QueueSortKey(guarantee, -rank, AGEING, since)
        guarantee = self._guarantee_class(job)
        limits_at = [] if job.spec.service else self._limits_at(job, since, inherited_deadline_at)
        missed = self._count_missed(job, limits_at)
        if missed == len(limits_at):
            # No limit, or too late for every one: in order of age, so that none waits for
            # ever, and none that can still be in time waits for it.
            return QueueSortKey(guarantee, -rank, missed, since)
        return QueueSortKey(guarantee, -rank, missed, _work_left_core_s(job))

    def _is_ageing(self, job: Job, waited_s: float) -> bool:
        """Has the job waited too long without having begun?

        Ageing prevents starvation: first within its rank, later before all, every job begins.
        A job whose tasks were all preempted again has not begun.
        """
        return (
            waited_s > self._objectives.ageing_threshold_s(job.spec)
            and not job.attempts
            and not job.completed_tasks
        )

    def _guarantee_class(self, job: Job) -> GuaranteeClass:
        if self._quota.is_within_guarantee(job):
            return GuaranteeClass.WITHIN_GUARANTEE
        return GuaranteeClass.BEYOND_GUARANTEE

    def _limits_at(self, job: Job, since: float, inherited_deadline_at: float) -> list[float]:
        """Times of day by which the job should be complete, one for each limit."""
        limits_at = [since + limit_s for limit_s in self._objectives.finish_limits_s(job.spec)]
        if job.spec.deadline_s is not None:
            limits_at += [
                job.submitted_at + limit_s
                for limit_s in self._objectives.deadline_limits_s(job.spec)
            ]
        elif inherited_deadline_at < job.deadline_at():
            limits_at.append(inherited_deadline_at)
        return limits_at

    def _count_missed(self, job: Job, limits_at: list[float]) -> int:
        """Count the limits that the job misses even if it starts now.

        Under overload this serves first the jobs that can still meet all their limits, then
        those that can meet some.
        """
        complete_at = self._runtime.wall_time + job.spec.estimate_s
        return sum(complete_at > limit_at for limit_at in limits_at)


def _work_left_core_s(job: Job) -> float:
    """Work until the job is complete, in core seconds: the shortest is served first."""
    left_s = (job.spec.tasks - len(job.completed_tasks)) * max(job.spec.estimate_s, 1.0)
    return left_s * max(job.spec.cpus, 0.1)
