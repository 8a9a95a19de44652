"""Placement of a step's tasks on machines: filter, sample, score, reserve.

The phases are those of scheduler frameworks. Filter keeps the machines that meet the job's
hard constraints and have capacity. For each task, sample draws a few of them at random, score
ranks these, and reserve takes the capacity on the best one.

Best fit within a random sample in place of all machines is the rule of the architecture page
("best fit among 8 sampled machines"; docs/design.md says why the sample is larger here). It is
the power of several choices applied to packing: a pass costs little however many machines there
are, and controllers that place at the same time on equal knowledge rarely choose alike.
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
"""compared term by term; lower is better"""


class PlacedTasks(NamedTuple):
    """Tasks of one step on one machine; their capacity is reserved there."""

    machine: MachineCapacity
    tasks: int


class Scorer(Protocol):
    """Scores machines for one job in place of `score`."""

    def score(self, machine: MachineCapacity) -> Score:
        """Lower is better."""

    def is_preferred(self, machine: MachineCapacity) -> bool:
        """Is the machine scored even if the random sample misses it?"""


# --- score ------------------------------------------------------------------
def spot_mismatch(spec: wire.JobSpec, machine: MachineCapacity) -> float:
    """1 where a job that may use spot would take on-demand capacity that others need; else 0."""
    return 1.0 if spec.spot and not machine.spot else 0.0


def score(spec: wire.JobSpec, machine: MachineCapacity) -> Score:
    """Default score: failures, image fetch time, spot mismatch, fragmentation.

    Times and fragmentation are rounded, so that errors of floating point decide nothing.
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
    """The machine with the best default score in a random sample; None without machines."""
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
    """The machine with the best score in a sample of which up to half are preferred ones."""
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
    """How one machine is chosen among those that could take a task."""

    rng: random.Random
    sample_size: int = constants.PLACEMENT_SAMPLE_SIZE
    scorer: Scorer | None = None
    """for job classes with score weights of their own; None: the default score"""

    def preferred(
        self, spec: wire.JobSpec, machines: list[MachineCapacity]
    ) -> list[MachineCapacity]:
        """Machines that should be scored although a random sample of many would miss them."""
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
        """The best machine of a sample; None if there is no machine."""
        if self.scorer is not None:
            return sample_best_scored(self.scorer, machines, preferred, self.rng, self.sample_size)
        # The image decides before all else: the sample is drawn among the machines that
        # have it while there are any.
        return sample_best_fit(spec, preferred or machines, self.rng, self.sample_size)


# --- filter -----------------------------------------------------------------
def filter_machines(
    spec: wire.JobSpec, machines: Iterable[MachineCapacity], tasks_by_zone: dict[str, int]
) -> list[MachineCapacity]:
    """Machines that meet the job's constraints and fit a task, co-location in a zone included."""
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
    """The machines of the zone that has slots for most tasks."""
    by_zone: dict[str, list[MachineCapacity]] = {}
    for machine in machines:
        by_zone.setdefault(machine.zone, []).append(machine)
    return max(
        by_zone.values(),
        key=lambda group: (sum(machine.free_slots(spec) for machine in group), group[0].zone),
    )


# --- the pass ---------------------------------------------------------------
def place(
    spec: wire.JobSpec,
    tasks: int,
    machines: Iterable[MachineCapacity],
    sampling: Sampling,
    tasks_by_zone: dict[str, int],
    all_or_nothing: bool = False,
) -> list[PlacedTasks]:
    """Place up to `tasks` tasks of the job and reserve their capacity on the machines.

    `tasks_by_zone` counts the job's unsettled tasks. With `all_or_nothing` (gang scheduling)
    nothing is placed or reserved unless all tasks are.
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
    """Sample, score and reserve task by task; return the machine of each task placed.

    `tasks_by_zone` is counted up.
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
    """Count the tasks of each machine, in the order in which the machines were first chosen."""
    groups: dict[str, list[MachineCapacity]] = {}
    for machine in reserved:
        groups.setdefault(machine.name, []).append(machine)
    return [PlacedTasks(group[0], len(group)) for group in groups.values()]
