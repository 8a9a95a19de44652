"""What meetings of troubles are made of: the work that goes on, and whom a trouble strikes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.standins.deployment import CANCEL_S
from tests.standins.job_specs import ARRAY_SPEC
from tests.standins.world import World

Missing = Callable[[], list[str]]
Meeting = Callable[[World], Missing]
OUTAGE_S = CANCEL_S + 4.0


def submit(world: World, cancel: float | None = None, **changes: Any) -> str:
    """A job of a user, cancelled so much later."""
    job = f"job-{len(world.judge.jobs) + 1:06d}"
    spec = {**ARRAY_SPEC, **changes, "id": job}
    if spec["shape"] == "daemon":
        spec.update(
            berth="svc", rank="production", standby=False, eta_s=0.0, sail_s=None, run_s=1e9
        )
    world.submit(spec, cancel)
    return job


def work(world: World, until: float) -> None:
    """Services and arrays of all kinds at once, then a small array every few seconds."""
    rng = world.clock.rng
    submit(world, shape="daemon", crates=3, cores=2.0)
    submit(world, shape="daemon", crates=2, owner="blue", together=True)
    submit(world, shape="daemon", crates=2, owner="blue", scatter=True)
    submit(world, crates=6, run_s=45.0, stow_s=10.0, lash_s=1.5)
    submit(world, crates=4, cores=2.0, run_s=60.0, owner="blue")
    submit(world, crates=3, run_s=50.0, quay="a")
    submit(world, crates=3, run_s=50.0, together=True, owner="blue")
    submit(world, crates=4, run_s=25.0, scatter=True, rank="best_effort")

    def more() -> None:
        if world.clock.now < until:
            submit(
                world,
                crates=rng.randint(1, 3),
                run_s=3 + rng.random() * 20,
                owner=rng.choice(["red", "blue"]),
                cargo=f"img-{rng.randint(0, 2)}",
                rank=rng.choice(["standard", "best_effort", "urgent"]),
                quay=rng.choice([None, None, "a"]),
                standby=rng.random() < 0.7,
            )
            world.clock.after(2 + 5 * rng.random(), more)

    world.clock.after(6.0, more)


def long_jobs(world: World, count: int, **changes: Any) -> None:
    """Arrays that are there to be called off."""
    for number in range(count):
        submit(
            world,
            **{"run_s": 200.0, "cores": 0.5, "owner": "red" if number % 2 else "blue", **changes},
        )


def others(world: World, node: str) -> list[str]:
    return [name for name in world.names if name != node]


def owned(world: World, node: str) -> set[str]:
    """Machines of this controller by the newest view."""
    view = world.view()
    return {name for name in world.cloud.workers if view and view.owner_of(name) == node}


def confirmed(world: World, since: float, until: float) -> list[str]:
    """Jobs whose user was told between these times that they are cancelled."""
    return [
        job
        for job, (state, at) in world.judge.final.items()
        if state == "withdrawn" and since <= at <= until
    ]


def some(world: World, count: int) -> list[str]:
    """Machines that run tasks, drawn."""
    busy = sorted(
        name
        for name, worker in world.cloud.workers.items()
        if any(row["status"] == "running" for row in worker.tasks.values())
    )
    return world.clock.rng.sample(busy, min(count, len(busy)))


def of_jobs(world: World, jobs: list[str]) -> list[str]:
    """Machines that run tasks of these jobs."""
    return sorted(
        {
            machine
            for task, places in world.judge.on.items()
            if task.partition("/")[0] in jobs
            for machine in places
        }
    )


def cancels(world: World, at: list[float], count: int = 1, hang_s: float = 0.0) -> None:
    """So many running jobs are called off, each time."""
    for time in at:
        world.clock.after(time, lambda: void(world.cancel_now(count, hang_s)))


def void(_: Any) -> None:
    """For actions whose result nobody needs."""


def asked(missing: dict[str, bool]) -> list[str]:
    return [what for what, happened in missing.items() if not happened]
