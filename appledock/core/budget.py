"""This controller's share of the state service's limits, spent by priority."""

from __future__ import annotations

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
    FINAL = 3
    STEP = 4
    PROGRESS = 5


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
    writes: int
    timeout: float
    done: Callable[[StoreReply], None]
    expires: float


@dataclass(slots=True)
class Budget:
    """Queues of calls, one per priority, and the two buckets they draw from."""

    requests: Bucket
    writes: Bucket
    queues: list[deque[Waiting]] = field(default_factory=lambda: [deque() for _ in Priority])

    def size(self) -> int:
        return sum(len(queue) for queue in self.queues)

    def add(self, priority: Priority, call: Waiting) -> bool:
        """False: the queue is full. Leases and views are always taken."""
        if priority > Priority.VIEW and self.size() >= c.CALL_QUEUE_MAX:
            return False
        self.queues[priority].append(call)
        return True

    def due(self, now: float) -> tuple[list[Waiting], list[Waiting]]:
        """Calls that may go now, and calls that waited too long.

        A call that lacks writes holds back writes of lower priority, but not
        reads: otherwise a large transaction would never get its turn.
        """
        self.requests.refill(now)
        self.writes.refill(now)
        send: list[Waiting] = []
        expired: list[Waiting] = []
        blocked = False
        for priority, queue in enumerate(self.queues):
            kept: deque[Waiting] = deque()
            while queue:
                call = queue.popleft()
                urgent = priority <= Priority.VIEW
                if call.expires <= now:
                    expired.append(call)
                elif (self.requests.level >= 1 or urgent) and (not call.writes or urgent or (
                        not blocked and self.writes.level >= min(call.writes, self.writes.rate))):
                    self.requests.level -= 1
                    self.writes.level -= call.writes
                    send.append(call)
                else:
                    blocked = blocked or bool(call.writes)
                    kept.append(call)
            self.queues[priority] = kept
        return send, expired
