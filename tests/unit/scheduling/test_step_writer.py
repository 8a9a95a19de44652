"""Unit tests of the step writer: a decision is carried out in one write."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from appledock.core.jobs.reconcile_queue import PendingReason, ReconcileQueue
from appledock.core.machines.capacity_index import StepReservation
from appledock.core.records.job import Attempt, Job
from appledock.core.scheduling.decisions import HandedOff, Placed, Waiting
from appledock.core.scheduling.placement import PlacedTasks
from appledock.core.scheduling.step_writer import StepWriter
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica, View
from tests.test_decisions import room
from tests.test_requests import spec


class StepWriterHarness:
    """A step writer with fakes that record their calls; a record holds at most `max_attempts`."""

    def __init__(self, max_attempts: int = 99, can_commit: bool = True) -> None:
        self.commits: list[tuple[Job, Priority, list[StepReservation] | None]] = []
        self.changed_machines: list[str] = []
        self.batching_ended: list[str] = []
        self.queue = ReconcileQueue(placement_due=False)
        replica = Replica()
        replica.view = View(7, {"n0": "x", "n1": "y"}, "n0")

        def commit(
            job: Job,
            new: Job,
            priority: Priority,
            reservations: list[StepReservation] | None = None,
        ) -> bool:
            self.commits.append((new, priority, reservations))
            return can_commit

        codec: Any = SimpleNamespace(
            fits=lambda job: len(job.attempts) <= max_attempts,
            drop_unoffered_types=lambda job: job,
        )
        capacity_index: Any = SimpleNamespace(mark_changed=self.changed_machines.append)
        settlement: Any = SimpleNamespace(copy_without_settled_attempts=lambda job: job.copy())
        writer: Any = SimpleNamespace(commit=commit)
        pacing: Any = SimpleNamespace(forget=self.batching_ended.append)
        self.step_writer = StepWriter(
            replica, codec, capacity_index, self.queue, settlement, writer, pacing
        )


def placed(job: Job, *counts: int, handoff_to: str | None = None) -> Placed:
    assignments = [PlacedTasks(room(f"vm-{n}", 4.0), count) for n, count in enumerate(counts)]
    return Placed(job, assignments, handoff_to)


def test_waiting_jobs_show_their_reason_and_are_not_written() -> None:
    harness = StepWriterHarness()
    job = Job(spec(id="job-1"), 0.0)
    assert not harness.step_writer.carry_out(job, Waiting(PendingReason.TEAM_LIMIT))
    assert harness.queue.pending_reasons == {"job-1": PendingReason.TEAM_LIMIT}
    assert not harness.queue.placement_due
    decision = Waiting(PendingReason.BATCHING, retry_soon=True)
    assert not harness.step_writer.carry_out(job, decision)
    assert harness.queue.placement_due and not harness.commits


def test_a_hand_off_names_the_new_owner_with_its_incarnation_and_places_nothing() -> None:
    harness = StepWriterHarness()
    job = Job(spec(id="job-1", shape="daemon"), 0.0)
    assert harness.step_writer.carry_out(job, HandedOff("n1"))
    ((new, priority, reservations),) = harness.commits
    assert new.handoff_target == ("n1", "y") and new.last_step == 0 and not reservations
    assert priority is Priority.URGENT and job.handoff_target is None


def test_a_step_writes_attempts_of_the_present_term_and_hands_off_the_rest() -> None:
    harness = StepWriterHarness()
    job = Job(spec(id="job-1", crates=9), 0.0, last_step=4)
    harness.queue.pending_reasons["job-1"] = PendingReason.NO_CAPACITY
    assert harness.step_writer.carry_out(job, placed(job, 2, 1, handoff_to="n1"))
    ((new, priority, reservations),) = harness.commits
    assert new.attempts == [
        Attempt("vm-0", 1, 5, 7, False, {0, 1}),
        Attempt("vm-1", 1, 5, 7, False, {2}),
    ]
    assert new.last_step == 5 and new.handoff_target == ("n1", "y")
    assert reservations == [("vm-0", job.spec, 2), ("vm-1", job.spec, 1)]
    assert priority is Priority.STEP
    assert not harness.queue.pending_reasons and harness.batching_ended == ["job-1"]


@pytest.mark.parametrize(("shape", "machines"), [("batch", 2), ("group", 0)])
def test_a_step_too_large_for_the_record_is_written_in_part_except_a_gang(
    shape: str, machines: int
) -> None:
    harness = StepWriterHarness(max_attempts=3)
    job = Job(spec(id="job-1", crates=4, shape=shape), 0.0)
    assert harness.step_writer.carry_out(job, placed(job, 1, 1, 1, 1)) == bool(machines)
    assert [len(new.attempts) for new, _, _ in harness.commits] == ([machines] if machines else [])
    assert harness.queue.pending_reasons == (
        {} if machines else {"job-1": PendingReason.RECORD_FULL}
    )
    assert harness.changed_machines == ["vm-0", "vm-1", "vm-2", "vm-3"]


def test_the_capacity_of_machines_is_recomputed_if_a_step_cannot_be_written() -> None:
    harness = StepWriterHarness(can_commit=False)
    job = Job(spec(id="job-1", crates=4), 0.0)
    assert not harness.step_writer.carry_out(job, placed(job, 2, 2))
    assert harness.changed_machines == ["vm-0", "vm-1"]
