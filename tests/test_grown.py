"""Troubles of the grown deployments, each with the guard that answers it.

Every case is played twice: with the guard, and with the guard taken out, so that
a test that could not fail would show.
"""

from __future__ import annotations

import json

import pytest

from appledock import constants as c
from appledock import wire
from appledock.core.api.user_requests import UserRequests
from appledock.core.commands import HeartbeatReceived, PeerMessageReceived
from appledock.core.controller import Controller
from appledock.core.effects import PeerSend, StoreCall
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import MembershipState
from appledock.core.messages import ControllerHeartbeat
from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job, decode_job
from appledock.core.scheduling.lost_launches import LostLaunchDetector
from appledock.core.store.keys import JOBS_PREFIX, VIEW_KEY
from appledock.core.store_calls import Transaction
from appledock.core.workers import Worker, Workers
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from tests.standins.world import World
from tests.test_requests import engine, spec

Patch = pytest.MonkeyPatch


def small(
    world: World, number: int, service: bool = False, run_s: float = 4.0, tasks: int = 2
) -> dict[str, object]:
    return {
        **world.spec(number),
        "shape": "daemon" if service else "batch",
        "crates": tasks,
        "berth": "svc" if service else "arr",
        "cores": 1.0,
        "quay": None,
        "standby": False,
        "rank": "production" if service else "standard",
        "together": False,
        "scatter": False,
        "cargo": "img-0",
        "sail_s": None if service else 60.0,
        "owner": "red" if service else "blue",
        "run_s": 1e9 if service else run_s,
    }


# --- a machine that only speaks ---------------------------------------------
def deaf_machine(replicas: bool, seed: int = 3) -> tuple[int, float]:
    """A machine's reports arrive for 40 s, but nothing reaches it. Returns how many
    attempts went there once that could be known, and how long a replica lacked."""
    world = World(seed, capacity=4)
    world.clock.at(1.0, lambda: world.submit(small(world, 1, True, tasks=1)))
    for number in range(2, 40):
        world.clock.at(
            4.0 + 2 * number, lambda n=number: world.submit(small(world, n, tasks=6, run_s=7.0))
        )
    world.clock.run(30.0)
    home = next(iter(world.judge.on["job-000001/0"]))
    victim = home if replicas else next(m for m in sorted(world.cloud.workers) if m != home)
    world.clock.cut(set(world.names), {victim}, 40.0, False, one_way=True)
    late, down = 0, 0.0
    seen: set[tuple[str, int]] = set()
    for step in range(400):
        world.clock.run(30.0 + step / 10)
        for key, row in world.state.rows.items():
            for place in decode_job(row[0], row[1]).attempts if key.startswith(JOBS_PREFIX) else ():
                if place.machine == victim and (key, place.attempt_number) not in seen:
                    seen.add((key, place.attempt_number))
                    late += step > 120  # later than 12 s, one lease
        down += 0.1 * ("job-000001/0" not in world.judge.on)
    assert world.judge.broken == []
    return late, down


def test_a_deaf_machine_gets_no_steps_and_its_replicas_move(monkeypatch: Patch) -> None:
    late, down = deaf_machine(replicas=True)
    assert late == 0 and down < 8.0
    assert deaf_machine(replicas=False)[0] == 0
    monkeypatch.setattr(
        c, "ANSWERED_HEARTBEAT_GAP_MAX_S", 1e9
    )  # every report counts as a sign of health
    assert deaf_machine(replicas=False)[0] > 0


# --- copies of old reports ----------------------------------------------------
def copies_of_a_dead_machine(seed: int = 4) -> set[str]:
    """A machine dies, all controllers lose their memory, and then copies of its
    reports come in a row. Returns the machines that steps went to afterwards."""
    world = World(seed, capacity=4)
    for number in range(1, 12):
        world.clock.at(1.0, lambda n=number: world.submit(small(world, n)))
    world.clock.run(16.0)
    victim = sorted(world.cloud.workers)[0]
    worker = world.cloud.workers[victim]
    copies = []
    for _ in range(12):
        copies.append(json.dumps({**worker.report(), "crates": []}).encode())
    world.cloud.kill(victim)
    world.cloud.machines.pop(victim)  # taken: it is not listed either
    world.clock.run(60.0)
    for node in world.nodes.values():
        node.crash(0.3)
    for number, copy in enumerate(copies):
        for name in world.names:
            world.late_copy(name, copy, 1.5 + number * 1.4)
    for number in range(20, 40):
        world.clock.at(62.0 + number / 4, lambda n=number: world.submit(small(world, n)))
    used: set[str] = set()
    for step in range(300):
        world.clock.run(60.0 + step / 10)
        used |= {
            place.machine
            for key, row in world.state.rows.items()
            if key.startswith(JOBS_PREFIX)
            for place in decode_job(row[0], row[1]).attempts
        }
    assert world.judge.broken == []
    return used & {victim}


