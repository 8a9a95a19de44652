"""Requests to stop running tasks: for preemption, moves, cordons and capacity drains.

A stop is first committed to the job's record, then halted on the machine by the ordinary
reconciliation of the worker: so whoever owns the job next knows of it.
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

    They wait while the job has a write under way: dropped, they would leave machines half
    cleared for the task that preempts.
    """

    def __init__(
        self, runtime: Runtime, replica: Replica, writer: JobWriter, reconcile_queue: ReconcileQueue
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._writer = writer
        self._reconcile_queue = reconcile_queue
        self.pending: dict[str, dict[str, set[int]]] = {}
        """job -> machine -> tasks that are to be stopped there"""

    def add(self, job_id: str, machine: str, tasks: set[int]) -> None:
        """Stop tasks of a job of ours; a queued write of its record is withdrawn for it."""
        self.pending.setdefault(job_id, {}).setdefault(machine, set()).update(tasks)
        self._writer.withdraw(job_id)
        self._reconcile_queue.jobs.add(job_id)

    def send_to_owner(self, job: Job, machine: str, tasks: set[int]) -> None:
        """Stop tasks of a job, whoever owns it."""
        if self._replica.owns_job(self._runtime.node, job):
            self.add(job.id, machine, tasks)
        else:
            owner = self._replica.job_owner(job)
            self._runtime.emit(PeerSend(StopTasks(job.id, machine, sorted(tasks)), owner))

    def has_pending(self, job_id: str) -> bool:
        """Is a request of the job not committed yet?"""
        return job_id in self.pending

    def forget(self, job_id: str) -> None:
        """The job is over, or another controller's.

        A request kept while the job is elsewhere would stop whatever runs on that machine once
        the job is ours again.
        """
        self.pending.pop(job_id, None)

    def mark_stopping(self, job: Job) -> bool:
        """Take the job's requests and mark the attempts in this copy of its record.

        An attempt of which only some tasks are to stop is split in two. False: nothing that
        was to be stopped is still open.
        """
        is_changed = False
        for machine, tasks in self.pending.pop(job.id, {}).items():
            for attempt in list(job.attempts):
                to_stop = attempt.tasks & tasks
                if attempt.machine == machine and not attempt.stopping and to_stop:
                    _stop(job, attempt, to_stop)
                    is_changed = True
        return is_changed


def _stop(job: Job, attempt: Attempt, tasks: set[int]) -> None:
    if tasks == attempt.tasks:
        attempt.stopping = True
        return
    attempt.tasks -= tasks
    job.attempts.append(
        Attempt(
            attempt.machine, attempt.agent_epoch, attempt.attempt_number, attempt.term, True, tasks
        )
    )
