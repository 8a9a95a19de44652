"""Rate limiter for calls to the key-value store, with token buckets and priority queues."""

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
    """Priority of a queued call, from the highest to the lowest.

    Calls of `USER` and higher priorities are served strictly by priority. Calls of lower priorities
    are served in the order of their queueing time plus the delay in `PRIORITY_DELAY_S`.
    """

    LEASE = 0
    """Leases, joining the cluster, and the full listing after a start."""
    VIEW = 1
    """Membership view, record format and watch."""
    USER = 2
    """Calls that a user's request waits for."""
    URGENT = 3
    """Steps of services, preemption, increases of a quota allocation that a step needs, and final
    states of jobs that other jobs depend on."""
    FINAL = 4
    """Final states of other jobs."""
    STEP = 5
    """Steps of arrays and gangs, releases of unused quota, and changes of machine ownership."""
    PROGRESS = 6
    """Lists of completed tasks of jobs that have not ended, and the machine catalogue."""


PRIORITY_DELAY_S = {
    Priority.URGENT: 0.0,
    Priority.FINAL: constants.FINAL_WRITE_DELAY_S,
    Priority.STEP: constants.STEP_WRITE_DELAY_S,
    Priority.PROGRESS: constants.PROGRESS_WRITE_DELAY_S,
}
"""Priority below `USER` -> seconds by which its calls are delayed relative to urgent calls."""


@dataclass(slots=True)
class TokenBucket:
    """A token bucket with a capacity of one second's worth of tokens, but at least one token."""

    rate: float
    """Tokens per second."""
    level: float = 0.0
    """Number of tokens; negative if tokens were taken in advance."""
    refilled_at: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        self.level = min(max(self.rate, 1.0), self.level + (now - self.refilled_at) * self.rate)
        self.refilled_at = now


@dataclass(slots=True)
class QueuedCall:
    """A call that waits in the queue for the rate limits."""

    request: StoreRequest
    priority: Priority
    writes: int
    """Number of write tokens that the call costs."""
    timeout_s: float
    """Timeout of the call, in seconds after it is sent."""
    on_outcome: Callable[[StoreOutcome], None]
    expires_at: float
    """Time after which the call is no longer sent."""
    queued_at: float = 0.0


class DueCalls(NamedTuple):
    """The calls that one pass over the queues removed from them."""

    to_send: list[QueuedCall]
    expired: list[QueuedCall]


