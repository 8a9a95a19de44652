"""Proof that an attempt of a task is over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock import wire
from appledock.core.records.job import Attempt, Job
from appledock.core.workers.record import TaskKey, Worker
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller

DONE = "done"
ERROR = "error"
SETTLED = "settled"
"""verdicts: completed, failed, or over without a result"""


class Evidence:
    """Judges attempts by what the workers have shown.

    Silence, refused connections and missing rows of the machine list prove
    nothing and are not looked at here.
    """

    def __init__(self, engine: Controller, workers: WorkerTable) -> None:
        self.engine = engine
        self.workers = workers

    def verdict(self, job: Job, attempt: Attempt, task: int) -> str | None:
        """Is this attempt of a task over? `done`, `error`, `settled`, or None: open."""
        if attempt.machine in self.workers.deleted_machines:
            return SETTLED
        worker = self.workers.table.get(attempt.machine)
        if worker is None:
            return None
        report = worker.report
        if report is None or report.session < attempt.session:
            return SETTLED if attempt.session <= worker.lease.expired_epoch else None
        if report.session > attempt.session:
            return SETTLED
        key = (f"{job.id}/{task}", attempt.number)
        entry = worker.tasks.get(key)
        if entry is None:
            # Orders of the step's term are refused once the worker shows a higher one,
            # and launches are only sent under the term of their step.
            over = (
                report.token > attempt.term
                or attempt.session <= worker.lease.expired_epoch
                or self._never_launched(worker, job, attempt, key)
            )
            return SETTLED if over else None
        if entry.state == wire.EXITED:
            return _of_exited(job, entry)
        return SETTLED if attempt.session <= worker.lease.expired_epoch else None

    def _never_launched(self, worker: Worker, job: Job, attempt: Attempt, key: TaskKey) -> bool:
        """Only the owner launches, it never did, and the record forbids it now."""
        return (
            (job.cancelled or attempt.stopping)
            and key not in worker.commanded.launched_at
            and attempt.term == self.engine.membership.term
            and self.workers.owns(worker.id)
        )


def _of_exited(job: Job, entry: wire.TaskReport) -> str:
    if entry.why == wire.DONE and not job.spec.service:
        return DONE
    return ERROR if entry.why in (wire.ERROR, wire.UNKNOWN) else SETTLED
