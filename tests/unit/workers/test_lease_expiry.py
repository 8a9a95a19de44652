"""Lease expiry, tested without a whole controller."""

from __future__ import annotations

from appledock import constants
from appledock.core.effects import PeerSend
from appledock.core.messages import AgentEpochExpired
from appledock.core.records.membership_view import View
from appledock.core.workers.lease_expiry import LeaseExpiry
from tests.unit.workers.fixture import MACHINE, TERM, WorkersFixture, heartbeat


def lease_expiry(fixture: WorkersFixture) -> LeaseExpiry:
    return LeaseExpiry(
        fixture.runtime,
        fixture.replica,
        fixture.membership,
        fixture.table,
        fixture.dissemination,
        fixture.observers,
    )


def test_an_epoch_expires_one_lease_after_the_last_possible_answer_and_not_before() -> None:
    fixture = WorkersFixture()
    fixture.open_attempt()
    fixture.intake.ingest(heartbeat(1))
    worker, expiry = fixture.table.rows[MACHINE], lease_expiry(fixture)
    worker.lease.renewable_until = 110.0  # later than the last heartbeat
    lease_s = fixture.runtime.settings.cluster.workers.lease_s
    ends_at = 110.0 + lease_s * (1 + constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S
    fixture.membership.view_confirmed_at = ends_at
    fixture.runtime.now = ends_at - 0.01
    expiry.expire_if_proven(worker, expiry.lease_bound_s())
    assert worker.lease.expired_epoch == 0 and fixture.runtime.take_effects() == []
    fixture.runtime.now = ends_at
    expiry.expire_if_proven(worker, expiry.lease_bound_s())
    assert worker.lease.expired_epoch == 1
    assert fixture.runtime.take_effects() == [PeerSend(AgentEpochExpired(MACHINE, 1), None)]


def test_no_epoch_expires_before_the_view_is_confirmed_up_to_the_end_of_the_lease() -> None:
    fixture = WorkersFixture()
    fixture.open_attempt()
    fixture.intake.ingest(heartbeat(1))
    worker = fixture.table.rows[MACHINE]
    fixture.runtime.now = 1000.0
    expiry = lease_expiry(fixture)
    expiry.expire_if_proven(worker, expiry.lease_bound_s())  # the view was last confirmed at 100 s
    assert worker.lease.expired_epoch == 0 and fixture.view_confirmations == 1


def test_a_former_owner_that_is_still_a_member_may_answer_for_one_more_lease() -> None:
    fixture = WorkersFixture()
    fixture.intake.ingest(heartbeat(1))
    worker = fixture.table.rows[MACHINE]
    worker.lease.renewable_until = 0.0
    old = View(TERM, {"n1": "y"}, "n1")
    fixture.replica.view = View(TERM + 1, {"n0": "x"}, "n0")  # the former owner has left
    lease_expiry(fixture).on_view(old)
    assert worker.lease.renewable_until == fixture.runtime.now
    fixture.replica.view = View(TERM + 1, {"n0": "x", "n1": "y"}, "n0")
    lease_expiry(fixture).on_view(old)
    assert worker.lease.renewable_until == fixture.runtime.now + fixture.runtime.lease_ttl_s
