"""Changes of a team's record that a step needs: results of planning, and pure functions for it."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from appledock import constants
from appledock.core.quota.resources import NO_RESOURCES, Resources, total
from appledock.core.records.team_allocation import TeamAllocation


@dataclass(frozen=True, slots=True)
class NoRecordChange:
    """The step is within this controller's allocation, so the team's record does not change."""


@dataclass(frozen=True, slots=True)
class RecordChange:
    """The step needs a change of the team's record, conditional on the record's version."""

    record: TeamAllocation


@dataclass(frozen=True, slots=True)
class StepNotPossible:
    """The step cannot be made now.

    The limit is reached, a write of the team's record is in flight, or the record was read ahead
    of the watch.
    """


RecordPlan = NoRecordChange | RecordChange | StepNotPossible


def move_reservation(
    allocated: Mapping[str, Resources],
    node: str,
    new_owner: str,
    reserved: Resources,
    held_by_others: Resources,
) -> dict[str, Resources]:
    """Move a job's reservation from the allocation of `node` to that of its new owner.

    `node` keeps at least what its other jobs of the team hold.
    """
    changed = dict(allocated)
    own = changed.get(node, NO_RESOURCES)
    left = own - reserved if reserved.fits_in(own) else NO_RESOURCES
    changed[node] = held_by_others.maximum(left)
    changed[new_owner] = changed.get(new_owner, NO_RESOURCES) + reserved
    return changed


def raise_allocation(
    allocated: Mapping[str, Resources],
    node: str,
    needed: Resources,
    waiting: Resources,
    limit: Resources,
    controllers: int,
) -> dict[str, Resources]:
    """Raise the allocation of `node` under the view for which the record was written.

    Args:
        allocated: controller -> what is allocated to it
        node: the controller that makes a step
        needed: what the jobs of `node` hold after the step
        waiting: what they hold once all its queued jobs that the limit admits have started. The
            allocation is raised for all of these at once: raising it step by step would take a
            write for each step, and the controllers' writes of the record would conflict.
        limit: what the team's jobs may hold together; the caller checks that the result fits
        controllers: number of controllers
    """
    changed = dict(allocated)
    changed[node] = changed.get(node, NO_RESOURCES).maximum(needed)
    missing = waiting.excess_over(changed[node])
    spare = _unallocated(changed, limit).scaled_by(constants.ALLOCATION_HEADROOM_SHARE)
    changed[node] = changed[node] + missing.minimum(spare)
    _add_headroom(changed, [node], limit, controllers)
    return changed


def allocate_for_new_view(
    held: Mapping[str, Resources],
    node: str,
    needed: Resources,
    limit: Resources,
    members: Collection[str],
) -> dict[str, Resources]:
    """Allocate a limit under a new view, based on what the jobs of each controller hold.

    Every member gets some headroom beyond that. Without it, each member would have to write each
    team's record before its first step.
    """
    changed = dict(held)
    changed[node] = changed.get(node, NO_RESOURCES).maximum(needed)
    _add_headroom(changed, sorted(members), limit, len(members))
    return changed


def _unallocated(allocated: Mapping[str, Resources], limit: Resources) -> Resources:
    """Return the part of the limit that is allocated to no controller."""
    return limit.excess_over(total(allocated.values()))


def _add_headroom(
    allocated: dict[str, Resources], receivers: list[str], limit: Resources, controllers: int
) -> None:
    """Add a part of the unallocated rest, so that the receivers' next steps need no write."""
    factor = constants.ALLOCATION_HEADROOM_SHARE / max(1, controllers)
    part = _unallocated(allocated, limit).scaled_by(factor)
    for receiver in receivers:
        allocated[receiver] = allocated.get(receiver, NO_RESOURCES) + part
