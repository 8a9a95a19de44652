"""Free capacity grouped by class, for bin packing over a whole cluster at once."""

from __future__ import annotations

from typing import NamedTuple

from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity, is_allowed_on


class CapacityClass(NamedTuple):
    """Kind and free capacity, which all machines of a class have in common."""

    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float


class CapacitySupply:
    """Number of machines in each class.

    Thousands of machines form only a few classes, and all machines that a job needs of a class
    are taken in one operation, so the cost of a pass does not grow with the cluster.
    """

    def __init__(self) -> None:
        self._classes: dict[CapacityClass, tuple[MachineCapacity, int]] = {}
        """class -> free capacity of one of its machines, and the number of machines"""

    def add(self, machine: MachineCapacity, count: int) -> None:
        """Add `count` machines with this free capacity."""
        key = CapacityClass(
            machine.type.name,
            machine.zone,
            machine.spot,
            round(machine.cpus, 3),
            round(machine.gpus, 3),
            round(machine.memory_gb, 2),
        )
        _, known_count = self._classes.get(key, (machine, 0))
        self._classes[key] = (machine, known_count + count)

    def count_slots(self, spec: wire.JobSpec, zone: str) -> int:
        """Return how many tasks of the job fit in the zone."""
        return sum(
            machine.free_slots(spec) * count
            for machine, count in self._classes.values()
            if machine.zone == zone and is_allowed_on(spec, machine)
        )

    def reserve(self, spec: wire.JobSpec, tasks: int, zone: str | None = None) -> int:
        """Place up to `tasks` tasks, and return how many of them do not fit.

        Machines with the least free CPUs are used first.
        """
        for key in self._least_free_first(spec, zone):
            if tasks <= 0:
                break
            machine, count = self._classes.pop(key)
            slots_per_machine = machine.free_slots(spec)
            used_machines = min(count, tasks // slots_per_machine)
            tasks -= used_machines * slots_per_machine
            self._add_remainder(machine, spec, slots_per_machine, used_machines)
            if used_machines < count and tasks > 0:
                self._add_remainder(machine, spec, tasks, 1)
                tasks, used_machines = 0, used_machines + 1
            if used_machines < count:
                self.add(machine, count - used_machines)
        return tasks

    def _least_free_first(self, spec: wire.JobSpec, zone: str | None) -> list[CapacityClass]:
        classes = sorted(
            (machine.cpus, key)
            for key, (machine, _) in self._classes.items()
            if is_allowed_on(spec, machine) and machine.fits(spec) and zone in (None, machine.zone)
        )
        return [key for _, key in classes]

    def _add_remainder(
        self, machine: MachineCapacity, spec: wire.JobSpec, tasks: int, count: int
    ) -> None:
        """Add `count` machines with the capacity that `tasks` tasks leave free on `machine`."""
        if count > 0:
            remainder = MachineCapacity(
                "",
                machine.type,
                machine.zone,
                machine.spot,
                0,
                machine.cpus,
                machine.gpus,
                machine.memory_gb,
            )
            remainder.reserve(spec, tasks)
            self.add(remainder, count)
