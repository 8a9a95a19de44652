"""Index of the machines that may take tasks, with the free capacity of each.

The index is updated incrementally: heartbeats, job records, reservations and cordons name the
machines that they concern, and only these are recomputed. Machines whose heartbeats stop are
found by a periodic check, since no event reports that.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from collections.abc import Set as AbstractSet
from typing import NamedTuple

from appledock import constants, wire
from appledock.core.machines.eligibility import Eligibility
from appledock.core.machines.machine_capacity import (
    MachineCapacity,
    PartitionAdmission,
    is_allowed_on,
)
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers
from appledock.rebalancing.snapshot import Load, task_share


class StepReservation(NamedTuple):
    """Capacity for tasks of a step on one machine, reserved while the step is written."""

    machine: str
    spec: wire.JobSpec
    tasks: int


class CapacityIndex:
    """Free capacity by machine: its size minus recorded tasks, steps in flight and moves.

    `admission_of` returns which jobs a worker's machine admits (None: any job);
    `is_load_tracked` returns whether the committed shares of machines are counted too.
    """

    def __init__(
        self,
        *,
        runtime: Runtime,
        workers: Workers,
        replica: Replica,
        machine_types: Mapping[str, wire.MachineType],
        eligibility: Eligibility,
        admission_of: Callable[[Worker], PartitionAdmission | None],
        is_load_tracked: Callable[[], bool],
    ) -> None:
        self._runtime = runtime
        self._workers = workers
        self._replica = replica
        self._machine_types = machine_types
        self._eligibility = eligibility
        self._admission_of = admission_of
        self._is_load_tracked = is_load_tracked
        self.machines: dict[str, MachineCapacity] = {}
        """all machines that may take tasks, as of the last `recompute`"""
        self.with_free_capacity: dict[str, MachineCapacity] = {}
        """the entries of `machines` with any CPU or GPU free"""
        self.machines_by_image: dict[str, set[str]] = {}
        """image -> machines that have it"""
        self.step_reservations: dict[str, list[StepReservation]] = {}
        """job -> capacity that its step in flight will take"""
        self.reserved_tasks: dict[str, dict[str, int]] = {}
        """machine -> job -> number of tasks that the job's step in flight places there"""
        self.move_reservations: dict[str, dict[str, wire.JobSpec]] = {}
        """machine -> job -> spec of the job of which a task is moving there"""
        self._changed: set[str] = set()
        self._next_check_at = 0.0

    # --- changes ----------------------------------------------------------
    def mark_changed(self, machine: str) -> None:
        """Mark the machine to be recomputed by the next `recompute`."""
        self._changed.add(machine)

    def mark_each_changed(self, machines: Iterable[str]) -> None:
        """Mark these machines to be recomputed by the next `recompute`."""
        self._changed.update(machines)

    def mark_all_changed(self) -> None:
        """Mark all machines to be recomputed, as machine types or machines' owners have changed."""
        self._changed.update(self._workers.table)
        self._changed.update(self.machines)

    def check_eligibility(self) -> None:
        """Mark machines whose worker has become ineligible, at intervals.

        This guards against placing tasks on machines whose heartbeats have stopped, which no
        event reports.
        """
        now = self._runtime.now
        if now < self._next_check_at:
            return
        self._next_check_at = now + constants.MACHINE_CHECK_INTERVAL_S
        for name, machine in self.machines.items():
            worker = self._workers.table.get(name)
            if (
                worker is None
                or not self._eligibility.is_eligible(worker)
                or machine.agent_epoch != worker.agent_epoch
            ):
                self._changed.add(name)

    # --- reservations -----------------------------------------------------
    def reserve_step(self, job_id: str, reservations: list[StepReservation]) -> None:
        """Reserve the capacity of the job's step until the outcome of its write is known."""
        self.step_reservations[job_id] = reservations
        for machine, _, tasks in reservations:
            self.reserved_tasks.setdefault(machine, {})[job_id] = tasks
            self._changed.add(machine)

    def release_step(self, job_id: str) -> None:
        """Release the reservation of the job's step, whose outcome is known."""
        for machine, _, _ in self.step_reservations.pop(job_id, ()):
            jobs = self.reserved_tasks.get(machine)
            if jobs is not None:
                jobs.pop(job_id, None)
                if not jobs:
                    del self.reserved_tasks[machine]
            self._changed.add(machine)

    def reserve_for_move(self, machine: str, spec: wire.JobSpec) -> None:
        """Reserve capacity for one task of the job that is moving to the machine."""
        self.move_reservations.setdefault(machine, {})[spec.id] = spec
        self._changed.add(machine)

    def can_reserve_for_move(self, machine: MachineCapacity, spec: wire.JobSpec) -> bool:
        """Return whether no other move goes to the machine and the job may run there."""
        return not self.move_reservations.get(machine.name) and is_allowed_on(spec, machine)

    def release_move(self, machine: str, job_id: str) -> None:
        """Release the reservation of the job's move to the machine, if there is one."""
        jobs = self.move_reservations.get(machine)
        if jobs is not None and jobs.pop(job_id, None) is not None:
            self._changed.add(machine)
            if not jobs:
                del self.move_reservations[machine]

    # --- computation ------------------------------------------------------
    def recompute(self) -> None:
        """Recompute the machines marked as changed; to be called before reading the index.

        Machines are processed in the order of their names. This determines the order of
        `machines`, from which random samples are drawn.
        """
        for name in sorted(self._changed):
            worker = self._workers.table.get(name)
            if worker is None or not self._eligibility.is_eligible(worker):
                self._update_image_index(name, frozenset())
                self.machines.pop(name, None)
                self.with_free_capacity.pop(name, None)
                continue
            machine = self._capacity_of(worker)
            self._update_image_index(name, machine.images)
            self.machines[name] = machine
            if machine.cpus > constants.EPSILON or machine.gpus > constants.EPSILON:
                self.with_free_capacity[name] = machine
            else:
                self.with_free_capacity.pop(name, None)
        self._changed.clear()

    def _update_image_index(self, name: str, images: AbstractSet[str]) -> None:
        """Update `machines_by_image`; to be called before the machine's entry is replaced."""
        old = self.machines.get(name)
        before = old.images if old is not None else frozenset()
        for image in images - before:
            self.machines_by_image.setdefault(image, set()).add(name)
        for image in before - images:
            self.machines_by_image[image].discard(name)
            if not self.machines_by_image[image]:
                del self.machines_by_image[image]

    def _capacity_of(self, worker: Worker) -> MachineCapacity:
        """Compute the free capacity of an eligible worker's machine."""
        report = worker.report
        assert report is not None
        machine_type = self._machine_types[report.type]
        fetching: set[str] = set()
        machine = MachineCapacity(
            name=worker.id,
            type=machine_type,
            zone=report.zone,
            spot=report.spot,
            agent_epoch=report.session,
            cpus=machine_type.cpus,
            gpus=machine_type.gpus,
            memory_gb=machine_type.memory_gb,
            images=set(worker.status.image_seen_at),
            fetching=fetching,
            owner=self._replica.owner_of(worker.id),
            failure_count=len(worker.placement.failed_jobs),
            admission=self._admission_of(worker),
            load=Load() if self._is_load_tracked() else None,
        )
        reported = self._reserve_recorded_tasks(worker, machine, fetching)
        if reported < len(worker.tasks) and self._has_orphaned_task(worker):
            # The size of the orphaned task is not known, so nothing is placed on its machine
            # until it is stopped.
            machine.cpus = machine.memory_gb = -1.0
        for job_id, tasks in self.reserved_tasks.get(worker.id, {}).items():
            machine.reserve(self._reserved_spec(job_id, worker.id), tasks)
        for spec in self.move_reservations.get(worker.id, {}).values():
            machine.reserve(spec)
        return machine

    def _reserved_spec(self, job_id: str, machine: str) -> wire.JobSpec:
        """Return the spec that the job's step in flight has reserved the machine for."""
        return next(
            reservation.spec
            for reservation in self.step_reservations[job_id]
            if reservation.machine == machine
        )

    def _reserve_recorded_tasks(
        self, worker: Worker, machine: MachineCapacity, fetching: set[str]
    ) -> int:
        """Reserve the recorded tasks on the machine; add images still to fetch to `fetching`.

        Return how many of the recorded tasks the worker reports.
        """
        jobs, reported_tasks = self._replica.jobs, worker.tasks
        reported = 0
        for job_id, attempts in self._replica.attempts_by_machine.get(worker.id, {}).items():
            spec = jobs[job_id].spec
            for attempt in attempts:
                if attempt.agent_epoch != machine.agent_epoch:
                    continue
                for task in attempt.tasks:
                    entry = reported_tasks.get((f"{job_id}/{task}", attempt.attempt_number))
                    if entry is not None:
                        reported += 1
                        if entry.state == wire.EXITED:
                            continue
                    machine.reserve(spec)
                    if attempt.stopping and machine.load is not None:
                        # A task that is being stopped still holds its capacity, but does not
                        # count as load for rebalancing.
                        machine.load.add(spec.team, task_share(spec, machine.type), -1)
                    if spec.image not in machine.images and (
                        entry is None or entry.state == wire.FETCHING
                    ):
                        fetching.add(spec.image)
        return reported

    def _has_orphaned_task(self, worker: Worker) -> bool:
        """Return whether the worker reports a task that has not exited and is in no job record."""
        known = {
            (f"{job_id}/{task}", attempt.attempt_number)
            for job_id, attempts in self._replica.attempts_by_machine.get(worker.id, {}).items()
            for attempt in attempts
            for task in attempt.tasks
        }
        return any(
            entry.state != wire.EXITED and key not in known for key, entry in worker.tasks.items()
        )
