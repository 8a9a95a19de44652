"""Forecast of jobs that become ready about when a machine rented now has booted.

A stage of a pipeline that follows a small one may need a hundred machines. If they were rented
only when the stage is ready, all of them would come up one boot time later. The stage therefore
counts as demand as soon as its prerequisites, by their estimates, are about to complete.
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
        """Return the sort key of a job; jobs with lower keys are served first."""


class WaitObjectives(Protocol):
    """Service-level objectives for the wait until a job starts."""

    def has_wait_limit(self, spec: wire.JobSpec) -> bool:
        """Return whether an objective limits how long the job may wait."""


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
        """Return the waiting jobs that need machines to be rented now, the most urgent first."""
        replica = self._replica
        dependencies = replica.dependencies
        waiting = [
            replica.jobs[job_id]
            for job_id in dependencies.waiting_jobs - dependencies.cancelled_by_dependency
            if job_id in replica.jobs and job_id not in replica.cancelled_jobs
        ]
        upcoming = [
            job for job in waiting if self._benefits_from_early_start(job) and self._is_due(job)
        ]
        return sorted(upcoming, key=lambda job: (self._queue_order.sort_key(job), job.id))

    def _benefits_from_early_start(self, job: Job) -> bool:
        """Return whether the job has a wait objective or a deadline that can still be met.

        A machine that waits for a job costs money, so it is rented early only in these cases.
        """
        _, deadline_wall_time = self._replica.dependencies.inherited_priority(job)
        has_deadline = deadline_wall_time < job.submitted_wall_time + constants.NO_DEADLINE_S
        return self._objectives.has_wait_limit(job.spec) or (
            has_deadline and self._runtime.wall_time < deadline_wall_time
        )

    def _is_due(self, job: Job) -> bool:
        """Return whether the job will be ready by the time that a new machine has booted."""
        boot_times_s = [
            machine_type.boot_s
            for machine_type in self._machine_types.values()
            if can_run_on_type(job.spec, machine_type)
        ]
        return (
            bool(boot_times_s)
            and self.time_to_ready_s(job)
            <= min(boot_times_s) * constants.DEMAND_FORECAST_HORIZON_RATIO
        )

    def time_to_ready_s(self, job: Job) -> float:
        """Return the time in seconds until all prerequisites of the job are complete.

        The result is infinite if the time cannot be estimated, or if a prerequisite itself waits
        for other jobs.
        """
        prerequisites = self._replica.dependencies.unfinished_prerequisites(job.id)
        return max(map(self._time_to_completion_s, prerequisites), default=0.0)

    def _time_to_completion_s(self, job_id: str) -> float:
        """Return the time in seconds until a job is complete, by the estimate of its run time."""
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
        return estimated_remaining_s(job.spec, self._runtime.now - running_since)


def estimated_remaining_s(spec: wire.JobSpec, elapsed_s: float) -> float:
    """Return the time in seconds that a task which has run for `elapsed_s` may still run.

    A task that has exceeded its estimate is assumed to need the time of the excess once more.
    """
    return abs(spec.estimate_s - elapsed_s)
