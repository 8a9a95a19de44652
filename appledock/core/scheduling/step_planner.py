"""Decides a job's next step, in the phases of scheduler frameworks.

Admit (quota, gang, zone constraints), held moves, hand-off for image locality, filter, score
and reserve, hand-off of the rest, batching, preemption: the first phase that decides ends the
pass for the job.
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
    """Moves of running tasks to other machines."""

    def place_moved_task(
        self, job: Job, unsettled: Job, zones: dict[str, int] | None, /
    ) -> list[PlacedTasks]:
        """Place the next attempt of a moved task on the capacity that is kept for it."""


class Rebalancing(Protocol):
    """Spread of load over machines."""

    def scorer(self, spec: wire.JobSpec) -> Scorer | None:
        """Scorer for a class whose load is spread; None: the default score holds."""


class Partitions(Protocol):
    """Partitions of the machines between classes and teams."""

    def is_preferred_owner(self, job: Job) -> bool:
        """Does this controller alone fill the machines of the job's partition?"""


@dataclass(frozen=True, slots=True)
class StepRequest:
    """One job in one placement pass."""

    job: Job
    unsettled: Job
    """the job without its settled attempts"""
    tasks: int
    """most tasks that the step may have"""
    tasks_by_zone: dict[str, int] | None
    """unsettled tasks; None: the zone of one of them is not known"""
    machines: list[MachineCapacity]
    """all with free capacity"""
    own: list[MachineCapacity]
    """those that this controller may fill for the job"""
    is_preferred_owner: bool
    """does this controller alone fill the machines of the job's partition, whoever owns them?"""


