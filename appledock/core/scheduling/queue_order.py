"""Queue sort phase: the order in which queued jobs are placed."""

from __future__ import annotations

import enum
from typing import NamedTuple, Protocol

from appledock import constants
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.objectives import ServiceLevelObjectives
from appledock.core.store.replica import Replica

AGEING_PRECEDENCE = -1
"""`missed_limits` of a job that has waited too long; sorts it before all others of its rank"""


class GuaranteeClass(enum.IntEnum):
    """First term of the sort key."""

    OVERDUE = -1
    """the job has waited so long that it is placed before all others"""
    WITHIN_GUARANTEE = 0
    """the job is within its team's guaranteed quota, or ageing"""
    BEYOND_GUARANTEE = 1
    """the job is beyond its team's guaranteed quota"""


class QueueSortKey(NamedTuple):
    """Sort key of a queued job; terms are compared in order, and the lowest key comes first."""

    guarantee: GuaranteeClass
    negative_rank: int
    """-1 times the job's rank, or times the higher rank of a job that depends on it"""
    missed_limits: int
    """number of limits on completion that the job can no longer meet"""
    tie_break: float
    """remaining work (core seconds) while a limit can be met, else the time of day since which
    the job waits"""


class GuaranteedQuota(Protocol):
    """The part of quota that the queue order uses."""

    def is_within_guarantee(self, job: Job) -> bool:
        """Return whether the team stays in its guarantee once the job's queued tasks start."""


class QueueOrder:
    """Orders jobs by guarantee, rank and missed limits, then by remaining work or by age."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        quota: GuaranteedQuota,
        objectives: ServiceLevelObjectives,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._quota = quota
        self._objectives = objectives
        self._ready_wall_time: dict[str, float] = {}
        """job with dependencies -> time of day at which all were met"""

    def on_dependencies_met(self, job_id: str) -> None:
        """Record that all dependencies of the job are met; only the first call counts.

        The time is that of the final records, which is the same at every controller. A record of
        an earlier version has none: then it is the time at which this controller first saw it.
        """
        if job_id not in self._ready_wall_time:
            recorded = self._replica.dependencies.ready_wall_time(job_id)
            self._ready_wall_time[job_id] = (
                recorded if recorded is not None else self._runtime.wall_time
            )

    def forget(self, job_id: str) -> None:
        """Drop the state of a job that has ended."""
        self._ready_wall_time.pop(job_id, None)

    def waiting_since(self, job: Job) -> float:
        """Return the time of day (s) since which the job is ready and waits for placement."""
        submitted_wall_time = job.submitted_wall_time
        return max(submitted_wall_time, self._ready_wall_time.get(job.id, submitted_wall_time))

    def sort_key(self, job: Job) -> QueueSortKey:
        """Return the job's sort key: guarantee, rank, missed limits, then remaining work or age.

        A job that others depend on inherits the highest rank of these, and as a limit the
        earliest of their deadlines less their own run time.
        """
        rank, inherited_deadline_wall_time = self._replica.dependencies.inherited_priority(job)
        since = self.waiting_since(job)
        waited_s = self._runtime.wall_time - since
        if self._is_ageing(job, waited_s):
            is_overdue = waited_s > constants.OVERDUE_THRESHOLD_S
            guarantee = GuaranteeClass.OVERDUE if is_overdue else GuaranteeClass.WITHIN_GUARANTEE
            return QueueSortKey(guarantee, -rank, AGEING_PRECEDENCE, since)
        guarantee = self._guarantee_class(job)
        limit_wall_times = (
            []
            if job.spec.service
            else self._limit_wall_times(job, since, inherited_deadline_wall_time)
        )
        missed = self._count_missed(job, limit_wall_times)
        if missed == len(limit_wall_times):
            # The job has no limit or misses all of them. Such jobs are ordered by age, so that
            # none starves, and do not delay jobs that can still meet a limit.
            return QueueSortKey(guarantee, -rank, missed, since)
        return QueueSortKey(guarantee, -rank, missed, _remaining_work_core_s(job))

    def _is_ageing(self, job: Job, waited_s: float) -> bool:
        """Return whether the job has waited too long and none of its tasks runs or has completed.

        Ageing prevents starvation: an ageing job is placed first within its rank, and later
        before all other jobs. A job all of whose tasks were preempted counts as not started.
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

    def _limit_wall_times(
        self, job: Job, since: float, inherited_deadline_wall_time: float
    ) -> list[float]:
        """Return the times of day by which the job should be complete, one for each limit."""
        limit_wall_times = [
            since + limit_s for limit_s in self._objectives.finish_limits_s(job.spec)
        ]
        if job.spec.deadline_s is not None:
            limit_wall_times += [
                job.submitted_wall_time + limit_s
                for limit_s in self._objectives.deadline_limits_s(job.spec)
            ]
        elif inherited_deadline_wall_time < job.deadline_wall_time():
            limit_wall_times.append(inherited_deadline_wall_time)
        return limit_wall_times

    def _count_missed(self, job: Job, limit_wall_times: list[float]) -> int:
        """Return the number of limits that the job misses even if it starts now.

        Under overload, jobs that can still meet all their limits thus come first, then those
        that can meet some.
        """
        completion_wall_time = self._runtime.wall_time + job.spec.estimate_s
        return sum(completion_wall_time > limit_wall_time for limit_wall_time in limit_wall_times)


def _remaining_work_core_s(job: Job) -> float:
    """Return the job's remaining work in core seconds; the job with least comes first."""
    remaining_s = (job.spec.tasks - len(job.completed_tasks)) * max(job.spec.estimate_s, 1.0)
    return remaining_s * max(job.spec.cpus, 0.1)