def test_copies_of_old_reports_revive_no_dead_machine(monkeypatch: Patch) -> None:
    assert copies_of_a_dead_machine() == set()
    monkeypatch.setattr(
        Worker, "has_shown_current_token", property(lambda self: self.report is not None)
    )
    assert copies_of_a_dead_machine() != set()


def owner_of_nothing() -> Controller:
    """An engine that acts under a view in which `n1` owns the machine `vm-x`."""
    e = engine()
    e.replica.put(
        VIEW_KEY, {"term": 5, "members": {"n0": "x.1", "n1": "y", "n2": "z"}, "leader": "n0"}, 1
    )
    e.replica.changes.view = False
    e.membership.state, e.membership.incarnation = MembershipState.JOINED, "x.1"
    e.membership.lease_renewed_at = e.membership.view_confirmed_at = (
        e.membership.store_answered_at
    ) = e.runtime.now
    e.replica.advance(1)
    return e


def report(name: str, seq: int, token: int = 5, session: int = 1) -> wire.Report:
    return wire.Report(name, "10.0.0.9:9", "h4", "a", session, seq, token)


def test_a_restarted_controller_learns_what_its_peers_have_seen() -> None:
    """It has no memory of its own; a late copy must not pass for the newest report."""
    e, fresh = owner_of_nothing(), owner_of_nothing()
    e.workers.ingest_heartbeat(report("vm-1", 50))
    e.workers.on_peer_connected("n1")
    for effect in e.runtime.take_effects():
        assert isinstance(effect, PeerSend)
        fresh.handle(
            [PeerMessageReceived(json.loads(wire.encode(effect.message)))], fresh.runtime.now, 0.0
        )
    assert not fresh.workers.ingest_heartbeat(report("vm-1", 49))
    assert fresh.workers.ingest_heartbeat(report("vm-1", 51))


def test_quiet_workers_of_the_peers_stay_fit_for_steps() -> None:
    """Told of every third report only, each controller took the machines of the others
    for silent half of the time: the leader rented for what they had room for."""
    world = World(8, capacity=8)
    for number in range(1, 9):
        world.clock.at(1.0, lambda n=number: world.submit(small(world, n, True, tasks=2)))
    world.clock.run(25.0)
    up = len(world.cloud.workers)
    assert up >= 4
    for step in range(40):
        world.clock.run(25.0 + step / 4)
        for node in world.nodes.values():
            node.engine.capacity_index.recompute()
            assert len(node.engine.capacity_index.machines) == up


def test_copies_at_a_stranger_move_no_worker(monkeypatch: Patch) -> None:
    """Each counted as a try of a worker that cannot reach its owner, and a new view
    took the live worker away from the owner that it reported to all the time."""

    def wanted() -> dict[str, str]:
        e = owner_of_nothing()
        name = next(f"vm-{i}" for i in range(99) if e.replica.owner_of(f"vm-{i}") == "n1")
        e.workers.ingest_heartbeat(report(name, 50))
        for step in range(12):
            e.membership.lease_renewed_at = e.membership.view_confirmed_at = e.runtime.now
            e.handle([HeartbeatReceived(step, report(name, 20 + step))], e.runtime.now + 0.9, 0.0)
        return e.view_requests.overrides

    assert wanted() == {}
    monkeypatch.setattr(HeartbeatIntake, "ingest", lambda self, report, healthy_age_s=None: True)
    assert wanted() != {}


# --- a controller without state service and peers ---------------------------------
def alone(seed: int = 5) -> tuple[list[bool], World]:
    """One controller keeps its workers only, for 30 s. Was it healthy all the time?"""
    world = World(seed, capacity=6)
    for number in range(1, 30):
        service = number % 3 == 0
        world.clock.at(
            1.0 + number,
            lambda n=number, s=service: world.submit(small(world, n, s), 40.0 if s else None),
        )
    world.clock.run(20.0)
    world.clock.cut({"n1"}, {"state", "n0", "n2"}, 30.0, True)
    healthy = []
    for step in range(25):
        world.clock.run(24.0 + step)
        healthy.append(world.nodes["n1"].engine.health.is_healthy())
    world.clock.run(120.0)
    assert world.judge.broken == []
    assert world.judge.day_end(peace=50.0) == []
    assert world.unfinished() == []
    assert world.nodes["n1"].engine.health.is_healthy()
    return healthy, world


