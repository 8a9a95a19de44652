"""Admission of a team's queued jobs under its limit, as a pure function of resource vectors."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from appledock.core.quota.resources import NO_RESOURCES, Resources, total


class QueuedDemand(NamedTuple):
    """Resources that a queued job still needs."""

    job_id: str
    owner: str
    """the controller that may start its tasks"""
    demand: Resources


@dataclass(frozen=True, slots=True)
class Admission:
    """What one controller may do under a team's limit."""

    admitted: dict[str, Resources]
    """queued job of this controller -> resources that it may take in addition"""
    releasable: Resources
    """unused part of this controller's allocation that more urgent jobs of others need"""
    preceding: tuple[str, ...] = ()
    """jobs of other controllers for which this controller leaves a part of the limit, in order"""
    deferred: Mapping[str, int] = field(default_factory=dict)
    """job of this controller that could make a step if the first so many jobs of `preceding` took
    nothing -> their number"""


def admit_queue(
    limit: Resources,
    allocated: Mapping[str, Resources],
    held: Mapping[str, Resources],
    node: str,
    queue: Iterable[QueuedDemand],
    next_steps: Mapping[str, Resources] | None = None,
) -> Admission:
    """Decide what the jobs of `node` may take, as if a single queue shared the whole limit.

    Each job takes from its owner's unused allocation first, then from the part of the limit that
    is not allocated. What a more urgent job of another controller still lacks after that is
    released from the unused allocation of `node`, since the job's owner cannot take it itself.

    Args:
        limit: what the team's jobs may hold together
        allocated: controller -> the part of the limit that is allocated to it
        held: controller -> what the jobs that it owns hold
        node: the controller that decides
        queue: demand of the team's queued jobs, the most urgent first
        next_steps: queued job of `node` -> the least that its next step takes: one task, or all
            tasks of a gang. `Admission.deferred` contains only jobs that are named here.
    """
    unallocated = limit.excess_over(total(allocated.values()))
    unused = {
        owner: part.excess_over(held.get(owner, NO_RESOURCES)) for owner, part in allocated.items()
    }
    admitted: dict[str, Resources] = {}
    releasable = left_to_others = NO_RESOURCES
    preceding: list[str] = []
    deferred: dict[str, int] = {}
    for job_id, owner, demand in queue:
        from_owner = demand.minimum(unused.get(owner, NO_RESOURCES))
        unused[owner] = unused.get(owner, NO_RESOURCES) - from_owner
        from_unallocated = (demand - from_owner).minimum(unallocated)
        unallocated = unallocated - from_unallocated
        granted = from_owner + from_unallocated
        if owner == node:
            admitted[job_id] = granted
            next_step = (next_steps or {}).get(job_id, NO_RESOURCES)
            if not next_step.fits_in(granted) and next_step.fits_in(granted + left_to_others):
                deferred[job_id] = len(preceding)
            continue
        released = (demand - granted).minimum(unused.get(node, NO_RESOURCES))
        unused[node] = unused.get(node, NO_RESOURCES) - released
        releasable = releasable + released
        if (from_unallocated + released).is_positive():
            left_to_others = left_to_others + from_unallocated + released
            preceding.append(job_id)
    return Admission(admitted, releasable, tuple(preceding), deferred)
