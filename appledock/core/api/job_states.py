"""States of jobs as users see them, derived from the replica and the workers' heartbeats."""

from __future__ import annotations

from appledock import wire
from appledock.core.records.job import Job
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers


class JobStates:
    """Derives the states of jobs without checking that the replica is current."""

    def __init__(self, replica: Replica, workers: Workers) -> None:
        self._replica = replica
        self._workers = workers

    def state_of(self, job_id: str) -> wire.JobState | None:
        """Return the job's state; None if the replica has no record of the job."""
        final_state = self._replica.final_states.get(job_id)
        if final_state is not None:
            return wire.JobState(job_id, final_state)
        job = self._replica.jobs.get(job_id)
        if job is None:
            return None
        completed = len(job.completed_tasks)
        if self._replica.is_cancelled(job_id):
            return wire.JobState(job_id, wire.CANCELLED, completed, 0)
        running = self.count_running(job)
        return wire.JobState(job_id, wire.RUNNING if running else wire.PENDING, completed, running)

    def count_running(self, job: Job) -> int:
        """Return the number of tasks that the workers' heartbeats show as running.

        The heartbeats may be out of date. The number is shown to users, and limits moves of a
        service's replicas.
        """
        count = 0
        for attempt in job.attempts:
            worker = self._workers.table.get(attempt.machine)
            if worker is not None:
                for task in attempt.tasks:
                    entry = worker.tasks.get((f"{job.id}/{task}", attempt.attempt_number))
                    count += entry is not None and entry.state == wire.RUNNING
        return count
