"""Unit tests of preemption: choice of victims, claims, and hand-off to another controller."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

import pytest

from appledock import constants, wire
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.machines.capacity_index import StepReservation
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.records.job import Attempt, Job
from appledock.core.scheduling.preemption import Preemption
from appledock.core.scheduling.victim_selection import is_preemptible, running_tasks
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker
from tests.test_requests import spec

MACHINE_TYPE = wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a"], fetch_gb_per_s=0.5)
HIGH_PRIORITY_JOB = Job(spec(id="job-9", rank="production", cores=4.0, crates=2), 0.0, 3)


class StopRequests:
    """Records the requested stops."""

    def __init__(self) -> None:
        self.requested: list[tuple[str, str, set[int]]] = []

    def send_to_owner(self, job: Job, machine: str, tasks: set[int]) -> None:
        self.requested.append((job.id, machine, tasks))


class Cluster:
    """Full machines, each running the only task of a separate job.

    `owners` has the owner of each machine.
    """

    def __init__(self, *owners: str) -> None:
        self.runtime: Any = SimpleNamespace(
            now=100.0, node="n0", rng=random.Random(1), teams={}, settings=None
        )
        self.replica = Replica()
        self.machines: dict[str, MachineCapacity] = {}
        self.workers: dict[str, Worker] = {}
        for number, owner in enumerate(owners):
            name = f"vm-{number}"
            job = Job(spec(id=f"job-{number}", rank="standard", cores=4.0, crates=1), 0.0, 2)
            job.attempts.append(Attempt(name, 1, 1, 1, False, {0}))
            self.replica.set_job(job)
            self.machines[name] = MachineCapacity(
                name,
                MACHINE_TYPE,
                "a",
                False,
                1,
                0.0,
                0.0,
                16.0,
                {HIGH_PRIORITY_JOB.spec.image},
                owner=owner,
            )
            worker = self.workers[name] = Worker(name)
            # A task that started later loses less work when it is stopped.
            worker.status.running_since[(f"job-{number}/0", 1)] = 10.0 * number
        self.stop_requests = StopRequests()
        self.preemption = Preemption(
            runtime=self.runtime,
            replica=self.replica,
            workers=SimpleNamespace(table=self.workers),
            capacity_index=SimpleNamespace(machines=self.machines, machines_by_image={}),
            quota_usage=SimpleNamespace(),
            operator_settings={"lost_work_weight": 1.0},
            reconcile_queue=ReconcileQueue(),
            stop_requests=self.stop_requests,
            is_preferred_owner=lambda job: False,
        )


def test_the_victims_with_least_lost_work_are_stopped_and_their_machine_is_claimed() -> None:
    cluster = Cluster("n0", "n0", "n0")
    assert cluster.preemption.preempt_for(HIGH_PRIORITY_JOB, 1, {}) is None
    assert cluster.stop_requests.requested == [("job-2", "vm-2", {0})]
    other = Job(spec(id="job-8"), 0.0)
    assert cluster.preemption.is_available_to("vm-2", HIGH_PRIORITY_JOB)
    assert not cluster.preemption.is_available_to("vm-2", other)
    assert cluster.preemption.preempt_for(HIGH_PRIORITY_JOB, 1, {}) is None
    assert len(cluster.stop_requests.requested) == 1, "the claim already covers the task"


def test_the_job_is_handed_to_the_owner_of_the_cheapest_victims_if_this_one_has_none() -> None:
    cluster = Cluster("n1", "n2")
    assert cluster.preemption.preempt_for(HIGH_PRIORITY_JOB, 1, {}) == "n2"
    assert cluster.stop_requests.requested == [] and cluster.preemption.claims == {}


def test_work_of_the_same_priority_is_not_preempted() -> None:
    cluster = Cluster("n0")
    equal = Job(spec(id="job-9", rank="standard", cores=4.0), 0.0)
    assert cluster.preemption.preempt_for(equal, 1, {}) is None
    assert cluster.stop_requests.requested == []


@pytest.mark.parametrize("ending", ["time", "placed", "job ended"])
def test_a_claim_ends_when_it_expires_and_when_its_job_is_placed_or_ends(ending: str) -> None:
    cluster = Cluster("n0")
    cluster.replica.set_job(HIGH_PRIORITY_JOB)
    cluster.preemption.preempt_for(HIGH_PRIORITY_JOB, 1, {})
    cluster.preemption.expire_claims()
    assert cluster.preemption.claimed_machines == {"vm-0": "job-9"}
    if ending == "time":
        cluster.runtime.now += constants.PREEMPTION_RESERVATION_S
    elif ending == "placed":
        cluster.preemption.release_claims(
            "job-9", [StepReservation("vm-0", HIGH_PRIORITY_JOB.spec, 1)]
        )
    else:
        del cluster.replica.jobs["job-9"]
    cluster.preemption.expire_claims()
    assert cluster.preemption.claims == {} and cluster.preemption.claimed_machines == {}


def test_gangs_cancelled_jobs_and_jobs_of_equal_inherited_rank_are_not_preempted() -> None:
    low = Job(spec(id="job-1", rank="standard"), 0.0)
    assert is_preemptible(low, low.spec.rank, HIGH_PRIORITY_JOB)
    assert not is_preemptible(low, HIGH_PRIORITY_JOB.spec.rank, HIGH_PRIORITY_JOB)
    assert not is_preemptible(Job(low.spec, 0.0, cancelled=True), low.spec.rank, HIGH_PRIORITY_JOB)
    gang = Job(spec(id="job-1", rank="standard", shape="group"), 0.0)
    assert not is_preemptible(gang, gang.spec.rank, HIGH_PRIORITY_JOB)


def test_attempts_that_are_stopping_or_of_earlier_agent_epochs_are_not_victims() -> None:
    job = Job(spec(id="job-1", crates=3), 0.0)
    attempts = [
        Attempt("vm-1", 1, 1, 1, False, {0}),
        Attempt("vm-1", 2, 2, 1, True, {1}),
        Attempt("vm-1", 2, 2, 1, False, {2}),
    ]
    found = running_tasks(job, attempts, 2, Worker("vm-1"), 100.0)
    assert [victim.task for victim in found] == [2]
