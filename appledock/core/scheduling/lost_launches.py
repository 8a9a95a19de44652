"""Launches that may still be under way for tasks that are to be stopped."""

from __future__ import annotations

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers


class LostLaunchDetector:
    """Requests a new term where a stopped attempt never shows up on its worker.

    Its launch command may still be under way. A higher fencing token makes it harmless: the
    worker refuses it once it has seen the new term.
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
        """job -> since when a stopped attempt of it has not shown up"""

    def forget(self, job_id: str) -> None:
        """Drop what is kept of a job that is over."""
        self._missing_since.pop(job_id, None)

    def check(self) -> None:
        """Look at all own jobs."""
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
        """Has the worker, which reports, not shown a task of an attempt of the present term?"""
        if attempt.term != self._membership.term:
            return False
        worker = self._workers.table.get(attempt.machine)
        if worker is None:
            return False
        silent_s = self._runtime.now - worker.reachability.last_heartbeat_at
        if silent_s > constants.PROBE_SILENCE_THRESHOLD_S:
            # A silent worker would not show that it has seen a new term, which costs the
            # whole cluster; the expiry of its lease or its deletion settles the attempt.
            return False
        return any(
            (f"{job.id}/{task}", attempt.attempt_number) not in worker.tasks
            for task in attempt.tasks
        )
