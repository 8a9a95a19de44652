"""The capacity index, tested with its collaborators and without a controller."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from appledock import wire
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.machines.eligibility import Eligibility
from appledock.core.records.job import Attempt, Job
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker
from tests.test_requests import spec

MACHINE_TYPE = wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a"])
REPORT_S = 2.0


class IndexFixture:
    """A capacity index over one idle, eligible worker `vm-1` that has the image of `job-1`."""

    def __init__(self) -> None:
        cluster = SimpleNamespace(workers=SimpleNamespace(report_s=REPORT_S))
        self.runtime: Any = SimpleNamespace(now=100.0, settings=SimpleNamespace(cluster=cluster))
        self.worker = Worker("vm-1")
        self.report()
        self.worker.status.image_seen_at[spec().image] = 100.0
        self.worker.reachability.last_healthy_at = 100.0
        self.workers: Any = SimpleNamespace(table={"vm-1": self.worker}, deleted_machines={})
        self.replica = Replica()
        self.replica.put("ad/live/view", {"term": 1, "members": {"n0": "x"}, "leader": "n0"}, 1)
        types = {"h4": MACHINE_TYPE}
        self.index = CapacityIndex(
            runtime=self.runtime,
            workers=self.workers,
            replica=self.replica,
            machine_types=types,
            eligibility=Eligibility(self.runtime, self.workers, types),
            admission_of=lambda worker: None,
            is_load_tracked=lambda: False,
        )
        self.index.mark_changed("vm-1")

    def report(self, *tasks: wire.TaskReport) -> None:
        """Set the worker's newest heartbeat."""
        self.worker.status.report = wire.Report(
            "vm-1", "10.0.0.9:9", "h4", "a", 1, 1, 1, tasks=list(tasks)
        )
        self.worker.status.tasks = {(task.task, task.attempt): task for task in tasks}

    def free_cpus(self) -> float:
        """Return the free CPUs of `vm-1` after a `recompute`."""
        self.index.recompute()
        return self.index.machines["vm-1"].cpus


def test_a_step_under_way_reserves_capacity_until_its_outcome_is_known() -> None:
    fixture = IndexFixture()
    assert fixture.free_cpus() == 4.0
    fixture.index.reserve_step("job-1", [StepReservation("vm-1", spec(cores=1.0), 3)])
    assert fixture.free_cpus() == 1.0
    fixture.index.release_step("job-1")
    assert fixture.free_cpus() == 4.0
    assert fixture.index.reserved_tasks == {}


def test_a_move_reserves_one_task_and_admits_no_other_move() -> None:
    fixture = IndexFixture()
    moving = spec(cores=3.0)
    fixture.index.reserve_for_move("vm-1", moving)
    assert fixture.free_cpus() == 1.0
    machine = fixture.index.machines["vm-1"]
    assert not fixture.index.can_reserve_for_move(machine, spec(id="job-2"))
    fixture.index.release_move("vm-1", moving.id)
    assert fixture.free_cpus() == 4.0
    assert fixture.index.can_reserve_for_move(machine, spec(id="job-2"))


def test_recorded_tasks_count_unless_reported_as_ended() -> None:
    fixture = IndexFixture()
    job = Job(spec(cores=1.0, crates=2), 0.0, 1)
    job.attempts.append(Attempt("vm-1", 1, 1, 1, False, {0, 1}))
    fixture.replica.set_job(job)
    assert fixture.free_cpus() == 2.0
    fixture.report(wire.TaskReport(f"{job.id}/0", 1, wire.EXITED, wire.DONE))
    fixture.index.mark_changed("vm-1")
    assert fixture.free_cpus() == 3.0


def test_no_capacity_is_free_beside_an_orphaned_task() -> None:
    fixture = IndexFixture()
    fixture.report(wire.TaskReport("job-9/0", 1, wire.RUNNING))
    assert fixture.free_cpus() < 0
    assert fixture.index.with_free_capacity == {}


def test_a_machine_whose_heartbeats_cease_leaves_the_index_with_its_images() -> None:
    fixture = IndexFixture()
    fixture.index.recompute()
    assert fixture.index.machines_by_image == {spec().image: {"vm-1"}}
    fixture.runtime.now += 2.5 * REPORT_S
    fixture.index.check_eligibility()
    fixture.index.recompute()
    assert list(fixture.index.machines) == ["vm-1"], "just within 2.5 heartbeat intervals"
    fixture.runtime.now += 10.0
    fixture.index.check_eligibility()
    fixture.index.recompute()
    assert fixture.index.machines == {} and fixture.index.machines_by_image == {}
