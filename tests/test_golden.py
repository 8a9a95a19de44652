"""Names on the wire between versions: golden examples of every stored record and of every
message between controllers, made by the version in production and by the last served head,
read and written by the present code. A renaming in Python changes none of them."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from tests.standins.golden import Recorder, cover, kept, kind_of, made, paths, run
from tests.standins.versions import Code, present, production, served
from tests.standins.world import World

VERSIONS: dict[str, Callable[[], Code]] = {"production": production, "served": served}
KINDS = {"jobs", "view", "members", "teams", "catalogue", "settings", "final"}
MESSAGES = {
    "worker",
    "alive",
    "lapsed",
    "gone",
    "stop",
    "rented",
    "cordon",
    "cancelled",
    "pulse",
}
ADDED = {"final [].at:number"}
"""fields that the present code writes and the served head did not, as `paths` names them,
with the kind of record or message before them: each one is decided on, none slips in"""


def records(version: str) -> list[Any]:
    """[key, value] of all golden records of the version."""
    golden = kept(version)
    return [
        row
        for part in (golden["records"], golden["made"])
        for rows in part.values()
        for row in rows
    ]


def rewritten(key: str, value: Any) -> tuple[Any, Any]:
    """What the present code writes for the record, in the old and in the new format."""
    return present().rewrite(key, value, 1), present().rewrite(key, value, 2)


def expected(key: str, value: Any) -> Any:
    """A member that does not say which format it reads, reads the first one."""
    return {"format": 1, **value} if kind_of(key) == "members" else value


# --- records -----------------------------------------------------------------
@pytest.mark.parametrize("version", VERSIONS)
def test_golden_records_are_read_and_written_back_unchanged(version: str) -> None:
    assert {kind_of(key) for key, _ in records(version)} == KINDS | (
        {"format"} if version == "served" else set()
    )
    for key, value in records(version):
        assert expected(key, value) in rewritten(key, value), key


@pytest.mark.parametrize("version", VERSIONS)
def test_what_was_read_is_what_the_served_head_reads(version: str) -> None:
    """Alike in both formats, whichever one the record is in: so no field has changed places
    with another one of its kind."""
    for key, value in records(version):
        for format_ in (1, 2):
            ours = present().rewrite(key, value, format_)
            assert ours == served().rewrite(key, value, format_)
            assert present().rewrite(key, ours, format_) == ours


@pytest.mark.parametrize("version", VERSIONS)
def test_records_of_a_run_of_an_earlier_version_are_kept_through_a_write(version: str) -> None:
    for rows in run(VERSIONS[version]())[0].values():
        for key, value in rows:
            first, second = rewritten(key, value)
            assert expected(key, value) in (first, second), key
            back = present().rewrite(key, second, 1)
            for one in (first, back):  # attempts are a set, and stand in any order
                one.get("open", []).sort()
            assert back == first


@pytest.mark.parametrize("version", VERSIONS)
def test_the_golden_examples_are_those_of_the_version(version: str) -> None:
    code, golden = VERSIONS[version](), kept(version)
    assert made(code) == golden["made"]
    for part, examples in zip(("records", "messages"), run(code), strict=True):
        assert examples.keys() == golden[part].keys()
        for kind, rows in examples.items():
            assert names(kind, rows) <= names(kind, golden[part][kind] + made_of(golden, kind))


def made_of(golden: dict[str, Any], kind: str) -> list[Any]:
    found: list[Any] = golden["made"].get(kind, [])
    return found


def names(kind: str, rows: list[Any]) -> set[str]:
    return {f"{kind} {path}" for row in cover(rows) for path in paths(row)}


def test_the_present_code_writes_no_other_names() -> None:
    golden = kept("served")
    seen = run(present())
    assert seen[0].keys() == KINDS | {"format"} and seen[1].keys() == MESSAGES
    for part, examples in zip(("records", "messages"), seen, strict=True):
        for kind, rows in examples.items():
            known = (
                golden[part][kind] + made_of(golden, kind) + ([message["record"] for message in ()])
            )
            assert names(kind, rows) - names(kind, known) - ADDED == set()


@pytest.mark.parametrize("version", VERSIONS)
def test_earlier_versions_read_a_final_record_with_its_time(version: str) -> None:
    key, record = "ad/final/job-1", {"state": "done", "at": 12.5}
    assert present().rewrite(key, record) == record
    assert VERSIONS[version]().rewrite(key, record) == {"state": "done"}


# --- messages ----------------------------------------------------------------
class Told:
    """Three controllers of the present version, which hear of something."""

    def __init__(self) -> None:
        self.world = World(1)
        self.recorder = Recorder(self.world)
        self.world.clock.run(6.0)

    def tell(self, message: dict[str, Any], seconds: float = 0.02) -> None:
        for node in self.world.nodes.values():
            node.receive(json.loads(json.dumps(message)))
        self.world.clock.run(self.world.clock.now + seconds)

    def passed_on(self, kind: str) -> list[dict[str, Any]]:
        """What they say of that kind when a link to a peer opens."""
        self.recorder.messages.clear()
        for name, node in self.world.nodes.items():
            for peer in self.world.names:
                if peer != name:
                    node.push(node.runs.peer_opened(peer))
        self.world.clock.run(self.world.clock.now + 0.02)
        return [message for message in self.recorder.messages if message["kind"] == kind]

    def controllers(self) -> list[Any]:
        return [node.engine for node in self.world.nodes.values()]


def golden_message(version: str, kind: str, place: int = 0) -> dict[str, Any]:
    message: dict[str, Any] = kept(version)["messages"][kind][place]
    return message


@pytest.mark.parametrize("version", VERSIONS)
def test_golden_messages_are_understood_and_passed_on_unchanged(version: str) -> None:
    told = Told()
    worker = golden_message(version, "worker")
    machine = worker["report"]["dockhand"]
    told.tell({**worker, "well_s": 5.0})
    passed = told.passed_on("worker")
    assert passed
    for message in passed:
        assert message["report"] == worker["report"] and 5.0 <= message["well_s"] < 6.0
    cordon = {**golden_message(version, "cordon"), "worker": machine}
    assert cordon["why"]
    told.tell(cordon)
    assert cordon in told.passed_on("cordon")
    told.tell({**cordon, "why": ""})
    assert told.passed_on("cordon") == []
    for kind in ("rented", "lapsed"):
        told.tell(golden_message(version, kind))
        assert golden_message(version, kind) in told.passed_on(kind)
    alive, report = golden_message(version, "alive"), worker["report"]
    told.tell({**alive, "workers": [[machine, report["shift"], report["tally"] + 9, 1.0, 2.0]]})
    passed = told.passed_on("alive")
    assert passed
    for message in passed:
        (row,) = [row for row in message["workers"] if row[0] == machine]
        assert row[1:3] == [report["shift"], report["tally"] + 9]
        assert row[3] < 1.5 and 2.0 <= row[4] < 2.5
    told.tell(alive)
    for name, session, seq, *_ in alive["workers"]:
        for controller in told.controllers():
            assert present().seen(controller, name) >= (session, seq)
    gone = {**golden_message(version, "gone"), "machines": [machine]}
    told.tell(gone)
    assert all(present().knows_gone(controller, machine) for controller in told.controllers())
    assert gone in told.passed_on("gone")


@pytest.mark.parametrize("version", VERSIONS)
def test_a_golden_pulse_says_all_that_it_said(version: str) -> None:
    told = Told()
    for pulse in kept(version)["messages"]["pulse"]:
        node = next(node for name, node in told.world.nodes.items() if name != pulse["node"])
        code, controller = node.runs, node.engine
        controller.handle(
            [code.peer_message(pulse)], controller.runtime.now, controller.runtime.wall_time
        )
        assert code.hears(controller, pulse["node"])
        assert {"kind": "pulse", **code.told_by(controller, pulse["node"])} == pulse


@pytest.mark.parametrize("version", VERSIONS)
def test_golden_cancellations_count_like_read_records(version: str) -> None:
    told = Told()
    world = told.world
    for message in kept(version)["messages"]["cancelled"]:
        job, record = message["job"], message["record"]
        told.tell(message)
        if record is not None:
            (passed, *_) = [one for one in told.passed_on("cancelled") if one["job"] == job]
            assert passed["version"] == message["version"]
            key = f"ad/live/jobs/{job}"
            assert passed["record"] == served().rewrite(key, record, 2)
            continue
        assert answers(world, job) == [(200, "withdrawn")] * 3


def answers(world: World, job: str) -> list[Any]:
    """What each controller says of the job."""
    found: list[Any] = []
    for name in world.names:
        world.call_node(
            "user",
            name,
            "GET",
            f"/v2/runs/{job}",
            b"",
            lambda status, body: found.append((status, body.get("status"))),
        )
    world.clock.run(world.clock.now + 0.1)
    return found


@pytest.mark.parametrize("version", VERSIONS)
def test_a_golden_stop_stops_the_tasks_that_it_names(version: str) -> None:
    told = Told()
    world = told.world
    one = {**world.spec(1), "shape": "batch", "crates": 2, "run_s": 60.0, "eta_s": 60.0}
    world.submit(one)
    world.clock.run(25.0)
    task, machine = next((task, min(there)) for task, there in world.judge.on.items())
    job, _, number = task.partition("/")
    told.tell(
        {
            **golden_message(version, "stop"),
            "job": job,
            "machine": machine,
            "tasks": [int(number)],
        },
        2.0,
    )
    stopping = [
        attempt[4]
        for event in world.state.history
        if event.get("set") == f"ad/live/jobs/{job}"
        for attempt in present().rewrite(event["set"], event["data"], 1).get("open", ())
        if attempt[0] == machine
    ]
    assert 1 in stopping
