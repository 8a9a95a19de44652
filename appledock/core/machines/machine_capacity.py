"""Free capacity of one machine, and the constraints that decide which jobs it may take."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from appledock import constants, wire
from appledock.rebalancing.snapshot import Load, task_share

UNLIMITED_SLOTS = 100_000
"""slots; upper limit of `free_slots`, reached by tasks that request close to nothing"""

FETCHING_DISCOUNT = 0.5
"""ratio; part of an image's fetch time that is expected to remain while it is being fetched"""

MEMORY_WEIGHT = 0.25
"""ratio; weight of free memory in the fragmentation, where CPUs and GPUs have weight 1 each"""


class PartitionAdmission(Protocol):
    """Rule that decides which jobs a machine of a capacity partition admits."""

    @property
    def partition(self) -> str | None:
        """The partition that owns the machine; None if no partition owns it at present."""

    def admits(self, spec: wire.JobSpec) -> bool:
        """Return whether a step of the job may use the machine."""


@dataclass(slots=True)
class MachineCapacity:
    """Free capacity of one machine, and its properties that constraints and scores use.

    The free amounts change as tasks are reserved and released. They are negative if more is
    placed on the machine than it has.
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
    """images that tasks placed on the machine are fetching or will fetch"""
    owner: str = ""
    """controller that owns the machine"""
    failure_count: int = 0
    """number of jobs of which tasks failed on the machine"""
    admission: PartitionAdmission | None = None
    """which jobs the machine admits; None: any job"""
    load: Load | None = None
    """committed shares of the machine; None if load is not tracked"""

    def fits(self, spec: wire.JobSpec) -> bool:
        """Return whether the free capacity is enough for one task of the job."""
        return (
            self.cpus + constants.EPSILON >= spec.cpus
            and self.gpus + constants.EPSILON >= spec.gpus
            and self.memory_gb + constants.EPSILON >= spec.memory_gb
        )

    def free_slots(self, spec: wire.JobSpec) -> int:
        """Return how many tasks of the job fit."""
        slots = UNLIMITED_SLOTS
        for free, requested in (
            (self.cpus, spec.cpus),
            (self.gpus, spec.gpus),
            (self.memory_gb, spec.memory_gb),
        ):
            if requested > 0:
                # Take the minimum before converting to an integer: dividing by a size close to
                # zero may give infinity, which has no integer value.
                slots = int(min(slots, (free + constants.EPSILON) / requested))
        return max(0, slots)

    def release(self, spec: wire.JobSpec, tasks: int = 1) -> None:
        """Release the capacity that `reserve` took for tasks of the job."""
        self.reserve(spec, -tasks)

    def reserve(self, spec: wire.JobSpec, tasks: int = 1) -> None:
        """Take the capacity that tasks of the job request."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        if self.load is not None:
            self.load.add(spec.team, task_share(spec, self.type), tasks)


def fits_in(spec: wire.JobSpec, cpus: float, gpus: float, memory_gb: float) -> bool:
    """Return whether these amounts are enough for one task of the job.

    `MachineCapacity.fits` repeats this test without a further call, for loops over machines.
    """
    return (
        cpus + constants.EPSILON >= spec.cpus
        and gpus + constants.EPSILON >= spec.gpus
        and memory_gb + constants.EPSILON >= spec.memory_gb
    )


def can_run_on_type(spec: wire.JobSpec, machine_type: wire.MachineType) -> bool:
    """Return whether a task of the job may run, and fits, on an empty machine of this type."""
    return (
        (spec.types is None or machine_type.name in spec.types)
        and (bool(machine_type.zones) if spec.zone is None else spec.zone in machine_type.zones)
        and fits_in(spec, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
    )


def is_allowed_on(spec: wire.JobSpec, machine: MachineCapacity) -> bool:
    """Return whether the machine meets the job's hard constraints other than size.

    These are its type, its zone, spot or on-demand, and its capacity partition.
    """
    return (
        (spec.types is None or machine.type.name in spec.types)
        and (spec.zone is None or spec.zone == machine.zone)
        and (spec.spot or not machine.spot)
        and (machine.admission is None or machine.admission.admits(spec))
    )


def max_tasks_per_zone(spec: wire.JobSpec) -> int:
    """Return the most tasks of the job that one zone may hold (spread: half, rounded up)."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def is_zone_open(spec: wire.JobSpec, zone: str, tasks_by_zone: dict[str, int]) -> bool:
    """Return whether one more task may go to the zone, given the job's unsettled tasks by zone."""
    return tasks_by_zone.get(zone, 0) < max_tasks_per_zone(spec) and not (
        spec.one_zone and not tasks_by_zone.get(zone) and any(tasks_by_zone.values())
    )


def count_free_slots(
    spec: wire.JobSpec, machines: Iterable[MachineCapacity], tasks_by_zone: dict[str, int]
) -> int:
    """Return how many tasks of the job the machines could take under its zone constraints.

    Slots in zones that are not open to the job must not count. Otherwise, a controller with only
    such slots would repeatedly be chosen for a hand-off while another could place the task.
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
    """Return the expected time, in s, until the job's image is on the machine; 0 if it is there.

    Images are fetched one after the other, so fetches in progress come first.
    """
    if spec.image in machine.images:
        return 0.0
    rate = machine.type.fetch_gb_per_s
    fetch_s = spec.image_gb / rate if rate > 0 else 0.0
    if spec.image in machine.fetching:
        return fetch_s * FETCHING_DISCOUNT
    return fetch_s * (1 + len(machine.fetching))


def fragmentation(spec: wire.JobSpec, machine: MachineCapacity) -> float:
    """Return the free capacity that a task would leave, as a weighted sum of parts of the machine.

    A smaller value means tighter packing.
    """
    size = machine.type
    left = (machine.cpus - spec.cpus) / max(size.cpus, constants.EPSILON)
    left += (machine.gpus - spec.gpus) / size.gpus if size.gpus > 0 else 0.0
    return left + MEMORY_WEIGHT * (machine.memory_gb - spec.memory_gb) / max(
        size.memory_gb, constants.EPSILON
    )
