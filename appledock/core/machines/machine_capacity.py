"""Free capacity of one machine, and the constraints that decide which jobs it may take."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from appledock import constants, wire
from appledock.rebalancing.snapshot import Load, task_share

UNLIMITED_SLOTS = 100_000
"""slots counted where a task requests next to nothing"""

FETCHING_DISCOUNT = 0.5
"""part of an image's fetch time that is expected to remain once its fetch is under way"""

MEMORY_WEIGHT = 0.25
"""weight of free memory in the fragmentation, against one for CPUs and for GPUs"""


class PartitionAdmission(Protocol):
    """Which jobs a machine of a capacity partition admits."""

    @property
    def partition(self) -> str | None:
        """The partition that owns the machine; None if none does at present."""

    def admits(self, spec: wire.JobSpec) -> bool:
        """May a step of the job use the machine?"""


@dataclass(slots=True)
class MachineCapacity:
    """What one machine has free, and what constraints and scores read of it.

    The free amounts change as tasks are reserved and released; they are negative where
    more was placed than the machine has.
    """

    name: str
    type: wire.MachineType
    zone: str
    spot: bool
    agent_epoch: int
    cpus: float
    gpus: float
    memory_gb: float
    images: frozenset[str] | set[str] = frozenset()
    fetching: frozenset[str] | set[str] = frozenset()
    """images that a placed task is fetching, or will"""
    owner: str = ""
    """controller that owns the machine's shard"""
    failure_count: int = 0
    """jobs of which tasks failed here"""
    admission: PartitionAdmission | None = None
    """which jobs it admits; None: any"""
    load: Load | None = None
    """committed shares; None where load is not tracked"""

    def fits(self, spec: wire.JobSpec) -> bool:
        """Is the free capacity enough for one task?"""
        return (
            self.cpus + constants.EPSILON >= spec.cpus
            and self.gpus + constants.EPSILON >= spec.gpus
            and self.memory_gb + constants.EPSILON >= spec.memory_gb
        )

    def free_slots(self, spec: wire.JobSpec) -> int:
        """How many tasks of this size fit."""
        slots = UNLIMITED_SLOTS
        for free, requested in (
            (self.cpus, spec.cpus),
            (self.gpus, spec.gpus),
            (self.memory_gb, spec.memory_gb),
        ):
            if requested > 0:
                # The minimum is taken before `int`: dividing by next to nothing gives
                # infinity, which no integer holds.
                slots = int(min(slots, (free + constants.EPSILON) / requested))
        return max(0, slots)

    def release(self, spec: wire.JobSpec, tasks: int = 1) -> None:
        """Give back what `reserve` took for tasks of the job."""
        self.reserve(spec, -tasks)

    def reserve(self, spec: wire.JobSpec, tasks: int = 1) -> None:
        """Take the capacity that tasks of the job request."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        if self.load is not None:
            self.load.add(spec.team, task_share(spec, self.type), tasks)


def fits_in(spec: wire.JobSpec, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Are these amounts enough for one task?

    `MachineCapacity.fits` is the same without a call, for the loops over machines.
    """
    return (
        cpus + constants.EPSILON >= spec.cpus
        and gpus + constants.EPSILON >= spec.gpus
        and memory_gb + constants.EPSILON >= spec.memory_gb
    )


def can_run_on_type(spec: wire.JobSpec, machine_type: wire.MachineType) -> bool:
    """May a task of the job run on an empty machine of this type, and does it fit there?"""
    return (
        (spec.types is None or machine_type.name in spec.types)
        and (bool(machine_type.zones) if spec.zone is None else spec.zone in machine_type.zones)
        and fits_in(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    )


def is_allowed_on(spec: wire.JobSpec, machine: MachineCapacity) -> bool:
    """Do the hard constraints but size hold: type, zone, spot or on-demand, partition?"""
    return (
        (spec.types is None or machine.type.name in spec.types)
        and (spec.zone is None or spec.zone == machine.zone)
        and (spec.spot or not machine.spot)
        and (machine.admission is None or machine.admission.admits(spec))
    )


def max_tasks_per_zone(spec: wire.JobSpec) -> int:
    """The most tasks of the job that one zone may hold (spread: half, rounded up)."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def is_zone_open(spec: wire.JobSpec, zone: str, tasks_by_zone: dict[str, int]) -> bool:
    """May one more task go to the zone, given the job's unsettled tasks by zone?"""
    return tasks_by_zone.get(zone, 0) < max_tasks_per_zone(spec) and not (
        spec.one_zone and not tasks_by_zone.get(zone) and any(tasks_by_zone.values())
    )


def count_free_slots(
    spec: wire.JobSpec, machines: Iterable[MachineCapacity], tasks_by_zone: dict[str, int]
) -> int:
    """How many tasks of the job the machines could take under its zone constraints.

    Slots in zones closed to the job must not count: a controller with only such slots
    would be chosen for a hand-off again and again while another one could place the task.
    """
    slots: dict[str, int] = {}
    for machine in machines:
        if is_allowed_on(spec, machine) and is_zone_open(spec, machine.zone, tasks_by_zone):
            slots[machine.zone] = slots.get(machine.zone, 0) + machine.free_slots(spec)
    if spec.spread:
        limit = max_tasks_per_zone(spec)
        slots = {
            zone: min(count, limit - tasks_by_zone.get(zone, 0)) for zone, count in slots.items()
        }
    return max(slots.values(), default=0) if spec.one_zone else sum(slots.values())


def image_fetch_s(spec: wire.JobSpec, machine: MachineCapacity) -> float:
    """Expected time until the job's image is on the machine, in s; 0 if it is there.

    Images are fetched one after the other, so those under way come first.
    """
    if spec.image in machine.images:
        return 0.0
    rate = machine.type.fetch_gb_per_s
    fetch_s = spec.image_gb / rate if rate > 0 else 0.0
    if spec.image in machine.fetching:
        return fetch_s * FETCHING_DISCOUNT
    return fetch_s * (1 + len(machine.fetching))


def fragmentation(spec: wire.JobSpec, machine: MachineCapacity) -> float:
    """What a task would leave free, as weighted parts of the machine; less packs tighter."""
    size = machine.type
    left = (machine.cpus - spec.cpus) / max(size.cpus, constants.EPSILON)
    left += (machine.gpus - spec.gpus) / size.gpus if size.gpus > 0 else 0.0
    return left + MEMORY_WEIGHT * (machine.memory_gb - spec.memory_gb) / max(
        size.memory_gb, constants.EPSILON
    )
