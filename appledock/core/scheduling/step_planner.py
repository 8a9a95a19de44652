"""Planning of a job's next step, in the phases of scheduler frameworks.

A step is one write that assigns queued tasks of a job to machines. The phases are, in this
order: admission (quota, gang, zone constraints), placement of a moved task, hand-off for image
locality, filter, score and reserve, hand-off of the remaining tasks, batching, and preemption.
The first phase that returns a decision ends the pass for the job.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from appledock import wire
from appledock.core.jobs.reconcile_queue import PendingReason
from appledock.core.jobs.settlement import Settlement
from appledock.core.jobs.writer import JobWriter
from appledock.core.machines.machine_capacity import MachineCapacity, is_allowed_on
from appledock.core.machines.zones import MachineZones
from appledock.core.operator_settings import OperatorSettings
from appledock.core.quota.allocation import QuotaAllocation
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling import placement
from appledock.core.scheduling.decisions import HandedOff, Placed, StepDecision, Waiting
from appledock.core.scheduling.handoff import HandoffPolicy
from appledock.core.scheduling.pacing import Pacing
from appledock.core.scheduling.placement import PlacedTasks, Sampling, Scorer
from appledock.core.scheduling.preemption import Preemption


class Moves(Protocol):
    """The part of task moves that the step planner uses."""

    def place_moved_task(
        self, job: Job, unsettled: Job, zones: dict[str, int] | None, /
    ) -> list[PlacedTasks]:
        """Place the next attempt of a moved task on the capacity reserved for it."""


class Rebalancing(Protocol):
    """The part of load rebalancing that the step planner uses."""

    def scorer(self, spec: wire.JobSpec) -> Scorer | None:
        """Return the scorer of the job's class; None if the default score applies."""


class Partitions(Protocol):
    """The part of the capacity partitions that the step planner uses."""

    def is_preferred_owner(self, job: Job) -> bool:
        """Return whether only this controller places on the machines of the job's partition."""


@dataclass(frozen=True, slots=True)
class StepRequest:
    """Input of the phases: one job in one placement pass."""

    job: Job
    unsettled: Job
    """the job without its settled attempts"""
    max_tasks: int
    """upper limit of the step's number of tasks"""
    tasks_by_zone: dict[str, int] | None
    """zone -> number of unsettled tasks; None if the zone of one of them is unknown"""
    machines: list[MachineCapacity]
    """all machines with free capacity"""
    own_machines: list[MachineCapacity]
    """those of `machines` on which this controller may place the job"""
    is_preferred_owner: bool
    """True if only this controller places on the machines of the job's partition, whichever
    controllers own them"""


