"""Machines for the next stage of a pipeline are ready when the stage is."""

from __future__ import annotations

from typing import Any

import pytest

from appledock import constants as c
from appledock import wire
from appledock.core.fleet.forecast import ReadinessForecast
from appledock.core.fleet.model import JobDemand
from appledock.core.records.job import Job
from appledock.core.store.rate_limiter import Priority
from appledock.core.store_calls import Put, Transaction
from tests.standins import chains
from tests.standins.world import World
from tests.test_grown import owner_of_nothing, report
from tests.test_requests import spec

Patch = pytest.MonkeyPatch
STAGES: chains.Stages = [("first", []), ("wide", [0]), ("last", [1])]
RUN_S = 12.0


def wide_stage(seed: int, deadline_s: float | None = 90.0) -> tuple[float, int]:
    """How long the wide stage waits until all of it has started once it is ready, and the machines
    rented by the time its need ended."""
    world = World(seed, capacity=30)
    original = chains.spec

    def spec(
        world: World, job: str, job_class: str, needs: list[str], last: bool
    ) -> dict[str, Any]:
        body = original(world, job, job_class, needs, last)
        body.update(crates=20 if job_class == "wide" else 1, owner="red", run_s=RUN_S, eta_s=RUN_S)
        body["sail_s"] = deadline_s if last else None
        return body

    patch = pytest.MonkeyPatch()
    patch.setattr(chains, "spec", spec)
    with patch.context():
        first, wide, _ = chains.pipeline(world, 1, stages=STAGES)
        at: dict[str, float] = {}
        begun: set[str] = set()
        up = [0]

        def ended(job: str) -> None:
            at.setdefault(job, world.clock.now)
            if job == first:
                up[0] = len(world.cloud.machines)

        world.judge.when_complete = ended
        started = world.judge.started

        def begins(task: str, row: dict[str, object]) -> None:
            if task not in begun:
                begun.add(task)
                at["start " + task.partition("/")[0]] = world.clock.now
            started(task, row)

        patch.setattr(world.judge, "started", begins)
        world.clock.run(90.0)
    patch.undo()
    assert world.judge.broken == []
    return at["start " + wide] - at[first], up[0]


def test_machines_are_rented_before_the_next_stage_is_ready(monkeypatch: Patch) -> None:
    seeds = (3, 5, 6)
    ahead = [wide_stage(seed) for seed in seeds]
    monkeypatch.setattr(ReadinessForecast, "upcoming_jobs", lambda self: [])
    late = [wide_stage(seed) for seed in seeds]
    assert all(early[1] >= few[1] + 3 for early, few in zip(ahead, late, strict=True))
    # A boot takes 3 to 7 s there; the last machine to come up decides.
    assert sum(wait for wait, _ in ahead) < sum(wait for wait, _ in late) - 2.0 * len(seeds)


def test_nothing_is_rented_ahead_for_a_chain_without_deadline(monkeypatch: Patch) -> None:
    _, up = wide_stage(3, None)
    monkeypatch.setattr(ReadinessForecast, "upcoming_jobs", lambda self: [])
    _, few = wide_stage(3, None)
    assert up == few


def test_idle_machines_are_kept_for_a_coming_stage_only_as_far_as_it_needs_them() -> None:
    """Kept for any coming stage, nearly all idle machines stayed."""
    e = owner_of_nothing()
    e.machine_types.update({"h4": wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"])})
    names = [f"vm-{number:06d}" for number in range(6)]
    for name in names:
        e.workers.ingest_heartbeat(report(name, 1))
    e.capacity_index.recompute()
    reserve = e.fleet.upcoming_reserve
    stage = Job(spec(id="job-000001", crates=9, cores=2.0, memory_gb=1.0), 0.0, 1)

    def kept(demand: list[JobDemand]) -> int:
        reserve.reset(demand)
        return sum(reserve.try_reserve(name) for name in names)

    assert kept([JobDemand(stage, 5, is_ready=False)]) == 3
    assert kept([JobDemand(stage, 5, is_ready=False), JobDemand(stage, 2, is_ready=False)]) == 4
    assert kept([JobDemand(stage, 5)]) == 0  # what is queued is looked at by itself


def test_arrays_gather_room_for_a_larger_step_while_writes_lack() -> None:
    e = owner_of_nothing()
    job = Job(spec(id="job-000001", crates=30), 0.0, 1)
    assert not e.pacing.should_batch(job, job, 2)
    for _ in range(c.WAITING_CALLS_THRESHOLD + 1):
        e.client.submit(Transaction({}, [Put("ad/x", 1)]), Priority.STEP, lambda reply: None)
    assert not e.pacing.should_batch(job, job, c.BATCHING_TASKS_MIN)
    assert e.pacing.should_batch(job, job, 2)
    nearly_done = Job(spec(id="job-000002", crates=2), 0.0, 1)
    assert not e.pacing.should_batch(nearly_done, nearly_done, 2)
    service = Job(spec(id="job-000003", crates=4, shape="daemon"), 0.0, 1)
    assert not e.pacing.should_batch(service, service, 1)
    e.runtime.now += c.STEP_BATCHING_WINDOW_S
    assert not e.pacing.should_batch(job, job, 2)
