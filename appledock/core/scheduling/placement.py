"""Placement of a step's tasks on machines: filter, sample, score, reserve.

The phases are those of scheduler frameworks. The filter phase keeps the machines that meet the
job's hard constraints and have free capacity. For each task, the sample phase draws a few of them
at random, the score phase ranks these, and the reserve phase takes the capacity on the best one.

Choosing the best fit within a random sample, and not among all machines, is the rule of the
architecture page ("best fit among 8 sampled machines"; docs/design.md says why the sample is
larger here). This is the "power of d choices" rule, applied to packing: the cost of a pass does
not grow with the number of machines, and controllers that place at the same time with the same
knowledge rarely choose the same machine.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from appledock import constants, wire
from appledock.core.machines.machine_capacity import (
    MachineCapacity,
    fragmentation,
    image_fetch_s,
    is_allowed_on,
    max_tasks_per_zone,
)

Score = tuple[float, ...]
"""terms are compared in order, as tuples are; a lower score is better"""


class PlacedTasks(NamedTuple):
    """Tasks of one step on one machine, on which their capacity is reserved."""

    machine: MachineCapacity
    tasks: int
    """number of tasks"""


class Scorer(Protocol):
    """Scores machines for one job; replaces the default `score`."""

    def score(self, machine: MachineCapacity) -> Score:
        """Return the machine's score; lower is better."""

    def is_preferred(self, machine: MachineCapacity) -> bool:
        """Return whether the machine is sampled in preference to others."""


# --- score ------------------------------------------------------------------
def spot_mismatch(spec: wire.JobSpec, machine: MachineCapacity) -> float:
    """Return 1 if a job that may use spot machines would take an on-demand machine, else 0.

    Jobs that may not use spot machines need the on-demand capacity.
    """
    return 1.0 if spec.spot and not machine.spot else 0.0


def score(spec: wire.JobSpec, machine: MachineCapacity) -> Score:
    """Return the default score: failures, image fetch time, spot mismatch, fragmentation.

    Times and fragmentation are rounded, so that rounding errors do not decide between machines.
    """
    return (
        float(machine.failure_count > 0),
        round(image_fetch_s(spec, machine), 3),
        spot_mismatch(spec, machine),
        round(fragmentation(spec, machine), 6),
    )


# --- sample -----------------------------------------------------------------
def sample_best_fit(
    spec: wire.JobSpec,
    machines: list[MachineCapacity],
    rng: random.Random,
    sample_size: int = constants.PLACEMENT_SAMPLE_SIZE,
) -> MachineCapacity | None:
    """Return the machine with the best default score in a random sample; None if there is none."""
    if not machines:
        return None
    sample = machines if len(machines) <= sample_size else rng.sample(machines, sample_size)
    return min(sample, key=lambda machine: (score(spec, machine), machine.name))


def sample_best_scored(
    scorer: Scorer,
    machines: list[MachineCapacity],
    preferred: list[MachineCapacity],
    rng: random.Random,
    sample_size: int,
) -> MachineCapacity | None:
    """Return the machine with the best score in a random sample; None if there is none.

    Up to half of the sample is drawn from the preferred machines.
    """
    if not machines:
        return None
    if len(machines) <= sample_size:
        sample = machines
    else:
        half = sample_size // 2
        sample = preferred if len(preferred) <= half else rng.sample(preferred, half)
        sample = sample + rng.sample(machines, sample_size - len(sample))
    return min(sample, key=lambda machine: (scorer.score(machine), machine.name))


@dataclass(frozen=True, slots=True)
class Sampling:
    """Choice of one machine among those that could take a task."""

    rng: random.Random
    sample_size: int = constants.PLACEMENT_SAMPLE_SIZE
    """number of machines that are scored for each task"""
    scorer: Scorer | None = None
    """scorer of a job class that has score weights of its own; None for the default score"""

    def preferred(
        self, spec: wire.JobSpec, machines: list[MachineCapacity]
    ) -> list[MachineCapacity]:
        """Return the machines to sample first, which a plain random sample would often miss.

        With a scorer these are the machines it prefers, otherwise those that have the job's
        image and on which no task failed.
        """
        if self.scorer is not None:
            is_preferred = self.scorer.is_preferred
            return [machine for machine in machines if is_preferred(machine)]
        return [
            machine
            for machine in machines
            if spec.image in machine.images and not machine.failure_count
        ]

    def choose(
        self,
        spec: wire.JobSpec,
        machines: list[MachineCapacity],
        preferred: list[MachineCapacity],
    ) -> MachineCapacity | None:
        """Return the best machine of a random sample; None if `machines` is empty."""
        if self.scorer is not None:
            return sample_best_scored(self.scorer, machines, preferred, self.rng, self.sample_size)
        # The image takes precedence over all other criteria: while machines that have it can
        # take a task, the sample is drawn from these only.
        return sample_best_fit(spec, preferred or machines, self.rng, self.sample_size)


