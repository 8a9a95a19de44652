"""Failure detection by heartbeats, built from its collaborators."""

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


def parts() -> tuple[Heartbeats, Runtime]:
    """n0 of three under the leader n1, last served by the store at 100 s, now at 100 s."""
    runtime, replica = Runtime(settings("n0", ["n0", "n1", "n2"]), "x", random.Random(1)), Replica()
    replica.view = View(1, {"n0": "x", "n1": "y", "n2": "z"}, "n1")
    membership = Membership(runtime, replica)
    runtime.now = membership.store_answered_at = 100.0
    status = LocalStatus(0.75, {"n1": 3}, is_service_rate_limited=True)
    client = StoreClient(runtime)
    return Heartbeats(runtime, client, replica, membership, lambda: status), runtime


def test_a_heartbeat_carries_the_figures_of_the_other_parts() -> None:
    heartbeats, runtime = parts()
    runtime.now += 1.5
    heartbeats.tick()
    heartbeats.tick()  # the next one is not due
    sent = [effect for effect in runtime.take_effects() if isinstance(effect, PeerSend)]
    message = ControllerHeartbeat(
        "n0", 1.5, reporting_fraction=0.75, owner_timeouts={"n1": 3}, is_service_rate_limited=True
    )
    assert [effect.message for effect in sent] == [message]


def test_isolated_is_only_who_is_served_later_than_a_reachable_peer() -> None:
    for peers_served_s, isolated in ((0.1, True), (10.0, False)):  # False: an outage for all
        heartbeats, runtime = parts()
        heartbeats.tick()
        runtime.now += 10.0
        heartbeats.on_peer_message(ControllerHeartbeat("n1", peers_served_s))
        heartbeats.tick()
        assert heartbeats.is_isolated() == isolated


def test_the_leader_has_failed_if_it_alone_is_silent_or_not_served() -> None:
    heartbeats, _ = parts()
    assert not heartbeats.has_leader_failed()  # no peer is reachable: the network fails
    heartbeats.on_peer_message(ControllerHeartbeat("n2", 0.1))
    assert heartbeats.has_leader_failed()
    heartbeats.on_peer_message(ControllerHeartbeat("n1", 0.1))
    assert not heartbeats.has_leader_failed()
    heartbeats.on_peer_message(ControllerHeartbeat("n1", constants.STORE_UNREACHABLE_TIMEOUT_S))
    assert heartbeats.has_leader_failed()