class StepPlanner:
    """Decides the next step of a job.

    When `decide` returns a decision to place tasks, their capacity is already reserved on the
    machines of the pass. When it returns a decision to wait for preemption, the stops of the
    victims are already requested.
    """

    def __init__(  # noqa: PLR0913 -- the collaborators of all phases
        self,
        *,
        runtime: Runtime,
        operator_settings: OperatorSettings,
        is_leader: Callable[[], bool],
        settlement: Settlement,
        writer: JobWriter,
        quota: QuotaAllocation,
        zones: MachineZones,
        preemption: Preemption,
        handoff: HandoffPolicy,
        pacing: Pacing,
        moves: Moves,
        rebalancing: Rebalancing,
        partitions: Partitions,
    ) -> None:
        self._runtime = runtime
        self._operator_settings = operator_settings
        self._is_leader = is_leader
        self._settlement = settlement
        self._writer = writer
        self._quota = quota
        self._zones = zones
        self._preemption = preemption
        self._handoff = handoff
        self._pacing = pacing
        self._moves = moves
        self._rebalancing = rebalancing
        self._partitions = partitions

    def decide(
        self, job: Job, machines: list[MachineCapacity], own_machines: list[MachineCapacity]
    ) -> StepDecision:
        """Return the decision about the job's next step.

        Args:
            job: a job with queued tasks, or with lost tasks whose loss is not recorded yet
            machines: all machines with free capacity
            own_machines: those of `machines` that this controller owns
        """
        if job.spec.team not in self._runtime.teams:
            return Waiting(PendingReason.UNKNOWN_TEAM)
        request = self._build_request(job, machines, own_machines)
        for phase in (
            self._admit_by_quota,
            self._check_gang_settled,
            self._check_zones_known,
            self._place_moved_task,
            self._hand_off_for_locality,
        ):
            decision = phase(request)
            if decision is not None:
                return decision
        return self._place(request)

    def _build_request(
        self, job: Job, machines: list[MachineCapacity], own_machines: list[MachineCapacity]
    ) -> StepRequest:
        is_preferred_owner = self._partitions.is_preferred_owner(job)
        if is_preferred_owner:
            own_machines = [machine for machine in machines if machine.admission is not None]
        if self._preemption.claimed_machines:
            own_machines = [
                machine
                for machine in own_machines
                if self._preemption.is_available_to(machine.name, job)
            ]
        unsettled = self._settlement.without_settled_attempts(job) or job
        return StepRequest(
            job,
            unsettled,
            self._max_tasks(job, unsettled),
            self._zones.tasks_by_zone(unsettled),
            machines,
            own_machines,
            is_preferred_owner,
        )

    def _max_tasks(self, job: Job, unsettled: Job) -> int:
        """Return the most tasks that the next step may have; 0 if the quota admits none."""
        queued = unsettled.queued_task_count
        admitted = self._quota.admitted_tasks(job, unsettled)
        if job.spec.gang:
            return queued if admitted >= queued else 0
        return min(queued, admitted, int(self._operator_settings["step_tasks"]))

    # --- admission ----------------------------------------------------------
    def _admit_by_quota(self, request: StepRequest) -> StepDecision | None:
        """Make the job wait if its team is at its limit, and preempt the team's own work for it.

        Only tasks of the team's jobs of lower rank are preempted.
        """
        if request.max_tasks > 0:
            return None
        job = request.job
        if request.tasks_by_zone is not None and not job.spec.gang:
            node = self._preemption.preempt_for(job, 1, request.tasks_by_zone, within_team=True)
            if node is not None:
                return HandedOff(node, PendingReason.TEAM_LIMIT)
        if any(
            machine.fits(job.spec) and is_allowed_on(job.spec, machine)
            for machine in request.machines
        ):
            self._quota.on_startable_job_not_admitted(job)
        return Waiting(PendingReason.TEAM_LIMIT)

    def _check_gang_settled(self, request: StepRequest) -> StepDecision | None:
        """Make a gang wait while attempts of an earlier step are unsettled.

        All tasks of a gang start in the same step.
        """
        if request.job.spec.kind == wire.GANG and request.unsettled.attempts:
            return Waiting(PendingReason.GANG_UNSETTLED)
        return None

    def _check_zones_known(self, request: StepRequest) -> StepDecision | None:
        """Make a job with zone constraints wait until the zones of all its tasks are known."""
        spec = request.job.spec
        if request.tasks_by_zone is None and (spec.one_zone or spec.spread):
            return Waiting(PendingReason.ZONES_UNKNOWN)
        return None

    # --- before placement ---------------------------------------------------
    def _place_moved_task(self, request: StepRequest) -> StepDecision | None:
        """Place the next attempt of a moved task on the capacity reserved for it."""
        job, unsettled = request.job, request.unsettled
        placed = self._moves.place_moved_task(job, unsettled, request.tasks_by_zone)
        return Placed(unsettled, placed, ends_waiting=False) if placed else None

    def _hand_off_for_locality(self, request: StepRequest) -> StepDecision | None:
        """Hand a service off to the controller with which a task waits least for its image.

        This is done for services only, because users notice immediately how long a service takes
        to start.
        """
        job, spec = request.job, request.job.spec
        stays_here = request.is_preferred_owner or self._rebalancing.scorer(spec) is not None
        if not spec.service or spec.gang or request.tasks_by_zone is None or stays_here:
            return None
        node = self._preemption.find_owner_with_faster_start(
            job, request.machines, request.tasks_by_zone
        )
        if node is None:
            return None
        if node == self._runtime.node:
            return Waiting(PendingReason.PREEMPTING)
        fits_here = any(
            machine.fits(spec) and is_allowed_on(spec, machine) for machine in request.own_machines
        )
        return None if fits_here and self._pacing.is_service_rate_limited() else HandedOff(node)

    # --- filter, score, reserve ---------------------------------------------
    def _place(self, request: StepRequest) -> StepDecision:
        """Place the tasks that fit and hand off the others; preempt if neither is possible."""
        job = request.job
        assignments = self._assign(request)
        if not assignments and self._preemption.claims.get(job.id):
            return Waiting(PendingReason.PREEMPTING)
        handoff_to = self._choose_handoff_target(request, assignments)
        tasks = sum(count for _, count in assignments)
        if (
            assignments
            and handoff_to is None
            and self._pacing.should_batch(job, request.unsettled, tasks)
        ):
            for machine, count in assignments:
                machine.release(job.spec, count)
            return Waiting(PendingReason.BATCHING, retry_soon=True)
        if assignments or handoff_to is not None:
            return Placed(request.unsettled, assignments, handoff_to)
        return self._preempt(request)

    def _assign(self, request: StepRequest) -> list[PlacedTasks]:
        """Place tasks on the machines that this controller may use, and reserve the capacity."""
        spec, zones = request.job.spec, request.tasks_by_zone or {}
        scorer = self._rebalancing.scorer(spec)
        sampling = Sampling(self._runtime.rng, int(self._operator_settings["sample"]), scorer)
        placed = placement.place(
            spec, request.max_tasks, request.own_machines, sampling, zones, spec.gang
        )
        if spec.gang and not placed and self._is_leader():
            # The leader places a gang that fits on no single controller's machines, and uses the
            # machines of all controllers. Other controllers hand such a gang off: if they placed
            # it as well, leader and owner would assign the same capacity twice.
            sampling = Sampling(self._runtime.rng, scorer=scorer)
            placed = placement.place(
                spec, request.max_tasks, request.machines, sampling, zones, spec.gang
            )
        return placed

    def _choose_handoff_target(
        self, request: StepRequest, assignments: list[PlacedTasks]
    ) -> str | None:
        """Return the controller for the tasks that found no capacity; None to keep them here."""
        remaining = request.max_tasks - sum(count for _, count in assignments)
        if not remaining or request.is_preferred_owner:
            return None
        tasks_by_zone = dict(request.tasks_by_zone or {})
        for machine, count in assignments:
            tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + count
        return self._handoff.choose_target(request.job, request.machines, remaining, tasks_by_zone)

    # --- preemption ---------------------------------------------------------
    def _preempt(self, request: StepRequest) -> StepDecision:
        """Preempt other tasks for a job for which no controller has free capacity.

        If only machines of another controller have suitable victims, hand the job off to it.
        """
        job = request.job
        if job.spec.service and self._writer.withdraw_lower_priority_steps(job):
            return Waiting(PendingReason.PREEMPTING, retry_soon=True)
        node = None
        if not job.spec.gang and request.tasks_by_zone is not None:
            node = self._preemption.preempt_for(job, request.max_tasks, request.tasks_by_zone)
        if node is None or request.is_preferred_owner:
            return Waiting(PendingReason.NO_CAPACITY)
        return Placed(request.unsettled, [], node)
