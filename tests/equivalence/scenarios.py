"""The scenarios whose effects are compared; each is determined by its seed."""

from __future__ import annotations

import json
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial
from typing import Any
from unittest.mock import patch

from appledock.rebalancing.settings import DataSet
from tests.standins import (
    chains,
    deployment,
    faults,
    meetings,
    meetings_common,
    rollout,
    sharing,
    short_arrays,
    spreading,
)
from tests.standins.versions import MoveUnderWay, production, served
from tests.standins.world import World


@dataclass(frozen=True)
class Scenario:
    """A simulated run of a cluster of the version under test, determined by its seed."""

    name: str
    run: Callable[[int], object]
    """builds the cluster for a seed and simulates it"""
    quick: bool = False
    """whether the scenario belongs to the quick set"""
    seed: int = 1
    """seed that is used unless others are requested"""


SCENARIOS: dict[str, Scenario] = {}


def _add(name: str, run: Callable[[int], object], *, quick: bool = False, seed: int = 1) -> None:
    SCENARIOS[name] = Scenario(name, run, quick, seed)


# --- faults ------------------------------------------------------------------
def _run_with_faults(
    *kinds: str, seconds: float = 110.0, late_orders: float = 0.0
) -> Callable[[int], object]:
    """Return a run in which these kinds of faults are injected."""
    return lambda seed: faults.play(seed, *kinds, seconds=seconds, late_orders=late_orders)


_add("calm", _run_with_faults(seconds=90.0), quick=True)
_add("crashes", _run_with_faults("crash", "crash_all", "die"), quick=True, seed=3)
_add("cuts", _run_with_faults("cut", "peers", "alone", "refuse"), quick=True, seed=4)
_add("outages", _run_with_faults("outage", "shut_out", "isolate", "cloud"), quick=True, seed=6)
_add("hangs", _run_with_faults("hang", "freeze", "no_workers", "late", "copies"), seed=5)
_add("deaf", _run_with_faults("deaf", "copies", "repeats", late_orders=0.1), quick=True, seed=21)
_add(
    "all-faults",
    _run_with_faults(
        *("deaf", "copies", "alone", "refuse", "cut", "hang", "outage", "die", "crash", "late")
    ),
    seed=26,
)


# --- jobs that depend on other jobs --------------------------------------------
_add("chains", partial(chains.day, until=50.0), quick=True)
_add("chains-crashes", lambda seed: chains.day(seed, "crash", "late_writes", until=50.0), seed=2)
_add("chains-outages", lambda seed: chains.day(seed, "outage", "shut_out", "crash_all"), seed=3)


# --- coinciding faults ---------------------------------------------------------
def _run_meetings(
    *names: str, upgrade: bool = False, pipelines: bool = False
) -> Callable[[int], object]:
    """Return a run in which these combinations of faults occur."""
    return lambda seed: meetings.play(seed, *names, upgrade=upgrade, chains=pipelines)


for _name in (*meetings.MEETINGS, *meetings.GAPS):
    _add("meeting-" + _name.replace("_", "-"), _run_meetings(_name))
_add("upgrade-meeting", _run_meetings("leader_ends_unreached", upgrade=True, pipelines=True))


# --- upgrades ------------------------------------------------------------------
for _fault in rollout.TROUBLES:
    _add(
        "rollout-" + _fault.__name__.replace("_", "-"),
        partial(rollout.play, trouble=_fault),
        quick=_fault is rollout.everything_together,
    )
_add(
    "rollout-from-served",
    lambda seed: rollout.play(seed, rollout.back_with_the_old_version, before=served()),
)
_add(
    "rollout-limits-not-announced",
    lambda seed: rollout.play(seed, rollout.limits_fall_before_all_are_new, announced=None),
)


