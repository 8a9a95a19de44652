"""Computation of the next view from the current one: pure functions on values."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appledock import wire
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.records.membership_view import ControllerInstance, View

log = logging.getLogger(__name__)


def next_view(
    old: View | None,
    node: str,
    members: dict[str, str],
    view_requests: ViewChangeRequests,
    is_machine_deleted: Callable[[str], bool],
    max_bytes: int,
) -> View:
    """Return the view that `node` writes after `old`, with these members (node -> incarnation).

    Its term is one higher. A machine for which `is_machine_deleted` returns true keeps no override;
    `max_bytes` is the largest size of a record that the store accepts.
    """
    detached = next_detached(old, node, members, view_requests)
    leader = next_leader(old, node, members, view_requests)
    if leader in detached and node not in detached:
        leader = node
    overrides = next_overrides(old, members, detached, view_requests, is_machine_deleted)
    view = View((old.term if old else 0) + 1, members, leader, overrides, detached)
    _limit_overrides(view, max_bytes)
    return view


def next_leader(
    old: View | None, node: str, members: dict[str, str], view_requests: ViewChangeRequests
) -> str:
    """Return the next leader: the current one if its incarnation is still a member, or `node`.

    A request for the leadership makes `node` the leader in any case.
    """
    if (
        old is None
        or old.leader not in members
        or members[old.leader] != old.members.get(old.leader)
        or view_requests.take_leadership
    ):
        return node
    return old.leader


def next_detached(
    old: View | None, node: str, members: dict[str, str], view_requests: ViewChangeRequests
) -> dict[str, str]:
    """Return the members (node -> incarnation) that own nothing.

    The result is empty if it would contain all members: then the workers are cut off, and not
    the members.
    """
    before = old.detached if old else {}
    detached = {
        member: incarnation
        for member, incarnation in before.items()
        if members.get(member) == incarnation
    }
    detached.update(
        (member, members[member])
        for member in sorted(view_requests.members_to_detach)
        if member in members
    )
    if view_requests.attach_self:
        detached.pop(node, None)
    return {} if len(detached) == len(members) else detached


def next_overrides(
    old: View | None,
    members: dict[str, str],
    detached: dict[str, str],
    view_requests: ViewChangeRequests,
    is_machine_deleted: Callable[[str], bool],
) -> dict[str, ControllerInstance]:
    """Return the overrides: worker -> its owner in place of the one derived by hashing.

    An override is removed when its owner leaves, restarts or is detached, or when the machine
    is deleted.
    """
    overrides = {
        worker: owner
        for worker, owner in (old.overrides if old else {}).items()
        if members.get(owner.node) == owner.incarnation
        and owner.node not in detached
        and not is_machine_deleted(worker)
    }
    for worker, owner_node in view_requests.overrides.items():
        if owner_node in members:
            overrides[worker] = ControllerInstance(owner_node, members[owner_node])
    return overrides


def _limit_overrides(view: View, max_bytes: int) -> None:
    """Drop overrides, a tenth of them at a time, until the record fits into `max_bytes`.

    A worker that loses its override is redirected again. The store would reject a larger view,
    and the cluster would be left without a new view.
    """
    requested = len(view.overrides)
    while view.overrides and len(wire.encode(view.encode())) > max_bytes:
        kept = len(view.overrides) * 9 // 10
        view.overrides = dict(sorted(view.overrides.items())[:kept])
    if len(view.overrides) < requested:
        log.warning(
            "overrides dropped from the view: dropped=%d kept=%d limit_bytes=%d",
            requested - len(view.overrides),
            len(view.overrides),
            max_bytes,
        )
