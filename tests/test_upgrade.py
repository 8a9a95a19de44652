"""Two versions at once: the one in production, taken from this repository's history, and
the present one, on each other's records, views, shares and messages."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest

from appledock import wire
from appledock.core.commands import StoreReply
from appledock.core.membership.format_upgrade import NEWEST_FORMAT
from appledock.core.records.job import Attempt, Job
from appledock.core.records.membership_view import View
from appledock.core.store.keys import FORMAT_KEY, JOBS_PREFIX, MEMBERS_PREFIX, VIEW_KEY
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Rejected, Transaction
from appledock.settings import SettingsError, parse
from tests.standins.chains import pipeline
from tests.standins.deployment import NEXT, settings_file
from tests.standins.faults import strike
from tests.standins.versions import present, production, served
from tests.standins.world import World
from tests.test_grown import owner_of_nothing, report
from tests.test_requests import calls, engine, spec


def rollout(
    seed: int,
    *faults: str,
    lower_at: float | None = 60.0,
    roll_at: float = 25.0,
    every_s: float = 7.0,
    chains_at: float = 62.0,
    seconds: float = 190.0,
) -> World:
    """The version in production serves when the day begins; its controllers come back with
    the present one, troubles go on, the state service lowers its limits, and then users
    submit pipelines."""
    world = World(seed, code=production(), announced=NEXT)
    clock, rng = world.clock, world.clock.rng
    for number in range(16):
        one = world.spec(number)
        cancel = 5 + rng.random() * 50 if (one["shape"] == "daemon" or rng.random() < 0.3) else None
        clock.at(0.5 + rng.random() * 70, lambda one=one, x=cancel: world.submit(one, x))
    clock.at(roll_at, lambda: world.upgrade(every_s))
    for time in range(8, 100, 6):
        for fault in faults:
            if rng.random() < 0.5:
                clock.at(time + rng.random() * 5, lambda f=fault: strike(world, f))
    if lower_at is not None:
        clock.at(lower_at, lambda: world.state.lower(**NEXT))
    for number in range(5):
        clock.at(
            chains_at + 5 * number,
            lambda n=number: pipeline(world, n, 1 if n == 2 else None, 6.0, late=n == 3),
        )
    clock.at(100.0, world.peace)
    clock.run(seconds)
    return world


def verdict(world: World) -> list[str]:
    return (
        world.judge.broken
        + world.judge.day_end(100.0)
        + [f"unfinished: {job}" for job in world.unfinished()]
    )


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        (1, ()),
        (2, ("crash",)),
        (3, ("crash_all", "die")),
        (4, ("outage", "shut_out", "cut")),
        (5, ("isolate", "alone", "peers", "hang")),
        (6, ("cloud", "freeze", "crash", "deaf")),
    ],
)
def test_old_and_new_serve_together_through_an_upgrade(seed: int, faults: tuple[str, ...]) -> None:
    world = rollout(seed, *faults)
    assert verdict(world) == []
    assert {node.runs for node in world.nodes.values()} == {present()}
    assert world.state.rows[FORMAT_KEY][0] == {"format": 2}
    assert world.state.too_large == 0
    assert (
        sum(
            state == "done" and bool(world.judge.jobs[job].get("tethers"))
            for job, (state, _) in world.judge.final.items()
        )
        > 8
    )


def test_limits_fall_in_an_election_an_outage_and_a_burst_of_cancellations() -> None:
    for seed in (7, 8):
        world = World(seed, announced=NEXT)
        for number in range(14):
            one = world.spec(number)
            world.clock.at(0.5 + number, lambda one=one, w=world: w.submit(one))
        world.clock.at(20.0, lambda w=world: w.nodes[w.leader()].crash(5.0))
        world.clock.at(20.1, lambda w=world: w.state.lower(**NEXT))
        world.clock.at(20.2, lambda w=world: w.cancel_now(6))
        world.clock.at(24.0, lambda w=world: w.state.outage(8.0))
        world.clock.run(60.0)
        world.peace()
        world.clock.run(150.0)
        assert world.judge.broken + world.judge.day_end(60.0) == []
        assert world.state.too_large == 0


def test_a_node_that_ends_before_its_turn_comes_back_old_and_nothing_new_is_written() -> None:
    """Two of three nodes are new, and the old one is away: it may come back old, so no
    record of the new format may be there yet."""
    world = World(9, code=production())
    world.clock.run(10.0)
    for name in world.names[:2]:
        world.nodes[name].code = present()
        world.nodes[name].crash(0.5)
    world.nodes[world.names[2]].crash(40.0)
    for number in range(8):
        one = {
            **world.spec(number),
            "shape": "batch",
            "berth": "arr",
            "rank": "standard",
            "run_s": 6.0,
            "sail_s": 60.0,
        }
        world.clock.at(15.0 + number, lambda one=one: world.submit(one))
    for step in range(35):
        world.clock.run(14.0 + step)
        assert FORMAT_KEY not in world.state.rows
        for key, row in world.state.rows.items():
            assert not key.startswith(JOBS_PREFIX) or not {"groups", "bits"} & set(row[0])
    world.clock.run(70.0)
    assert world.nodes[world.names[2]].runs is production()
    assert FORMAT_KEY not in world.state.rows
    world.nodes[world.names[2]].code = present()
    world.nodes[world.names[2]].crash(0.5)
    world.clock.run(150.0)
    assert world.state.rows[FORMAT_KEY][0] == {"format": 2}
    assert world.judge.broken == [] and world.unfinished() == []


def test_a_format_used_too_soon_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    """The guard taken out: the new format as soon as one node knows it. Those that are still
    old take running tasks for strays, and steps for jobs that they cannot read."""
    encode = Job.encode
    monkeypatch.setattr(Job, "encode", lambda self, format_=1: encode(self, 2))
    world = rollout(3, "crash_all", every_s=25.0, lower_at=None, chains_at=100.0)
    assert "ran_twice" in world.judge.kinds()


# --- records, views and messages -------------------------------------------
def old_job(**changes: Any) -> Any:
    old = production()
    kinds = {
        "spec": old.wire.JobSpec(
            **{name: value for name, value in json.loads(wire.encode(spec_fields())).items()}
        ),
        "submitted": 12.5,
        "version": 7,
        "steps": 3,
    }
    job = old.jobs.Job(**{**kinds, **changes})
    job.done.add(1)
    job.done.add(4)
    job.attempts = [
        old.jobs.Attempt("vm-000007", 1, 2, 41, False, {0, 2}),
        old.jobs.Attempt("vm-000009", 2, 3, 42, True, {3}),
    ]
    return job


def spec_fields() -> dict[str, Any]:
    one = spec(crates=6, hulls=["h4"], quay="a", sail_s=60.0)
    return {
        name: getattr(one, name)
        for name in one.__struct_fields__
        if name != "needs" and getattr(one, name) is not None
    }


def test_records_of_the_production_version_come_back_to_it_unchanged() -> None:
    for changes in (
        {},
        {"cancelled": True, "cancelled_at": 1234.5, "failures": 2},
        {"handoff": ("n1", "x.1")},
    ):
        record = json.loads(wire.encode(old_job(**changes).encode()))
        key = JOBS_PREFIX + record["spec"]["id"]
        assert present().rewrite(key, record, 1) == record
        # And what we write in their format they read as we do.
        assert production().rewrite(key, present().rewrite(key, record, 1)) == record


def test_views_and_members_are_read_alike_and_owners_are_the_same() -> None:
    old, members = production(), {"n0": "a.1", "n1": "b.1", "n2": "c.2"}
    view = View(7, members, "n1", {"vm-000003": ["n2", "c.2"]}, {"n0": "a.1"})
    theirs = old.replica.Replica()
    theirs.put(VIEW_KEY, json.loads(wire.encode(view.encode())), 5)
    ours = Replica()
    ours.put(VIEW_KEY, json.loads(wire.encode(theirs.view.encode())), 5)
    assert ours.view is not None and ours.view.encode() == view.encode()
    for number in range(200):
        assert theirs.owner_of(f"vm-{number:06d}") == ours.owner_of(f"vm-{number:06d}")
    theirs.put(MEMBERS_PREFIX + "n0", {"incarnation": "a.1", "lease": 3, "format": 2}, 6)
    assert theirs.members["n0"].incarnation == "a.1"
    ours.put(MEMBERS_PREFIX + "n0", {"incarnation": "a.1", "lease": 3}, 6)
    assert ours.members["n0"].record_format == 1
    theirs.put(FORMAT_KEY, {"format": 2}, 8)  # unknown to it, and without effect


def test_unknown_messages_and_fields_of_peers_are_ignored_by_both() -> None:
    for code in (production(), served(), present()):
        one = code.controller(settings_file("n0", ["n0", "n1"]), "x", random.Random(1))
        for message in (
            {"kind": "of a later version", "x": 1},
            {"kind": "pulse", "node": "n1", "served_s": 0.1, "new": [1]},
            {"kind": "pulse", "node": "n1", "served_s": 0.1},
        ):
            one.handle([code.peer_message(message)], 100.0, 0.0)
        assert code.hears(one, "n1")


# --- limits ------------------------------------------------------------------
@pytest.mark.parametrize(
    ("announced", "kept_to"),
    [
        (None, (20.0, 8.0, 12)),
        (NEXT, (15.0, 2.0, 5)),
        ({"value_kb": 4.0}, (20.0, 4.0, 12)),
        ({"value_kb": 64.0, "txn_ops": 3, "write_rps": None, "other": 1}, (20.0, 8.0, 3)),
        ({}, (20.0, 8.0, 12)),
    ],
)
def test_of_present_and_announced_limits_the_smaller_holds(
    announced: dict[str, Any] | None, kept_to: tuple[float, float, int]
) -> None:
    state = parse(settings_file("n0", ["n0"], announced)).cluster.state
    assert (state.write_rps, state.value_kb, state.txn_ops) == kept_to


@pytest.mark.parametrize(
    "announced",
    [{"value_kb": 0}, {"txn_ops": 2}, {"write_rps": "15"}, {"value_kb": -1}, [], "2", 5],
)
def test_announced_limits_that_make_no_sense_are_refused_in_one_line(announced: Any) -> None:
    with pytest.raises(SettingsError) as refused:
        parse(settings_file("n0", ["n0"], announced))
    assert "next" in str(refused.value) and "\n" not in str(refused.value)


def test_a_view_with_overrides_keeps_to_the_size_of_a_value() -> None:
    e = owner_of_nothing()
    e.client.max_value_bytes = 1700
    members = dict(e.replica.view.members)
    e.view_requests.overrides = {f"vm-{number:06d}": "n0" for number in range(90)}
    view = e.membership_protocol.next_view(members)
    assert 20 < len(view.overrides) < 90
    assert len(wire.encode(view.encode())) <= 1700


def test_a_record_stored_larger_is_written_smaller() -> None:
    """Types that the cloud does not offer are dropped from it; a cancelled one needs none."""
    e = engine()
    e.client.max_value_bytes = 1700
    types = ["h4", *(f"type-{number:04d}" for number in range(200))]
    for cancelled in (False, True):
        job = e.codec.drop_unoffered_types(
            Job(
                spec(hulls=types),
                0.0,
                3,
                cancelled=cancelled,
                attempts=[Attempt("vm-1", 1, 1, 1, False, {0})],
            )
        )
        assert job.spec.types == ["h4"] and e.codec.fits(job)
    assert e.codec.drop_unoffered_types(Job(spec(hulls=["h4", "x"]), 0.0, 3)).spec.types == [
        "h4",
        "x",
    ]


def test_a_job_stored_larger_is_placed_once_the_limits_have_fallen() -> None:
    """All its tasks wait, so nothing else writes its record and makes it smaller."""
    e = owner_of_nothing()
    e.machine_types.update({"h4": wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"])})
    e.membership.incarnation = "x.1"
    e.replica.put(MEMBERS_PREFIX + "n0", {"incarnation": "x.1", "lease": 1}, 1)
    for number in range(9):
        if e.replica.owner_of(f"vm-{number:06d}") == "n0":
            e.workers.ingest_heartbeat(report(f"vm-{number:06d}", 1))
    name = next(f"job-{i:06d}" for i in range(99) if e.replica.owner_of(f"job-{i:06d}") == "n0")
    types = ["h4", *(f"type-{number:04d}" for number in range(220))]
    e.replica.set_job(Job(spec(id=name, crates=2, owner="red", hulls=types), 0.0, 2))
    e.client.max_value_bytes = 1740
    for worker in e.workers.table.values():
        worker.reachability.last_heartbeat_at = worker.reachability.last_healthy_at = e.runtime.now
    written = [
        write.value
        for call in calls(e.handle([], e.runtime.now + 0.2, e.runtime.wall_time), Transaction)
        for write in call.request.writes
        if getattr(write, "key", "") == JOBS_PREFIX + name
    ]
    assert written and len(wire.encode(written[0])) <= 1740
    assert written[0]["open"] and written[0]["spec"]["types"] == ["h4"]


def test_a_limit_that_nobody_announced_lowers_the_bound_and_is_not_tried_for_ever() -> None:
    """400 and 429 are told apart: what is too large comes less and less often, what was too
    fast at its next turn."""
    e = owner_of_nothing()
    e.machine_types.update({"h4": wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"])})
    e.membership.incarnation = "x.1"
    e.replica.put(MEMBERS_PREFIX + "n0", {"incarnation": "x.1", "lease": 1}, 1)
    for number in range(60):
        if e.replica.owner_of(f"vm-{number:06d}") == "n0":
            e.workers.ingest_heartbeat(report(f"vm-{number:06d}", 1))
    name = next(f"job-{i:06d}" for i in range(99) if e.replica.owner_of(f"job-{i:06d}") == "n0")
    e.replica.set_job(
        Job(
            spec(id=name, crates=20, owner="red", memory_gb=9.0, cargo="i" * 180, berth="b" * 180),
            0.0,
            2,
        )
    )
    tries: list[float] = []
    bounds = {e.client.max_value_bytes}
    start = e.runtime.now
    while e.runtime.now < start + 60.0:
        for worker in e.workers.table.values():
            worker.reachability.last_heartbeat_at = worker.reachability.last_healthy_at = (
                e.runtime.now
            )
        e.membership.lease_renewed_at = e.membership.view_confirmed_at = e.runtime.now
        for call in calls(e.handle([], e.runtime.now + 0.2, e.runtime.wall_time), Transaction):
            plan = call.request
            if any(getattr(write, "key", "") == JOBS_PREFIX + name for write in plan.writes):
                tries.append(e.runtime.now)
                e.handle([StoreReply(call.call_id, Rejected())], e.runtime.now, e.runtime.wall_time)
                bounds.add(e.client.max_value_bytes)
    assert 3 <= len(tries) <= 8
    gaps = [later - earlier for earlier, later in zip(tries, tries[1:], strict=False)]
    assert gaps == sorted(gaps) and gaps[-1] > 3 * gaps[0]
    assert min(bounds) < max(bounds)
    assert e.client.refusals["too large or malformed"] == len(tries)
    assert e.reconcile_queue.pending_reasons[name] == "record refused by the state service"


def test_the_format_is_told_with_the_member_key() -> None:
    world = World(12)
    world.clock.run(5.0)
    assert {
        row[0]["format"] for key, row in world.state.rows.items() if key.startswith(MEMBERS_PREFIX)
    } == {NEWEST_FORMAT}
