"""Settlement evidence: proof that an attempt of a task is over."""

from __future__ import annotations

from appledock import wire
from appledock.core.membership.membership import Membership
from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job
from appledock.core.workers.record import TaskKey, Worker
from appledock.core.workers.table import WorkerTable


class SettlementEvidence:
    """Decides from the workers' heartbeats whether attempts are over.

    Any of these proves it: the machine was deleted, the attempt's agent epoch has ended, the
    worker reports that the task has ended, or the launch can never be executed. Missing
    heartbeats, refused connections and machines missing from the cloud's list prove nothing and
    are not considered here.
    """

    def __init__(self, membership: Membership, table: WorkerTable) -> None:
        self.membership = membership
        self.table = table

    def verdict(self, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        """Return how this attempt of a task ended, or None while no proof exists that it is over.

        `SETTLED` means that the attempt is over without a result of the task.
        """
        if attempt.machine in self.table.deleted_machines:
            return AttemptVerdict.SETTLED
        worker = self.table.rows.get(attempt.machine)
        if worker is None:
            return None
        epoch_is_over = (
            attempt.agent_epoch <= worker.lease.expired_epoch
            or worker.agent_epoch > attempt.agent_epoch
        )
        if worker.report is None or worker.agent_epoch != attempt.agent_epoch:
            return AttemptVerdict.SETTLED if epoch_is_over else None
        key = (f"{job.id}/{task}", attempt.attempt_number)
        entry = worker.tasks.get(key)
        if entry is not None and entry.state == wire.EXITED:
            return _verdict_of_exited(job, entry)
        if epoch_is_over or (entry is None and self._can_never_start(worker, job, attempt, key)):
            return AttemptVerdict.SETTLED
        return None

    def _can_never_start(self, worker: Worker, job: Job, attempt: Attempt, key: TaskKey) -> bool:
        """Return whether a task that the worker does not show can never start there.

        Once the worker shows a higher term, it rejects commands of the attempt's term, and
        launches are only sent under the term of their attempt. Under that term, only the owner
        sends launches: if this controller is the owner and has not sent one, it will not send one
        any more, because the attempt is being stopped or the job is cancelled.
        """
        return worker.fencing_token > attempt.term or (
            (job.cancelled or attempt.stopping)
            and key not in worker.sent_commands.launched_at
            and attempt.term == self.membership.term
            and self.table.owns(worker.id)
        )


def _verdict_of_exited(job: Job, entry: wire.TaskReport) -> AttemptVerdict:
    if entry.cause == wire.DONE and not job.spec.service:
        return AttemptVerdict.DONE
    if entry.cause in (wire.ERROR, wire.UNKNOWN):
        return AttemptVerdict.FAILED
    return AttemptVerdict.SETTLED