def incomplete_upgrade(seed: int) -> None:
    """Replace two of three controllers of production's version by the version under test.

    The record format remains the old one, because the third controller keeps its version.
    """
    world = World(seed, code=production())
    clock, rng = world.clock, world.clock.rng
    for number in range(14):
        spec = world.spec(number)
        clock.at(0.5 + rng.random() * 50, partial(world.submit, spec, 5 + rng.random() * 60))
    for time_s, name in ((12.0, "n0"), (45.0, "n1")):
        clock.at(time_s, partial(rollout.replace, world, name))
    clock.at(30.0, partial(_crash_leader, world))
    clock.run(80.0)


_add("upgrade-halted", incomplete_upgrade)


# --- kinds of work ---------------------------------------------------------------
def _crash_leader(world: World, down_s: float = 4.0) -> None:
    world.nodes[world.leader()].crash(down_s)


def kinds_of_work(seed: int) -> None:
    """Run gangs, services and arrays with zone constraints and deadlines on few machines.

    Jobs of higher priority preempt others, teams reach their limits, and jobs are cancelled.
    """
    world = World(seed, capacity=8)
    clock, rng, submit = world.clock, world.clock.rng, meetings_common.submit
    clock.run(6.0)
    for owner in ("red", "blue"):
        submit(
            world, owner=owner, crates=10, run_s=25.0, rank="best_effort", stow_s=4.0, lash_s=1.0
        )
        submit(world, owner=owner, crates=3, run_s=15.0, shape="group", rank="standard")
    for number in range(16):
        specs: list[dict[str, Any]] = [
            {"shape": "daemon", "crates": 2, "cores": 2.0},
            {"shape": "group", "crates": 3, "cores": 2.0, "run_s": 8.0},
            {"crates": 6, "rank": "urgent", "run_s": 6.0, "sail_s": 30.0},
            {"crates": 4, "quay": "a", "cores": 2.0, "standby": False},
            {"crates": 3, "together": True, "run_s": 10.0},
            {"crates": 4, "scatter": True, "run_s": 10.0},
            {"shape": "daemon", "crates": 2, "scatter": True, "quay": None},
            {"crates": 12, "cores": 0.5, "run_s": 5.0, "hulls": ["h4", "x9"]},
        ]
        cancel = 10 + rng.random() * 15 if number % 3 == 0 else None
        owner = rng.choice(["red", "blue"])
        clock.at(
            12.0 + 2.5 * number,
            partial(_submit, world, cancel, {**specs[number % 8], "owner": owner}),
        )
    clock.at(30.0, partial(world.odd_requests, 20.0, 0.7))
    clock.at(40.0, partial(_kill_machines, world, 2))
    clock.at(44.0, partial(_crash_leader, world))
    clock.at(50.0, partial(world.cancel_now, 4, 6.0))
    clock.run(95.0)


def _kill_machines(world: World, count: int) -> None:
    for name in sorted(world.cloud.workers)[:count]:
        world.cloud.kill(name)


def _submit(world: World, cancel: float | None, changes: dict[str, Any]) -> None:
    meetings_common.submit(world, cancel, **changes)


def preemption(seed: int) -> None:
    """Submit services and urgent arrays while arrays of low priority occupy all machines."""
    world = World(seed, capacity=5)
    clock = world.clock
    for number in range(6):
        changes = {
            "crates": 8,
            "run_s": 60.0,
            "rank": "best_effort",
            "owner": "red" if number % 2 else "blue",
            "stow_s": 5.0 if number % 3 else 0.0,
            "lash_s": 1.0 if number % 3 else 0.0,
        }
        clock.at(2.0 + number, partial(_submit, world, None, changes))
    for number in range(6):
        service: dict[str, Any] = {"shape": "daemon", "crates": 2, "cores": 2.0}
        urgent: dict[str, Any] = {"rank": "urgent", "crates": 3, "run_s": 8.0, "sail_s": 20.0}
        clock.at(
            25.0 + 4 * number, partial(_submit, world, 30.0, service if number % 2 else urgent)
        )
    clock.at(40.0, partial(_crash_leader, world, 0.3))
    clock.run(85.0)


