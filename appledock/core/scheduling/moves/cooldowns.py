"""Cooldowns: how long a job is not moved after a move, or after a refused one."""

from __future__ import annotations

from appledock import constants
from appledock.core.messages import MoveOrder
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves.policy import MovePolicy


class Cooldowns:
    """Prevents jobs from being moved repeatedly in short succession."""

    def __init__(self, runtime: Runtime, policy: MovePolicy) -> None:
        self._runtime = runtime
        self._policy = policy
        self._until: dict[str, float] = {}
        """job -> end of its cooldown, on the monotonic clock"""

    def is_cooling_down(self, job_id: str) -> bool:
        """Return whether the job's cooldown after a move or a refused one has not ended."""
        return self._runtime.now < self._until.get(job_id, constants.DISTANT_PAST)

    def duration_s(self, order: MoveOrder) -> float:
        """Return the cooldown (s) after this move; it is short if its source is being drained."""
        if self._policy.is_draining(order.source):
            return constants.DRAIN_MOVE_COOLDOWN_S
        return self._policy.settings.cooldown_s

    def start(self, job_id: str, duration_s: float) -> None:
        """Start a cooldown of the job, which replaces a running one."""
        self._until[job_id] = self._runtime.now + duration_s

    def extend(self, job_id: str, duration_s: float) -> None:
        """Make the job's cooldown last at least `duration_s` from now."""
        until = self._runtime.now + duration_s
        self._until[job_id] = max(until, self._until.get(job_id, constants.DISTANT_PAST))

    def drop_ended(self) -> None:
        """Drop the cooldowns that have ended."""
        now = self._runtime.now
        self._until = {job_id: until for job_id, until in self._until.items() if until > now}
