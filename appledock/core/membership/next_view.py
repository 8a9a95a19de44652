"""Computes the view that follows a view: pure functions on values."""

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
    """The view that `node` writes after `old`, with these members (node -> incarnation).

    Its term is one higher. A machine for which `is_machine_deleted` returns true keeps no override;
    `max_bytes` is the largest size of a record that the store accepts.
    """
    detached = next_detached(old, node, members, view_requests)
    leader = next_leader(old, node, members, view_requests)
    if leader in detached and node not in detached:
        leader = node
    overrides = next_overrides(old, members, detached, view_requests, is_machine_deleted)
    view = View((old.term if old else 0) + 1, members, leader, overrides, detached)
    _drop_overrides_beyond(view, max_bytes)
    return view


def next_leader(
    old: View | None, node: str, members: dict[str, str], view_requests: ViewChangeRequests
) -> str:
    """The present leader if it is a member under the same incarnation, or else `node`."""
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
    """Members (node -> incarnation) that shall own nothing.

    None if that would be all of them: then it is the workers that are cut off.
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
    """Worker -> an owner other than the hash gives.

    An override ends with its owner's incarnation, with the owner's detachment, and with the
    machine.
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


def _drop_overrides_beyond(view: View, max_bytes: int) -> None:
    """Drop overrides until the record fits, a tenth of them at a time.

    A worker without its override is redirected once more; a view that the store rejects as too
    large would leave the cluster without one.
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
