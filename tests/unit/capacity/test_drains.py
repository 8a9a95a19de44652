"""Drains: tasks with checkpoints are stopped only after a deadline, and other tasks never."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from appledock.capacity.ownership import Ownership, OwnershipBucket
from appledock.core.capacity.drains import MachineDrainer
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.records.capacity import AgreedFractions
from appledock.core.records.job import Attempt, Job
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from tests.test_requests import settings, spec

MACHINE = "vm-1"
GIVE_BACK_S = 30.0


class DrainerFixture:
    """A drainer, and a machine being handed over with one task of an own job on it."""

    def __init__(self, checkpoint_s: float = 5.0, stop_wall_time: float | None = None) -> None:
        self.runtime = Runtime(settings("n0", ["n0", "n1", "n2"]), "x", random.Random(1))
        self.runtime.now, self.runtime.wall_time = 100.0, 1000.0
        replica = Replica()
        replica.view = View(3, {"n0": "x"}, "n0")
        attempt = Attempt(MACHINE, 1, 1, 3, False, {0})
        self.job = Job(spec(stow_s=checkpoint_s), 0.0, 5, 1, attempts=[attempt])
        replica.set_job(self.job)
        replica.capacity.agreed_fractions = AgreedFractions(1, "r1", {}, {}, stop_wall_time)
        ownership = Ownership("rest", is_being_handed_over=True, is_lent=True)
        replica.capacity.buckets[0] = OwnershipBucket(1, {MACHINE: ownership})
        self.stopped: list[tuple[str, str, set[int]]] = []
        stop_requests: Any = SimpleNamespace(
            add=lambda job_id, machine, tasks: self.stopped.append((job_id, machine, tasks)),
            send_to_owner=lambda job, machine, tasks: self.stopped.append((job.id, machine, tasks)),
        )
        index: Any = SimpleNamespace(
            with_free_capacity={}, recompute=lambda: None, mark_changed=lambda machine: None
        )
        workers: Any = SimpleNamespace(table={})
        moves: Any = SimpleNamespace()
        self.drainer = MachineDrainer(
            runtime=self.runtime,
            replica=replica,
            workers=workers,
            capacity_index=index,
            stop_requests=stop_requests,
            moves=moves,
            partitions=PartitionMap(replica, index, None),
        )


def test_tasks_with_checkpoints_are_stopped_once_the_deadline_of_the_change_has_passed() -> None:
    fixture = DrainerFixture(stop_wall_time=1010.0)
    fixture.drainer.drain_own_jobs()
    assert fixture.stopped == []
    fixture.runtime.wall_time = 1010.0
    fixture.drainer.drain_own_jobs()
    assert fixture.stopped == [(fixture.job.id, MACHINE, {0})]


def test_without_deadline_or_checkpoints_no_task_is_stopped() -> None:
    for fixture in (DrainerFixture(), DrainerFixture(checkpoint_s=0.0, stop_wall_time=10.0)):
        fixture.drainer.drain_own_jobs()
        assert fixture.stopped == []


def test_tasks_on_a_returned_machine_are_stopped_after_the_configured_time() -> None:
    fixture = DrainerFixture()
    fixture.drainer.drain_as_leader(GIVE_BACK_S, max_moves=0)
    fixture.runtime.now += GIVE_BACK_S - 1.0
    fixture.drainer.drain_as_leader(GIVE_BACK_S, max_moves=0)
    assert fixture.stopped == []
    fixture.runtime.now += 1.0
    fixture.drainer.drain_as_leader(GIVE_BACK_S, max_moves=0)
    assert fixture.stopped == [(fixture.job.id, MACHINE, {0})]
