"""Simulated time and a network with delays, cuts and held messages."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass


@dataclass
class Cut:
    """Messages between the two groups are held (delivered at the end) or dropped;
    if `one_way`, only those from left to right."""

    left: set[str]
    right: set[str]
    until: float
    hold: bool
    one_way: bool = False

    def parts(self, a: str, b: str) -> bool:
        return (a in self.left and b in self.right) or (
            not self.one_way and b in self.left and a in self.right)


class Clock:
    """Runs events in the order of their time."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.cuts: list[Cut] = []

    def at(self, time: float, action: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (max(time, self.now), self.count, action))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = until

    def cut(self, left: set[str], right: set[str], seconds: float, hold: bool,
            one_way: bool = False) -> None:
        self.cuts.append(Cut(left, right, self.now + seconds, hold, one_way))

    def parted(self, a: str, b: str) -> Cut | None:
        self.cuts = [cut for cut in self.cuts if cut.until > self.now]
        found = [cut for cut in self.cuts if cut.parts(a, b)]
        return max(found, key=lambda cut: cut.until) if found else None

    def send(self, a: str, b: str, action: Callable[[], None]) -> None:
        """A message on an open connection; held ones arrive late, in order."""
        cut = self.parted(a, b)
        delay = 0.0005 + self.rng.random() * 0.002
        if self.rng.random() < 0.005:
            delay += 0.2
        if cut is None:
            self.after(delay, action)
        elif cut.hold:
            self.at(cut.until + self.count * 1e-9, action)
