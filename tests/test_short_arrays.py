"""A cluster of short tasks in wide arrays, on machines most of which may be taken back.

Two zones have controllers and machines, two have machines only; the cloud takes two calls a
second and its list is eight seconds late. Troubles come singly and in drawn pairs, and every
rule and the checks at a day's end hold.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from appledock import constants as c
from appledock.core.controller import Controller
from tests.standins import deployment as standin_deployment
from tests.standins import machines as standin_machines
from tests.standins import meetings_common
from tests.standins.world import World

Patch = pytest.MonkeyPatch
Trouble = Callable[[World], None]
REPORT_S, LEASE_S, CANCEL_S = 1.0, 11.0, 36.0
TROUBLES_END_S, END_S = 75.0, 190.0
TEAMS = dict.fromkeys(("desk-0", "desk-1", "desk-2"), (60.0, 96.0))
TYPES = [
    {
        "name": "b16",
        "cores": 16,
        "cards": 0,
        "memory_gb": 64,
        "local_gb": 70,
        "pull_gb_per_s": 0.4,
        "hourly": 0.97,
        "market_price": 0.25,
        "boot_s": 10,
        "quays": ["a", "b", "c", "d"],
    }
]


@pytest.fixture(autouse=True)
def deployment(monkeypatch: Patch) -> None:
    """The times, teams and machines of this deployment."""
    monkeypatch.setattr(standin_machines, "REPORT_S", REPORT_S)
    monkeypatch.setattr(standin_machines, "LEASE_S", LEASE_S)
    monkeypatch.setattr(standin_deployment, "CANCEL_S", CANCEL_S)
    monkeypatch.setattr(standin_deployment, "TEAMS", TEAMS)
    monkeypatch.setattr(standin_deployment, "TYPES", TYPES)


def scan(world: World, **changes: Any) -> str:
    """A wide array of short tasks."""
    rng = world.clock.rng
    spec: dict[str, Any] = {
        "berth": "scan",
        "owner": rng.choice(sorted(TEAMS)),
        "crates": rng.choice([10, 20, 40]),
        "cores": 2.0,
        "memory_gb": 5.4,
        "cargo": f"scan-{rng.randint(0, 3)}",
        "image_gb": 0.9,
        "eta_s": 4.0,
        "run_s": 2.0 + 4.0 * rng.random(),
        "sail_s": None,
    }
    return meetings_common.submit(world, **{**spec, **changes})


def index(world: World) -> str:
    """An array of a few long tasks with a deadline."""
    rng = world.clock.rng
    return meetings_common.submit(
        world,
        cancel=10.0 if rng.random() < 0.2 else None,
        berth="index",
        owner=rng.choice(sorted(TEAMS)),
        crates=rng.randint(2, 6),
        cores=8.0,
        memory_gb=29.0,
        cargo=f"index-{rng.randint(0, 1)}",
        image_gb=1.2,
        eta_s=15.0,
        run_s=10.0 + 10.0 * rng.random(),
        sail_s=70.0,
    )


def archive(seed: int) -> World:
    """The cluster with its work, which ends with the troubles."""
    world = World(seed, capacity=18)
    world.cloud.rps, world.cloud.lag_s, world.cloud.of_kind = 2.0, 8, 3
    world.cloud.boot_s = (6.0, 15.0)
    for number in range(4):
        world.clock.at(1.0 + 0.3 * number, partial(scan, world))
        world.clock.at(1.1 + 0.3 * number, partial(index, world))

    def more(submit: Callable[[World], str], every_s: float) -> None:
        if world.clock.now < TROUBLES_END_S:
            submit(world)
            wait_s = every_s * (0.5 + world.clock.rng.random())
            world.clock.after(wait_s, partial(more, submit, every_s))

    world.clock.at(5.0, partial(more, scan, 2.5))
    world.clock.at(6.0, partial(more, index, 8.0))
    return world


# --- troubles -----------------------------------------------------------------
def boots_late(world: World) -> None:
    world.cloud.boot_s = (20.0, 60.0)
    world.clock.at(TROUBLES_END_S, lambda: setattr(world.cloud, "boot_s", (6.0, 15.0)))


def cloud_out(world: World) -> None:
    world.cloud.out_until = world.clock.now + 20.0


def fewer_machines(world: World) -> None:
    world.cloud.capacity = 8
    world.clock.at(TROUBLES_END_S, lambda: setattr(world.cloud, "capacity", 18))


def burst(world: World) -> None:
    for number in range(8):
        world.clock.after(0.5 * number, partial(scan, world))


def sick_machines(world: World) -> None:
    for name in sorted(world.cloud.workers)[:2]:
        world.cloud.workers[name].sick = True


def one_crashes(world: World) -> None:
    world.nodes[world.leader() or "n0"].crash(3.0)


def all_crash(world: World) -> None:
    for node in world.nodes.values():
        node.crash(3.0 * world.clock.rng.random())


def state_refuses_one(world: World) -> None:
    world.clock.cut({"n1"}, {"state"}, 25.0, False)


def one_loses_its_workers(world: World) -> None:
    world.clock.cut({"n2"}, set(world.cloud.workers), 25.0, True)


def rolled(world: World) -> None:
    for place, node in enumerate(world.nodes.values()):
        world.clock.after(8.0 * place, partial(node.crash, 3.0))


def peers_refused(world: World) -> None:
    world.refuse_peers(20.0)


def wave(world: World) -> None:
    """A third of the machines is taken back, some of them without notice."""
    rng = world.clock.rng
    spot = [name for name, worker in world.cloud.workers.items() if worker.row["standby"]]
    for name in rng.sample(sorted(spot), len(spot) // 3):
        notice_s = 0.0 if rng.random() < 0.15 else 4.0 + 8.0 * rng.random()
        world.clock.after(5.0 * rng.random(), partial(_take_back, world, name, notice_s))


def _take_back(world: World, name: str, notice_s: float) -> None:
    if name in world.cloud.workers:
        world.cloud.workers[name].be_taken(notice_s)


def state_out(world: World) -> None:
    world.state.outage(25.0)


def zones_apart(world: World) -> None:
    """A zone without a controller does not reach that of two of them."""
    zone = {name for name, worker in world.cloud.workers.items() if worker.row["quay"] == "d"}
    world.clock.cut(zone, {"n1", "n2"}, 20.0, True)


TROUBLES: dict[str, Trouble] = {
    trouble.__name__: trouble
    for trouble in (
        boots_late,
        cloud_out,
        fewer_machines,
        burst,
        sick_machines,
        one_crashes,
        all_crash,
        state_refuses_one,
        one_loses_its_workers,
        rolled,
        peers_refused,
        wave,
        state_out,
        zones_apart,
    )
}


def day(seed: int, *names: str) -> World:
    """A day on which these troubles come some seconds apart."""
    world = archive(seed)
    for place, name in enumerate(names):
        world.clock.at(28.0 + 6.0 * place, partial(TROUBLES[name], world))
    world.clock.at(TROUBLES_END_S, lambda: setattr(world.judge, "peace", TROUBLES_END_S))
    world.clock.run(END_S)
    world.ask_all()
    world.clock.run(END_S + 5.0)
    return world


def check(world: World) -> None:
    assert world.judge.broken == []
    assert world.judge.day_end(peace=TROUBLES_END_S) == []
    assert world.unfinished() == []
    assert len(world.judge.accepted) > 30


# --- tests ----------------------------------------------------------------------
@pytest.mark.parametrize("name", TROUBLES)
def test_rules_hold_in_each_trouble(name: str) -> None:
    check(day(1, name))


@pytest.mark.parametrize(
    ("seed", "names"),
    [
        (2, ("wave", "all_crash")),
        (3, ("state_out", "one_crashes")),
        (4, ("sick_machines", "burst")),
        (5, ("fewer_machines", "state_refuses_one")),
        (6, ("zones_apart", "rolled")),
        (7, ("one_loses_its_workers", "wave")),
    ],
)
def test_rules_hold_where_two_troubles_meet(seed: int, names: tuple[str, ...]) -> None:
    check(day(seed, *names))


def failed_starts(seed: int) -> int:
    """Tasks that one machine, which fails them all, has failed within half a minute."""
    world = archive(seed)
    world.clock.run(30.0)
    victim = sorted(world.cloud.workers)[0]
    worker = world.cloud.workers[victim]
    worker.sick, failed = True, 0
    leave = worker._exit

    def counted(key: tuple[str, int], cause: str, gone: bool = False) -> None:
        nonlocal failed
        failed += cause == "error"
        leave(key, cause, gone)

    worker._exit = counted  # type: ignore[method-assign]
    world.clock.run(60.0)
    assert world.judge.broken == []
    return failed


def test_a_machine_that_fails_all_is_set_aside_before_it_eats_an_array(
    monkeypatch: Patch,
) -> None:
    """Eight at a time, it takes the tasks of an array faster than any sound machine."""
    assert failed_starts(8) <= 24  # three times what fits it
    monkeypatch.setattr(c, "ERRORS_OF_JOBS", 10**9)
    assert failed_starts(8) > 24


def test_the_times_fit_into_a_cancellation(monkeypatch: Patch) -> None:
    """A controller cut off right before a cancellation answers its workers for a lease more,
    and they go on for theirs; then the deletion must still find its time."""

    def over_s() -> float:
        settings = standin_deployment.settings("n0", ["n0", "n1", "n2"])
        engine = Controller(settings, "x", random.Random(1))
        lapse_s = LEASE_S * (1 + c.CLOCK_DRIFT) + c.LAPSE_MARGIN_S
        return engine.runtime.lease_ttl_s * (1 + c.CLOCK_DRIFT) + lapse_s

    assert over_s() < CANCEL_S
    assert LEASE_S + c.CANCEL_DELETE_S < CANCEL_S
    monkeypatch.setattr(c, "GRANT_S", 600.0)
    assert over_s() < CANCEL_S  # shortened by what a cancellation has
    monkeypatch.setattr(c, "CANCEL_RESERVE_S", -3.0)
    assert over_s() > CANCEL_S
