"""Free capacity counted by class, for bin packing over a whole cluster at once."""

from __future__ import annotations

from typing import NamedTuple

from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity, is_allowed_on


class CapacityClass(NamedTuple):
    """Machines that are alike in kind and free capacity."""

    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float


class CapacitySupply:
    """How many machines there are of each class.

    Thousands of machines are a few classes, and a job takes of a class as many as it needs at
    once: the cost of a pass doesn't grow with the cluster.
    """

    def __init__(self) -> None:
        self._classes: dict[CapacityClass, tuple[MachineCapacity, int]] = {}
        """class -> free capacity of one of its machines, and their number"""

    def add(self, machine: MachineCapacity, count: int) -> None:
        """Count `count` more machines with such free capacity."""
        key = CapacityClass(
            machine.type.name,
            machine.zone,
            machine.spot,
            round(machine.cpus, 3),
            round(machine.gpus, 3),
            round(machine.memory_gb, 2),
        )
        _, known = self._classes.get(key, (machine, 0))
        self._classes[key] = (machine, known + count)

    def count_slots(self, spec: wire.JobSpec, zone: str) -> int:
        """How many tasks of this size fit in the zone."""
        return sum(
            machine.free_slots(spec) * count
            for machine, count in self._classes.values()
            if machine.zone == zone and is_allowed_on(spec, machine)
        )

    def reserve(self, spec: wire.JobSpec, tasks: int, zone: str | None = None) -> int:
        """Place up to `tasks` tasks, least free CPUs first; return how many are left over."""
        for key in self._least_free_first(spec, zone):
            if tasks <= 0:
                break
            machine, count = self._classes.pop(key)
            per_machine = machine.free_slots(spec)
            full = min(count, tasks // per_machine)
            tasks -= full * per_machine
            self._add_remainder(machine, spec, per_machine, full)
            if full < count and tasks > 0:
                self._add_remainder(machine, spec, tasks, 1)
                tasks, full = 0, full + 1
            if full < count:
                self.add(machine, count - full)
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
        """Count what `count` such machines have left with `tasks` tasks on each."""
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
