"""Unit tests of the step planner: each phase may decide, and the decision is a value."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from appledock import wire
from appledock.core.jobs.reconcile_queue import PendingReason
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.operator_settings import OperatorSettings
from appledock.core.records.job import Attempt, Job
from appledock.core.scheduling.decisions import HandedOff, Placed, StepDecision, Waiting
from appledock.core.scheduling.placement_pass import EquivalenceClass, TaskSize, UnplaceableSizes
from appledock.core.scheduling.step_planner import StepPlanner
from tests.test_decisions import room
from tests.test_requests import spec


class PlannerWithFakes:
    """A step planner whose collaborators return the values of the attributes."""

    def __init__(self) -> None:
        self.admitted_tasks = 99
        self.tasks_by_zone: dict[str, int] | None = {}
        self.handoff_target: str | None = None
        self.preempted_at: str | None = None
        self.faster_start: str | None = None
        self.should_batch = False

    def decide(self, job: Job, *own: MachineCapacity) -> StepDecision:
        runtime: Any = SimpleNamespace(node="n0", rng=random.Random(1), teams={"red": None})
        settlement: Any = SimpleNamespace(without_settled_attempts=lambda job: None)
        writer: Any = SimpleNamespace(withdraw_lower_priority_steps=lambda job: False)
        quota: Any = SimpleNamespace(admitted_tasks=lambda job, unsettled: self.admitted_tasks)
        zones: Any = SimpleNamespace(tasks_by_zone=lambda job: self.tasks_by_zone)
        preemption: Any = SimpleNamespace(
            claims={},
            claimed_machines={},
            preempt_for=lambda *args, **named: self.preempted_at,
            find_owner_with_faster_start=lambda *args: self.faster_start,
        )
        handoff: Any = SimpleNamespace(choose_target=lambda *args: self.handoff_target)
        pacing: Any = SimpleNamespace(
            should_batch=lambda *args: self.should_batch, is_service_rate_limited=lambda: False
        )
        moves: Any = SimpleNamespace(place_moved_task=lambda *args: [])
        rebalancing: Any = SimpleNamespace(scorer=lambda spec: None)
        partitions: Any = SimpleNamespace(is_preferred_owner=lambda job: False)
        planner = StepPlanner(
            runtime=runtime,
            operator_settings=OperatorSettings(),
            is_leader=lambda: False,
            settlement=settlement,
            writer=writer,
            quota=quota,
            zones=zones,
            preemption=preemption,
            handoff=handoff,
            pacing=pacing,
            moves=moves,
            rebalancing=rebalancing,
            partitions=partitions,
        )
        return planner.decide(job, list(own), list(own))


def job(**changes: object) -> Job:
    return Job(spec(id="job-1", **{"cores": 1.0, "memory_gb": 0.0, **changes}), 0.0)


def test_jobs_that_may_not_start_wait_with_the_reason_of_the_first_phase_that_refuses() -> None:
    planner = PlannerWithFakes()
    planner.tasks_by_zone = None
    gang = job(crates=3, shape="group", together=True)
    gang.attempts.append(Attempt("vm-9", 1, 1, 1, False, {0}))
    assert planner.decide(job(owner="nobody")) == Waiting(PendingReason.UNKNOWN_TEAM)
    planner.admitted_tasks = 0
    assert planner.decide(gang) == Waiting(PendingReason.TEAM_LIMIT)
    planner.admitted_tasks = 9
    assert planner.decide(gang) == Waiting(PendingReason.GANG_UNSETTLED)
    gang.attempts.clear()
    assert planner.decide(gang) == Waiting(PendingReason.ZONES_UNKNOWN)
    planner.tasks_by_zone = {}
    assert planner.decide(gang) == Waiting(PendingReason.NO_CAPACITY)


def test_tasks_that_fit_are_placed_and_reserved_and_the_others_handed_off() -> None:
    planner, machine, queued = PlannerWithFakes(), room("vm-1", 2.0), job(crates=3)
    planner.handoff_target = "n1"
    decision = planner.decide(queued, machine)
    assert decision == Placed(queued, [(machine, 2)], "n1")  # type: ignore[list-item]
    assert machine.cpus == 0.0


def test_a_step_that_waits_for_more_capacity_releases_its_reservations() -> None:
    planner, machine = PlannerWithFakes(), room("vm-1", 2.0)
    planner.should_batch = True
    decision = planner.decide(job(crates=3), machine)
    assert decision == Waiting(PendingReason.BATCHING, retry_soon=True)
    assert machine.cpus == 2.0


def test_a_service_is_handed_off_for_image_locality_or_waits_for_preemption_here() -> None:
    planner, machine, service = PlannerWithFakes(), room("vm-1", 2.0), job(shape="daemon", crates=1)
    planner.faster_start = "n1"
    assert planner.decide(service, machine) == HandedOff("n1")
    planner.faster_start = "n0"
    assert planner.decide(service, machine) == Waiting(PendingReason.PREEMPTING)
    assert isinstance(planner.decide(job(crates=1), machine), Placed)


def test_a_job_of_a_team_at_its_limit_is_handed_to_where_the_teams_work_can_be_preempted() -> None:
    planner = PlannerWithFakes()
    planner.admitted_tasks, planner.preempted_at = 0, "n1"
    assert planner.decide(job()) == HandedOff("n1", PendingReason.TEAM_LIMIT)


def test_sizes_that_found_no_capacity_rule_out_larger_ones_of_the_same_class_only() -> None:
    def key(**changes: object) -> tuple[EquivalenceClass, TaskSize]:
        job_spec: wire.JobSpec = job(**changes).spec
        return EquivalenceClass.of(job_spec, 2), TaskSize.of(job_spec)

    unplaceable = UnplaceableSizes()
    unplaceable.add(*key(cores=2.0))
    assert unplaceable.covers(*key(cores=2.0)) and unplaceable.covers(*key(cores=3.0))
    assert not unplaceable.covers(*key(cores=1.0))
    assert not unplaceable.covers(*key(cores=3.0, quay="a"))
    # With a zone constraint, a task may fit once other tasks of the job are placed elsewhere.
    unplaceable.add(*key(cores=2.0, scatter=True))
    assert not unplaceable.covers(*key(cores=2.0, scatter=True))