def spot_machines(seed: int) -> None:
    """Let the cloud reclaim spot machines with and without notice; then it fails for 8 s.

    Spot machines and on-demand machines have different prices.
    """
    world = World(seed, capacity=14)
    clock, rng = world.clock, world.clock.rng
    meetings_common.work(world, 60.0)

    def reclaim_half() -> None:
        spot = sorted(name for name, worker in world.cloud.workers.items() if worker.row["standby"])
        for name in rng.sample(spot, len(spot) // 2):
            world.cloud.workers[name].be_taken(rng.choice([0.0, 5.0, 12.0]))
            clock.after(12.5, partial(world.cloud.take, name))

    for time_s in (25.0, 42.0):
        clock.at(time_s, reclaim_half)
    clock.at(50.0, lambda: setattr(world.cloud, "out_until", 58.0))
    clock.run(90.0)


OBJECTIVES = [
    {"kind": "wait", "class": "arr", "within_s": 20.0, "share": 0.9},
    {"kind": "deadline", "class": "arr", "times": 1.5, "share": 0.9},
    {"kind": "deadline", "class": "svc", "times": 2.0},
    {"kind": "finished", "within_s": 60.0, "share": 0.95},
    {"kind": "guarantee", "share": 1.0},
    {"kind": "of a later version", "within_s": 1.0},
]


def objectives(seed: int) -> None:
    """Configure objectives, of which one kind is unknown, and submit more jobs than fit."""
    with patch.object(deployment, "OBJECTIVES", OBJECTIVES):
        world = World(seed, capacity=5)
        rng = world.clock.rng
        for number in range(24):
            changes = {
                "crates": rng.randint(1, 6),
                "run_s": 3 + 9 * rng.random(),
                "owner": rng.choice(["red", "blue"]),
                "rank": rng.choice(["standard", "best_effort", "urgent"]),
                "sail_s": rng.choice([15.0, 40.0, None]),
            }
            world.clock.at(2.0 + 1.5 * number, partial(_submit, world, None, changes))
        world.clock.at(25.0, partial(_crash_leader, world))
        world.clock.run(85.0)


def large_records(seed: int) -> None:
    """Submit jobs whose records come near the store's value size limit, then lower the limit."""
    world = World(seed, capacity=12, announced=deployment.NEXT)
    rng = world.clock.rng
    for number in range(14):
        changes = {
            "hulls": ["h4", *(f"type-{index:04d}" for index in range(rng.choice([5, 60, 400])))],
            "crates": rng.choice([2, 12, 24]),
            "cores": 0.5,
            "run_s": 6.0 + 10 * rng.random(),
            "scatter": number % 3 == 0,
        }
        cancel = 12.0 if number % 4 == 1 else None
        world.clock.at(3.0 + 3.0 * number, partial(_submit, world, cancel, changes))
    runs = {task: 1 + task % 9 for task in range(200)}
    wide = {"crates": 200, "cores": 0.25, "run_s": 4.0, "runs": runs}
    world.clock.at(6.0, partial(_submit, world, None, wide))
    world.clock.at(30.0, partial(world.state.lower, **deployment.NEXT))
    world.clock.at(45.0, partial(_crash_leader, world))
    for number, count in enumerate((3, 40, 200)):
        prerequisites = [f"job-{index:06d}" for index in range(1, 1 + count)]
        dependent = {"tethers": prerequisites, "run_s": 2.0}
        world.clock.at(50.0 + number, partial(_submit, world, None, dependent))
    world.clock.run(100.0)


def changing_catalogue(seed: int) -> None:
    """Change prices, zones and sizes of machine types, and add and remove a type."""
    with patch.object(deployment, "TYPES", [dict(kind) for kind in deployment.TYPES]):
        world = World(seed, capacity=14)
        kind = world.cloud.types[0]
        big = {**kind, "name": "h8", "cores": 8, "memory_gb": 32, "hourly": 0.35, "quays": ["b"]}
        meetings_common.work(world, 60.0)
        changes: list[Callable[[], object]] = [
            partial(kind.update, hourly=0.5, market_price=0.4),
            partial(world.cloud.types.append, big),
            partial(kind.update, quays=["a"]),
            partial(world.cloud.types.remove, big),
            partial(kind.update, quays=["a", "b"], memory_gb=24),
        ]
        for number, change in enumerate(changes):
            world.clock.at(12.0 + 14.0 * number, change)
        world.clock.at(31.0, partial(_crash_leader, world))
        world.clock.run(95.0)


_add("objectives", objectives)
_add("large-records", large_records)
_add("changing-catalogue", changing_catalogue)
_add("kinds-of-work", kinds_of_work, quick=True)
_add("preemption", preemption, quick=True)
_add("spot-machines", spot_machines)


# --- short arrays --------------------------------------------------------------
def _run_short_arrays(*names: str) -> Callable[[int], object]:
    """Return a run of wide arrays of short tasks, with these faults, in a deployment of its own."""

    def run(seed: int) -> None:
        with ExitStack() as stack:
            for module, name, value in short_arrays.DEPLOYMENT:
                stack.enter_context(patch.object(module, name, value))
            short_arrays.day(seed, *names, end_s=110.0)

    return run


for _seed, _names in enumerate(
    [
        ("wave", "all_crash"),
        ("sick_machines", "burst", "cloud_out"),
        ("fewer_machines", "state_refuses_one"),
        ("zones_apart", "rolled", "boots_late"),
        ("one_loses_its_workers", "peers_refused", "state_out"),
    ],
    2,
):
    _add("short-arrays-" + _names[0].replace("_", "-"), _run_short_arrays(*_names), seed=_seed)


# --- operators -----------------------------------------------------------------
def administration(seed: int) -> None:
    """Send valid and invalid requests of operators to all controllers.

    They read everything and change settings, machines and log levels, also during an outage of the
    store and while the leader is down.
    """
    world = _with_policies(seed)
    clock, rng = world.clock, world.clock.rng
    clock.at(30.0, lambda: chains.pipeline(world, 1, 1, 6.0))
    for step in range(120):
        clock.at(6.0 + 0.5 * step, partial(_operate, world, ADMIN_READS[step % len(ADMIN_READS)]))
    for step in range(60):
        clock.at(9.0 + step, partial(_operate, world, rng.choice(ADMIN_CHANGES)))
    for time_s, action in ((20.0, "cordon"), (33.0, "uncordon"), (40.0, "drain"), (52.0, "cordon")):
        clock.at(time_s, partial(_operate_machine, world, action))
    clock.at(48.0, lambda: world.state.outage(5.0))
    clock.at(58.0, partial(_crash_leader, world))
    clock.run(85.0)


ADMIN_READS: list[tuple[str, str, Any]] = [
    ("GET", "status", None),
    ("GET", "jobs", None),
    ("GET", "machines", None),
    ("GET", "teams", None),
    ("GET", "settings", None),
    ("GET", "rebalancing", None),
    ("GET", "capacity", None),
    ("GET", "changes/-/0/500", None),
    ("GET", "changes/n0.1/5/20", None),
    ("GET", "changes/n1.1/0/x", None),
    ("GET", "changes/n2.1/3/500", None),
    ("GET", "nothing", None),
    ("GET", "machines/x", None),
    ("POST", "status", None),
]
"""method, path and body of requests of operators that change nothing"""
ADMIN_CHANGES: list[tuple[str, str, Any]] = [
    ("PATCH", "settings", {"settings": {"step_tasks": 3, "sample": 5}}),
    ("PATCH", "settings", {"settings": {"step_tasks": None, "idle_return_s": 15}}),
    ("PATCH", "settings", {"settings": {"machines_max": 9, "lost_work_weight": 2.5}}),
    ("PATCH", "settings", {"settings": {"moves_paused": 1}}),
    ("PATCH", "settings", {"settings": {"moves_paused": 0, "moves_dry_run": 1}}),
    ("PATCH", "settings", {"settings": {"moves_dry_run": None}, "version": 1}),
    ("PATCH", "settings", {"settings": {"sample": True}}),
    ("PATCH", "settings", {"settings": {"sample": 10**6}}),
    ("PATCH", "settings", {"settings": {"unknown": 1}}),
    ("PATCH", "settings", []),
    ("PATCH", "settings", {"settings": {}, "version": "x"}),
    ("PUT", "log-level", {"level": "debug"}),
    ("PUT", "log-level", {"level": "loud"}),
    ("DELETE", "log-level", None),
    ("POST", "machines/vm-none/drain", None),
    ("POST", "capacity/propose", {"request": "p", "shares": {"sealing": {"all": 0.25}}}),
    ("POST", "capacity/apply", {"request": "", "shares": 3}),
    ("POST", "capacity/apply", {"request": "q", "shares": {"nobody": {"all": 0.25}}}),
    ("POST", "capacity/withdraw", {"request": "none"}),
]
"""method, path and body of requests of operators that change something or are refused"""


def _operate(world: World, request: tuple[str, str, Any]) -> None:
    method, path, body = request
    node = world.nodes[world.clock.rng.choice(world.names)]
    encoded = b"" if body is None else json.dumps(body).encode()
    if node.up:
        node.request(method, f"/admin/v1/{path}", encoded, lambda *_: None)


def _operate_machine(world: World, action: str) -> None:
    machines = sorted(world.cloud.workers)
    for name in world.clock.rng.sample(machines, min(3, len(machines))):
        for _ in range(2):  # twice, so that controllers that do not own the machine are asked too
            _operate(world, ("POST", f"machines/{name}/{action}", None))


def _with_policies(seed: int) -> World:
    """Build a cluster with rebalancing and capacity shares, and with jobs of both partitions."""
    world = World(
        seed,
        capacity=0,
        rebalancing=spreading.rules(moves={"cooldown_s": 8.0}),
        shares=sharing.shares(),
    )
    world.cloud.add_machines(8, 0.5)
    world.clock.at(20.0, partial(world.cloud.add_machines, 4, 1.0, 8))
    for number in range(6):
        spec = spreading.service(world, number)
        world.clock.at(5.0 + number, partial(world.submit, spec, 40.0 if number == 5 else None))
    for number in range(10, 14):
        spec = spreading.saving_array(world, number, 3, run_s=20.0)
        world.clock.at(8.0 + number, partial(world.submit, spec))
    return world


_add("administration", administration, quick=True)


# --- capacity shares -------------------------------------------------------------
def shares_change(seed: int, controllers: bool, *injected_faults: str, **change: Any) -> None:
    """Change the shares of two partitions under load, then withdraw and repeat changes."""
    world = sharing.busy(seed, controllers=controllers)
    clock = world.clock
    clock.at(40.0, partial(world.insist, 0.25, "r1"))
    for fault in injected_faults:
        clock.at(41.0, partial(faults.strike, world, fault))
    clock.at(46.0, partial(world.change, "n0", "propose", request="p1", shares=_shares(0.6)))
    clock.at(50.0, partial(world.apply, "n1", 0.75, "r2", **change))
    clock.at(51.0, partial(world.change, "n2", "withdraw", request="r2"))
    clock.at(54.0, partial(world.apply, "n2", 0.75, "r3", **change))
    clock.run(95.0)


def _shares(sealing: float) -> dict[str, Any]:
    return {"sealing": {"all": sealing}, "front": {"all": round(1 - sealing, 6)}}


def lending(seed: int) -> None:
    """Lend idle machines, and return them by drains and by stopping tasks with checkpoints."""
    world = sharing.lending(seed, run_s=60.0, saves=bool(seed % 2))
    world.array(2, "red", run_s=20.0, tasks=6, memory_gb=15.0)
    world.clock.at(55.0, partial(_crash_leader, world))
    world.clock.run(95.0)


def share_requests(seed: int) -> None:
    """Request changes of shares at all controllers.

    Some requests are concurrent, repeated, invalid, or have a version or a deadline; some are made
    while answers of the store are lost or the store is down.
    """
    world = sharing.started(seed)
    clock = world.clock
    for number in range(6):
        world.job(number, "red", tasks=1, memory_gb=9.0)
    world.array(30, "red", run_s=60.0, tasks=6, saves=True)
    invalid_bodies: list[dict[str, Any]] = [
        {},
        {"shares": {"sealing": 1}},
        {"request": "", "shares": {"sealing": {"all": 0.5}}},
        {"request": "r", "shares": {"sealing": {"all": 0.7}}},
        {"request": "r", "shares": {"sealing": {"all": "x"}}},
        {"request": "r", "shares": {"nobody": {"all": 0.5}}},
        {"request": "r", "shares": {"sealing": {"b": 0.5}}},
        {"request": "r", "shares": {}, "version": "x"},
        {"request": "r", "shares": {}, "deadline_s": -1},
        {"request": "r", "shares": {}, "deadline_s": "soon"},
    ]
    for number, body in enumerate(invalid_bodies):
        clock.at(19.0 + 0.2 * number, partial(world.change, "n0", "apply", **body))
    clock.at(22.0, partial(world.change, "n1", "withdraw", request="nothing"))
    clock.at(22.5, partial(world.change, "n1", "propose", request="p", shares=_shares(0.25)))
    clock.at(24.0, partial(world.apply, "n0", 0.25, "first", version=0, deadline_s=5.0))
    clock.at(24.0, partial(world.apply, "n1", 0.75, "second", version=0))
    for name in world.names:
        clock.at(28.0, partial(world.apply, name, 0.25, "first"))
    clock.at(36.0, lambda: setattr(world.state, "lost_answers", 1.0))
    clock.at(36.5, partial(world.apply, "n2", 0.4, "third"))
    clock.at(39.0, lambda: setattr(world.state, "lost_answers", 0.0))
    clock.at(48.0, partial(world.change, "n0", "withdraw", request="fourth"))
    clock.at(56.0, partial(world.state.outage, 4.0))
    clock.at(57.0, partial(world.apply, "n1", 0.75, "fifth"))
    clock.at(64.0, partial(world.apply, "n1", 0.25, "sixth", deadline_s=0))
    clock.run(90.0)


def moved_replicas(seed: int) -> None:
    """Move replicas from machines that change partitions to machines that are nearly full."""
    world = sharing.started(seed)
    for number in range(6):
        world.job(number, "red", tasks=1, cores=2.0, memory_gb=8.5)
    world.clock.run(22.0)
    for number in range(10, 16):
        world.job(number, "red", tasks=1, cores=2.0, memory_gb=7.0)
    for number in range(4):
        world.clock.at(28.0 + number, partial(world.cancel, f"job-{number:06d}"))
    world.clock.at(32.0, partial(world.apply, "n0", 0.25, "r1"))
    world.array(20, "red", run_s=15.0, tasks=6)
    world.clock.run(90.0)


_add("share-requests", share_requests, seed=8)
_add("shares-replicas", moved_replicas, seed=18)
_add("shares", partial(shares_change, controllers=False), quick=True)
_add("shares-controllers", partial(shares_change, controllers=True), seed=2)
_add("shares-crash", lambda seed: shares_change(seed, True, "crash", "cut"), seed=3)
_add("shares-outage", lambda seed: shares_change(seed, False, "outage", "alone", "die"), seed=4)
_add("shares-lending", lending, seed=30)
_add("shares-lending-saves", lending, seed=31)


# --- rebalancing -----------------------------------------------------------------
def rebalancing(seed: int, *injected_faults: str, **rules: Any) -> None:
    """Add machines to a few full ones, so that running tasks are moved to them.

    Later, arrays and services start and end, after which tasks are moved again.
    """
    world = spreading.crowded(seed, spreading.rules(**rules), arrays=3)
    clock, rng = world.clock, world.clock.rng
    clock.at(45.0, partial(_crash_leader, world, 3.0))
    for fault in injected_faults:
        for time_s in (28.0, 34.0, 50.0):
            clock.at(time_s, partial(faults.strike, world, fault))
    for number in range(20, 28):
        spec = spreading.saving_array(world, number, 3, run_s=10.0 + 15.0 * rng.random())
        if number % 2:
            spec = spreading.service(world, number, 1 + number % 3)
        clock.at(32.0 + 2 * number - 40, partial(world.submit, spec, 25.0 if number % 4 else None))
    clock.run(100.0)


DATA_SETS = [
    DataSet("near-a", zones=["a"], classes=["arr"]),
    DataSet("near-some", machines=["vm-000001", "vm-000005"], teams=["red"]),
    DataSet("near-type", types=["h4", "x9"], classes=["svc"]),
]
_add("rebalancing", rebalancing, quick=True)
_add("rebalancing-faults", lambda seed: rebalancing(seed, "cut", "die", "alone"), seed=2)
_add("rebalancing-crashes", lambda seed: rebalancing(seed, "crash", "outage", "deaf"), seed=3)
_add(
    "rebalancing-data",
    partial(rebalancing, locality=2.0, image=0.5, speed=0.5, packing=0.2, datasets=DATA_SETS),
    seed=4,
)


# --- faults during a move ------------------------------------------------------
def moves_with_faults(seed: int, *injected_faults: str) -> None:
    """Inject each fault while the owner of a job carries out a move."""
    world = spreading.crowded(seed, spreading.rules(moves={"cooldown_s": 5.0}), arrays=4)
    remaining = list(injected_faults)

    def inject_during_move(not_before: float) -> None:
        moves = [
            node.runs.move(order)
            for node in world.nodes.values()
            if node.up
            for order in node.runs.moves_under_way(node.engine)
        ]
        if moves and remaining and world.clock.now >= not_before:
            _inject_move_fault(world, remaining.pop(0), moves[0])
            not_before = world.clock.now + 8.0
        world.clock.after(0.05, partial(inject_during_move, not_before))

    world.clock.at(26.0, partial(inject_during_move, 26.0))
    for number in range(20, 32):
        spec = spreading.saving_array(world, number, 2, run_s=12.0)
        world.clock.at(30.0 + 3 * (number - 20), partial(world.submit, spec))
        if number % 3 == 0:
            service = spreading.service(world, number + 20, 3)
            world.clock.at(31.0 + 3 * (number - 20), partial(world.submit, service, 20.0))
    world.clock.run(105.0)


def _run_moves(injected_faults: tuple[str, ...], seed: int) -> None:
    moves_with_faults(seed, *injected_faults)


def _inject_move_fault(world: World, fault: str, move: MoveUnderWay) -> None:
    clock, names = world.clock, set(world.names)
    match fault:
        case "cut_source":
            clock.cut({move.source}, names, 12.0, False)
        case "hold_source":
            clock.cut({move.source}, names, 8.0, True)
        case "late_report":
            for name in world.names:
                world.late_copy(name, world.cloud.workers[move.source].body(), 2.0)
        case "cancel":
            world.cancel(move.job)
        case "destination_dies":
            world.cloud.kill(move.destination)
        case "destination_cordoned":
            for _ in range(3):
                _operate(world, ("POST", f"machines/{move.destination}/cordon", None))
        case "leader_ends":
            _crash_leader(world)
        case "all_end":
            for node in world.nodes.values():
                node.crash(1.5)
        case "apart":
            leader = world.leader()
            clock.cut({leader}, names - {leader}, 7.0, False)
        case "freeze":
            world.nodes[world.leader()].freeze(6.0, mid_batch=True)
        case "outage":
            world.state.outage(6.0)
        case "lost_answers":
            world.state.lost_answers = 0.5
            clock.after(5.0, lambda: setattr(world.state, "lost_answers", 0.0))
        case "late_writes":
            world.state.late_writes = 0.4
            clock.after(5.0, lambda: setattr(world.state, "late_writes", 0.0))
        case _:
            raise ValueError(fault)


for _seed, _faults in enumerate(
    [
        ("cancel", "destination_dies", "late_report", "leader_ends", "hold_source"),
        ("destination_cordoned", "outage", "cut_source", "all_end", "late_writes"),
        ("lost_answers", "freeze", "apart", "cancel", "destination_dies"),
    ],
    1,
):
    _add(f"moves-{_faults[0].replace('_', '-')}", partial(_run_moves, _faults), seed=_seed)
