"""Jobs that will be ready to start about when a machine rented now has booted.

The stage of a pipeline that follows a small one may need a hundred machines. Rented only
when the stage is ready, they all come up a boot time later. So the stage counts as demand
for machines as soon as the jobs that it needs are, by their estimates, about to end.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.machines.machine_capacity import can_run_on_type
from appledock.core.records.job import Attempt, Job

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class Forecast:
    """Estimates when waiting jobs become ready."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine

    def upcoming(self) -> list[Job]:
        """Waiting jobs worth machines now, the most urgent first."""
        replica = self.engine.replica
        jobs = [
            replica.jobs[job_id]
            for job_id in replica.dependencies.waiting_jobs
            - replica.dependencies.cancelled_by_dependency
            if job_id in replica.jobs and job_id not in replica.cancelled_jobs
        ]
        found = [job for job in jobs if self._worthwhile(job) and self._due(job)]
        return sorted(found, key=lambda job: (self.engine.queue_order.sort_key(job), job.id))

    def _worthwhile(self, job: Job) -> bool:
        """Does anybody gain if the job starts a boot time sooner?

        A machine that waits costs money, so there must be a deadline behind the job that
        can still be met, or an objective for its wait.
        """
        _, end = self.engine.replica.dependencies.inherited_priority(job)
        waits = self.engine.objectives.has_wait_limit(job.spec)
        has_deadline = end < job.submitted_at + c.NO_DEADLINE_S
        return waits or (has_deadline and self.engine.wall < end)

    def _due(self, job: Job) -> bool:
        boots = [
            kind.boot_s
            for kind in self.engine.machine_types.values()
            if can_run_on_type(job.spec, kind)
        ]
        return bool(boots) and self.ready_in(job) <= min(boots) * c.AHEAD_SHARE

    def ready_in(self, job: Job) -> float:
        """Seconds until all jobs that it needs are done.

        Infinite if that cannot be told, or if one of them waits itself.
        """
        return max(
            map(self._over_in, self.engine.replica.dependencies.unfinished_prerequisites(job.id)),
            default=0.0,
        )

    def _over_in(self, job_id: str) -> float:
        """Seconds until an open job is over, by its owner's estimate."""
        job = self.engine.replica.jobs.get(job_id)
        if (
            job is None
            or job.spec.service
            or job_id in self.engine.replica.dependencies.waiting_jobs
        ):
            return math.inf
        left = job.spec.estimate_s if job.queued_task_count > 0 else 0.0
        for attempt in job.attempts:
            for task in attempt.tasks:
                left = max(left, self._task_left(job, attempt, task))
        return left

    def _task_left(self, job: Job, attempt: Attempt, task: int) -> float:
        worker = self.engine.workers.table.get(attempt.machine)
        key = (f"{job.id}/{task}", attempt.attempt_number)
        if worker is None:
            return job.spec.estimate_s
        entry = worker.tasks.get(key)
        if entry is not None and entry.state == wire.EXITED:
            return 0.0
        since = worker.status.running_since.get(key)
        if since is None:
            return job.spec.estimate_s
        return left_by_estimate_s(job.spec, self.engine.now - since)


def left_by_estimate_s(spec: wire.JobSpec, ran_s: float) -> float:
    """How long a task that has run for `ran_s` may still run.

    Past its estimate it may take as long again as it is late.
    """
    return abs(spec.estimate_s - ran_s)
