"""Apportionment of whole machines to partitions by fractions.

This is the largest remainder method, with at least one machine for each partition.
"""

from __future__ import annotations

import math


def apportion(machines: int, fractions: dict[str, float]) -> dict[str, int]:
    """Return the number of machines for each partition.

    All machines are distributed, unless no fraction is above zero. A partition with a fraction
    above zero gets at least one machine if there are enough. With fewer machines than such
    partitions, those with the largest fractions get one machine each.
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
    while (remaining := machines - sum(counts.values())) != 0:
        step = 1 if remaining > 0 else -1
        # Adjust the partition furthest below (or above) its exact number, but leave it at least
        # one machine.
        name = max(
            (name for name in entitled if step > 0 or counts[name] > 1),
            key=lambda name: (step * (exact[name] - counts[name]), -entitled.index(name)),
        )
        counts[name] += step
    return counts
