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
            not self.one_way and b in self.left and a in self.right
        )


class Clock:
    """Runs events in the order of their time."""

    def __init__(self, seed: int) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.heap: list[tuple[float, int, Callable[[], object]]] = []
        self.count = 0
        self.cuts: list[Cut] = []
        self.slow: list[tuple[set[str], float, float]] = []
        """hosts with slow links, until when, and s of delay at most"""
        self.links: dict[tuple[str, str], float] = {}
        """when the last message of a link arrives: they stay in order"""

    def at(self, time: float, action: Callable[[], object]) -> None:
        self.count += 1
        heapq.heappush(self.heap, (max(time, self.now), self.count, action))

    def after(self, delay: float, action: Callable[[], object]) -> None:
        self.at(self.now + delay, action)

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self.heap)
            action()
        self.now = until

    def cut(
        self, left: set[str], right: set[str], seconds: float, hold: bool, one_way: bool = False
    ) -> Cut:
        cut = Cut(left, right, self.now + seconds, hold, one_way)
        self.cuts.append(cut)
        return cut

    def slow_links(self, hosts: set[str], seconds: float, delay: float) -> None:
        self.slow.append((hosts, self.now + seconds, delay))

    def parted(self, a: str, b: str) -> Cut | None:
        self.cuts = [cut for cut in self.cuts if cut.until > self.now]
        found = [cut for cut in self.cuts if cut.parts(a, b)]
        return max(found, key=lambda cut: cut.until) if found else None

    def send(self, a: str, b: str, action: Callable[[], object], link: bool = False) -> None:
        """A message on an open connection; held ones arrive late, in order. `link`: on
        the one connection that the two keep open."""
        cut = self.parted(a, b)
        delay = 0.0005 + self.rng.random() * 0.002
        if self.rng.random() < 0.005:
            delay += 0.2
        for hosts, until, most in self.slow:
            if self.now < until and (a in hosts or b in hosts):
                delay += self.rng.random() * most
        if cut is not None and not cut.hold:
            return
        arrives = self.now + delay if cut is None else cut.until + self.count * 1e-9
        if link:
            arrives = self.links[a, b] = max(arrives, self.links.get((a, b), 0.0) + 1e-9)
        self.at(arrives, action)
