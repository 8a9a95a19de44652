"""Rate of steps and of progress writes, depending on the store writes that are available."""

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
    """Spends the rate limit of the key-value store on the writes that users notice most.

    Batching windows collect free capacity, so that a job takes it in one step (one write) and
    not in many small ones.
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
        """returns whether services of another controller wait for the store's rate limit"""
        self._batching_since: dict[str, float] = {}
        """job -> time since which it waits for capacity for a larger step"""
        self._deferred_since = math.inf
        """time since which arrays and gangs wait for the writes of users and services; inf if they
        do not wait"""

    def forget(self, job_id: str) -> None:
        """End the job's batching window, because the job has ended or its step is being written."""
        self._batching_since.pop(job_id, None)

    def is_step_rate_limited(self) -> bool:
        """Return whether steps wait for the store's rate limit."""
        return self._limiter.count_queued_up_to(Priority.STEP) > constants.WAITING_CALLS_THRESHOLD

    def is_service_rate_limited(self) -> bool:
        """Return whether steps of services wait for the store's rate limit.

        If they do, handing a service off for image locality delays other services by more than
        it saves: it takes two writes where a step takes one.
        """
        return self._limiter.count_queued_up_to(Priority.URGENT) > constants.WAITING_CALLS_THRESHOLD

    def batching_window_s(self) -> float:
        """Return the seconds until arrays and gangs are placed again."""
        if self.is_step_rate_limited():
            return constants.BATCHING_WINDOW_RATE_LIMITED_S
        if self._limiter.has_spare_writes():
            return constants.BATCHING_WINDOW_SPARE_WRITES_S
        return constants.BATCHING_WINDOW_S

    def should_defer_arrays(self) -> bool:
        """Return whether arrays and gangs must wait for the writes of users and services.

        They wait for services of this controller and of others, because their steps would take
        capacity and writes from these services. One such wait lasts at most
        `ARRAY_DEFERRAL_MAX_S`.
        """
        if not self.is_service_rate_limited() and not self._is_peer_rate_limited():
            self._deferred_since = math.inf
            return False
        now = self._runtime.now
        self._deferred_since = min(self._deferred_since, now)
        if now - self._deferred_since < constants.ARRAY_DEFERRAL_MAX_S:
            return True
        self._deferred_since = now
        return False

    def progress_interval_s(self, job: Job) -> float:
        """Return the minimum seconds between two writes that only record the job's completions."""
        if self._is_team_limited(job.spec.team):
            # Each recorded completion allows another task of the team to start.
            if self._limiter.has_spare_writes():
                return constants.PROGRESS_INTERVAL_SPARE_WRITES_S
            return constants.PROGRESS_INTERVAL_TEAM_LIMITED_S
        if self.is_step_rate_limited():
            return constants.PROGRESS_INTERVAL_RATE_LIMITED_S
        return constants.PROGRESS_INTERVAL_S

    def _is_team_limited(self, team: str) -> bool:
        """Return whether a queued task of the team waits for the team's limit, not for capacity."""
        reasons = self._reconcile_queue.pending_reasons
        return self._quota.is_limit_exhausted(team) or any(
            reasons.get(job_id) is PendingReason.TEAM_LIMIT
            for job_id in self._replica.jobs_by_team.get(team, ())
        )

    def should_batch(self, job: Job, unsettled: Job, tasks: int) -> bool:
        """Return whether a step of `tasks` tasks should wait for more capacity.

        A small step of an array waits while steps are rate limited, for at most
        `STEP_BATCHING_WINDOW_S`. `unsettled` is the job without its settled attempts.
        """
        if job.spec.service or job.spec.gang or not self.is_step_rate_limited():
            return False
        if tasks >= min(unsettled.queued_task_count, constants.BATCHING_TASKS_MIN):
            return False
        now = self._runtime.now
        return now - self._batching_since.setdefault(job.id, now) < constants.STEP_BATCHING_WINDOW_S
