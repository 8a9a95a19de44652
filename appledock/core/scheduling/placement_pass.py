"""Placement pass: the queued jobs in the order of their sort keys, one step each."""

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
    """Moves of running tasks to other machines."""

    def is_moving(self, job_id: str, /) -> bool:
        """Is capacity kept for a task of this job?"""


class MeanLoads(Protocol):
    """Mean loads that the spread of load is scored by."""

    def refresh_means(self) -> None:
        """Compute the means anew where free capacity has changed."""


class PlacementPass:
    """Places the queued jobs that this controller owns."""

    def __init__(  # noqa: PLR0913 -- what a pass refreshes and asks
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
        self._next_batch_pass_at = 0.0

    def run(self) -> None:
        """Decide one step for each queued job that can be written now, and request its write."""
        queued = self._queued_jobs()
        includes_batch_jobs = self._open_batching_window(queued)
        ready = [
            job
            for job in queued
            if self._writer.can_write(job) and (includes_batch_jobs or job.spec.service)
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
        """Return own jobs with queued tasks, or with lost ones that are not recorded as lost."""
        replica = self._replica
        lost_tasks = (
            job_id
            for job_id in self._reconcile_queue.capacity_freed_at
            if job_id in replica.jobs and job_id not in replica.dependencies.waiting_jobs
        )
        jobs = (replica.jobs[job_id] for job_id in replica.queued_jobs.union(lost_tasks))
        return [job for job in jobs if replica.owns_job(self._runtime.node, job)]

    def _open_batching_window(self, queued: list[Job]) -> bool:
        """Does this pass place batch jobs too? Starts the next batching window if so.

        Running tasks free capacity little by little: collected for a window, it is taken by
        one job in one step, not by each of several in a step of its own.
        """
        now = self._runtime.now
        if not queued or now < self._next_batch_pass_at or self._pacing.should_defer_batch_jobs():
            return False
        self._next_batch_pass_at = now + self._pacing.batching_window_s()
        return True

    def _place_each(self, jobs: list[Job], machines: list[MachineCapacity]) -> None:
        own = [machine for machine in machines if machine.owner == self._runtime.node]
        unplaceable = UnplaceableSizes()
        reasons = self._reconcile_queue.pending_reasons
        for job in jobs:
            if not self._writer.can_write(job):
                # A step of another job has withdrawn its write in this pass.
                self._reconcile_queue.placement_due = True
                continue
            size = TaskSize.of(job.spec)
            job_class = JobClass.of(job.spec, self._replica.dependencies.inherited_rank(job))
            if unplaceable.covers(job_class, size) and not self._moves.is_moving(job.id):
                reasons[job.id] = PendingReason.NO_CAPACITY
                continue
            decision = self._planner.decide(job, machines, own)
            is_requested = self._step_writer.carry_out(job, decision)
            if not is_requested and reasons.get(job.id) == PendingReason.NO_CAPACITY:
                unplaceable.add(job_class, size)


class JobClass(NamedTuple):
    """Jobs that may use the same machines and preempt the same work."""

    may_use_spot: bool
    zone: str | None
    machine_types: tuple[str, ...]
    rank: int
    is_service: bool
    has_zone_constraint: bool
    """co-location or zone spread: what fits then depends on the job's other tasks"""

    @classmethod
    def of(cls, spec: wire.JobSpec, rank: int) -> JobClass:
        """Return the class of a job; `rank` is the one it has through its dependents."""
        return cls(
            spec.spot,
            spec.zone,
            tuple(spec.types or ()),
            rank,
            spec.service,
            spec.one_zone or spec.spread,
        )


class TaskSize(NamedTuple):
    """What one task takes."""

    cpus: float
    gpus: float
    memory_gb: float

    @classmethod
    def of(cls, spec: wire.JobSpec) -> TaskSize:
        """Return the size of a task of the job."""
        return cls(spec.cpus, spec.gpus, spec.memory_gb)

    def fits_in(self, other: TaskSize) -> bool:
        """Is it no larger than the other in anything?"""
        return (
            self.cpus <= other.cpus
            and self.gpus <= other.gpus
            and self.memory_gb <= other.memory_gb
        )


class UnplaceableSizes:
    """Task sizes that found no capacity in this pass, by class of job.

    A task at least as large of a job of that class finds none either: the queue of a cluster
    that is full is decided by its few classes, not by its many jobs.
    """

    def __init__(self) -> None:
        self._sizes: dict[JobClass, list[TaskSize]] = {}

    def add(self, job_class: JobClass, size: TaskSize) -> None:
        """A task of this size found no capacity."""
        if not job_class.has_zone_constraint:
            self._sizes.setdefault(job_class, []).append(size)

    def covers(self, job_class: JobClass, size: TaskSize) -> bool:
        """Did a task no larger than this find no capacity?"""
        return any(known.fits_in(size) for known in self._sizes.get(job_class, ()))
