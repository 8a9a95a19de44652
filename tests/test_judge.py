"""The judge of the simulation detects every disabled safeguard.

A judge that reports nothing would let the tests with injected faults pass whatever the scheduler
does. So each test disables one safeguard and asserts that the judge reports a broken rule.
"""

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
    disable_job_version_conditions,
    disable_poll_confirmation,
    disable_quota_reservations,
    disable_term_check_of_missing_tasks,
    disable_wait_for_lease_expiry,
)
from tests.standins.faults import play
from tests.standins.world import World

Patch = pytest.MonkeyPatch
ORIGINAL_VERDICT = Workers.verdict


def broken_rules(seeds: range, *faults: str, late_orders: float = 0.0) -> set[str]:
    """Run the simulation with one seed after another until a rule is broken; return the rules."""
    broken: set[str] = set()
    for seed in seeds:
        broken |= play(seed, *faults, seconds=110.0, late_orders=late_orders).judge.kinds()
        if broken:
            break
    return broken


def broken_rules_after_long_isolation() -> set[str]:
    """Return the rules that are broken while fenced controllers still reach the workers.

    For 60 s, two controllers reach neither the store nor their peers, but still the workers, and
    the third controller reaches the store, but not the workers.
    """
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
            lambda isolated=name: world.clock.cut(
                {isolated},
                {"state", *(other for other in world.names if other != isolated)},
                60.0,
                True,
            ),
        )
    world.clock.at(
        30.0, lambda: world.clock.cut(set(world.cloud.workers), {world.names[2]}, 60.0, True)
    )
    world.clock.run(100.0)
    return world.judge.kinds()


def test_settlement_without_lease_expiry_is_detected(monkeypatch: Patch) -> None:
    disable_wait_for_lease_expiry(monkeypatch, 3.0)
    assert "ran_twice" in broken_rules(range(10), "cut")


def test_settlement_of_missing_tasks_without_a_higher_term_is_detected(monkeypatch: Patch) -> None:
    disable_term_check_of_missing_tasks(monkeypatch)
    assert broken_rules(range(10), late_orders=0.3) & {"ran_twice", "quota"}


def test_writes_without_the_job_version_condition_are_detected(monkeypatch: Patch) -> None:
    disable_job_version_conditions(monkeypatch)
    assert broken_rules(range(10), "late", "isolate") & {
        "ran_cancelled",
        "went_back",
        "ran_twice",
        "forgotten",
        "quota",
    }


def test_a_fenced_controller_that_still_writes_and_answers_is_detected(monkeypatch: Patch) -> None:
    monkeypatch.setattr(Membership, "fencing_conditions", lambda self: {})
    assert "ran_twice" not in broken_rules_after_long_isolation()
    monkeypatch.setattr(Membership, "has_authority", lambda self: self.is_joined())
    assert "ran_twice" in broken_rules_after_long_isolation()


def test_steps_that_reserve_no_quota_are_detected(monkeypatch: Patch) -> None:
    disable_quota_reservations(monkeypatch)
    assert "quota" in broken_rules(range(10))


def test_placement_on_machines_that_the_job_does_not_allow_is_detected(monkeypatch: Patch) -> None:
    monkeypatch.setattr(placement, "is_allowed_on", lambda spec, room: True)
    assert "wrong_place" in broken_rules(range(10))


def test_poll_answers_without_confirmation_are_detected(monkeypatch: Patch) -> None:
    disable_poll_confirmation(monkeypatch)
    assert broken_rules(range(10), "isolate", "crash") & {"went_back", "forgotten"}


def test_cancelled_jobs_that_are_never_halted_are_detected(monkeypatch: Patch) -> None:
    """All three ways to end cancelled tasks have to be disabled before the rule is broken.

    If the machine's owner sends no halts, other controllers that see the task halt it. If they do
    not either, the machine is deleted. The judge reports the rule once deletions are disabled too.
    """
    original_commands_for = CommandReconciler.commands_for
    monkeypatch.setattr(
        CommandReconciler,
        "commands_for",
        lambda self, worker, pushed: [
            command
            for command in original_commands_for(self, worker, pushed)
            if command.action != wire.HALT
        ],
    )
    assert "ran_cancelled" not in play(0, seconds=110.0).judge.kinds()
    monkeypatch.setattr(CancelledTaskHalter, "halt", lambda *_: None)
    deleted_machines: list[str] = []
    original_delete = CancelledTaskMachineDeleter.delete
    monkeypatch.setattr(
        CancelledTaskMachineDeleter,
        "delete",
        lambda self, machines: (
            deleted_machines.extend(machines),
            original_delete(self, machines),
        )[1],
    )
    assert "ran_cancelled" not in play(0, seconds=110.0).judge.kinds()
    assert deleted_machines
    monkeypatch.setattr(CancelledTaskMachineDeleter, "delete", lambda *_: None)
    assert "ran_cancelled" in broken_rules(range(1))


def test_a_job_that_is_done_before_all_its_tasks_is_detected(monkeypatch: Patch) -> None:
    def verdict(self: Workers, job: Job, attempt: Attempt, task: int) -> str | None:
        return "done" if ORIGINAL_VERDICT(self, job, attempt, task) else None

    monkeypatch.setattr(Workers, "verdict", verdict)
    assert "not_done" in broken_rules(range(10), "die", "cut")
