"""Free capacity of one machine, and which jobs it may take."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from appledock import constants as c
from appledock import wire
from appledock.rebalancing.picture import Load, task_share


class Gate(Protocol):
    """Says whose jobs a machine takes."""

    @property
    def partition(self) -> str | None:
        """Whose machine it is; None: nobody's, at present."""

    def admits(self, spec: wire.JobSpec) -> bool:
        """May a step of the job use the machine?"""


@dataclass(slots=True)
class MachineCapacity:
    """What one machine has free."""

    machine: str
    type: wire.MachineType
    zone: str
    spot: bool
    session: int
    cpus: float
    gpus: float
    memory_gb: float
    images: frozenset[str] | set[str] = frozenset()
    fetching: frozenset[str] | set[str] = frozenset()
    owner: str = ""
    strikes: int = 0
    """how often tasks of other jobs failed here"""
    gate: Gate | None = None
    """whose jobs it takes; None: anybody's"""
    load: Load | None = None
    """committed shares; None where load is not spread"""

    def fits(self, spec: wire.JobSpec) -> bool:
        """Is there room for one task?"""
        return (
            self.cpus + c.EPSILON >= spec.cpus
            and self.gpus + c.EPSILON >= spec.gpus
            and self.memory_gb + c.EPSILON >= spec.memory_gb
        )

    def count(self, spec: wire.JobSpec) -> int:
        """How many tasks of this size fit."""
        count = 100_000
        for free, size in (
            (self.cpus, spec.cpus),
            (self.gpus, spec.gpus),
            (self.memory_gb, spec.memory_gb),
        ):
            if size > 0:
                count = int(min(count, (free + c.EPSILON) / size))
        return max(0, count)

    def release(self, spec: wire.JobSpec, tasks: int = 1) -> None:
        """Give back what `reserve` took for tasks of the job."""
        self.reserve(spec, -tasks)

    def reserve(self, spec: wire.JobSpec, tasks: int = 1) -> None:
        """Take the capacity that tasks of the job need."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        if self.load is not None:
            self.load.add(spec.team, task_share(spec, self.type), tasks)


def type_fits(spec: wire.JobSpec, kind: wire.MachineType) -> bool:
    """May and can a task of the job run on an empty machine of this type?"""
    return (
        (spec.types is None or kind.name in spec.types)
        and (bool(kind.zones) if spec.zone is None else spec.zone in kind.zones)
        and kind.cpus + c.EPSILON >= spec.cpus
        and kind.gpus + c.EPSILON >= spec.gpus
        and kind.memory_gb + c.EPSILON >= spec.memory_gb
    )


def allowed_on(spec: wire.JobSpec, room: MachineCapacity) -> bool:
    """Do type, zone, kind (spot or ordinary) and holder admit the job, whatever is free?"""
    return (
        (spec.types is None or room.type.name in spec.types)
        and (spec.zone is None or spec.zone == room.zone)
        and (spec.spot or not room.spot)
        and (room.gate is None or room.gate.admits(spec))
    )


def zone_cap(spec: wire.JobSpec) -> int:
    """The most tasks of the job that one zone may hold."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks


def zone_open(spec: wire.JobSpec, zone: str, zones: dict[str, int]) -> bool:
    """Do the job's unsettled tasks (`zones` counts them) leave the zone open to one more?"""
    return zones.get(zone, 0) < zone_cap(spec) and not (
        spec.one_zone and not zones.get(zone) and any(zones.values())
    )


def room_for(spec: wire.JobSpec, rooms: Iterable[MachineCapacity], zones: dict[str, int]) -> int:
    """How many tasks the rooms could take, by the job's rules of zone.

    Guards against jobs passed round for ever between controllers whose room lies in
    zones that are closed to them, while a third one had room in the right zone.
    """
    fits: dict[str, int] = {}
    for room in rooms:
        if allowed_on(spec, room) and zone_open(spec, room.zone, zones):
            fits[room.zone] = fits.get(room.zone, 0) + room.count(spec)
    if spec.spread:
        fits = {zone: min(fit, zone_cap(spec) - zones.get(zone, 0)) for zone, fit in fits.items()}
    return max(fits.values(), default=0) if spec.one_zone else sum(fits.values())


def fetch_s(spec: wire.JobSpec, room: MachineCapacity) -> float:
    """How long a task would wait for its image there."""
    if spec.image in room.images:
        return 0.0
    wait = spec.image_gb / room.type.fetch_gb_per_s if room.type.fetch_gb_per_s > 0 else 0.0
    if spec.image in room.fetching:
        return wait / 2
    return wait * (1 + len(room.fetching))


def tightness(spec: wire.JobSpec, room: MachineCapacity) -> float:
    """What a task would leave free, in parts of the machine; less is a tighter fit."""
    left = (room.cpus - spec.cpus) / max(room.type.cpus, c.EPSILON)
    left += (room.gpus - spec.gpus) / room.type.gpus if room.type.gpus > 0 else 0.0
    return left + 0.25 * (room.memory_gb - spec.memory_gb) / max(room.type.memory_gb, c.EPSILON)
