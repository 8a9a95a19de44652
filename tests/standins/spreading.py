"""A simulated cluster whose load has to be spread: few full machines, then many empty ones."""

from __future__ import annotations

import json
from functools import partial
from typing import Any

from appledock.rebalancing.settings import ClassWeights, DataSet, Moves, Rebalancing
from tests.standins.world import World

CORES = 4.0
"""of each machine"""


def rules(**changes: Any) -> Rebalancing:
    """Services and saving arrays are spread, with short times so that a day is short."""
    moves: dict[str, Any] = {"every_s": 2.0, "smooth_s": 4.0, "cooldown_s": 20.0, "in_flight": 2}
    moves |= changes.pop("moves", {})
    datasets: list[DataSet] = changes.pop("datasets", [])
    weights = {"spread": 1.0} | changes
    return Rebalancing(
        moves=Moves(**moves),
        classes=[ClassWeights("svc", **weights), ClassWeights("arr", **weights)],
        datasets=datasets,
    )


def service(world: World, number: int, tasks: int = 2, **changes: Any) -> dict[str, Any]:
    """Replicas of one core each that run until they are cancelled."""
    return {
        **world.spec(number),
        "berth": "svc",
        "shape": "daemon",
        "rank": "production",
        "owner": "red" if number % 2 else "blue",
        "crates": tasks,
        "cores": 1.0,
        "cargo": "img-0",
        "quay": None,
        "together": False,
        "scatter": False,
        "standby": False,
        "sail_s": None,
        "run_s": 1e9,
        **changes,
    }


def saving_array(world: World, number: int, tasks: int = 2, **changes: Any) -> dict[str, Any]:
    """Tasks that save their progress when they are stopped."""
    array: dict[str, Any] = {"berth": "arr", "shape": "batch", "sail_s": 600.0}
    saves = {"stow_s": 5.0, "lash_s": 1.0, "run_s": 90.0, "eta_s": 90.0}
    return service(world, number, tasks, **{**array, **saves, **changes})


def crowded(
    seed: int,
    rebalancing: Rebalancing | None,
    few: int = 3,
    joining: int = 9,
    arrays: int = 0,
    save_s: float = 1.0,
) -> World:
    """A few machines are filled in the first seconds; more join at 25 s and stay."""
    world = World(seed, capacity=few + joining, rebalancing=rebalancing)
    world.cloud.capacity = 0  # nothing is rented: what joins is ours to say
    world.cloud.add_machines(few, 0.5)
    world.clock.at(3.0, lambda: set_options(world, idle_return_s=3600))
    jobs = int(few * CORES) // 2
    for number in range(jobs):
        spec = service(world, number)
        if number < arrays:
            spec = saving_array(world, number, lash_s=save_s)
        world.clock.at(4.0 + 0.3 * number, partial(world.submit, spec))
    world.clock.at(25.0, lambda: world.cloud.add_machines(joining, 1.0, first=few))
    return world


def set_options(world: World, **options: float) -> None:
    """Operators change settings through any controller that knows them."""
    nodes = world.nodes.values()
    node = next(node for node in nodes if node.up and node.runs.has_rebalancing(node.engine))
    body = json.dumps({"settings": options}).encode()
    node.request("PATCH", "/admin/v1/settings", body, lambda *_: None)


def loads(world: World) -> dict[str, float]:
    """Committed share of each machine, as its worker has it."""
    return {
        name: sum(
            task["job"]["cores"] for task in worker.tasks.values() if task["status"] != "exited"
        )
        / CORES
        for name, worker in world.cloud.workers.items()
    }


def imbalance(world: World) -> float:
    """The largest load over the mean; 0 without load."""
    shares = list(loads(world).values())
    total = sum(shares)
    return max(shares) * len(shares) / total if total else 0.0


def outcomes(world: World) -> dict[str, int]:
    """What came of all moves, as their planners heard; lost with a controller's end."""
    result: dict[str, int] = {}
    for node in world.nodes.values():
        for outcome, count in node.runs.move_outcomes(node.engine).items():
            result[outcome] = result.get(outcome, 0) + count
    return result


def moving(world: World) -> list[Any]:
    """Moves that job owners have under way."""
    return [
        order
        for node in world.nodes.values()
        if node.up
        for order in node.runs.moves_under_way(node.engine)
    ]
