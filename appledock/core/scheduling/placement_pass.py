"""Placement pass: plans one step for each queued job, in the order of their sort keys."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from appledock import wire
from appledock.core.jobs.reconcile_queue import PendingReason, ReconcileQueue
from appledock.core.jobs.writer import JobWriter
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.pacing import Pacing
from appledock.core.scheduling.preemption import Preemption
from appledock.core.scheduling.queue_order import QueueOrder
from appledock.core.scheduling.step_planner import StepPlanner
from appledock.core.scheduling.step_writer import StepWriter
from appledock.core.store.replica import Replica


class Moves(Protocol):
    """The part of task moves that the placement pass uses."""

    def is_moving(self, job_id: str, /) -> bool:
        """Return whether capacity is reserved for a move of a task of the job."""


class MeanLoads(Protocol):
    """Mean loads of the machines, which the scorers of load rebalancing use."""

    def refresh_means(self) -> None:
        """Recompute the means if free capacity has changed."""


class PlacementPass:
    """Places tasks of the queued jobs that this controller owns."""

    def __init__(  # noqa: PLR0913 -- the collaborators of a pass
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        reconcile_queue: ReconcileQueue,
        queue_order: QueueOrder,
        capacity_index: CapacityIndex,
        writer: JobWriter,
        pacing: Pacing,
        preemption: Preemption,
        planner: StepPlanner,
        step_writer: StepWriter,
        moves: Moves,
        mean_loads: MeanLoads,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._reconcile_queue = reconcile_queue
        self._queue_order = queue_order
        self._capacity_index = capacity_index
        self._writer = writer
        self._pacing = pacing
        self._preemption = preemption
        self._planner = planner
        self._step_writer = step_writer
        self._moves = moves
        self._mean_loads = mean_loads
        self._next_array_pass_at = 0.0
        """earliest time of the next pass that places arrays and gangs, on the monotonic clock"""

    def run(self) -> None:
        """Decide the next step of each queued job that can be written now, and request the write.

        Only services are placed in every pass: arrays and gangs are left out until the next
        batching window opens.
        """
        queued = self._queued_jobs()
        includes_arrays = self._open_batching_window(queued)
        ready = [
            job
            for job in queued
            if self._writer.can_write(job) and (includes_arrays or job.spec.service)
        ]
        if len(ready) < len(queued):
            self._reconcile_queue.placement_due = True
        if not ready:
            return
        self._capacity_index.recompute()
        self._mean_loads.refresh_means()
        self._preemption.expire_claims()
        self._place_each(
            sorted(ready, key=lambda job: (self._queue_order.sort_key(job), job.id)),
            list(self._capacity_index.with_free_capacity.values()),
        )

    def _queued_jobs(self) -> list[Job]:
        """Return this controller's jobs with queued tasks or with losses not yet recorded."""
        replica = self._replica
        lost_tasks = (
            job_id
            for job_id in self._reconcile_queue.loss_noticed_at
            if job_id in replica.jobs and job_id not in replica.dependencies.waiting_jobs
        )
        jobs = (replica.jobs[job_id] for job_id in replica.queued_jobs.union(lost_tasks))
        return [job for job in jobs if replica.owns_job(self._runtime.node, job)]

    def _open_batching_window(self, queued: list[Job]) -> bool:
        """Return whether this pass places arrays and gangs; if so, start the next batching window.

        Running tasks free capacity in small amounts. The batching window collects it, so that
        one job takes it in a single step and not several jobs in a step (one write) each.
        """
        now = self._runtime.now
        if not queued or now < self._next_array_pass_at or self._pacing.should_defer_arrays():
            return False
        self._next_array_pass_at = now + self._pacing.batching_window_s()
        return True

    def _place_each(self, jobs: list[Job], machines: list[MachineCapacity]) -> None:
        own_machines = [machine for machine in machines if machine.owner == self._runtime.node]
        unplaceable = UnplaceableSizes()
        reasons = self._reconcile_queue.pending_reasons
        for job in jobs:
            if not self._writer.can_write(job):
                # Planning the step of another job in this pass withdrew this job's write.
                self._reconcile_queue.placement_due = True
                continue
            size = TaskSize.of(job.spec)
            equivalence_class = EquivalenceClass.of(
                job.spec, self._replica.dependencies.inherited_rank(job)
            )
            if unplaceable.covers(equivalence_class, size) and not self._moves.is_moving(job.id):
                reasons[job.id] = PendingReason.NO_CAPACITY
                continue
            decision = self._planner.decide(job, machines, own_machines)
            is_requested = self._step_writer.carry_out(job, decision)
            if not is_requested and reasons.get(job.id) == PendingReason.NO_CAPACITY:
                unplaceable.add(equivalence_class, size)


class EquivalenceClass(NamedTuple):
    """Equivalence class of jobs that may use the same machines and preempt the same tasks."""

    may_use_spot: bool
    zone: str | None
    machine_types: tuple[str, ...]
    rank: int
    """rank of the job, or the higher one of a job that depends on it"""
    is_service: bool
    has_zone_constraint: bool
    """True for co-location or zone spread: the machines that fit then depend on where the other
    tasks of the job are"""

    @classmethod
    def of(cls, spec: wire.JobSpec, rank: int) -> EquivalenceClass:
        """Return the class of a job, given its rank including that of its dependents."""
        return cls(
            spec.spot,
            spec.zone,
            tuple(spec.types or ()),
            rank,
            spec.service,
            spec.one_zone or spec.spread,
        )


class TaskSize(NamedTuple):
    """Resource requests of one task."""

    cpus: float
    gpus: float
    memory_gb: float

    @classmethod
    def of(cls, spec: wire.JobSpec) -> TaskSize:
        """Return the size of a task of the job."""
        return cls(spec.cpus, spec.gpus, spec.memory_gb)

    def fits_in(self, other: TaskSize) -> bool:
        """Return whether this size is at most the other in every resource."""
        return (
            self.cpus <= other.cpus
            and self.gpus <= other.gpus
            and self.memory_gb <= other.memory_gb
        )


class UnplaceableSizes:
    """Task sizes that found no capacity in this pass, by equivalence class of jobs.

    A task of the same class that is at least as large finds no capacity either. In a full
    cluster a pass therefore costs one placement attempt for each of few classes, not for each of
    many jobs.
    """

    def __init__(self) -> None:
        self._sizes: dict[EquivalenceClass, list[TaskSize]] = {}

    def add(self, equivalence_class: EquivalenceClass, size: TaskSize) -> None:
        """Record that a task of this size found no capacity.

        Jobs with zone constraints are not recorded: another job of their class may still fit.
        """
        if not equivalence_class.has_zone_constraint:
            self._sizes.setdefault(equivalence_class, []).append(size)

    def covers(self, equivalence_class: EquivalenceClass, size: TaskSize) -> bool:
        """Return whether a task of this class and of at most this size found no capacity."""
        return any(known.fits_in(size) for known in self._sizes.get(equivalence_class, ()))
