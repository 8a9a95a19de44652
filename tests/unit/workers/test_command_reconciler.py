"""Command reconciliation, tested without a whole controller."""

from __future__ import annotations

from appledock import constants, wire
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.workers.command_reconciler import CommandReconciler
from tests.unit.workers.parts import MACHINE, Parts, heartbeat, task

KEY = ("job-1/0", 1)
EXITED = [task(wire.EXITED, wire.DONE)]


def reconciler(parts: Parts) -> CommandReconciler:
    return CommandReconciler(parts.runtime, parts.replica, parts.membership, ViewChangeRequests())


def commands(parts: Parts, pushed: bool = False) -> list[wire.Command]:
    return reconciler(parts).commands_for(parts.table.rows[MACHINE], pushed)


def test_a_recorded_task_missing_on_the_worker_is_launched_and_retried_after_a_delay() -> None:
    parts = Parts()
    parts.open_attempt()
    parts.intake.ingest(heartbeat(1))
    assert commands(parts, pushed=True) == [wire.Command(wire.LAUNCH, *KEY)]
    assert commands(parts) == []
    parts.runtime.now += constants.LAUNCH_RETRY_DELAY_S
    assert commands(parts) == [wire.Command(wire.LAUNCH, *KEY)]


def test_a_task_without_a_record_is_halted_at_once() -> None:
    parts = Parts()
    parts.intake.ingest(heartbeat(1, [task(wire.RUNNING)]))
    assert commands(parts, pushed=True) == [wire.Command(wire.HALT, *KEY, grace_s=0.0)]


def test_an_exited_task_is_forgotten_only_in_an_answer_and_only_if_no_launch_can_follow() -> None:
    parts = Parts()
    parts.open_attempt()
    parts.intake.ingest(heartbeat(1, EXITED))
    assert commands(parts) == []  # the attempt is still open in the record
    parts.replica.jobs.clear()
    parts.replica.attempts_by_machine.clear()
    sent_commands = parts.table.rows[MACHINE].sent_commands
    for launches in (sent_commands.unconfirmed_launches, sent_commands.replayable_launches):
        launches[KEY] = 5
        assert commands(parts) == []
        launches.clear()
    assert commands(parts, pushed=True) == []
    assert commands(parts) == [wire.Command(wire.FORGET, *KEY)]
