"""Failure detection by heartbeats, tested without a whole controller."""

from __future__ import annotations

import random

from appledock import constants
from appledock.core.effects import PeerSend
from appledock.core.membership.heartbeats import Heartbeats, LocalStatus
from appledock.core.membership.membership import Membership
from appledock.core.messages import ControllerHeartbeat
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.replica import Replica, View
from tests.test_requests import settings


def build_heartbeats() -> tuple[Heartbeats, Runtime]:
    """Return the heartbeats of n0, one of three members whose leader is n1.

    It is 100 s, which is also when the store last answered n0.
    """
    runtime, replica = Runtime(settings("n0", ["n0", "n1", "n2"]), "x", random.Random(1)), Replica()
    replica.view = View(1, {"n0": "x", "n1": "y", "n2": "z"}, "n1")
    membership = Membership(runtime, replica)
    runtime.now = membership.store_answered_at = 100.0
    status = LocalStatus(0.75, {"n1": 3}, is_service_rate_limited=True)
    client = StoreClient(runtime)
    return Heartbeats(runtime, client, replica, membership, lambda: status), runtime


def test_a_heartbeat_carries_the_status_of_the_other_parts() -> None:
    heartbeats, runtime = build_heartbeats()
    runtime.now += 1.5
    heartbeats.tick()
    heartbeats.tick()  # the next one is not due
    sent = [effect for effect in runtime.take_effects() if isinstance(effect, PeerSend)]
    message = ControllerHeartbeat(
        "n0", 1.5, reporting_fraction=0.75, owner_timeouts={"n1": 3}, is_service_rate_limited=True
    )
    assert [effect.message for effect in sent] == [message]


def test_a_controller_is_isolated_only_if_the_store_still_serves_a_reachable_peer() -> None:
    for peer_answer_age_s, isolated in ((0.1, True), (10.0, False)):  # False: an outage for all
        heartbeats, runtime = build_heartbeats()
        heartbeats.tick()
        runtime.now += 10.0
        heartbeats.on_peer_message(ControllerHeartbeat("n1", peer_answer_age_s))
        heartbeats.tick()
        assert heartbeats.is_isolated() == isolated


def test_the_leader_has_failed_if_it_alone_is_unreachable_or_not_served_by_the_store() -> None:
    heartbeats, _ = build_heartbeats()
    assert not heartbeats.has_leader_failed()  # no peer is reachable: the network has failed
    heartbeats.on_peer_message(ControllerHeartbeat("n2", 0.1))
    assert heartbeats.has_leader_failed()
    heartbeats.on_peer_message(ControllerHeartbeat("n1", 0.1))
    assert not heartbeats.has_leader_failed()
    heartbeats.on_peer_message(ControllerHeartbeat("n1", constants.STORE_UNREACHABLE_TIMEOUT_S))
    assert heartbeats.has_leader_failed()
