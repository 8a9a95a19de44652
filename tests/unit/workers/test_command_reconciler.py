"""Command reconciliation, tested without a whole controller."""

from __future__ import annotations

from appledock import constants, wire
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.workers.command_reconciler import CommandReconciler
from tests.unit.workers.fixture import MACHINE, WorkersFixture, heartbeat, task

KEY = ("job-1/0", 1)
EXITED = [task(wire.EXITED, wire.DONE)]


def reconciler(fixture: WorkersFixture) -> CommandReconciler:
    return CommandReconciler(
        fixture.runtime, fixture.replica, fixture.membership, ViewChangeRequests()
    )


def commands(fixture: WorkersFixture, pushed: bool = False) -> list[wire.Command]:
    return reconciler(fixture).commands_for(fixture.table.rows[MACHINE], pushed)


def test_a_recorded_task_missing_on_the_worker_is_launched_and_retried_after_a_delay() -> None:
    fixture = WorkersFixture()
    fixture.open_attempt()
    fixture.intake.ingest(heartbeat(1))
    assert commands(fixture, pushed=True) == [wire.Command(wire.LAUNCH, *KEY)]
    assert commands(fixture) == []
    fixture.runtime.now += constants.LAUNCH_RETRY_DELAY_S
    assert commands(fixture) == [wire.Command(wire.LAUNCH, *KEY)]


def test_a_task_without_a_record_is_halted_at_once() -> None:
    fixture = WorkersFixture()
    fixture.intake.ingest(heartbeat(1, [task(wire.RUNNING)]))
    assert commands(fixture, pushed=True) == [wire.Command(wire.HALT, *KEY, grace_s=0.0)]


def test_an_exited_task_is_forgotten_only_in_an_answer_and_only_if_no_launch_can_follow() -> None:
    fixture = WorkersFixture()
    fixture.open_attempt()
    fixture.intake.ingest(heartbeat(1, EXITED))
    assert commands(fixture) == []  # the attempt is still open in the record
    fixture.replica.jobs.clear()
    fixture.replica.attempts_by_machine.clear()
    sent_commands = fixture.table.rows[MACHINE].sent_commands
    for launches in (sent_commands.unconfirmed_launches, sent_commands.replayable_launches):
        launches[KEY] = 5
        assert commands(fixture) == []
        launches.clear()
    assert commands(fixture, pushed=True) == []
    assert commands(fixture) == [wire.Command(wire.FORGET, *KEY)]
