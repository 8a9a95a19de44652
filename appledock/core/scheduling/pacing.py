"""How often steps are placed and finished tasks recorded, by what writes are left."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.jobs.reconcile_queue import PendingReason
from appledock.core.records.job import Job
from appledock.core.store.rate_limiter import Priority

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class Pacing:
    """Spends the state service's writes where they are felt most."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.batching_since: dict[str, float] = {}
        """array -> since when it waits for room for a larger step"""
        self.deferred_since = math.inf
        """since when arrays wait for the writes of users and services"""

    def forget(self, job_id: str) -> None:
        """The job is over, or its step is under way."""
        self.batching_since.pop(job_id, None)

    def is_step_rate_limited(self) -> bool:
        """Do steps wait for the state service's limit?"""
        return self.engine.client.limiter.waiting(Priority.STEP) > c.CROWDED

    def is_service_rate_limited(self) -> bool:
        """Do services wait for the state service's limit?

        Then passing one on for an image costs others more than it saves: two writes instead
        of one.
        """
        return self.engine.client.limiter.waiting(Priority.URGENT) > c.CROWDED

    def batching_window_s(self) -> float:
        """Seconds until arrays are placed again."""
        if self.is_step_rate_limited():
            return c.GATHER_CROWDED_S
        return c.GATHER_SPARE_S if self.engine.client.limiter.spare_writes() else c.GATHER_S

    def should_defer_batch_jobs(self) -> bool:
        """Must arrays wait, for a while, until users and services have got their writes?

        Ours, or those of another controller: steps of arrays would only keep room and writes
        from them.
        """
        if not self.is_service_rate_limited() and not self.engine.heartbeats.others_pressed():
            self.deferred_since = math.inf
            return False
        self.deferred_since = min(self.deferred_since, self.engine.now)
        if self.engine.now - self.deferred_since < c.HOLD_BACK_S:
            return True
        self.deferred_since = self.engine.now
        return False

    def progress_interval_s(self, job: Job) -> float:
        """Seconds between two lists of finished tasks of the job."""
        team = job.spec.team
        if self.engine.quota.exhausted(team) or any(
            self.engine.reconcile_queue.pending_reasons.get(other) is PendingReason.TEAM_LIMIT
            for other in self.engine.replica.by_team.get(team, ())
        ):
            return (
                c.PROGRESS_SPARE_S
                if self.engine.client.limiter.spare_writes()
                else c.PROGRESS_EVERY_S
            )
        return c.PROGRESS_CROWDED_S if self.is_step_rate_limited() else c.PROGRESS_RELAXED_S

    def should_batch(self, job: Job, rest: Job, tasks: int) -> bool:
        """Does the array wait for more room, for a bounded time?

        So it does if writes lack and the step would be a small one.
        """
        if job.spec.service or job.spec.gang or not self.is_step_rate_limited():
            return False
        if tasks >= min(rest.queued, c.GATHER_TASKS):
            return False
        return (
            self.engine.now - self.batching_since.setdefault(job.id, self.engine.now)
            < c.GATHER_STEP_S
        )
