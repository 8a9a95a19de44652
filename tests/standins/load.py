"""What the controllers' work costs as a cluster grows: a repeatable load in one process.

    python3 -m tests.standins.load 40 400
    python3 -m tests.standins.load --chains 1000

Not a test: times depend on the machine. It prints, for each size, the mean and the
longest time of each kind of work, and the processor time that a controller took.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from appledock.core.api.status_polls import StatusPolls
from appledock.core.controller import Controller
from appledock.core.fleet import Fleet
from appledock.core.scheduling.placement_pass import PlacementPass
from appledock.core.store.keys import FINAL_PREFIX, TEAMS_PREFIX
from appledock.core.workers import Workers
from tests.standins import deployment
from tests.standins.world import World

SECONDS = 80
"""s of simulated time"""
PIPELINE_EVERY_S = 6
"""s between two pipelines"""
WORK: list[tuple[str, type, str]] = [
    ("batch", Controller, "handle"),
    ("report", Workers, "on_heartbeat"),
    ("message of a peer", Workers, "on_peer_message"),
    ("look at leases", Workers, "tick"),
    ("placement pass", PlacementPass, "run"),
    ("scale out", Fleet, "rent_missing"),
    ("scale in", Fleet, "delete_surplus"),
    ("proof of polls", StatusPolls, "confirm"),
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
        "berth": "service" if service else "array",
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


def stage(world: World, job: str, tasks: int, needs: list[str], last: bool) -> dict[str, Any]:
    """One array of a pipeline; only the last one has a deadline and a high priority."""
    rng = world.clock.rng
    return {
        **body(world, 0, False),
        "id": job,
        "berth": "stage",
        "crates": tasks,
        "rank": "urgent" if last else "best_effort",
        "tethers": needs or None,
        "sail_s": 180.0 if last else None,
        "run_s": rng.lognormvariate(3.0, 0.4),
    }


def submit_pipeline(world: World, number: int) -> None:
    """Two to four wide arrays between a small first and two small last stages."""
    rng = world.clock.rng
    names = [f"job-8{number:04d}{place}" for place in range(7)]
    wide = names[1 : 1 + rng.randint(2, 4)]
    stages: list[tuple[str, int, list[str]]] = [(names[0], 6, [])]
    stages += [(name, min(240, int(rng.lognormvariate(4.1, 0.5))), [names[0]]) for name in wide]
    stages += [(names[5], 3, wide), (names[6], 3, [names[0], names[5]])]

    def submit(place: int) -> None:
        job, tasks, needs = stages[place]
        if all(need in world.judge.accepted for need in needs):
            world.submit(stage(world, job, tasks, needs, place == len(stages) - 1))
        else:
            world.clock.after(0.3, lambda: submit(place))

    for place in range(len(stages)):
        submit(place)


def play(machines: int, chains: bool = False) -> World:
    """Jobs arrive for a cluster of this size; one controller restarts at 50 s.

    With `chains`, pipelines arrive too, under the lowered limits of the state service
    from 20 s on, so that many steps wait for their writes.
    """
    scale = machines / 400
    teams = dict(deployment.TEAMS)
    deployment.TEAMS.clear()
    deployment.TEAMS.update({f"t{i}": (400 * scale, 1200 * scale) for i in range(4)})
    try:
        return _play(machines, scale, chains)
    finally:
        deployment.TEAMS.clear()
        deployment.TEAMS.update(teams)


def _play(machines: int, scale: float, chains: bool) -> World:
    world = World(7, capacity=machines, announced=deployment.NEXT if chains else None)
    if chains:
        world.clock.at(20.0, lambda: world.state.lower(**deployment.NEXT))
        for number in range(int(SECONDS / PIPELINE_EVERY_S) - 1):
            world.clock.at(5.0 + number * PIPELINE_EVERY_S, partial(submit_pipeline, world, number))
    rng, due, number = world.clock.rng, 0.5, 0
    while due < SECONDS:
        number += 1
        service = rng.random() < 0.55
        job = body(world, number, service)
        cancel = 60 + rng.expovariate(1 / 150) if service else None
        world.clock.at(due, partial(world.submit, job, cancel))
        due += rng.expovariate((2.6 if due < 20 else 0.65) * (0.7 if chains else scale))
    world.clock.at(50.0, lambda: world.nodes["n1"].crash(0.3))
    world.clock.run(float(SECONDS))
    return world


@dataclass
class WritesOfClass:
    """What the state service carried out for the jobs of one class."""

    jobs: int = 0
    records: int = 0
    """puts of open records: acceptance, steps, lists of finished tasks, stops"""
    ends: int = 0
    """puts and deletes of the transactions that ended jobs"""

    @property
    def each(self) -> float:
        return (self.records + self.ends) / max(1, self.jobs)


def writes_by_class(world: World) -> tuple[dict[str, WritesOfClass], int]:
    """Writes for the jobs that are over, by class, and those of the teams' records."""
    result: dict[str, WritesOfClass] = {}
    over = {job for job in world.judge.jobs if FINAL_PREFIX + job in world.state.rows}
    teams = 0
    for event in world.state.history:
        key = event.get("set") or event["drop"]
        teams += key.startswith(TEAMS_PREFIX)
        job = key.rpartition("/")[2]
        if job not in over:
            continue
        spec = world.judge.jobs[job]
        row = result.setdefault(str(spec["berth"]), WritesOfClass())
        if key.startswith(FINAL_PREFIX):
            row.jobs += 1
            row.ends += 1
        elif "drop" in event:
            row.ends += 1
        else:
            row.records += 1
    return result, teams


def main(sizes: list[int], chains: bool) -> None:
    for machines in sizes:
        timers = {label: Timer(owner, name) for label, owner, name in WORK}
        world = play(machines, chains)
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
        classes, teams = writes_by_class(world)
        for name, row in sorted(classes.items()):
            print(f"  writes of {name:18} {row.jobs:4} jobs over, {row.each:5.1f} each")
        print(f"  writes of teams' records {teams}")
        share = timers["batch"].seconds / SECONDS / len(world.names)
        print(f"  a controller took {share:.3f} s of processor time a second")


if __name__ == "__main__":
    words = sys.argv[1:]
    main([int(word) for word in words if word != "--chains"] or [40, 400], "--chains" in words)
