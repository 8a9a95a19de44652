"""Forecast of jobs that become ready about when a machine rented now has booted.

The stage of a pipeline that follows a small one may need a hundred machines. Rented only when
the stage is ready, they would all come up one boot time later. So the stage counts as demand
as soon as its prerequisites are, by their estimates, about to complete.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Protocol

from appledock import constants, wire
from appledock.core.machines.machine_capacity import can_run_on_type
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers


class QueueOrder(Protocol):
    """Order in which queued jobs are served."""

    def sort_key(self, job: Job) -> tuple[object, ...]:
        """What is lower is served first."""


class WaitObjectives(Protocol):
    """Service-level objectives for the wait until a job starts."""

    def has_wait_limit(self, spec: wire.JobSpec) -> bool:
        """Does an objective limit how long the job waits?"""


class ReadinessForecast:
    """Estimates when jobs that wait for prerequisites become ready."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        machine_types: Mapping[str, wire.MachineType],
        queue_order: QueueOrder,
        objectives: WaitObjectives,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._machine_types = machine_types
        self._queue_order = queue_order
        self._objectives = objectives

    def upcoming_jobs(self) -> list[Job]:
        """Waiting jobs for which machines should be rented now, the most urgent first."""
        replica = self._replica
        dependencies = replica.dependencies
        waiting = [
            replica.jobs[job_id]
            for job_id in dependencies.waiting_jobs - dependencies.cancelled_by_dependency
            if job_id in replica.jobs and job_id not in replica.cancelled_jobs
        ]
        upcoming = [job for job in waiting if self._gains_by_early_start(job) and self._is_due(job)]
        return sorted(upcoming, key=lambda job: (self._queue_order.sort_key(job), job.id))

    def _gains_by_early_start(self, job: Job) -> bool:
        """Is there a deadline that can still be met, or an objective for the job's wait?

        A machine that waits costs money, so one of them must be at stake.
        """
        _, deadline_at = self._replica.dependencies.inherited_priority(job)
        has_deadline = deadline_at < job.submitted_at + constants.NO_DEADLINE_S
        return self._objectives.has_wait_limit(job.spec) or (
            has_deadline and self._runtime.wall_time < deadline_at
        )

    def _is_due(self, job: Job) -> bool:
        boot_times_s = [
            machine_type.boot_s
            for machine_type in self._machine_types.values()
            if can_run_on_type(job.spec, machine_type)
        ]
        return (
            bool(boot_times_s)
            and self.ready_in_s(job) <= min(boot_times_s) * constants.DEMAND_FORECAST_HORIZON_RATIO
        )

    def ready_in_s(self, job: Job) -> float:
        """Time until all prerequisites are complete.

        Infinite if it cannot be estimated, or if one of them waits for others itself.
        """
        prerequisites = self._replica.dependencies.unfinished_prerequisites(job.id)
        return max(map(self._complete_in_s, prerequisites), default=0.0)

    def _complete_in_s(self, job_id: str) -> float:
        """Time until an open job is complete, by its owner's estimate."""
        job = self._replica.jobs.get(job_id)
        if job is None or job.spec.service or job_id in self._replica.dependencies.waiting_jobs:
            return math.inf
        remaining_s = job.spec.estimate_s if job.queued_task_count > 0 else 0.0
        for attempt in job.attempts:
            for task in attempt.tasks:
                remaining_s = max(remaining_s, self._task_remaining_s(job, attempt, task))
        return remaining_s

    def _task_remaining_s(self, job: Job, attempt: Attempt, task: int) -> float:
        worker = self._workers.table.get(attempt.machine)
        key = (f"{job.id}/{task}", attempt.attempt_number)
        if worker is None:
            return job.spec.estimate_s
        entry = worker.tasks.get(key)
        if entry is not None and entry.state == wire.EXITED:
            return 0.0
        running_since = worker.status.running_since.get(key)
        if running_since is None:
            return job.spec.estimate_s
        return remaining_by_estimate_s(job.spec, self._runtime.now - running_since)


def remaining_by_estimate_s(spec: wire.JobSpec, ran_s: float) -> float:
    """How long a task that has run for `ran_s` may still run.

    Past its estimate it may take as long again as it is late.
    """
    return abs(spec.estimate_s - ran_s)
