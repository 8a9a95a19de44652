"""Rate limiter of the calls to the key-value store: token buckets and priorities."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from appledock import constants
from appledock.core.store_calls import StoreOutcome, StoreRequest


class Priority(IntEnum):
    """Order in which waiting calls are served."""

    LEASE = 0
    """leases, joining, and the full listing after a start"""
    VIEW = 1
    """the membership view, the record format, and the watch"""
    USER = 2
    """what a user's request waits for"""
    URGENT = 3
    """steps of services, and preemption"""
    FINAL = 4
    """ends of jobs"""
    STEP = 5
    PROGRESS = 6
    """completed tasks of jobs that go on"""


PRIORITY_DELAY_S = {
    Priority.URGENT: 0.0,
    Priority.FINAL: constants.FINAL_WRITE_DELAY_S,
    Priority.STEP: constants.STEP_WRITE_DELAY_S,
    Priority.PROGRESS: constants.PROGRESS_WRITE_DELAY_S,
}
"""below users: priority -> time by which its calls are served later than urgent ones"""


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that allows a burst of one second's worth."""

    rate: float
    """tokens/s"""
    level: float = 0.0
    """tokens; negative: taken in advance"""
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
    """number of writes that it costs"""
    timeout_s: float
    """how long its answer is waited for once it is sent"""
    on_outcome: Callable[[StoreOutcome], None]
    expires_at: float
    """not sent after this moment"""
    queued_at: float = 0.0


class DueCalls(NamedTuple):
    """The calls that one pass over the queues has taken out."""

    to_send: list[QueuedCall]
    expired: list[QueuedCall]


@dataclass(slots=True)
class StoreRateLimiter:
    """Queues of calls, one per priority, and the two token buckets that they draw from.

    Each controller begins with its equal share of the writes. While writes wait
    it tries for more, since the others may need less; a 429 takes it back
    towards its share (additive increase, multiplicative decrease).
    """

    requests: TokenBucket
    writes: TokenBucket
    guaranteed_write_rate: float = 0.0
    """writes/s that this controller may always make"""
    max_write_rate: float = 0.0
    """writes/s never planned beyond"""
    recent_write_rate: float = 0.0
    """writes/s sent lately"""
    has_new_calls: bool = False
    """has a call been added since the queues were last gone through?"""
    dispatched_at: float = 0.0
    """when that was"""
    waited_s: float = 0.0
    """time since then, or since no call waited"""
    queues: list[deque[QueuedCall]] = field(default_factory=lambda: [deque() for _ in Priority])

    def count_queued(self) -> int:
        """Number of calls that wait."""
        return sum(len(queue) for queue in self.queues)

    def add(self, call: QueuedCall) -> bool:
        """Queue a call; False if the queue is full.

        Calls for leases, views and users are always taken.

        Guards against users turned away because hundreds of steps wait.
        """
        if call.priority > Priority.USER:
            waiting = sum(len(queue) for queue in self.queues[Priority.URGENT :])
            if waiting >= max(
                constants.CALL_QUEUE_LIMIT_MIN, constants.CALL_QUEUE_LIMIT_S * self.requests.rate
            ):
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
        self.writes.rate = max(
            self.guaranteed_write_rate, self.writes.rate * constants.WRITE_RATE_DECREASE_FACTOR
        )
        self.writes.level = min(self.writes.level, 0.0)

    def on_peer_write_rate(self, peer_rate: float, planned_rate: float) -> None:
        """The peers write at `peer_rate`: all together keep to `planned_rate` (writes/s)."""
        self.max_write_rate = max(self.guaranteed_write_rate, planned_rate - peer_rate)
        self.writes.rate = min(self.writes.rate, self.max_write_rate)

    def count_queued_up_to(self, priority: Priority) -> int:
        """Number of calls of this priority or a more urgent one that wait."""
        return sum(len(queue) for queue in self.queues[: priority + 1])

    def has_spare_writes(self) -> bool:
        """Does nothing wait for the limit, with most of a second's writes left?"""
        return (
            not self.count_queued()
            and self.writes.level >= constants.SPARE_WRITES_SHARE * self.writes.rate
        )

    # --- serving the queues -----------------------------------------------
    def take_due(self, now: float) -> DueCalls:
        """Take out the calls that may be sent now, and those that waited too long.

        A call that lacks writes holds back writes of lower priority, but not
        reads: otherwise a large transaction would never get its turn.
        """
        self._advance_to(now)
        if not any(self.queues):
            self.waited_s = 0.0
            return DueCalls([], [])
        if not self._is_turn_due(now):
            return DueCalls([], [])
        waited_s, self.waited_s = self.waited_s, 0.0
        self.has_new_calls, self.dispatched_at = False, now
        due = DueCalls([], [])
        is_write_held_back = False
        for call in self._take_in_order():
            if call.expires_at <= now:
                due.expired.append(call)
            elif self._is_admitted(call, is_write_held_back):
                self._charge(call)
                due.to_send.append(call)
            else:
                is_write_held_back = is_write_held_back or bool(call.writes)
                self.queues[call.priority].append(call)
        if is_write_held_back:
            self._raise_write_rate(waited_s)
        return due

    def _advance_to(self, now: float) -> None:
        """Let the time since the last refill count: tokens, rate sent lately, time waited."""
        elapsed_s = max(0.0, now - self.writes.refilled_at)
        self.recent_write_rate *= math.exp(-elapsed_s / constants.WRITE_RATE_TIME_CONSTANT_S)
        self.waited_s += elapsed_s
        self.requests.refill(now)
        self.writes.refill(now)

    def _is_turn_due(self, now: float) -> bool:
        """Time fills the buckets, but not within a few milliseconds."""
        return self.has_new_calls or now >= self.dispatched_at + constants.CALL_DISPATCH_INTERVAL_S

    def _take_in_order(self) -> list[QueuedCall]:
        """Take out all calls that wait, in the order in which they are served.

        Below users, priorities are a head start in time. Served strictly by priority, a
        burst of services kept results from being recorded, and tasks that had long ended
        were preempted once more.
        """
        first = [call for queue in self.queues[: Priority.URGENT] for call in queue]
        rest = sorted(
            (call for queue in self.queues[Priority.URGENT :] for call in queue),
            key=lambda call: call.queued_at + PRIORITY_DELAY_S[call.priority],
        )
        for queue in self.queues:
            queue.clear()
        return first + rest

    def _is_admitted(self, call: QueuedCall, is_write_held_back: bool) -> bool:
        """Do the buckets let the call go? Calls for leases and views always go."""
        if call.priority <= Priority.VIEW:
            return True
        if self.requests.level < 1:
            return False
        if not call.writes:
            return True
        return not is_write_held_back and self.writes.level >= self._required_writes(call)

    def _required_writes(self, call: QueuedCall) -> float:
        """Level of the bucket of writes that the call needs.

        Users wait for nobody: what they take is made up for by the rest, down to one
        second's worth.
        """
        if call.priority == Priority.USER:
            return -self.writes.rate
        return min(call.writes, self.writes.rate)

    def _charge(self, call: QueuedCall) -> None:
        """Take the call's tokens out of the buckets."""
        self.requests.level -= 1
        self.writes.level -= call.writes
        self.recent_write_rate += call.writes / constants.WRITE_RATE_TIME_CONSTANT_S

    def _raise_write_rate(self, waited_s: float) -> None:
        """Additive increase, as far as the peers leave room."""
        if self.writes.rate < self.max_write_rate:
            raised_rate = self.writes.rate + waited_s * constants.WRITE_RATE_INCREASE_PER_S
            self.writes.rate = min(self.max_write_rate, raised_rate)
