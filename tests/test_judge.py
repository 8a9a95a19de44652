"""Proof that the judge can fail: each guard is removed, and the judge must notice."""

from __future__ import annotations

import pytest

from appledock import wire
from appledock.core.jobs.cancelled_task_halter import CancelledTaskHalter
from appledock.core.jobs.cancelled_task_machine_deleter import CancelledTaskMachineDeleter
from appledock.core.membership.membership import Membership
from appledock.core.records.job import Attempt, Job
from appledock.core.scheduling import placement
from appledock.core.workers import Workers
from appledock.core.workers.command_reconciler import CommandReconciler
from tests.guards import (
    absence_settles,
    answers_without_proof,
    no_charges,
    no_job_version,
    silence_settles,
)
from tests.standins.faults import play
from tests.standins.world import World

Patch = pytest.MonkeyPatch
VERDICT = Workers.verdict


def kinds(seeds: range, *faults: str, late_orders: float = 0.0) -> set[str]:
    """Rules broken on some days, until one is."""
    found: set[str] = set()
    for seed in seeds:
        found |= play(seed, *faults, seconds=110.0, late_orders=late_orders).judge.kinds()
        if found:
            break
    return found


def isolated_for_long() -> set[str]:
    """Two controllers lose state service and peers, but not the workers, and the
    third loses the workers."""
    world = World(2)
    for number in range(8):
        spec = {
            **world.spec(number),
            "shape": "daemon",
            "crates": 2,
            "quay": None,
            "together": False,
            "scatter": False,
            "run_s": 1e9,
            "standby": False,
        }
        world.clock.at(1.0 + number, lambda s=spec: world.submit(s))
    for name in world.names[:2]:
        world.clock.at(
            30.0,
            lambda n=name: world.clock.cut(
                {n}, {"state", *(x for x in world.names if x != n)}, 60.0, True
            ),
        )
    world.clock.at(
        30.0, lambda: world.clock.cut(set(world.cloud.workers), {world.names[2]}, 60.0, True)
    )
    world.clock.run(100.0)
    return world.judge.kinds()


def test_silence_taken_for_settlement(monkeypatch: Patch) -> None:
    silence_settles(monkeypatch, 3.0)
    assert "ran_twice" in kinds(range(10), "cut")


def test_missing_taken_for_settlement_without_a_higher_term(monkeypatch: Patch) -> None:
    absence_settles(monkeypatch)
    assert kinds(range(10), late_orders=0.3) & {"ran_twice", "quota"}


def test_steps_without_the_job_version(monkeypatch: Patch) -> None:
    no_job_version(monkeypatch)
    assert kinds(range(10), "late", "isolate") & {
        "ran_cancelled",
        "went_back",
        "ran_twice",
        "forgotten",
        "quota",
    }


def test_a_fenced_controller_that_still_writes_and_answers(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Membership, "fencing_conditions", lambda self: {})
    assert "ran_twice" not in isolated_for_long()
    monkeypatch.setattr(Membership, "has_authority", lambda self: self.is_joined())
    assert "ran_twice" in isolated_for_long()


def test_steps_that_do_not_charge_the_team(monkeypatch: Patch) -> None:
    no_charges(monkeypatch)
    assert "quota" in kinds(range(10))


def test_machines_taken_whatever_the_job_allows(monkeypatch: Patch) -> None:
    monkeypatch.setattr(placement, "is_allowed_on", lambda spec, room: True)
    assert "wrong_place" in kinds(range(10))


def test_answers_without_proof(monkeypatch: Patch) -> None:
    answers_without_proof(monkeypatch)
    assert kinds(range(10), "isolate", "crash") & {"went_back", "forgotten"}


def test_cancelled_jobs_that_are_never_halted(monkeypatch: Patch) -> None:
    """Owners that halt nothing are not enough to break the rule: whoever sees a task of a
    cancelled job halts it. Without that, machines go; without that too, the judge notices."""
    commands = CommandReconciler.commands_for
    monkeypatch.setattr(
        CommandReconciler,
        "commands_for",
        lambda self, worker, pushed: [
            x for x in commands(self, worker, pushed) if x.action != wire.HALT
        ],
    )
    assert "ran_cancelled" not in play(0, seconds=110.0).judge.kinds()
    monkeypatch.setattr(CancelledTaskHalter, "halt", lambda *_: None)
    deleted: list[str] = []
    delete = CancelledTaskMachineDeleter.delete
    monkeypatch.setattr(
        CancelledTaskMachineDeleter,
        "delete",
        lambda self, names: (deleted.extend(names), delete(self, names))[1],
    )
    assert "ran_cancelled" not in play(0, seconds=110.0).judge.kinds()
    assert deleted
    monkeypatch.setattr(CancelledTaskMachineDeleter, "delete", lambda *_: None)
    assert "ran_cancelled" in kinds(range(1))


def test_done_before_all_tasks_are(monkeypatch: Patch) -> None:
    def verdict(self: Workers, job: Job, attempt: Attempt, task: int) -> str | None:
        return "done" if VERDICT(self, job, attempt, task) else None

    monkeypatch.setattr(Workers, "verdict", verdict)
    assert "not_done" in kinds(range(10), "die", "cut")
