"""Heartbeat intake, tested without a whole controller."""

from __future__ import annotations

from appledock import wire
from appledock.core.effects import PeerSend
from appledock.core.messages import WorkerHeartbeat
from tests.unit.workers.parts import MACHINE, Parts, heartbeat, task


def test_a_heartbeat_that_is_not_newer_has_no_effect_and_is_not_broadcast() -> None:
    parts = Parts()
    assert parts.intake.ingest_and_broadcast(heartbeat(7))
    (sent,) = parts.runtime.take_effects()
    assert isinstance(sent, PeerSend) and sent.message == WorkerHeartbeat(heartbeat(7), 0.0)
    for seq in (7, 6):
        assert not parts.intake.ingest_and_broadcast(heartbeat(seq, [task(wire.RUNNING)]))
    assert parts.runtime.take_effects() == []
    assert parts.table.rows[MACHINE].tasks == {}
    assert parts.intake.ingest(heartbeat(1, agent_epoch=2))  # numbers restart in a new epoch


def test_a_heartbeat_of_a_deleted_machine_does_not_bring_it_back() -> None:
    parts = Parts()
    parts.table.mark_deleted([MACHINE])
    assert not parts.intake.ingest(heartbeat(7))
    assert parts.table.rows == {}


def test_observers_receive_a_completed_task_with_the_time_for_which_it_was_seen_running() -> None:
    parts = Parts()
    parts.open_attempt()
    parts.intake.ingest(heartbeat(1, [task(wire.RUNNING)]))
    assert parts.table.rows[MACHINE].placement.idle_since == 0.0
    parts.runtime.now += 4.0
    parts.intake.ingest(heartbeat(2, [task(wire.EXITED, wire.DONE)]))
    assert parts.completed == [(MACHINE, "job-1", 4.0)]
    assert parts.table.rows[MACHINE].placement.idle_since == parts.runtime.now


def test_only_relevant_changes_trigger_reconciliation() -> None:
    parts = Parts()
    parts.intake.ingest(heartbeat(1))
    assert parts.queue.changed_workers == {MACHINE} and parts.queue.placement_due
    parts.queue.changed_workers.clear()
    parts.queue.placement_due = False
    parts.intake.ingest(heartbeat(2))
    assert parts.queue.changed_workers == set() and not parts.queue.placement_due
    parts.intake.ingest(heartbeat(3, token=6))
    assert parts.queue.changed_workers == {MACHINE} and parts.queue.placement_due
