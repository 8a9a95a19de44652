"""Changes of a team's record that a step needs: outcomes of planning, and pure steps of it."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from appledock import constants
from appledock.core.quota.resources import NO_RESOURCES, Resources, total
from appledock.core.records.team_allocation import TeamAllocation


@dataclass(frozen=True, slots=True)
class NoRecordChange:
    """The step keeps to this controller's allocation: the team's record stays as it is."""


@dataclass(frozen=True, slots=True)
class RecordChange:
    """The step needs a change of the team's record, conditional on the record's version."""

    record: TeamAllocation


@dataclass(frozen=True, slots=True)
class StepNotPossible:
    """The step cannot be made now: the limit, or a write or read of the record, is in the way."""


RecordPlan = NoRecordChange | RecordChange | StepNotPossible


def move_reservation(
    allocated: Mapping[str, Resources],
    node: str,
    new_owner: str,
    reserved: Resources,
    held_by_others: Resources,
) -> dict[str, Resources]:
    """Move a job's reservation from the allocation of `node` to its new owner's.

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
        needed: what its jobs hold after the step
        waiting: what they hold once all its queued jobs that the limit admits have started. For
            all of these at once: raised for one step after the other, an allocation takes a
            write each, and the controllers' writes of the record conflict.
        limit: what the team's jobs may hold together; the caller checks that the result fits
        controllers: how many there are
    """
    changed = dict(allocated)
    changed[node] = changed.get(node, NO_RESOURCES).maximum(needed)
    missing = waiting.excess_over(changed[node])
    spare = _unallocated(changed, limit).scaled_by(constants.ALLOCATION_HEADROOM_SHARE)
    changed[node] = changed[node] + missing.minimum(spare)
    _add_slack(changed, [node], limit, controllers)
    return changed


def allocate_for_new_view(
    held: Mapping[str, Resources],
    node: str,
    needed: Resources,
    limit: Resources,
    members: Collection[str],
) -> dict[str, Resources]:
    """Allocate a limit under a new view, from what the jobs of each controller hold.

    Every member gets some more than that, or each one would write each team's record before its
    first step.
    """
    changed = dict(held)
    changed[node] = changed.get(node, NO_RESOURCES).maximum(needed)
    _add_slack(changed, sorted(members), limit, len(members))
    return changed


def _unallocated(allocated: Mapping[str, Resources], limit: Resources) -> Resources:
    return limit.excess_over(total(allocated.values()))


def _add_slack(
    allocated: dict[str, Resources], receivers: list[str], limit: Resources, controllers: int
) -> None:
    """Allocate a part of what is left, so that the receivers' next steps need no write."""
    factor = constants.ALLOCATION_HEADROOM_SHARE / max(1, controllers)
    part = _unallocated(allocated, limit).scaled_by(factor)
    for receiver in receivers:
        allocated[receiver] = allocated.get(receiver, NO_RESOURCES) + part
