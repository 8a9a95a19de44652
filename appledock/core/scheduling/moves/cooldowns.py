"""Cool-downs: for how long a job that was moved, or could not be, is left alone."""

from __future__ import annotations

from appledock import constants
from appledock.core.messages import MoveOrder
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves.policy import MovePolicy


class Cooldowns:
    """Keeps jobs from being moved again and again."""

    def __init__(self, runtime: Runtime, policy: MovePolicy) -> None:
        self._runtime = runtime
        self._policy = policy
        self._until: dict[str, float] = {}
        """job -> when its cool-down ends, on the steady clock"""

    def is_cooling_down(self, job_id: str) -> bool:
        """Was the job moved, or a move of it refused, so lately that it is left alone?"""
        return self._runtime.now < self._until.get(job_id, constants.DISTANT_PAST)

    def duration_s(self, order: MoveOrder) -> float:
        """Return the cool-down after this move; short if it drained its source machine."""
        if self._policy.is_draining(order.source):
            return constants.DRAIN_MOVE_COOLDOWN_S
        return self._policy.settings.cooldown_s

    def start(self, job_id: str, duration_s: float) -> None:
        """Start the job's cool-down, in place of one that has begun."""
        self._until[job_id] = self._runtime.now + duration_s

    def extend(self, job_id: str, duration_s: float) -> None:
        """Let the job's cool-down last at least so long from now."""
        until = self._runtime.now + duration_s
        self._until[job_id] = max(until, self._until.get(job_id, constants.DISTANT_PAST))

    def drop_ended(self) -> None:
        """Forget cool-downs that have ended."""
        now = self._runtime.now
        self._until = {job_id: until for job_id, until in self._until.items() if until > now}
