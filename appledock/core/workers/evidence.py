"""Proof that an attempt of a task is over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock import wire
from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job
from appledock.core.workers.record import TaskKey, Worker
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class Evidence:
    """Judges attempts by what the workers have shown.

    Silence, refused connections and missing rows of the machine list prove
    nothing and are not looked at here.
    """

    def __init__(self, engine: Controller, workers: WorkerTable) -> None:
        self.engine = engine
        self.workers = workers

    def verdict(self, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        """Is this attempt of a task over? None: it is open."""
        if attempt.machine in self.workers.deleted_machines:
            return AttemptVerdict.SETTLED
        worker = self.workers.table.get(attempt.machine)
        if worker is None:
            return None
        report = worker.report
        if report is None or report.session < attempt.agent_epoch:
            return (
                AttemptVerdict.SETTLED
                if attempt.agent_epoch <= worker.lease.expired_epoch
                else None
            )
        if report.session > attempt.agent_epoch:
            return AttemptVerdict.SETTLED
        key = (f"{job.id}/{task}", attempt.attempt_number)
        entry = worker.tasks.get(key)
        if entry is None:
            # Orders of the step's term are refused once the worker shows a higher one,
            # and launches are only sent under the term of their step.
            over = (
                report.token > attempt.term
                or attempt.agent_epoch <= worker.lease.expired_epoch
                or self._never_launched(worker, job, attempt, key)
            )
            return AttemptVerdict.SETTLED if over else None
        if entry.state == wire.EXITED:
            return _of_exited(job, entry)
        return AttemptVerdict.SETTLED if attempt.agent_epoch <= worker.lease.expired_epoch else None

    def _never_launched(self, worker: Worker, job: Job, attempt: Attempt, key: TaskKey) -> bool:
        """Only the owner launches, it never did, and the record forbids it now."""
        return (
            (job.cancelled or attempt.stopping)
            and key not in worker.commanded.launched_at
            and attempt.term == self.engine.membership.term
            and self.workers.owns(worker.id)
        )


def _of_exited(job: Job, entry: wire.TaskReport) -> AttemptVerdict:
    if entry.why == wire.DONE and not job.spec.service:
        return AttemptVerdict.DONE
    return (
        AttemptVerdict.FAILED if entry.why in (wire.ERROR, wire.UNKNOWN) else AttemptVerdict.SETTLED
    )
