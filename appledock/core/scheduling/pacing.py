"""How often steps are placed and completions recorded, by the store's writes that are left."""

from __future__ import annotations

import math
from collections.abc import Callable

from appledock import constants
from appledock.core.jobs.reconcile_queue import PendingReason, ReconcileQueue
from appledock.core.quota.usage import QuotaUsage
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.rate_limiter import Priority, StoreRateLimiter
from appledock.core.store.replica import Replica


class Pacing:
    """Spends the rate limit of the key-value store where users notice it most.

    Batching windows collect free capacity, so that a job takes it in one step and one write
    in place of many small ones.
    """

    def __init__(
        self,
        runtime: Runtime,
        limiter: StoreRateLimiter,
        replica: Replica,
        quota: QuotaUsage,
        reconcile_queue: ReconcileQueue,
        is_peer_rate_limited: Callable[[], bool],
    ) -> None:
        self._runtime = runtime
        self._limiter = limiter
        self._replica = replica
        self._quota = quota
        self._reconcile_queue = reconcile_queue
        self._is_peer_rate_limited = is_peer_rate_limited
        """do services of another controller wait for the store's rate limit?"""
        self._batching_since: dict[str, float] = {}
        """job -> since when it waits for capacity for a larger step"""
        self._deferred_since = math.inf
        """since when batch jobs wait for the writes of users and services"""

    def forget(self, job_id: str) -> None:
        """End the job's batching window: it is over, or its step is under way."""
        self._batching_since.pop(job_id, None)

    def is_step_rate_limited(self) -> bool:
        """Do steps wait for the store's rate limit?"""
        return self._limiter.count_queued_up_to(Priority.STEP) > constants.WAITING_CALLS_THRESHOLD

    def is_service_rate_limited(self) -> bool:
        """Do steps of services wait for the store's rate limit?

        Then handing one off for image locality costs others more than it saves: two writes
        in place of one.
        """
        return self._limiter.count_queued_up_to(Priority.URGENT) > constants.WAITING_CALLS_THRESHOLD

    def batching_window_s(self) -> float:
        """Seconds until batch jobs are placed again."""
        if self.is_step_rate_limited():
            return constants.BATCHING_WINDOW_RATE_LIMITED_S
        if self._limiter.has_spare_writes():
            return constants.BATCHING_WINDOW_SPARE_WRITES_S
        return constants.BATCHING_WINDOW_S

    def should_defer_batch_jobs(self) -> bool:
        """Must batch jobs wait until users and services have got their writes?

        Those of this controller or of another one: steps of batch jobs would only keep
        capacity and writes from them. At most for `BATCH_JOB_DEFERRAL_MAX_S` at a time.
        """
        if not self.is_service_rate_limited() and not self._is_peer_rate_limited():
            self._deferred_since = math.inf
            return False
        now = self._runtime.now
        self._deferred_since = min(self._deferred_since, now)
        if now - self._deferred_since < constants.BATCH_JOB_DEFERRAL_MAX_S:
            return True
        self._deferred_since = now
        return False

    def progress_interval_s(self, job: Job) -> float:
        """Least seconds between two writes that only record completed tasks of the job."""
        if self._is_team_limited(job.spec.team):
            # Each completion that is recorded lets a task of the team start.
            if self._limiter.has_spare_writes():
                return constants.PROGRESS_INTERVAL_SPARE_WRITES_S
            return constants.PROGRESS_INTERVAL_TEAM_LIMITED_S
        if self.is_step_rate_limited():
            return constants.PROGRESS_INTERVAL_RATE_LIMITED_S
        return constants.PROGRESS_INTERVAL_S

    def _is_team_limited(self, team: str) -> bool:
        """Is the team's limit, and not capacity, what a queued task of it waits for?"""
        reasons = self._reconcile_queue.pending_reasons
        return self._quota.is_limit_exhausted(team) or any(
            reasons.get(job_id) is PendingReason.TEAM_LIMIT
            for job_id in self._replica.jobs_by_team.get(team, ())
        )

    def should_batch(self, job: Job, unsettled: Job, tasks: int) -> bool:
        """Does a step of `tasks` tasks wait for more capacity, for a bounded time?

        It does while writes are scarce, if it is small. `unsettled` is the job without its
        settled attempts.
        """
        if job.spec.service or job.spec.gang or not self.is_step_rate_limited():
            return False
        if tasks >= min(unsettled.queued_task_count, constants.BATCHING_TASKS_MIN):
            return False
        now = self._runtime.now
        return now - self._batching_since.setdefault(job.id, now) < constants.STEP_BATCHING_WINDOW_S
