"""This controller's share of the state service's limits, spent by priority."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from appledock import constants as c
from appledock.core.events import StoreReply


class Priority(IntEnum):
    """Order in which waiting calls are served."""

    LEASE = 0
    VIEW = 1
    USER = 2
    URGENT = 3
    """steps of services, and stops that make room"""
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
class Bucket:
    """A token bucket that allows a burst of one second's worth."""

    rate: float
    level: float = 0.0
    at: float = 0.0

    def refill(self, now: float) -> None:
        self.level = min(max(self.rate, 1.0), self.level + (now - self.at) * self.rate)
        self.at = now


@dataclass(slots=True)
class Waiting:
    op: str
    args: tuple[Any, ...]
    priority: Priority
    writes: int
    timeout: float
    done: Callable[[StoreReply], None]
    expires: float
    since: float = 0.0
    """when it began to wait"""


@dataclass(slots=True)
class Budget:
    """Queues of calls, one per priority, and the two buckets they draw from.

    Each controller begins with its equal share of the writes. While writes wait
    it tries for more, since the others may need less; a 429 takes it back
    towards its share (additive increase, multiplicative decrease).
    """

    requests: Bucket
    writes: Bucket
    share: float = 0.0
    """writes/s that are ours whatever the others do"""
    ceiling: float = 0.0
    """writes/s never planned beyond"""
    spent: float = 0.0
    """writes/s sent lately"""
    news: bool = False
    """has a call been added since the queues were last gone through?"""
    last_turn: float = 0.0
    """s; when that was"""
    unused: float = 0.0
    """s; since then, or since nothing waited"""
    queues: list[deque[Waiting]] = field(default_factory=lambda: [deque() for _ in Priority])

    def size(self) -> int:
        return sum(len(queue) for queue in self.queues)

    def add(self, call: Waiting) -> bool:
        """False: the queue is full. Leases, views and users' calls are always taken.

        Guards against users turned away because hundreds of steps wait.
        """
        if call.priority > Priority.USER:
            waiting = sum(len(queue) for queue in self.queues[Priority.URGENT :])
            if waiting >= max(c.CALL_QUEUE_LEAST, c.CALL_QUEUE_S * self.requests.rate):
                return False
        self.queues[call.priority].append(call)
        self.news = True
        return True

    def withdraw(self, call: Waiting) -> bool:
        """Take a call back; False if it no longer waits."""
        queue = self.queues[call.priority]
        for place, other in enumerate(queue):
            if other is call:
                del queue[place]
                return True
        return False

    def limited(self) -> None:
        """The state service refused writes as too many."""
        self.writes.rate = max(self.share, self.writes.rate * c.WRITES_BACK)
        self.writes.level = min(self.writes.level, 0.0)

    def others_spend(self, rate: float, planned: float) -> None:
        """The others say how much they write: together, no more than planned."""
        self.ceiling = max(self.share, planned - rate)
        self.writes.rate = min(self.writes.rate, self.ceiling)

    def waiting(self, priority: Priority) -> int:
        """Calls of this priority or a more urgent one that wait."""
        return sum(len(queue) for queue in self.queues[: priority + 1])

    def spare_writes(self) -> bool:
        """Does nothing wait for the limit, with most of a second's writes left?"""
        return not self.size() and self.writes.level >= c.SPARE_WRITES * self.writes.rate

    def _turn_due(self, now: float) -> bool:
        """Time fills the buckets, but not within a few milliseconds."""
        return self.news or now >= self.last_turn + c.TURN_EVERY_S

    def _in_turn(self) -> list[Waiting]:
        """All that waits, taken from the queues, in the order in which it is served.

        Below users, priorities are a head start in time. Strictly by priority, a
        burst of services kept results from being recorded for 40 s, and tasks that
        had long ended were stopped once more to make room.
        """
        first = [call for queue in self.queues[: Priority.URGENT] for call in queue]
        rest = sorted(
            (call for queue in self.queues[Priority.URGENT :] for call in queue),
            key=lambda call: call.since + HEAD_START_S[call.priority],
        )
        for queue in self.queues:
            queue.clear()
        return first + rest

    def due(self, now: float) -> tuple[list[Waiting], list[Waiting]]:
        """Calls that may go now, and calls that waited too long.

        A call that lacks writes holds back writes of lower priority, but not
        reads: otherwise a large transaction would never get its turn.
        """
        since = max(0.0, now - self.writes.at)
        self.spent *= math.exp(-since / c.SPENT_S)
        self.unused += since
        self.requests.refill(now)
        self.writes.refill(now)
        if not any(self.queues):
            self.unused = 0.0
            return [], []
        if not self._turn_due(now):
            return [], []
        elapsed, self.unused = self.unused, 0.0
        self.news, self.last_turn = False, now
        send: list[Waiting] = []
        expired: list[Waiting] = []
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
            if call.expires <= now:
                expired.append(call)
            elif (self.requests.level >= 1 or urgent) and (
                not call.writes or urgent or (not blocked and self.writes.level >= floor)
            ):
                self.requests.level -= 1
                self.writes.level -= call.writes
                self.spent += call.writes / c.SPENT_S
                send.append(call)
            else:
                blocked = blocked or bool(call.writes)
                self.queues[call.priority].append(call)
        if blocked and self.writes.rate < self.ceiling:
            self.writes.rate = min(self.ceiling, self.writes.rate + elapsed * c.WRITES_MORE)
        return send, expired
