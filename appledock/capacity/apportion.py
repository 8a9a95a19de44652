"""Apportionment of whole machines by fractions: largest remainder, at least one machine each."""

from __future__ import annotations

import math


def apportion(machines: int, fractions: dict[str, float]) -> dict[str, int]:
    """Partition -> number of machines; all machines are given out.

    A partition with a fraction above zero gets at least one machine if there are enough; with
    fewer machines than partitions, the largest fractions come first.
    """
    counts = dict.fromkeys(fractions, 0)
    entitled = sorted(
        (name for name in fractions if fractions[name] > 0),
        key=lambda name: (-fractions[name], name),
    )
    if not entitled or machines <= 0:
        return counts
    if machines <= len(entitled):
        for name in entitled[:machines]:
            counts[name] = 1
        return counts
    total = math.fsum(fractions[name] for name in entitled)
    exact = {name: machines * fractions[name] / total for name in entitled}
    for name in entitled:
        counts[name] = max(1, math.floor(exact[name] + 1e-9))
    while (left := machines - sum(counts.values())) != 0:
        step = 1 if left > 0 else -1
        # The partition furthest below (or above) its exact number; never down to none.
        name = max(
            (name for name in entitled if step > 0 or counts[name] > 1),
            key=lambda name: (step * (exact[name] - counts[name]), -entitled.index(name)),
        )
        counts[name] += step
    return counts
