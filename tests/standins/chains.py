"""Pipelines of jobs, as users submit them: each job as soon as those that it needs are
accepted, some the last one only when the others are over."""

from __future__ import annotations

from functools import partial
from typing import Any

from tests.standins.faults import strike
from tests.standins.job_specs import ARRAY_SPEC
from tests.standins.world import World

Stages = list[tuple[str, list[int]]]
"""class of each job of a pipeline, and the places of those that it needs"""
CHAIN: Stages = [("first", []), ("wide", [0]), ("wide", [0]), ("join", [1, 2]), ("last", [0, 3])]
DEEP: Stages = [("first", []), *(("join", [stage]) for stage in range(29))]
WIDE: Stages = [("first", []), *[("join", [0])] * 60, ("last", list(range(1, 61)))]
DIAMONDS: Stages = [("first", [])]
"""one behind the other: each opens into five jobs, which meet in the first of the next"""
for opening in range(0, 36, 6):
    DIAMONDS += [("join", [opening])] * 5 + [("join", list(range(opening + 1, opening + 6)))]


def spec(world: World, job: str, job_class: str, needs: list[str], last: bool) -> dict[str, Any]:
    rng = world.clock.rng
    return {
        **ARRAY_SPEC,
        "id": job,
        "berth": job_class,
        "owner": rng.choice(["red", "blue"]),
        "rank": "urgent" if last else "best_effort",
        "crates": rng.randint(2, 5) if job_class == "wide" else rng.randint(1, 2),
        "cargo": f"img-{job_class}",
        "eta_s": 4.0,
        "sail_s": 90.0 if last else None,
        "tethers": needs or None,
        "run_s": 2 + rng.random() * 5,
    }


def pipeline(
    world: World,
    number: int,
    cancel: int | None = None,
    cancel_after: float = 0.0,
    late: bool = False,
    stages: Stages = CHAIN,
) -> list[str]:
    """Submit a pipeline from now on; its job at the place `cancel` is called off so long
    after its submission. `late`: the last job comes only when all others are over."""
    names = [f"job-9{number:03d}{place:03d}" for place in range(len(stages))]
    specs = [
        spec(
            world,
            names[place],
            job_class,
            [names[need] for need in needs],
            place == len(stages) - 1,
        )
        for place, (job_class, needs) in enumerate(stages)
    ]

    def submit(place: int) -> None:
        needs = specs[place]["tethers"] or []
        wait_for = names[:-1] if late and place == len(stages) - 1 else []
        if all(need in world.judge.accepted for need in needs) and all(
            name in world.judge.final for name in wait_for
        ):
            world.submit(specs[place], cancel_after if cancel == place else None)
        else:
            world.clock.after(0.3, lambda: submit(place))

    for place in range(len(stages)):
        submit(place)
    return names


def day(seed: int, *faults: str, chains: int = 9, until: float = 70.0) -> World:
    """Pipelines, a third of them with a job called off, among services, under faults."""
    world = World(seed)
    clock, rng = world.clock, world.clock.rng
    for number in range(3):
        one = {
            **world.spec(900 + number),
            "shape": "daemon",
            "rank": "production",
            "berth": "svc",
            "crates": 1,
            "run_s": 1e9,
            "sail_s": None,
            "together": False,
            "scatter": False,
            "standby": False,
        }
        clock.at(1.0 + number, partial(world.submit, one))

    def begin(number: int, cancel: int | None) -> None:
        pipeline(world, number, cancel, 1 + 7 * rng.random(), late=number % 4 == 1)

    for number in range(chains):
        cancel = rng.randrange(5) if number % 3 == 0 else None
        clock.at(8 + rng.random() * (until - 25), partial(begin, number, cancel))
    for time in range(14, int(until), 7):
        for fault in faults:
            if rng.random() < 0.6:
                clock.at(time + 5 * rng.random(), partial(strike, world, fault))
    if "late_writes" in faults:
        world.state.late_writes = 0.15
    clock.run(until + 25.0)
    world.peace()
    clock.run(until + 130.0)
    world.ask_all()
    clock.run(until + 140.0)
    return world


def submit_at(world: World, one: dict[str, Any], node: str) -> None:
    """Submit a job through that controller; if it does not take it, through any."""
    job = one["id"]
    world.judge.jobs[job] = one
    world.judge.submitted.setdefault(job, world.clock.now)
    world._ask(
        job,
        "POST",
        "/v2/runs",
        world._body(one),
        (200, 201),
        lambda: world._poll(job),
        node,
    )


def ask_at(world: World, job: str, node: str) -> None:
    world._ask(job, "GET", f"/v2/runs/{job}", b"", (), None, node)


def cancel_at(world: World, job: str, node: str) -> None:
    """Cancel a job through that controller and no other, again and again until it does."""
    world.judge.asked_cancel.add(job)

    def again() -> None:
        if job not in world.judge.final:
            any_status = (0, 200, 429, 503, 504)
            world._ask(job, "POST", f"/v2/runs/{job}/cancel", b"", any_status, None, node)
            world.clock.after(0.5, again)

    again()


def note_taken_back(world: World) -> list[str]:
    """Answers that a job waits or runs, to questions asked after anybody was told that it,
    or one that it needs at any distance, is cancelled: stricter than the judge, which
    gives a cascade the time of a cancellation. Not the answers to submissions: they say
    what their controller's picture, which may lag by a moment, shows of the needs."""
    found: list[str] = []
    answered = world.judge.answered

    def noted(job: str, sent: float, status: int, state: str | None, poll: bool) -> None:
        goes_on = poll and state in ("pending", "running")
        for need in {job} | world.judge.before(job) if goes_on else ():
            ended, at = world.judge.final.get(need, ("", 0.0))
            if ended == "withdrawn" and at < sent:
                found.append(f"{world.clock.now:.2f} {job} is {state}, {need} was cancelled")
        answered(job, sent, status, state, poll)

    world.judge.answered = noted  # type: ignore[method-assign]
    return found
