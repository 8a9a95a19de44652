"""What the controllers' work costs as a cluster grows: a repeatable load in one process.

    python3 -m tests.standins.load 40 400

Not a test: times depend on the machine. It prints, for each size, the mean and the
longest time of each kind of work, and the processor time that a controller took.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from appledock.core.engine import Engine
from appledock.core.fleet import Fleet
from appledock.core.requests import Requests
from appledock.core.steps import Steps
from appledock.core.workers import Workers
from tests.standins import world as worlds
from tests.standins.world import World

SECONDS = 80
WORK: list[tuple[str, type, str]] = [
    ("batch", Engine, "handle"),
    ("report", Workers, "on_report"),
    ("message of a peer", Workers, "on_peer"),
    ("look at leases", Workers, "tick"),
    ("placement pass", Steps, "_place_all"),
    ("fleet plan", Fleet, "_plan"),
    ("fleet returns", Fleet, "_return"),
    ("proof of polls", Requests, "_prove"),
    ("view change", Workers, "on_view"),
]


class Timer:
    """Wraps a method and adds up what its calls take."""

    def __init__(self, owner: type, name: str) -> None:
        self.calls, self.seconds, self.longest = 0, 0.0, 0.0
        method: Callable[..., Any] = getattr(owner, name)

        def timed(*args: Any) -> Any:
            since = time.perf_counter()
            try:
                return method(*args)
            finally:
                took = time.perf_counter() - since
                self.calls += 1
                self.seconds += took
                self.longest = max(self.longest, took)

        setattr(owner, name, timed)


def body(world: World, number: int, service: bool) -> dict[str, Any]:
    """Services of whole machines, arrays of a few to 180 tasks."""
    rng = world.clock.rng
    tasks = rng.choice([1, 1, 2, 4]) if service else min(180, 1 + int(rng.lognormvariate(3.2, 0.7)))
    return {
        **world.spec(number),
        "shape": "daemon" if service else "batch",
        "crates": tasks,
        "rank": "production" if service else "standard",
        "cores": 4.0 if service else 2.0,
        "quay": None,
        "together": False,
        "scatter": False,
        "standby": not service,
        "cargo": f"img-{rng.randint(0, 9)}",
        "eta_s": 30.0,
        "sail_s": None if service else 90.0,
        "run_s": 1e9 if service else rng.lognormvariate(3.4, 0.6),
    }


def play(machines: int) -> World:
    """Jobs arrive for a cluster of this size; one controller restarts at 50 s."""
    scale = machines / 400
    worlds.TEAMS.clear()
    worlds.TEAMS.update({f"t{i}": (400 * scale, 1200 * scale) for i in range(4)})
    world = World(7, capacity=machines)
    rng, due, number = world.clock.rng, 0.5, 0
    while due < SECONDS:
        number += 1
        service = rng.random() < 0.55
        job = body(world, number, service)
        cancel = 60 + rng.expovariate(1 / 150) if service else None
        world.clock.at(due, partial(world.submit, job, cancel))
        due += rng.expovariate((2.6 if due < 20 else 0.65) * scale)
    world.clock.at(50.0, lambda: world.nodes["n1"].crash(0.3))
    world.clock.run(float(SECONDS))
    return world


def main(sizes: list[int]) -> None:
    for machines in sizes:
        timers = {label: Timer(owner, name) for label, owner, name in WORK}
        world = play(machines)
        print(
            f"{machines} machines at most, {len(world.cloud.workers)} up, "
            f"{len(world.judge.jobs)} jobs, {world.judge.starts} tasks started, "
            f"{world.state.refused_writes} writes refused, broken: {world.judge.broken}"
        )
        for label, timer in timers.items():
            mean = timer.seconds / max(1, timer.calls)
            print(
                f"  {label:18} {timer.calls:7} calls, mean {1e6 * mean:8.0f} us, "
                f"longest {1e3 * timer.longest:7.1f} ms"
            )
        share = timers["batch"].seconds / SECONDS / len(world.names)
        print(f"  a controller took {share:.3f} s of processor time a second")


if __name__ == "__main__":
    main([int(size) for size in sys.argv[1:]] or [40, 400])
