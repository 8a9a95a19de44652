"""What the work costs, counted: decisions, proofs and encodings must not grow unnoticed."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest

from appledock import constants as c
from appledock.core.jobs.settlement import Settlement
from appledock.core.records.job import Job
from appledock.core.scheduling.step_planner import StepPlanner
from appledock.core.workers import Workers
from tests.standins import load
from tests.standins.faults import strike
from tests.standins.world import World

Patch = pytest.MonkeyPatch
MACHINES = 150


def count(patch: Patch, counted: Counter[str], name: str, owner: type, method: str) -> None:
    original: Callable[..., Any] = getattr(owner, method)

    def counting(*args: Any) -> Any:
        counted[name] += 1
        return original(*args)

    patch.setattr(owner, method, counting)


def test_work_for_each_task_stays_bounded_while_chains_wait_for_writes(
    monkeypatch: Patch,
) -> None:
    """Guards against a day that used up its processor time: every report made its
    controller look again at all attempts of every job with a task on that machine."""
    counted: Counter[str] = Counter()
    count(monkeypatch, counted, "proofs", Workers, "verdict")
    count(monkeypatch, counted, "encodings", Job, "encode")
    count(monkeypatch, counted, "decisions", StepPlanner, "decide")
    count(monkeypatch, counted, "reports", Workers, "on_heartbeat")
    world = load.play(MACHINES, chains=True)
    assert world.judge.broken == []
    assert world.judge.starts > 500
    assert counted["proofs"] < 2.5 * counted["reports"]
    assert counted["encodings"] < 4 * world.state.revision
    assert counted["decisions"] < 8 * world.state.revision
    assert world.state.refused_writes < 0.1 * world.state.revision
    assert world.state.too_large == 0


def overlooked(patch: Patch, seed: int) -> float:
    """The longest time for which an attempt that is proven over stayed unnoticed while
    its job was looked at, under faults."""
    since: dict[tuple[Settlement, str, int, int], float] = {}
    longest = 0.0
    settled = Settlement.without_settled_attempts

    def compare(self: Settlement, job: Job) -> Job | None:
        nonlocal longest
        result = settled(self, job)
        left = result if result is not None else job
        open_now = {(a.attempt_number, task) for a in left.attempts for task in a.tasks}
        for attempt in job.attempts:
            for task in attempt.tasks:
                key = (self, job.id, attempt.attempt_number, task)
                proven = self._verdict(job, attempt, task) is not None
                if proven and (attempt.attempt_number, task) in open_now:
                    longest = max(longest, world.clock.now - since.setdefault(key, world.clock.now))
                else:
                    since.pop(key, None)
        return result

    patch.setattr(Settlement, "without_settled_attempts", compare)
    world = World(seed)
    for number in range(20):
        one = world.spec(number)
        world.clock.at(0.5 + 2 * number, lambda one=one: world.submit(one))
    for place, fault in enumerate(("crash", "cut", "die", "alone", "hang", "freeze")):
        world.clock.at(8.0 + 6 * place, lambda fault=fault: strike(world, fault))
    world.clock.run(60.0)
    assert world.judge.broken == []
    return longest


def test_what_is_settled_is_noticed_at_once_or_by_the_next_sweep(monkeypatch: Patch) -> None:
    assert overlooked(monkeypatch, 11) <= c.JOB_SWEEP_INTERVAL_S + c.QUEUE_PASS_INTERVAL_S
    monkeypatch.undo()
    # Without the sweep and the news of machines, proofs stay unnoticed.
    monkeypatch.setattr(Settlement, "on_machine_changed", lambda self, machine: None)
    monkeypatch.setattr(Settlement, "examine_all", lambda self, job_id: None)
    assert overlooked(monkeypatch, 11) > c.JOB_SWEEP_INTERVAL_S + c.QUEUE_PASS_INTERVAL_S
