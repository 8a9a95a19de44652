"""Where tasks go: room on machines, sampled best fit, and the job's own limits."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from appledock import constants as c
from appledock import wire
from appledock.core.machines.machine_capacity import (
    MachineCapacity,
    allowed_on,
    fetch_s,
    tightness,
    zone_cap,
)


class Scorer(Protocol):
    """Scores machines for one job in place of `score`."""

    def score(self, room: MachineCapacity) -> tuple[float, ...]:
        """Lower is better."""

    def close(self, room: MachineCapacity) -> bool:
        """Should it be among those looked at, whatever the sample draws?"""


def misplaced(spec: wire.JobSpec, room: MachineCapacity) -> float:
    """A job that may use spot leaves ordinary machines to those that may not."""
    return 1.0 if spec.spot and not room.spot else 0.0


def score(spec: wire.JobSpec, room: MachineCapacity) -> tuple[float, ...]:
    """Lower is better: no failures, image at hand, right kind, tight fit, fast."""
    return (
        float(room.strikes > 0),
        round(fetch_s(spec, room), 3),
        misplaced(spec, room),
        round(tightness(spec, room), 6),
    )


def pick(
    spec: wire.JobSpec, rooms: list[MachineCapacity], rng: random.Random, sample: int = c.SAMPLE
) -> MachineCapacity | None:
    """Best fit among `sample` machines with room, drawn at random."""
    if not rooms:
        return None
    drawn = rooms if len(rooms) <= sample else rng.sample(rooms, sample)
    return min(drawn, key=lambda room: (score(spec, room), room.machine))


def pick_scored(
    scorer: Scorer,
    rooms: list[MachineCapacity],
    close: list[MachineCapacity],
    rng: random.Random,
    sample: int,
) -> MachineCapacity | None:
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

    def near(self, spec: wire.JobSpec, rooms: list[MachineCapacity]) -> list[MachineCapacity]:
        """Machines that a sample of many would rarely hit, and should."""
        if self.scorer is not None:
            return [room for room in rooms if self.scorer.close(room)]
        return [room for room in rooms if spec.image in room.images and not room.strikes]

    def pick(
        self, spec: wire.JobSpec, rooms: list[MachineCapacity], near: list[MachineCapacity]
    ) -> MachineCapacity | None:
        """The best of a sample; None if there is no machine."""
        if self.scorer is not None:
            return pick_scored(self.scorer, rooms, near, self.rng, self.size)
        # The image decides before all else: the sample is drawn among those that have it
        # while there are any.
        return pick(spec, near or rooms, self.rng, self.size)


def place(
    spec: wire.JobSpec,
    tasks: int,
    rooms: Iterable[MachineCapacity],
    sampling: Sampling,
    zones: dict[str, int],
    whole: bool = False,
) -> list[tuple[MachineCapacity, int]]:
    """Up to `tasks` tasks on the rooms, which are charged; [(room, count), ...].

    `zones` counts the job's unsettled tasks by zone. `whole`: all or none.
    """
    usable = _usable(spec, rooms, zones)
    if not usable or tasks <= 0:
        return []
    counts = dict(zones)
    cap = zone_cap(spec)
    placed: dict[str, list[MachineCapacity]] = {}
    left = tasks
    near = sampling.near(spec, usable)
    while left and usable:
        room = sampling.pick(spec, usable, near)
        assert room is not None
        if counts.get(room.zone, 0) >= cap:
            usable = [other for other in usable if other.zone != room.zone]
            near = [other for other in near if other.zone != room.zone]
            continue
        room.reserve(spec)
        counts[room.zone] = counts.get(room.zone, 0) + 1
        placed.setdefault(room.machine, []).append(room)
        left -= 1
        if not room.fits(spec):
            usable = [other for other in usable if other is not room]
            near = [other for other in near if other is not room]
    if whole and left:
        for taken in placed.values():
            taken[0].release(spec, len(taken))
        return []
    return [(taken[0], len(taken)) for taken in placed.values()]


def _usable(
    spec: wire.JobSpec, rooms: Iterable[MachineCapacity], zones: dict[str, int]
) -> list[MachineCapacity]:
    """Rooms that may and can take a task, by the job's rule of one zone too."""
    usable = [room for room in rooms if allowed_on(spec, room) and room.fits(spec)]
    if not spec.one_zone or not usable:
        return usable
    held = {zone for zone, count in zones.items() if count}
    if not held:
        return _best_zone(spec, usable)
    return [room for room in usable if room.zone in held] if len(held) == 1 else []


def _best_zone(spec: wire.JobSpec, rooms: list[MachineCapacity]) -> list[MachineCapacity]:
    """The rooms of the zone that holds most tasks of this size."""
    by_zone: dict[str, list[MachineCapacity]] = {}
    for room in rooms:
        by_zone.setdefault(room.zone, []).append(room)
    return max(by_zone.values(), key=lambda rs: (sum(r.count(spec) for r in rs), rs[0].zone))
