"""A cluster of short tasks in wide arrays, on machines most of which may be taken back.

Two zones have controllers and machines, two have machines only; the cloud takes two calls a
second and its list is eight seconds late. Troubles come singly or together.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from types import ModuleType
from typing import Any

from tests.standins import deployment, machines, meetings_common
from tests.standins.world import World

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
DEPLOYMENT: list[tuple[ModuleType, str, Any]] = [
    (machines, "REPORT_S", REPORT_S),
    (machines, "LEASE_S", LEASE_S),
    (deployment, "CANCEL_S", CANCEL_S),
    (deployment, "TEAMS", TEAMS),
    (deployment, "TYPES", TYPES),
]
"""what this deployment sets in the stand-ins: module, name and value"""


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


def day(seed: int, *names: str, end_s: float = END_S) -> World:
    """A day on which these troubles come some seconds apart."""
    world = archive(seed)
    for place, name in enumerate(names):
        world.clock.at(28.0 + 6.0 * place, partial(TROUBLES[name], world))
    world.clock.at(TROUBLES_END_S, lambda: setattr(world.judge, "peace", TROUBLES_END_S))
    world.clock.run(end_s)
    world.ask_all()
    world.clock.run(end_s + 5.0)
    return world
