"""Where tasks go: room on machines, sampled best fit, and the job's own limits."""

from __future__ import annotations

import random
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
class Room:
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

    def take(self, spec: wire.JobSpec, tasks: int = 1) -> None:
        """Charge the room with tasks of the job (negative: give it back)."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        if self.load is not None:
            self.load.add(spec.team, task_share(spec, self.type), tasks)


class Scorer(Protocol):
    """Scores machines for one job in place of `score`."""

    def score(self, room: Room) -> tuple[float, ...]:
        """Lower is better."""

    def close(self, room: Room) -> bool:
        """Should it be among those looked at, whatever the sample draws?"""


def type_fits(spec: wire.JobSpec, kind: wire.MachineType) -> bool:
    """May and can a task of the job run on an empty machine of this type?"""
    return (
        (spec.types is None or kind.name in spec.types)
        and (bool(kind.zones) if spec.zone is None else spec.zone in kind.zones)
        and kind.cpus + c.EPSILON >= spec.cpus
        and kind.gpus + c.EPSILON >= spec.gpus
        and kind.memory_gb + c.EPSILON >= spec.memory_gb
    )


def allowed_on(spec: wire.JobSpec, room: Room) -> bool:
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


def room_for(spec: wire.JobSpec, rooms: Iterable[Room], zones: dict[str, int]) -> int:
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


def fetch_s(spec: wire.JobSpec, room: Room) -> float:
    """How long a task would wait for its image there."""
    if spec.image in room.images:
        return 0.0
    wait = spec.image_gb / room.type.fetch_gb_per_s if room.type.fetch_gb_per_s > 0 else 0.0
    if spec.image in room.fetching:
        return wait / 2
    return wait * (1 + len(room.fetching))


def tightness(spec: wire.JobSpec, room: Room) -> float:
    """What a task would leave free, in parts of the machine; less is a tighter fit."""
    left = (room.cpus - spec.cpus) / max(room.type.cpus, c.EPSILON)
    left += (room.gpus - spec.gpus) / room.type.gpus if room.type.gpus > 0 else 0.0
    return left + 0.25 * (room.memory_gb - spec.memory_gb) / max(room.type.memory_gb, c.EPSILON)


def misplaced(spec: wire.JobSpec, room: Room) -> float:
    """A job that may use spot leaves ordinary machines to those that may not."""
    return 1.0 if spec.spot and not room.spot else 0.0


def score(spec: wire.JobSpec, room: Room) -> tuple[float, ...]:
    """Lower is better: no failures, image at hand, right kind, tight fit, fast."""
    return (
        float(room.strikes > 0),
        round(fetch_s(spec, room), 3),
        misplaced(spec, room),
        round(tightness(spec, room), 6),
    )


def pick(
    spec: wire.JobSpec, rooms: list[Room], rng: random.Random, sample: int = c.SAMPLE
) -> Room | None:
    """Best fit among `sample` machines with room, drawn at random."""
    if not rooms:
        return None
    drawn = rooms if len(rooms) <= sample else rng.sample(rooms, sample)
    return min(drawn, key=lambda room: (score(spec, room), room.machine))


def pick_scored(
    scorer: Scorer, rooms: list[Room], close: list[Room], rng: random.Random, sample: int
) -> Room | None:
    """The best by the scorer among `sample` machines; up to half of them are close ones."""
    if not rooms:
        return None
    if len(rooms) <= sample:
        drawn = rooms
    else:
        half = sample // 2
        drawn = close if len(close) <= half else rng.sample(close, half)
        drawn = drawn + rng.sample(rooms, sample - len(drawn))
    return min(drawn, key=lambda room: (scorer.score(room), room.machine))


@dataclass(frozen=True, slots=True)
class Sampling:
    """How a machine is chosen among those that could take a task."""

    rng: random.Random
    size: int = c.SAMPLE
    scorer: Scorer | None = None
    """decides among the machines of the sample, for classes whose load is spread"""

    def near(self, spec: wire.JobSpec, rooms: list[Room]) -> list[Room]:
        """Machines that a sample of many would rarely hit, and should."""
        if self.scorer is not None:
            return [room for room in rooms if self.scorer.close(room)]
        return [room for room in rooms if spec.image in room.images and not room.strikes]

    def pick(self, spec: wire.JobSpec, rooms: list[Room], near: list[Room]) -> Room | None:
        """The best of a sample; None if there is no machine."""
        if self.scorer is not None:
            return pick_scored(self.scorer, rooms, near, self.rng, self.size)
        # The image decides before all else: the sample is drawn among those that have it
        # while there are any.
        return pick(spec, near or rooms, self.rng, self.size)


def place(
    spec: wire.JobSpec,
    tasks: int,
    rooms: Iterable[Room],
    sampling: Sampling,
    zones: dict[str, int],
    whole: bool = False,
) -> list[tuple[Room, int]]:
    """Up to `tasks` tasks on the rooms, which are charged; [(room, count), ...].

    `zones` counts the job's unsettled tasks by zone. `whole`: all or none.
    """
    usable = _usable(spec, rooms, zones)
    if not usable or tasks <= 0:
        return []
    counts = dict(zones)
    cap = zone_cap(spec)
    placed: dict[str, list[Room]] = {}
    left = tasks
    near = sampling.near(spec, usable)
    while left and usable:
        room = sampling.pick(spec, usable, near)
        assert room is not None
        if counts.get(room.zone, 0) >= cap:
            usable = [other for other in usable if other.zone != room.zone]
            near = [other for other in near if other.zone != room.zone]
            continue
        room.take(spec)
        counts[room.zone] = counts.get(room.zone, 0) + 1
        placed.setdefault(room.machine, []).append(room)
        left -= 1
        if not room.fits(spec):
            usable = [other for other in usable if other is not room]
            near = [other for other in near if other is not room]
    if whole and left:
        for taken in placed.values():
            taken[0].take(spec, -len(taken))
        return []
    return [(taken[0], len(taken)) for taken in placed.values()]


def _usable(spec: wire.JobSpec, rooms: Iterable[Room], zones: dict[str, int]) -> list[Room]:
    """Rooms that may and can take a task, by the job's rule of one zone too."""
    usable = [room for room in rooms if allowed_on(spec, room) and room.fits(spec)]
    if not spec.one_zone or not usable:
        return usable
    held = {zone for zone, count in zones.items() if count}
    if not held:
        return _best_zone(spec, usable)
    return [room for room in usable if room.zone in held] if len(held) == 1 else []


def _best_zone(spec: wire.JobSpec, rooms: list[Room]) -> list[Room]:
    """The rooms of the zone that holds most tasks of this size."""
    by_zone: dict[str, list[Room]] = {}
    for room in rooms:
        by_zone.setdefault(room.zone, []).append(room)
    return max(by_zone.values(), key=lambda rs: (sum(r.count(spec) for r in rs), rs[0].zone))
