"""Free room of every machine that may take steps, adjusted by what changed.

Reports, records, reservations and cordons name the machines they concern; only
those are counted anew. Machines that fell silent are found by a sweep.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from appledock import constants as c
from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity, is_allowed_on
from appledock.core.workers import Worker
from appledock.rebalancing.picture import Load, task_share

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class StepReservation(NamedTuple):
    """Tasks of a step under way on one machine."""

    machine: str
    spec: wire.JobSpec
    tasks: int


class CapacityIndex:
    """The machines that may take steps, with what they have free."""

    def __init__(self, engine: Controller) -> None:
        self.e = engine
        self.machines: dict[str, MachineCapacity] = {}
        self.with_free_capacity: dict[str, MachineCapacity] = {}
        """those that have anything free"""
        self.machines_by_image: dict[str, set[str]] = {}
        """image -> machines that have it"""
        self.changed: set[str] = set()
        self.step_reservations: dict[str, list[StepReservation]] = {}
        """job -> what its step under way will take"""
        self.reserved_tasks: dict[str, dict[str, int]] = {}
        """machine -> job -> tasks of its step under way"""
        self.move_reservations: dict[str, dict[str, wire.JobSpec]] = {}
        """machine -> job -> size of the task that is moving there"""
        self.next_sweep = 0.0

    # --- what changed -----------------------------------------------------
    def mark_changed(self, machine: str) -> None:
        """The machine's room is to be counted anew."""
        self.changed.add(machine)

    def mark_each_changed(self, machines: Iterable[str]) -> None:
        """The free capacity of these machines is to be counted anew."""
        self.changed.update(machines)

    def mark_all_changed(self) -> None:
        """Types or owners changed."""
        self.changed.update(self.e.workers.table)
        self.changed.update(self.machines)

    def reserve_step(self, job_id: str, entries: list[StepReservation]) -> None:
        """A step is being written: its room is taken until the outcome is known."""
        self.step_reservations[job_id] = entries
        for machine, _, count in entries:
            self.reserved_tasks.setdefault(machine, {})[job_id] = count
            self.changed.add(machine)

    def release_step(self, job_id: str) -> None:
        """The outcome of the job's write is known: its record shows what it took."""
        for machine, _, _ in self.step_reservations.pop(job_id, ()):
            jobs = self.reserved_tasks.get(machine)
            if jobs is not None:
                jobs.pop(job_id, None)
                if not jobs:
                    del self.reserved_tasks[machine]
            self.changed.add(machine)

    def reserve_for_move(self, machine: str, spec: wire.JobSpec) -> None:
        """Keep room for a task of the job that is moving to the machine."""
        self.move_reservations.setdefault(machine, {})[spec.id] = spec
        self.changed.add(machine)

    def can_reserve_for_move(self, room: MachineCapacity, spec: wire.JobSpec) -> bool:
        """Is no room kept there for another move, and may the job run there?"""
        return not self.move_reservations.get(room.name) and is_allowed_on(spec, room)

    def release_move(self, machine: str, job_id: str) -> None:
        """The room is needed no more, or taken."""
        jobs = self.move_reservations.get(machine)
        if jobs is not None and jobs.pop(job_id, None) is not None:
            self.changed.add(machine)
            if not jobs:
                del self.move_reservations[machine]

    def recheck_availability(self) -> None:
        """Machines stop taking steps by mere silence, which no message tells."""
        if self.e.now < self.next_sweep:
            return
        self.next_sweep = self.e.now + c.SILENCE_EVERY_S
        for name, room in self.machines.items():
            worker = self.e.workers.table.get(name)
            if (
                worker is None
                or not self.e.placeable(worker)
                or (room.agent_epoch != worker.agent_epoch)
            ):
                self.changed.add(name)

    # --- reading ----------------------------------------------------------
    def recompute(self) -> None:
        """Count anew what has changed."""
        for name in sorted(self.changed):
            worker = self.e.workers.table.get(name)
            if worker is None or not self.e.placeable(worker):
                self._hold(name, frozenset())
                self.machines.pop(name, None)
                self.with_free_capacity.pop(name, None)
                continue
            room = self._count(worker)
            self._hold(name, room.images)
            self.machines[name] = room
            if room.cpus > c.EPSILON or room.gpus > c.EPSILON:
                self.with_free_capacity[name] = room
            else:
                self.with_free_capacity.pop(name, None)
        self.changed.clear()

    def _hold(self, name: str, images: frozenset[str] | set[str]) -> None:
        """The machine has these images now."""
        old = self.machines.get(name)
        before = old.images if old is not None else frozenset()
        for image in images - before:
            self.machines_by_image.setdefault(image, set()).add(name)
        for image in before - images:
            self.machines_by_image[image].discard(name)
            if not self.machines_by_image[image]:
                del self.machines_by_image[image]

    def _count(self, worker: Worker) -> MachineCapacity:
        report = worker.report
        assert report is not None
        kind = self.e.machine_types[report.type]
        fetching: set[str] = set()
        room = MachineCapacity(
            worker.id,
            kind,
            report.zone,
            report.spot,
            report.session,
            kind.cpus,
            kind.gpus,
            kind.memory_gb,
            set(worker.status.image_seen_at),
            fetching,
            self.e.replica.owner_of(worker.id),
            len(worker.placement.failed_jobs),
            self.e.partitions.gate(worker),
            Load() if self.e.rebalancer.enabled or self.e.partitions.enabled else None,
        )
        recorded = self._take_recorded(worker, room, fetching)
        if recorded < len(worker.tasks) and self._stray(worker):
            room.cpus = room.memory_gb = -1.0  # a stray of unknown size
        for job_id, count in self.reserved_tasks.get(worker.id, {}).items():
            room.reserve(
                next(
                    spec
                    for machine, spec, _ in self.step_reservations[job_id]
                    if machine == worker.id
                ),
                count,
            )
        for spec in self.move_reservations.get(worker.id, {}).values():
            room.reserve(spec)
        return room

    def _take_recorded(self, worker: Worker, room: MachineCapacity, fetching: set[str]) -> int:
        """Charge the room with what the records put there; how much of it the worker shows."""
        jobs = self.e.replica.jobs
        shown = 0
        for job_id, attempts in self.e.replica.attempts_by_machine.get(worker.id, {}).items():
            spec = jobs[job_id].spec
            for attempt in attempts:
                if attempt.agent_epoch != room.agent_epoch:
                    continue
                for task in attempt.tasks:
                    entry = worker.tasks.get((f"{job_id}/{task}", attempt.attempt_number))
                    if entry is not None:
                        shown += 1
                        if entry.state == wire.EXITED:
                            continue
                    room.reserve(spec)
                    if attempt.stopping and room.load is not None:
                        room.load.add(spec.team, task_share(spec, room.type), -1)  # it leaves
                    if spec.image not in room.images and (
                        entry is None or entry.state == wire.FETCHING
                    ):
                        fetching.add(spec.image)
        return shown

    def _stray(self, worker: Worker) -> bool:
        """Is a task there that no record explains?"""
        known = {
            (f"{job_id}/{task}", attempt.attempt_number)
            for job_id, attempts in self.e.replica.attempts_by_machine.get(worker.id, {}).items()
            for attempt in attempts
            for task in attempt.tasks
        }
        return any(
            entry.state != wire.EXITED and key not in known for key, entry in worker.tasks.items()
        )
