"""Admission of a team's queued jobs under its limit, as a pure function of resource vectors."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
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
    """jobs of other controllers that could make a step with what this controller leaves to them,
    in the order of the queue"""
    deferred: Mapping[str, int] = field(default_factory=dict)
    """job of this controller that could make a step if the first so many jobs of `preceding` took
    nothing -> their number"""


def no_known_step(_job_id: str) -> Resources:
    """Return no resources as the next step of a job: deferrals are not told."""
    return NO_RESOURCES


def admit_queue(
    limit: Resources,
    allocated: Mapping[str, Resources],
    held: Mapping[str, Resources],
    node: str,
    queue: Iterable[QueuedDemand],
    next_step: Callable[[str], Resources] = no_known_step,
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
        next_step: returns the least that the next step of a job takes: one task, or a whole gang
    """
    unallocated = limit.excess_over(total(allocated.values()))
    unused = {
        owner: part.excess_over(held.get(owner, NO_RESOURCES)) for owner, part in allocated.items()
    }
    admitted: dict[str, Resources] = {}
    releasable = NO_RESOURCES
    deferrals = _Deferrals(next_step)
    for job_id, owner, demand in queue:
        from_owner = demand.minimum(unused.get(owner, NO_RESOURCES))
        unused[owner] = unused.get(owner, NO_RESOURCES) - from_owner
        from_unallocated = (demand - from_owner).minimum(unallocated)
        unallocated = unallocated - from_unallocated
        granted = from_owner + from_unallocated
        if owner == node:
            admitted[job_id] = granted
            deferrals.add_own(job_id, granted)
        else:
            released = (demand - granted).minimum(unused.get(node, NO_RESOURCES))
            unused[node] = unused.get(node, NO_RESOURCES) - released
            releasable = releasable + released
            deferrals.add_other(job_id, from_owner, from_unallocated + released)
    return Admission(admitted, releasable, tuple(deferrals.preceding), deferrals.deferred)


class _Deferrals:
    """Finds the jobs of a controller that others keep from a step, along the walk of the queue."""

    def __init__(self, next_step: Callable[[str], Resources]) -> None:
        self._next_step = next_step
        self._left = NO_RESOURCES
        """what the jobs in `preceding` may take although this controller could"""
        self.preceding: list[str] = []
        self.deferred: dict[str, int] = {}

    def add_other(self, job_id: str, from_owner: Resources, left: Resources) -> None:
        """Note a job of another controller, for which `left` is left by this one.

        A job for which that is too little for a step does not count: it cannot take it yet, such
        as a gang for which the limit is being collected.
        """
        if left.is_positive() and self._next_step(job_id).fits_in(from_owner + left):
            self._left = self._left + left
            self.preceding.append(job_id)

    def add_own(self, job_id: str, granted: Resources) -> None:
        """Note a job of this controller if it lacks only what the jobs before it may take."""
        if not self.preceding:
            return
        next_step = self._next_step(job_id)
        if not next_step.fits_in(granted) and next_step.fits_in(granted + self._left):
            self.deferred[job_id] = len(self.preceding)
