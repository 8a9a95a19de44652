"""Whole machines by shares: largest remainder, and one machine for everybody who has a share."""

from __future__ import annotations

import math


def apportion(machines: int, shares: dict[str, float]) -> dict[str, int]:
    """How many of so many machines each partition gets; all of them are given out.

    Whoever has a share gets at least one machine if there are enough; with fewer machines than
    partitions, the largest shares come first.
    """
    counts = dict.fromkeys(shares, 0)
    entitled = sorted((name for name in shares if shares[name] > 0), key=lambda n: (-shares[n], n))
    if not entitled or machines <= 0:
        return counts
    if machines <= len(entitled):
        for name in entitled[:machines]:
            counts[name] = 1
        return counts
    total = math.fsum(shares[name] for name in entitled)
    exact = {name: machines * shares[name] / total for name in entitled}
    for name in entitled:
        counts[name] = max(1, math.floor(exact[name] + 1e-9))
    while (left := machines - sum(counts.values())) != 0:
        step = 1 if left > 0 else -1
        # Who is furthest below (or above) the exact number; never to nothing.
        name = max(
            (n for n in entitled if step > 0 or counts[n] > 1),
            key=lambda n: (step * (exact[n] - counts[n]), -entitled.index(n)),
        )
        counts[name] += step
    return counts