def test_whoever_is_shut_out_alone_steps_aside_and_comes_back(monkeypatch: Patch) -> None:
    assert not any(alone()[0])
    monkeypatch.setattr(Heartbeats, "is_isolated", lambda self: False)
    assert any(alone()[0])


def test_in_an_outage_for_all_nobody_steps_aside() -> None:
    world = World(6)
    world.clock.run(12.0)
    world.state.outage(12.0)
    for step in range(12):
        world.clock.run(12.0 + step)
        assert all(node.engine.health.is_healthy() for node in world.nodes.values())


def test_jobs_of_a_controller_that_is_shut_out_do_not_wait_for_its_lease(
    monkeypatch: Patch,
) -> None:
    def begin_s() -> float:
        world = World(7, capacity=6)
        world.clock.at(1.0, lambda: world.submit(small(world, 1)))
        world.clock.run(18.0)
        world.clock.cut({"n1"}, {"state", "n0", "n2"}, 40.0, True)
        view = world.nodes["n0"].engine.replica.view
        assert view is not None
        number = next(i for i in range(2, 99) if view.owner_of(f"job-{i:06d}") == "n1")
        # A second job keeps a machine up, so that no boot hides the difference.
        world.clock.at(19.0, lambda: world.submit(small(world, 99, True)))
        world.clock.at(23.0, lambda: world.submit(small(world, number, tasks=1)))
        world.clock.run(60.0)
        assert world.judge.broken == []
        job = f"job-{number:06d}"
        return world.judge.begun[job] - world.judge.accepted[job]

    assert begin_s() < 5.0
    monkeypatch.setattr(Heartbeats, "is_served_by_store", lambda self, node: True)
    assert begin_s() > 6.0