class StepPlanner:
    """Decides what comes next for one job.

    A decision to place has reserved the capacity on the machines of the pass; one to wait for
    preemption has requested the stops.
    """

    def __init__(  # noqa: PLR0913 -- what the phases ask
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
        self, job: Job, machines: list[MachineCapacity], own: list[MachineCapacity]
    ) -> StepDecision:
        """Decide the job's next step on the machines with free capacity.

        `own`: those of them that this controller owns.
        """
        if job.spec.team not in self._runtime.teams:
            return Waiting(PendingReason.UNKNOWN_TEAM)
        request = self._build_request(job, machines, own)
        for phase in (
            self._admit_by_quota,
            self._check_gang_settled,
            self._check_zones_known,
            self._place_held_move,
            self._hand_off_for_locality,
        ):
            decision = phase(request)
            if decision is not None:
                return decision
        return self._place(request)

    def _build_request(
        self, job: Job, machines: list[MachineCapacity], own: list[MachineCapacity]
    ) -> StepRequest:
        is_preferred_owner = self._partitions.is_preferred_owner(job)
        if is_preferred_owner:
            own = [machine for machine in machines if machine.admission is not None]
        if self._preemption.claimed_machines:
            own = [
                machine for machine in own if self._preemption.is_available_to(machine.name, job)
            ]
        unsettled = self._settlement.without_settled_attempts(job) or job
        return StepRequest(
            job,
            unsettled,
            self._max_tasks(job, unsettled),
            self._zones.tasks_by_zone(unsettled),
            machines,
            own,
            is_preferred_owner,
        )

    def _max_tasks(self, job: Job, unsettled: Job) -> int:
        """Count the tasks that the next step may have; 0: quota admits none."""
        queued = unsettled.queued_task_count
        admitted = self._quota.admitted_tasks(job, unsettled)
        if job.spec.gang:
            return queued if admitted >= queued else 0
        return min(queued, admitted, int(self._operator_settings["step_tasks"]))

    # --- admit --------------------------------------------------------------
    def _admit_by_quota(self, request: StepRequest) -> StepDecision | None:
        """Wait for the team's limit, while its own work of lower rank is preempted."""
        if request.tasks > 0:
            return None
        job = request.job
        if request.tasks_by_zone is not None and not job.spec.gang:
            node = self._preemption.preempt_for(job, 1, request.tasks_by_zone, within_team=True)
            if node is not None:
                return HandedOff(node, PendingReason.TEAM_LIMIT)
        return Waiting(PendingReason.TEAM_LIMIT)

    def _check_gang_settled(self, request: StepRequest) -> StepDecision | None:
        """A gang starts whole: not while attempts of an earlier step are unsettled."""
        if request.job.spec.kind == wire.GANG and request.unsettled.attempts:
            return Waiting(PendingReason.GANG_UNSETTLED)
        return None

    def _check_zones_known(self, request: StepRequest) -> StepDecision | None:
        """Zone constraints can be kept only where the zones of all running tasks are known."""
        spec = request.job.spec
        if request.tasks_by_zone is None and (spec.one_zone or spec.spread):
            return Waiting(PendingReason.ZONES_UNKNOWN)
        return None

    # --- before placement ---------------------------------------------------
    def _place_held_move(self, request: StepRequest) -> StepDecision | None:
        """Place the next attempt of a moved task on the capacity kept for it."""
        job, unsettled = request.job, request.unsettled
        placed = self._moves.place_moved_task(job, unsettled, request.tasks_by_zone)
        return Placed(unsettled, placed, ends_waiting=False) if placed else None

    def _hand_off_for_locality(self, request: StepRequest) -> StepDecision | None:
        """Hand a service to the controller with which a task waits least for its image.

        Users notice at once how long a service takes to start.
        """
        job, spec = request.job, request.job.spec
        is_local_only = request.is_preferred_owner or self._rebalancing.scorer(spec) is not None
        if not spec.service or spec.gang or request.tasks_by_zone is None or is_local_only:
            return None
        node = self._preemption.find_owner_with_faster_start(
            job, request.machines, request.tasks_by_zone
        )
        if node is None:
            return None
        if node == self._runtime.node:
            return Waiting(PendingReason.PREEMPTING)
        fits_here = any(
            machine.fits(spec) and is_allowed_on(spec, machine) for machine in request.own
        )
        return None if fits_here and self._pacing.is_service_rate_limited() else HandedOff(node)

    # --- filter, score, reserve ---------------------------------------------
    def _place(self, request: StepRequest) -> StepDecision:
        """Place what fits, hand off the rest; with neither, preempt."""
        job = request.job
        assignments = self._assign(request)
        if not assignments and self._preemption.claims.get(job.id):
            return Waiting(PendingReason.PREEMPTING)
        handoff_to = self._choose_target_of_rest(request, assignments)
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
        """Place tasks on this controller's machines and reserve their capacity."""
        spec, zones = request.job.spec, request.tasks_by_zone or {}
        scorer = self._rebalancing.scorer(spec)
        sampling = Sampling(self._runtime.rng, int(self._operator_settings["sample"]), scorer)
        placed = placement.place(spec, request.tasks, request.own, sampling, zones, spec.gang)
        if spec.gang and not placed and self._is_leader():
            # What fits the machines of no controller is placed by the leader over all of them;
            # others hand it on, or leader and owner would fill the same capacity twice.
            sampling = Sampling(self._runtime.rng, scorer=scorer)
            placed = placement.place(
                spec, request.tasks, request.machines, sampling, zones, spec.gang
            )
        return placed

    def _choose_target_of_rest(
        self, request: StepRequest, assignments: list[PlacedTasks]
    ) -> str | None:
        """Choose the controller for the tasks that found no capacity; None: they stay here."""
        left = request.tasks - sum(count for _, count in assignments)
        if not left or request.is_preferred_owner:
            return None
        tasks_by_zone = dict(request.tasks_by_zone or {})
        for machine, count in assignments:
            tasks_by_zone[machine.zone] = tasks_by_zone.get(machine.zone, 0) + count
        return self._handoff.choose_target(request.job, request.machines, left, tasks_by_zone)

    # --- preemption ---------------------------------------------------------
    def _preempt(self, request: StepRequest) -> StepDecision:
        """No controller has capacity: preempt work here, or hand off to where it could be."""
        job = request.job
        if job.spec.service and self._writer.withdraw_lower_priority_steps(job):
            return Waiting(PendingReason.PREEMPTING, retry_soon=True)
        node = None
        if not job.spec.gang and request.tasks_by_zone is not None:
            node = self._preemption.preempt_for(job, request.tasks, request.tasks_by_zone)
        if node is None or request.is_preferred_owner:
            return Waiting(PendingReason.NO_CAPACITY)
        return Placed(request.unsettled, [], node)
