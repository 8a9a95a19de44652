"""Writes settled attempts and requested stops to the job's record."""

from __future__ import annotations

from appledock import constants
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.settlement import Settlement
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.jobs.writer import JobWriter
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.pacing import Pacing
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica


class SettlementRecorder:
    """Requests the writes that a job's settled attempts, its end or its stop requests need."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        reconcile_queue: ReconcileQueue,
        settlement: Settlement,
        stop_requests: StopRequests,
        writer: JobWriter,
        pacing: Pacing,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._reconcile_queue = reconcile_queue
        self._settlement = settlement
        self._stop_requests = stop_requests
        self._writer = writer
        self._pacing = pacing

    def record(self, job: Job) -> None:
        """Write what is settled of the job now, or defer the job to a later reconciliation.

        Do nothing if nothing has changed.
        """
        queue = self._reconcile_queue
        if not self._writer.can_write(job):
            # This also defers jobs that are cancelled because they depend on a cancelled job: if
            # the write of their end fails, no later event requests it again.
            if job.attempts or self._replica.is_cancelled(job.id):
                queue.deferred_jobs.add(job.id)
            return
        unsettled = self._settlement.without_settled_attempts(job)
        is_over = bool(self._writer.final_state(unsettled or job))
        if not is_over and self._commit_stops(job):
            return
        has_lost_tasks = (
            unsettled is not None and unsettled.queued_task_count > job.queued_task_count
        )
        if not has_lost_tasks:
            queue.loss_noticed_at.pop(job.id, None)
        if unsettled is None and not is_over:
            return
        queue.placement_due = True
        if is_over:
            self._commit(job, self._final_priority(job))
        elif (has_lost_tasks and self._should_wait_for_step(job.id)) or not self._is_progress_due(
            job
        ):
            queue.deferred_jobs.add(job.id)
        else:
            self._commit(job, Priority.PROGRESS)

    def _commit_stops(self, job: Job) -> bool:
        """Write the stops requested for the job; return False if there is nothing to stop."""
        if not self._stop_requests.has_pending(job.id):
            return False
        stopped = self._settlement.copy_without_settled_attempts(job)
        if not self._stop_requests.mark_stopping(stopped):
            return False
        self._writer.commit(job, stopped, Priority.URGENT)
        return True

    def _commit(self, job: Job, priority: Priority) -> None:
        self._writer.commit(job, self._settlement.copy_without_settled_attempts(job), priority)

    def _final_priority(self, job: Job) -> Priority:
        """Return the priority of the write of the job's end.

        It is urgent if other jobs depend on the job, since they start only after this write.
        """
        has_dependents = job.id in self._replica.dependencies.dependents
        return Priority.URGENT if has_dependents else Priority.FINAL

    def _is_progress_due(self, job: Job) -> bool:
        written_at = self._writer.written_at.get(job.id, constants.DISTANT_PAST)
        return self._runtime.now >= written_at + self._pacing.progress_interval_s(job)

    def _should_wait_for_step(self, job_id: str) -> bool:
        """Return whether lost tasks should still wait for a step whose write records the loss too.

        Recording the loss separately takes one more write for each job, for which the replacement
        tasks have to wait: for up to six seconds after forty machines were lost at once.
        """
        now = self._runtime.now
        noticed_at = self._reconcile_queue.loss_noticed_at.setdefault(job_id, now)
        return now - noticed_at < constants.SETTLEMENT_BATCHING_WINDOW_S