@dataclass(slots=True)
class StoreRateLimiter:
    """Queues of calls, one for each priority, with token buckets for requests and for writes.

    The write rate of a controller starts at an equal share of the store's write limit. While writes
    wait, the rate rises, because the other controllers may need less than their shares. After an
    answer with status 429 the rate falls towards the equal share (additive increase, multiplicative
    decrease).
    """

    requests: TokenBucket
    writes: TokenBucket
    guaranteed_write_rate: float = 0.0
    """Writes per second below which the write rate never falls."""
    max_write_rate: float = 0.0
    """Writes per second above which the write rate never rises."""
    recent_write_rate: float = 0.0
    """Moving average of the writes per second that were sent."""
    has_new_calls: bool = False
    """Whether a call was added since the last pass over the queues."""
    dispatched_at: float = 0.0
    """Time of the last pass over the queues."""
    waiting_s: float = 0.0
    """Seconds since the last pass over the queues, or since the queues were last empty."""
    queues: list[deque[QueuedCall]] = field(default_factory=lambda: [deque() for _ in Priority])

    def count_queued(self) -> int:
        """Return the number of queued calls."""
        return sum(len(queue) for queue in self.queues)

    def add(self, call: QueuedCall) -> bool:
        """Queue a call.

        The limit of the queue does not apply to calls for leases, views and users: otherwise
        hundreds of queued steps would cause users' requests to be refused.

        Returns:
            Whether the call was queued; False if the queue is full.
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
        """Remove a call from its queue.

        Returns:
            Whether the call was still queued.
        """
        queue = self.queues[call.priority]
        for index, other in enumerate(queue):
            if other is call:
                del queue[index]
                return True
        return False

    def requeue(self, call: QueuedCall) -> None:
        """Put a call that was not executed back at the head of its queue."""
        self.queues[call.priority].appendleft(call)

    def on_rate_limited(self) -> None:
        """Reduce the write rate after the store refused a write because of its rate limit."""
        self.writes.rate = max(
            self.guaranteed_write_rate, self.writes.rate * constants.WRITE_RATE_DECREASE_FACTOR
        )
        self.writes.level = min(self.writes.level, 0.0)

    def on_peer_write_rate(self, peer_rate: float, planned_rate: float) -> None:
        """Limit the write rate so that all controllers together keep to `planned_rate`.

        Args:
            peer_rate: Writes per second that all peers together send.
            planned_rate: Writes per second planned for all controllers together.
        """
        self.max_write_rate = max(self.guaranteed_write_rate, planned_rate - peer_rate)
        self.writes.rate = min(self.writes.rate, self.max_write_rate)

    def count_queued_up_to(self, priority: Priority) -> int:
        """Return the number of queued calls of this priority and of all higher priorities."""
        return sum(len(queue) for queue in self.queues[: priority + 1])

    def has_spare_writes(self) -> bool:
        """Return whether no call is queued and most of one second's write tokens are left."""
        return (
            not self.count_queued()
            and self.writes.level >= constants.SPARE_WRITES_SHARE * self.writes.rate
        )

    # --- serving the queues -----------------------------------------------
    def take_due(self, now: float) -> DueCalls:
        """Remove and return the calls that may be sent now, and the calls that have expired.

        A call that lacks write tokens blocks the writes behind it, because a large transaction
        would otherwise never be sent. It does not block reads.
        """
        self._advance_time(now)
        if not any(self.queues):
            self.waiting_s = 0.0
            return DueCalls([], [])
        if not self._is_dispatch_due(now):
            return DueCalls([], [])
        waiting_s, self.waiting_s = self.waiting_s, 0.0
        self.has_new_calls, self.dispatched_at = False, now
        due = DueCalls([], [])
        is_write_blocked = False
        for call in self._drain_in_order():
            if call.expires_at <= now:
                due.expired.append(call)
            elif self._is_admitted(call, is_write_blocked):
                self._charge(call)
                due.to_send.append(call)
            else:
                is_write_blocked = is_write_blocked or bool(call.writes)
                self.queues[call.priority].append(call)
        if is_write_blocked:
            self._increase_write_rate(waiting_s)
        return due

    def _advance_time(self, now: float) -> None:
        """Refill the buckets, decay the average write rate and update the waiting time."""
        elapsed_s = max(0.0, now - self.writes.refilled_at)
        self.recent_write_rate *= math.exp(-elapsed_s / constants.WRITE_RATE_TIME_CONSTANT_S)
        self.waiting_s += elapsed_s
        self.requests.refill(now)
        self.writes.refill(now)

    def _is_dispatch_due(self, now: float) -> bool:
        """Return whether the queues should be processed now.

        Without new calls they are processed at most every `CALL_DISPATCH_INTERVAL_S`, because the
        buckets gain hardly any tokens in a shorter time.
        """
        return self.has_new_calls or now >= self.dispatched_at + constants.CALL_DISPATCH_INTERVAL_S

    def _drain_in_order(self) -> list[QueuedCall]:
        """Remove and return all queued calls, in the order in which they are served.

        Calls below `Priority.USER` are sorted by queueing time plus the delay of their priority.
        With strict priorities, a burst of services kept results from being recorded, and tasks that
        had ended long before were preempted again.
        """
        first = [call for queue in self.queues[: Priority.URGENT] for call in queue]
        rest = sorted(
            (call for queue in self.queues[Priority.URGENT :] for call in queue),
            key=lambda call: call.queued_at + PRIORITY_DELAY_S[call.priority],
        )
        for queue in self.queues:
            queue.clear()
        return first + rest

    def _is_admitted(self, call: QueuedCall, is_write_blocked: bool) -> bool:
        """Return whether the buckets admit the call; leases and views are always admitted."""
        if call.priority <= Priority.VIEW:
            return True
        if self.requests.level < 1:
            return False
        if not call.writes:
            return True
        return not is_write_blocked and self.writes.level >= self._required_write_level(call)

    def _required_write_level(self, call: QueuedCall) -> float:
        """Return the level of the write bucket that the call needs.

        Users' writes are not delayed: they may take the tokens of up to one second in advance, and
        the other writes then wait until the bucket is refilled. For any other call, the tokens of
        one second are enough, because the bucket holds no more.
        """
        if call.priority == Priority.USER:
            return -self.writes.rate
        return min(call.writes, self.writes.rate)

    def _charge(self, call: QueuedCall) -> None:
        """Remove the tokens of the call from the buckets."""
        self.requests.level -= 1
        self.writes.level -= call.writes
        self.recent_write_rate += call.writes / constants.WRITE_RATE_TIME_CONSTANT_S

    def _increase_write_rate(self, waiting_s: float) -> None:
        """Increase the write rate additively, up to the limit that the peers' writes leave."""
        if self.writes.rate < self.max_write_rate:
            increased_rate = self.writes.rate + waiting_s * constants.WRITE_RATE_INCREASE_PER_S
            self.writes.rate = min(self.max_write_rate, increased_rate)
