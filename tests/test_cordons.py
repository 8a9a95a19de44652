"""Cordons of idle machines when their end is not heard, or nobody is left to end them."""

from __future__ import annotations

import json
from typing import Any

import msgspec

from appledock import constants as c
from appledock import wire
from appledock.core.commands import HeartbeatReceived, PeerMessageReceived, Tick
from appledock.core.controller import Controller
from appledock.core.effects import Effect, PeerSend
from appledock.core.fleet import PendingDeletion, ScaleInReason
from appledock.core.store.keys import CATALOGUE_KEY
from appledock.core.store_calls import Transaction
from tests.test_launches import NOW, leading, report

IDLE = {"kind": "cordon", "worker": "vm-1", "why": "idle"}


def live_on(e: Controller, seconds: float) -> list[Effect]:
    """The machine goes on reporting, the controller keeps its authority."""
    effects: list[Effect] = []
    for step in range(int(seconds)):
        e.membership.lease_renewed_at = e.membership.view_confirmed_at = NOW + step
        seq = e.workers.table["vm-1"].status.newest_number.seq + 1
        effects += e.handle([HeartbeatReceived(seq, report(seq)), Tick()], NOW + step, 0.0)
    return effects


def said(e: Controller) -> list[Any]:
    """What the peers are told now, as it comes to them."""
    effects = e.handle([], NOW, 0.0)
    return [json.loads(wire.encode(x.message)) for x in effects if isinstance(x, PeerSend)]


def follower() -> Controller:
    e = leading()
    e.handle([HeartbeatReceived(1, report(1))], NOW, 0.0)
    view = e.replica.view
    assert view is not None
    view.leader = "n1"
    return e


def test_the_cordon_of_an_idle_machine_ends_by_itself() -> None:
    """The leader ended within the second of a cordon, or a link lost the word that ended
    it: with a service on it, the rest of the machine's room was lost for ever."""
    e = follower()
    e.handle([PeerMessageReceived(IDLE)], NOW, 0.0)
    live_on(e, c.CORDON_TTL_S)
    assert not e.eligibility.is_eligible(e.workers.table["vm-1"])
    live_on(e, c.CORDON_TTL_S + 3)
    assert e.eligibility.is_eligible(e.workers.table["vm-1"])


def test_a_former_leader_keeps_no_cordon() -> None:
    e = follower()
    e.fleet.deletions.cordon("vm-1", ScaleInReason.IDLE)
    live_on(e, c.CORDON_TTL_S + 3)
    assert e.eligibility.is_eligible(e.workers.table["vm-1"])


def test_what_operators_cordon_stays() -> None:
    e = follower()
    e.fleet.apply_operator_action("vm-1", "cordon")
    live_on(e, c.CORDON_TTL_S + 3)
    assert e.workers.table["vm-1"].placement.cordon_reason == "operator"


def test_while_the_cloud_is_in_trouble_the_leader_repeats_its_cordons() -> None:
    e = leading()
    e.handle([HeartbeatReceived(1, report(1))], NOW, 0.0)
    e.fleet.deletions.pending["vm-1"] = PendingDeletion(NOW - 10, ScaleInReason.IDLE)
    e.fleet.deletions.delete(["vm-1"])
    assert IDLE in said(e)
    e.fleet.deletions.delete(["vm-1"])
    assert IDLE not in said(e)


def test_the_catalogue_is_written_when_more_than_prices_has_changed() -> None:
    """Compared by names that no stored record has, it was written at every reading."""
    e = leading()
    catalogue = e.fleet.catalogue
    kind = wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"])

    def written(types: list[wire.MachineType]) -> bool:
        catalogue._on_types(wire.MachineTypes(types))
        plans = [
            call.request
            for queue in e.client.limiter.queues
            for call in queue
            if isinstance(call.request, Transaction)
        ]
        puts = [put for plan in plans for put in plan.writes if put.key == CATALOGUE_KEY]
        for queue in e.client.limiter.queues:
            queue.clear()
        if puts:
            version = e.replica.catalogue.version + 1
            e.replica.put(CATALOGUE_KEY, json.loads(wire.encode(puts[0].value)), version)
        return bool(puts)

    assert written([kind])
    assert not written([msgspec.structs.replace(kind, price=0.3, spot_price=0.05)])
    assert written([msgspec.structs.replace(kind, zones=["a"])])
    assert not written([msgspec.structs.replace(kind, zones=["a"])])
