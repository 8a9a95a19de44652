"""Rate limiter of the calls to the key-value store: token buckets and priorities."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

from appledock import constants as c
from appledock.core.store_calls import StoreOutcome, StoreRequest


class Priority(IntEnum):
    """Order in which waiting calls are served."""

    LEASE = 0
    VIEW = 1
    USER = 2
    URGENT = 3
    """steps of services, and preemption"""
    FINAL = 4
    STEP = 5
    PROGRESS = 6


HEAD_START_S = {
    Priority.URGENT: 0.0,
    Priority.FINAL: c.FINAL_AFTER_S,
    Priority.STEP: c.STEP_AFTER_S,
    Priority.PROGRESS: c.PROGRESS_AFTER_S,
}


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that allows a burst of one second's worth."""

    rate: float
    """tokens/s"""
    level: float = 0.0
    refilled_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        self.level = min(max(self.rate, 1.0), self.level + (now - self.refilled_at) * self.rate)
        self.refilled_at = now


@dataclass(slots=True)
class QueuedCall:
    """A call that waits for the rate limit."""

    request: StoreRequest
    priority: Priority
    writes: int
    timeout_s: float
    """how long its answer is waited for once it is sent"""
    on_outcome: Callable[[StoreOutcome], None]
    expires_at: float
    """not sent after this moment"""
    queued_at: float = 0.0


@dataclass(slots=True)
class StoreRateLimiter:
    """Queues of calls, one per priority, and the two token buckets that they draw from.

    Each controller begins with its equal share of the writes. While writes wait
    it tries for more, since the others may need less; a 429 takes it back
    towards its share (additive increase, multiplicative decrease).
    """

    requests: TokenBucket
    writes: TokenBucket
    own_write_rate: float = 0.0
    """writes/s that this controller may always make"""
    max_write_rate: float = 0.0
    """writes/s never planned beyond"""
    recent_write_rate: float = 0.0
    """writes/s sent lately"""
    has_new_calls: bool = False
    """has a call been added since the queues were last gone through?"""
    served_at: float = 0.0
    """when that was"""
    waited_s: float = 0.0
    """s since then, or since no call waited"""
    queues: list[deque[QueuedCall]] = field(default_factory=lambda: [deque() for _ in Priority])

    def size(self) -> int:
        """Calls that wait."""
        return sum(len(queue) for queue in self.queues)

    def add(self, call: QueuedCall) -> bool:
        """Queue a call; False if the queue is full.

        Calls for leases, views and users are always taken.

        Guards against users turned away because hundreds of steps wait.
        """
        if call.priority > Priority.USER:
            waiting = sum(len(queue) for queue in self.queues[Priority.URGENT :])
            if waiting >= max(c.CALL_QUEUE_LEAST, c.CALL_QUEUE_S * self.requests.rate):
                return False
        self.queues[call.priority].append(call)
        self.has_new_calls = True
        return True

    def withdraw(self, call: QueuedCall) -> bool:
        """Take a call back; False if it no longer waits."""
        queue = self.queues[call.priority]
        for place, other in enumerate(queue):
            if other is call:
                del queue[place]
                return True
        return False

    def requeue(self, call: QueuedCall) -> None:
        """Put a call that was not executed back to the head of its queue."""
        self.queues[call.priority].appendleft(call)

    def on_rate_limited(self) -> None:
        """The store refused writes as too many: reduce the rate."""
        self.writes.rate = max(self.own_write_rate, self.writes.rate * c.WRITES_BACK)
        self.writes.level = min(self.writes.level, 0.0)

    def on_peer_write_rate(self, peer_rate: float, planned_rate: float) -> None:
        """The peers write at `peer_rate`: all together keep to `planned_rate` (writes/s)."""
        self.max_write_rate = max(self.own_write_rate, planned_rate - peer_rate)
        self.writes.rate = min(self.writes.rate, self.max_write_rate)

    def waiting(self, priority: Priority) -> int:
        """Calls of this priority or a more urgent one that wait."""
        return sum(len(queue) for queue in self.queues[: priority + 1])

    def spare_writes(self) -> bool:
        """Does nothing wait for the limit, with most of a second's writes left?"""
        return not self.size() and self.writes.level >= c.SPARE_WRITES * self.writes.rate

    def _turn_due(self, now: float) -> bool:
        """Time fills the buckets, but not within a few milliseconds."""
        return self.has_new_calls or now >= self.served_at + c.TURN_EVERY_S

    def _in_turn(self) -> list[QueuedCall]:
        """All that waits, taken from the queues, in the order in which it is served.

        Below users, priorities are a head start in time. Strictly by priority, a
        burst of services kept results from being recorded for 40 s, and tasks that
        had long ended were stopped once more to make room.
        """
        first = [call for queue in self.queues[: Priority.URGENT] for call in queue]
        rest = sorted(
            (call for queue in self.queues[Priority.URGENT :] for call in queue),
            key=lambda call: call.queued_at + HEAD_START_S[call.priority],
        )
        for queue in self.queues:
            queue.clear()
        return first + rest

    def due(self, now: float) -> tuple[list[QueuedCall], list[QueuedCall]]:
        """Calls that may go now, and calls that waited too long.

        A call that lacks writes holds back writes of lower priority, but not
        reads: otherwise a large transaction would never get its turn.
        """
        since = max(0.0, now - self.writes.refilled_at)
        self.recent_write_rate *= math.exp(-since / c.SPENT_S)
        self.waited_s += since
        self.requests.refill(now)
        self.writes.refill(now)
        if not any(self.queues):
            self.waited_s = 0.0
            return [], []
        if not self._turn_due(now):
            return [], []
        elapsed, self.waited_s = self.waited_s, 0.0
        self.has_new_calls, self.served_at = False, now
        send: list[QueuedCall] = []
        expired: list[QueuedCall] = []
        blocked = False
        for call in self._in_turn():
            urgent = call.priority <= Priority.VIEW
            # Users wait for nobody: what they take is made up for by the rest,
            # down to one second's worth.
            floor = (
                -self.writes.rate
                if call.priority == Priority.USER
                else (min(call.writes, self.writes.rate))
            )
            if call.expires_at <= now:
                expired.append(call)
            elif (self.requests.level >= 1 or urgent) and (
                not call.writes or urgent or (not blocked and self.writes.level >= floor)
            ):
                self.requests.level -= 1
                self.writes.level -= call.writes
                self.recent_write_rate += call.writes / c.SPENT_S
                send.append(call)
            else:
                blocked = blocked or bool(call.writes)
                self.queues[call.priority].append(call)
        if blocked and self.writes.rate < self.max_write_rate:
            self.writes.rate = min(self.max_write_rate, self.writes.rate + elapsed * c.WRITES_MORE)
        return send, expired
