"""Requests to stop running tasks: for preemption, moves, cordons and capacity drains.

A stop is first committed to the job's record and then carried out by the regular
reconciliation of the worker, so that the job's next owner knows of it.
"""

from __future__ import annotations

from appledock.core.effects import PeerSend
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.writer import JobWriter
from appledock.core.messages import StopTasks
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica


class StopRequests:
    """Stop requests that are not committed yet, by job and machine.

    Requests are kept while the job has a write in flight. Dropping them would leave machines
    only partly cleared for the preempting task.
    """

    def __init__(
        self, runtime: Runtime, replica: Replica, writer: JobWriter, reconcile_queue: ReconcileQueue
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._writer = writer
        self._reconcile_queue = reconcile_queue
        self.pending: dict[str, dict[str, set[int]]] = {}
        """job -> machine -> tasks to stop there"""

    def add(self, job_id: str, machine: str, tasks: set[int]) -> None:
        """Request a stop of tasks of a job owned here, and withdraw the job's queued write."""
        self.pending.setdefault(job_id, {}).setdefault(machine, set()).update(tasks)
        self._writer.withdraw(job_id)
        self._reconcile_queue.jobs.add(job_id)

    def send_to_owner(self, job: Job, machine: str, tasks: set[int]) -> None:
        """Request a stop of tasks of a job from the controller that owns it."""
        if self._replica.owns_job(self._runtime.node, job):
            self.add(job.id, machine, tasks)
        else:
            owner = self._replica.job_owner(job)
            self._runtime.emit(PeerSend(StopTasks(job.id, machine, sorted(tasks)), owner))

    def has_pending(self, job_id: str) -> bool:
        """Return whether the job has a stop request that is not committed yet."""
        return job_id in self.pending

    def forget(self, job_id: str) -> None:
        """Drop the requests of a job that has ended or that another controller owns.

        A request kept while another controller owns the job would stop whichever of its tasks
        run on that machine once this controller owns the job again.
        """
        self.pending.pop(job_id, None)

    def mark_stopping(self, job: Job) -> bool:
        """Remove the job's requests and mark their attempts in this copy of its record.

        An attempt of which only some tasks are to stop is split in two. Return False if no
        attempt was marked, because nothing that was to be stopped is still open.
        """
        is_changed = False
        for machine, tasks in self.pending.pop(job.id, {}).items():
            for attempt in list(job.attempts):
                to_stop = attempt.tasks & tasks
                if attempt.machine == machine and not attempt.stopping and to_stop:
                    _mark_attempt_stopping(job, attempt, to_stop)
                    is_changed = True
        return is_changed


def _mark_attempt_stopping(job: Job, attempt: Attempt, tasks: set[int]) -> None:
    """Mark these tasks of the attempt as stopping, splitting the attempt if others stay."""
    if tasks == attempt.tasks:
        attempt.stopping = True
        return
    attempt.tasks -= tasks
    job.attempts.append(
        Attempt(
            attempt.machine, attempt.agent_epoch, attempt.attempt_number, attempt.term, True, tasks
        )
    )
