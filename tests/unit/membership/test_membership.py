"""Lease and authority of one controller, tested without store and peers."""

from __future__ import annotations

import random

import pytest

from appledock import constants
from appledock.core.membership.membership import Membership, MembershipState
from appledock.core.runtime import Runtime
from appledock.core.store.keys import MEMBERS_PREFIX, VIEW_KEY
from appledock.core.store.replica import Replica
from tests.test_requests import settings

GRANT_SENT_AT, VIEW_SENT_AT = 100.0, 103.0


def joined() -> tuple[Membership, Runtime, Replica]:
    """Return the membership of n0, which has joined a cluster of three nodes.

    Its lease was requested at 100 s, its view was written at 103 s, and it is 105 s.
    """
    runtime, replica = Runtime(settings("n0", ["n0", "n1", "n2"]), "x", random.Random(1)), Replica()
    membership = Membership(runtime, replica)
    runtime.now = 105.0
    membership.begin_joining()
    membership.on_lease_granted(7, GRANT_SENT_AT)
    put_view(replica, membership, version=5)
    membership.on_joined()
    membership.on_view_confirmed(VIEW_SENT_AT)
    return membership, runtime, replica


def put_view(replica: Replica, membership: Membership, version: int, **changes: object) -> None:
    member = {"incarnation": membership.incarnation, "lease": 7}
    replica.put(MEMBERS_PREFIX + "n0", member, version)
    view = {"term": version, "members": {"n0": membership.incarnation}, "leader": "n0", **changes}
    replica.put(VIEW_KEY, view, version)
    replica.advance(version)


def test_authority_ends_one_lease_less_drift_and_margin_after_the_request_was_sent() -> None:
    membership, runtime, _ = joined()
    duration_s = membership.authority_duration_s
    assert duration_s == pytest.approx(
        runtime.lease_ttl_s * (1 - constants.CLOCK_DRIFT) - constants.AUTHORITY_MARGIN_S
    )
    runtime.now = GRANT_SENT_AT + duration_s - 0.001
    assert membership.has_authority() and membership.can_act() and membership.is_leader()
    runtime.now = GRANT_SENT_AT + duration_s
    assert not membership.has_authority() and not membership.can_act()
    assert membership.can_act_since == runtime.now


def test_a_renewed_lease_without_a_confirmed_view_does_not_extend_authority() -> None:
    membership, runtime, _ = joined()
    membership.on_lease_renewed(120.0)
    runtime.now = VIEW_SENT_AT + membership.authority_duration_s
    assert not membership.has_authority()
    membership.on_view_confirmed(110.0)
    assert membership.has_authority()
    membership.on_view_confirmed(104.0)  # a read that was sent earlier and answered later
    assert membership.view_confirmed_at == 110.0


def test_a_view_without_this_incarnation_ends_authority_at_once() -> None:
    membership, _, replica = joined()
    put_view(replica, membership, version=6, members={"n0": "x.2", "n1": "y.1"})
    assert membership.is_joined() and not membership.is_member()
    assert not membership.has_authority()


def test_a_lost_lease_ends_authority_and_the_next_join_uses_a_new_incarnation() -> None:
    membership, _, _ = joined()
    before = membership.incarnation
    membership.on_membership_lost("lease expired")
    assert membership.state is MembershipState.NOT_JOINED and membership.lease is None
    assert not membership.has_authority()
    membership.begin_joining()
    assert membership.incarnation != before


def test_scheduling_writes_are_conditional_on_view_and_own_member_key() -> None:
    membership, _, replica = joined()
    assert membership.fencing_conditions() == {VIEW_KEY: 5, MEMBERS_PREFIX + "n0": 5}
    put_view(replica, membership, version=8)
    assert membership.fencing_conditions() == {VIEW_KEY: 8, MEMBERS_PREFIX + "n0": 8}
