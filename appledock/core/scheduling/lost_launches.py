"""Detection of launch commands that may still be in flight for tasks that are to be stopped."""

from __future__ import annotations

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers


class LostLaunchDetector:
    """Requests a new term if an attempt that is to be stopped does not appear on its worker.

    The launch command of the attempt may still be in flight. The term is the fencing token of
    commands: a worker that has seen a new term rejects commands of earlier terms.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        view_requests: ViewChangeRequests,
        workers: Workers,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._membership = membership
        self._view_requests = view_requests
        self._workers = workers
        self._missing_since: dict[str, float] = {}
        """job -> time since which an attempt to be stopped is missing from its worker's reports"""

    def forget(self, job_id: str) -> None:
        """Drop the state of a job that has ended."""
        self._missing_since.pop(job_id, None)

    def check(self) -> None:
        """Check the jobs of this controller, and request a new term if one is needed."""
        now = self._runtime.now
        for job in self._replica.jobs.values():
            is_missing = any(
                (job.cancelled or attempt.stopping) and self._is_missing(job, attempt)
                for attempt in job.attempts
            )
            if not is_missing or not self._replica.owns_job(self._runtime.node, job):
                self.forget(job.id)
            elif now - self._missing_since.setdefault(job.id, now) > constants.TERM_BUMP_DELAY_S:
                self._view_requests.new_term = True

    def _is_missing(self, job: Job, attempt: Attempt) -> bool:
        """Return whether a task of an attempt of the current term is missing on its worker.

        The attempt counts as missing only while the worker sends heartbeats.
        """
        if attempt.term != self._membership.term:
            return False
        worker = self._workers.table.get(attempt.machine)
        if worker is None:
            return False
        silent_s = self._runtime.now - worker.reachability.last_heartbeat_at
        if silent_s > constants.PROBE_SILENCE_THRESHOLD_S:
            # A silent worker could not confirm that it has seen a new term, and a new term is
            # expensive for the whole cluster. The attempt is settled when the worker's lease
            # expires or its machine is deleted.
            return False
        return any(
            (f"{job.id}/{task}", attempt.attempt_number) not in worker.tasks
            for task in attempt.tasks
        )