def test_machines_of_controllers_out_of_reach_are_not_returned(monkeypatch: Patch) -> None:
    """The owner may be placing a step there that the leader has not seen, and would
    not hear that the machine is gone."""
    names = [f"vm-{i}" for i in range(6)]

    def returned() -> tuple[Controller, set[str]]:
        e = owner_of_nothing()
        e.fleet.leader_since = e.runtime.now - 60
        e.machine_types.update({"h4": wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"])})
        for name in names:
            e.workers.ingest_heartbeat(report(name, 1))
            e.workers.table[name].placement.idle_since = e.runtime.now - 50
        e.heartbeats.on_peer_message(ControllerHeartbeat("n1", 0.1))  # n2 is not heard
        e.fleet.delete_surplus(e.fleet.queued_demand())
        return e, set(e.fleet.deletions.pending)

    e, gone = returned()
    assert gone == {name for name in names if e.replica.owner_of(name) != "n2"}
    monkeypatch.setattr(Heartbeats, "is_reachable", lambda self, node: True)
    assert returned()[1] == set(names)


# --- back within a fraction of a second --------------------------------------------
def flapping(seed: int) -> World:
    """Controllers end and are back within 0.3 s, again while they join, as the leader
    goes; writes of the ended ones arrive late, reports come again."""
    world = World(seed, capacity=8)
    world.late, world.copies = 0.08, 0.1
    for number in range(1, 25):
        service = number % 4 == 0
        world.clock.at(
            1.0 + number,
            lambda n=number, s=service: world.submit(small(world, n, s), 30.0 if s else None),
        )
    for time in range(10, 40, 5):
        for name in world.names:
            for again in (0.0, 0.5 + world.clock.rng.random()):
                if world.clock.rng.random() < 0.6:
                    world.clock.at(
                        time + again,
                        lambda n=name: world.nodes[n].crash(0.1 + 0.2 * world.clock.rng.random()),
                    )
    world.clock.at(45.0, lambda: setattr(world, "late", 0.0))
    world.clock.run(150.0)
    return world


def test_controllers_back_at_once_even_in_mid_election(monkeypatch: Patch) -> None:
    for seed in (11, 12):
        world = flapping(seed)
        assert world.judge.broken == []
        assert world.judge.day_end(peace=50.0) == []
        assert world.unfinished() == []
    # Without the term in the settlement of launches never seen, this breaks.
    monkeypatch.setattr(LostLaunchDetector, "check", lambda self: None)
    verdict = Workers.verdict

    def hasty(self: Workers, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        worker = self.table.get(attempt.machine)
        if worker is not None and (f"{job.id}/{task}", attempt.attempt_number) not in worker.tasks:
            return AttemptVerdict.SETTLED
        return verdict(self, job, attempt, task)

    monkeypatch.setattr(Workers, "verdict", hasty)
    assert any(flapping(seed).judge.broken for seed in range(11, 17))


# --- at the end of the day ---------------------------------------------------------
def shortage() -> list[str]:
    """For 280 s more small arrays come than can be run; one large one is among them."""
    world = World(9, capacity=2)
    world.clock.at(20.0, lambda: world.submit(small(world, 1, tasks=60, run_s=5.0)))
    for number in range(2, 280):
        world.clock.at(
            float(number), lambda n=number: world.submit(small(world, n, tasks=2, run_s=5.0))
        )
    world.clock.run(285.0)
    assert world.judge.broken == []
    return [line for line in world.judge.day_end(peace=0.0) if "job-000001 " in line]


def test_the_largest_begins_within_four_minutes_under_lasting_shortage(monkeypatch: Patch) -> None:
    assert shortage() == []
    monkeypatch.setattr(c, "AGEING_THRESHOLD_S", 1e9)
    assert shortage() != []


def test_a_job_about_which_nobody_answers_is_noticed(monkeypatch: Patch) -> None:
    world = World(10)
    poll = UserRequests.poll
    monkeypatch.setattr(
        UserRequests,
        "poll",
        lambda self, cmd: poll(self, cmd) if cmd.job_id != "job-000002" else None,
    )
    for number in (1, 2, 3):
        world.clock.at(1.0, lambda n=number: world.submit(small(world, n, True), None))
    world.clock.run(95.0)
    assert world.judge.day_end(peace=10.0) == [
        "forgotten: no question about job-000002 is answered"
    ]


# --- records and views at size ---------------------------------------------------
def test_a_step_that_does_not_fit_its_record_is_made_smaller() -> None:
    """A record over the limit of the state service blocked its job for ever."""
    e = owner_of_nothing()
    e.machine_types.update({"h4": wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"])})
    e.client.max_value_bytes = 1500
    e.membership.incarnation = "x.1"
    e.replica.put("ad/live/members/n0", {"incarnation": "x.1", "lease": 1}, 1)
    for number in range(300):
        name = f"vm-{number:06d}"
        if e.replica.owner_of(name) == "n0":
            e.workers.ingest_heartbeat(report(name, 1))
    job_id = next(f"job-{i:06d}" for i in range(99) if e.replica.owner_of(f"job-{i:06d}") == "n0")
    e.replica.set_job(
        Job(spec(id=job_id, crates=60, cores=0.2, owner="red", memory_gb=9.0), 0.0, 2)
    )
    effects = e.handle([], e.runtime.now + 0.2, 0.0)
    plans = [
        x.request
        for x in effects
        if isinstance(x, StoreCall) and isinstance(x.request, Transaction)
    ]
    puts = [put.value for plan in plans for put in plan.writes if put.key == JOBS_PREFIX + job_id]
    assert len(puts) == 1
    assert 5 < len(puts[0]["open"]) < 60
    assert len(wire.encode(puts[0])) <= e.client.max_value_bytes


def test_one_silent_machine_gives_no_new_term() -> None:
    """A launch never seen asks for a new term only where a report could show it."""

    def wants(silent: bool) -> bool:
        e = owner_of_nothing()
        job_id = next(
            f"job-{i:06d}" for i in range(99) if e.replica.owner_of(f"job-{i:06d}") == "n0"
        )
        job = Job(spec(id=job_id), 0.0, 2, cancelled=True)
        job.attempts.append(Attempt("vm-1", 1, 1, 5, False, {0}))
        e.replica.set_job(job)
        e.workers.ingest_heartbeat(report("vm-1", 1))
        for step in range(12):
            e.runtime.now += 1.0
            if not silent:
                e.workers.ingest_heartbeat(report("vm-1", 2 + step))
            LostLaunchDetector.check(e.lost_launches)
        return e.view_requests.new_term

    assert wants(silent=False)
    assert not wants(silent=True)