# --- filter -----------------------------------------------------------------
def filter_machines(
    spec: wire.JobSpec, machines: Iterable[MachineCapacity], tasks_by_zone: dict[str, int]
) -> list[MachineCapacity]:
    """Return the machines that meet all the job's constraints and have capacity for a task.

    A job that is co-located in one zone gets the machines of the zone that its tasks use, or, if
    it has none yet, of the zone with most free slots.
    """
    feasible = [
        machine for machine in machines if is_allowed_on(spec, machine) and machine.fits(spec)
    ]
    if not spec.one_zone or not feasible:
        return feasible
    used_zones = {zone for zone, count in tasks_by_zone.items() if count}
    if not used_zones:
        return _zone_with_most_slots(spec, feasible)
    if len(used_zones) > 1:
        return []
    return [machine for machine in feasible if machine.zone in used_zones]


def _zone_with_most_slots(
    spec: wire.JobSpec, machines: list[MachineCapacity]
) -> list[MachineCapacity]:
    """Return the machines of the zone with most free slots."""
    by_zone: dict[str, list[MachineCapacity]] = {}
    for machine in machines:
        by_zone.setdefault(machine.zone, []).append(machine)
    return max(
        by_zone.values(),
        key=lambda group: (sum(machine.free_slots(spec) for machine in group), group[0].zone),
    )


# --- reserve ----------------------------------------------------------------
def place(
    spec: wire.JobSpec,
    tasks: int,
    machines: Iterable[MachineCapacity],
    sampling: Sampling,
    tasks_by_zone: dict[str, int],
    all_or_nothing: bool = False,
) -> list[PlacedTasks]:
    """Place up to `tasks` tasks of the job and reserve their capacity on the machines.

    Args:
        spec: the job
        tasks: number of tasks to place
        machines: machines to choose from
        sampling: how each machine is chosen
        tasks_by_zone: zone -> number of the job's unsettled tasks
        all_or_nothing: place and reserve nothing unless all tasks fit (gang scheduling)
    """
    feasible = filter_machines(spec, machines, tasks_by_zone)
    if not feasible or tasks <= 0:
        return []
    reserved = _reserve_sampled(spec, tasks, feasible, sampling, dict(tasks_by_zone))
    placed = _group_by_machine(reserved)
    if all_or_nothing and len(reserved) < tasks:
        for machine, count in placed:
            machine.release(spec, count)
        return []
    return placed


def _reserve_sampled(
    spec: wire.JobSpec,
    tasks: int,
    feasible: list[MachineCapacity],
    sampling: Sampling,
    tasks_by_zone: dict[str, int],
) -> list[MachineCapacity]:
    """Sample, score and reserve for one task after the other; return each task's machine.

    The tasks placed are added to `tasks_by_zone`.
    """
    zone_limit = max_tasks_per_zone(spec)
    preferred = sampling.preferred(spec, feasible)
    reserved: list[MachineCapacity] = []
    while len(reserved) < tasks and feasible:
        machine = sampling.choose(spec, feasible, preferred)
        assert machine is not None
        zone = machine.zone
        if tasks_by_zone.get(zone, 0) >= zone_limit:
            feasible = [other for other in feasible if other.zone != zone]
            preferred = [other for other in preferred if other.zone != zone]
            continue
        machine.reserve(spec)
        tasks_by_zone[zone] = tasks_by_zone.get(zone, 0) + 1
        reserved.append(machine)
        if not machine.fits(spec):
            feasible = [other for other in feasible if other is not machine]
            preferred = [other for other in preferred if other is not machine]
    return reserved


def _group_by_machine(reserved: list[MachineCapacity]) -> list[PlacedTasks]:
    """Return the number of tasks of each machine, in the order the machines were first chosen."""
    groups: dict[str, list[MachineCapacity]] = {}
    for machine in reserved:
        groups.setdefault(machine.name, []).append(machine)
    return [PlacedTasks(group[0], len(group)) for group in groups.values()]
