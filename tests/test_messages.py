"""Messages between the controllers: the words on the wire, and those that make no sense."""

from __future__ import annotations

import json
import logging
from typing import Any

import pytest

from appledock import wire
from appledock.core import messages
from appledock.core.commands import Command, PeerMessageReceived
from appledock.core.effects import Response
from tests.test_launches import NOW, leading, report

ORDER = messages.MoveOrder("n1", 3, 7, "job-1", 0, 2, "vm-1", "vm-2", 0.5)
ORDERED = {
    "planner": "n1",
    "number": 3,
    "term": 7,
    "job": "job-1",
    "task": 0,
    "attempt": 2,
    "source": "vm-1",
    "destination": "vm-2",
    "load": 0.5,
}
SAID: list[tuple[messages.Message, dict[str, Any]]] = [
    (
        messages.WorkerHeartbeat(report(3), 0.5),
        {"kind": "worker", "report": json.loads(wire.encode(report(3))), "well_s": 0.5},
    ),
    (
        messages.UnchangedHeartbeats([messages.UnchangedHeartbeat("vm-1", 1, 7, 0.1, 0.2)]),
        {"kind": "alive", "workers": [["vm-1", 1, 7, 0.1, 0.2]]},
    ),
    (
        messages.AgentEpochExpired("vm-1", 2),
        {"kind": "lapsed", "worker": "vm-1", "session": 2},
    ),
    (messages.MachinesDeleted(["vm-1"]), {"kind": "gone", "machines": ["vm-1"]}),
    (
        messages.StopTasks("job-1", "vm-1", [0, 2]),
        {"kind": "stop", "job": "job-1", "machine": "vm-1", "tasks": [0, 2]},
    ),
    (
        messages.MachinesRented(["vm-1"], ("h4", "a", True)),
        {"kind": "rented", "machines": ["vm-1"], "type": ["h4", "a", True]},
    ),
    (
        messages.MachineCordonChanged("vm-1", "idle"),
        {"kind": "cordon", "worker": "vm-1", "why": "idle"},
    ),
    (
        messages.JobCancelled("job-1", 4),
        {"kind": "cancelled", "job": "job-1", "version": 4, "record": None},
    ),
    (
        messages.ControllerHeartbeat("n1", 0.1, 2.5, 0.9, {"n2": 3}, True),
        {
            "kind": "pulse",
            "node": "n1",
            "served_s": 0.1,
            "writes": 2.5,
            "reporting": 0.9,
            "vain": {"n2": 3},
            "pressed": True,
        },
    ),
    (messages.MoveRequested(ORDER), {"kind": "move", "order": ORDERED}),
    (messages.MoveReserved(ORDER), {"kind": "move-held", "order": ORDERED}),
    (
        messages.MoveEnded(ORDER, "done"),
        {"kind": "move-ended", "order": ORDERED, "outcome": "done"},
    ),
]


def test_every_kind_keeps_its_words() -> None:
    """They are a contract between versions."""
    for message, body in SAID:
        assert json.loads(wire.encode(message)) == body
        assert messages.decode({**body, "of a later version": [1]}) == message
    assert {body["kind"] for _, body in SAID} == messages.KINDS.keys()


def test_what_an_earlier_version_does_not_say_means_its_behaviour() -> None:
    heartbeat = messages.decode({"kind": "pulse", "node": "n1", "served_s": 0})
    assert heartbeat == messages.ControllerHeartbeat("n1", 0.0, 0.0, 1.0, {}, False)
    body = {"kind": "worker", "report": json.loads(wire.encode(report(3)))}
    assert messages.decode(body) == messages.WorkerHeartbeat(report(3), 0.0)
    body = {"kind": "cancelled", "job": "job-1", "version": 4}
    assert messages.decode(body) == messages.JobCancelled("job-1", 4, None)


@pytest.mark.parametrize("body", [None, [], "pulse", {}, {"kind": 1}, {"kind": ["gone"]}])
def test_what_is_no_message_is_ignored(body: Any) -> None:
    assert messages.decode(body) is None


def test_malformed_messages_are_logged_and_change_nothing(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Each kind without one of its fields, or with nonsense in it; a good message in the
    same batch still counts."""
    optional = {"well_s", "record", "writes", "reporting", "vain", "pressed"}
    for _, body in SAID:
        for name in body.keys() - {"kind", "record"}:
            bad = [{**body, name: {"x": [None]}}]
            if name not in optional:
                bad.append({key: value for key, value in body.items() if key != name})
            for message in bad:
                e = leading()
                caplog.clear()
                good = {"kind": "gone", "machines": ["vm-9"]}
                batch: list[Command] = [PeerMessageReceived(message), PeerMessageReceived(good)]
                effects = e.handle(batch, NOW, 0.0)
                assert [x.levelno for x in caplog.records] == [logging.WARNING], message
                assert "malformed message" in caplog.text and body["kind"] in caplog.text
                assert set(e.workers.deleted_machines) == {"vm-9"} and not e.workers.table
                assert not e.fleet.inventory.rentals and not e.heartbeats.last_heartbeats
                assert not any(isinstance(x, Response) for x in effects)
