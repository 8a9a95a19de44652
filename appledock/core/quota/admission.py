"""Admission of a team's queue under its limit: one pure function on resource vectors."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from appledock.core.quota.resources import NO_RESOURCES, Resources, total


class QueuedDemand(NamedTuple):
    """What a queued job still needs."""

    job_id: str
    owner: str
    """the controller that may start its tasks"""
    demand: Resources


@dataclass(frozen=True, slots=True)
class Admission:
    """What one controller may do under a team's limit."""

    admitted: dict[str, Resources]
    """queued job of this controller -> by how much it may grow"""
    releasable: Resources
    """unused allocation of this controller that more urgent jobs of other controllers need"""


def admit_queue(
    limit: Resources,
    allocated: Mapping[str, Resources],
    held: Mapping[str, Resources],
    node: str,
    queue: Iterable[QueuedDemand],
) -> Admission:
    """Decide what the jobs of `node` may take, as if one queue served the whole limit.

    Args:
        limit: what the team's jobs may hold together
        allocated: controller -> the part of the limit that is allocated to it
        held: controller -> what the jobs that it owns hold
        node: the controller that decides
        queue: demand of the team's queued jobs, the most urgent first

    Each job takes from its owner's unused allocation first, then from what is allocated to
    nobody. What a more urgent job of another controller lacks after that is released from the
    unused allocation of `node`, since its owner cannot take it by itself.
    """
    unallocated = limit.excess_over(total(allocated.values()))
    unused = {
        owner: part.excess_over(held.get(owner, NO_RESOURCES)) for owner, part in allocated.items()
    }
    admitted: dict[str, Resources] = {}
    releasable = NO_RESOURCES
    for job_id, owner, demand in queue:
        from_owner = demand.minimum(unused.get(owner, NO_RESOURCES))
        unused[owner] = unused.get(owner, NO_RESOURCES) - from_owner
        from_unallocated = (demand - from_owner).minimum(unallocated)
        unallocated = unallocated - from_unallocated
        if owner == node:
            admitted[job_id] = from_owner + from_unallocated
        else:
            lacking = demand - from_owner - from_unallocated
            released = lacking.minimum(unused.get(node, NO_RESOURCES))
            unused[node] = unused.get(node, NO_RESOURCES) - released
            releasable = releasable + released
    return Admission(admitted, releasable)
