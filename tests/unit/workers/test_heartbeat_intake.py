"""Heartbeat intake, tested without a whole controller."""

from __future__ import annotations

from appledock import wire
from appledock.core.effects import PeerSend
from appledock.core.messages import WorkerHeartbeat
from tests.unit.workers.fixture import MACHINE, WorkersFixture, heartbeat, task


def test_a_heartbeat_that_is_not_newer_has_no_effect_and_is_not_broadcast() -> None:
    fixture = WorkersFixture()
    assert fixture.intake.ingest_and_broadcast(heartbeat(7))
    (sent,) = fixture.runtime.take_effects()
    assert isinstance(sent, PeerSend) and sent.message == WorkerHeartbeat(heartbeat(7), 0.0)
    for seq in (7, 6):
        assert not fixture.intake.ingest_and_broadcast(heartbeat(seq, [task(wire.RUNNING)]))
    assert fixture.runtime.take_effects() == []
    assert fixture.table.rows[MACHINE].tasks == {}
    assert fixture.intake.ingest(heartbeat(1, agent_epoch=2))  # numbers restart in a new epoch


def test_a_heartbeat_of_a_deleted_machine_does_not_bring_it_back() -> None:
    fixture = WorkersFixture()
    fixture.table.mark_deleted([MACHINE])
    assert not fixture.intake.ingest(heartbeat(7))
    assert fixture.table.rows == {}


def test_observers_receive_a_completed_task_with_the_time_for_which_it_was_seen_running() -> None:
    fixture = WorkersFixture()
    fixture.open_attempt()
    fixture.intake.ingest(heartbeat(1, [task(wire.RUNNING)]))
    assert fixture.table.rows[MACHINE].placement.idle_since == 0.0
    fixture.runtime.now += 4.0
    fixture.intake.ingest(heartbeat(2, [task(wire.EXITED, wire.DONE)]))
    assert fixture.completed == [(MACHINE, "job-1", 4.0)]
    assert fixture.table.rows[MACHINE].placement.idle_since == fixture.runtime.now


def test_only_relevant_changes_trigger_reconciliation() -> None:
    fixture = WorkersFixture()
    fixture.intake.ingest(heartbeat(1))
    assert fixture.queue.changed_workers == {MACHINE} and fixture.queue.placement_due
    fixture.queue.changed_workers.clear()
    fixture.queue.placement_due = False
    fixture.intake.ingest(heartbeat(2))
    assert fixture.queue.changed_workers == set() and not fixture.queue.placement_due
    fixture.intake.ingest(heartbeat(3, token=6))
    assert fixture.queue.changed_workers == {MACHINE} and fixture.queue.placement_due
