"""Snapshot of the fleet, the input of the policy: loads, tasks and mean loads.

The load of a machine is its *committed* share, because workers do not report usage. It is the sum
of the dominant shares of the tasks on the machine, where the dominant share of a task is the
largest of its shares of the machine's CPUs, memory and GPUs.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from appledock import constants, wire


def task_share(spec: wire.JobSpec, machine_type: wire.MachineType) -> float:
    """Return the dominant share of a task: its largest share of any resource of the machine."""
    share = 0.0
    for amount, whole in (
        (spec.cpus, machine_type.cpus),
        (spec.gpus, machine_type.gpus),
        (spec.memory_gb, machine_type.memory_gb),
    ):
        if whole > 0:
            share = max(share, amount / whole)
    return share


@dataclass(slots=True)
class Load:
    """Committed shares of one machine, in total and by team."""

    total: float = 0.0
    teams: dict[str, float] = field(default_factory=dict)
    task_counts: dict[str, int] = field(default_factory=dict)
    """Number of tasks of each team."""

    def add(self, team: str, share: float, tasks: int) -> None:
        """Add tasks of a team, each with the given share; a negative number removes them."""
        self.total += share * tasks
        left = self.task_counts.get(team, 0) + tasks
        if left > 0:
            self.task_counts[team] = left
            self.teams[team] = self.teams.get(team, 0.0) + share * tasks
        else:
            self.task_counts.pop(team, None)
            self.teams.pop(team, None)

    def add_share(self, team: str, share: float) -> None:
        """Add a share to the load of a team, without a change of the number of tasks."""
        self.total += share
        self.teams[team] = self.teams.get(team, 0.0) + share

    @property
    def task_count(self) -> int:
        """Number of tasks of all teams."""
        return sum(self.task_counts.values())

    def interpolated_towards(self, now: Load, weight: float) -> Load:
        """Return this load plus `weight` times the difference to the load `now`."""
        teams = {
            team: self.of_team(team) + weight * (now.of_team(team) - self.of_team(team))
            for team in self.teams.keys() | now.teams.keys()
        }
        return Load(self.total + weight * (now.total - self.total), teams, dict(now.task_counts))

    def maximum_with(self, other: Load) -> Load:
        """Return the maximum of the two loads, in total and for each team."""
        teams = {
            team: max(self.of_team(team), other.of_team(team))
            for team in self.teams.keys() | other.teams.keys()
        }
        return Load(max(self.total, other.total), teams, dict(self.task_counts))

    def of_team(self, team: str) -> float:
        """Return the share that tasks of the team commit."""
        return self.teams.get(team, 0.0)

    def copy(self) -> Load:
        """Return an independent copy."""
        return Load(self.total, dict(self.teams), dict(self.task_counts))


@dataclass(frozen=True, slots=True)
class Means:
    """Mean loads over machines, in total and by team, weighted by the machines' CPUs."""

    machines: int = 0
    cpus: float = 0.0
    total: float = 0.0
    teams: dict[str, float] = field(default_factory=dict)

    def team(self, name: str) -> float:
        """Return the mean load of the team."""
        return self.teams.get(name, 0.0)


def means(loads: Iterable[tuple[float, Load]]) -> Means:
    """Return the mean loads over machines, each given as a pair of its CPUs and its load."""
    machines, cpus, total = 0, 0.0, 0.0
    teams: dict[str, float] = {}
    for size, load in loads:
        machines += 1
        cpus += size
        total += size * load.total
        for team, share in load.teams.items():
            teams[team] = teams.get(team, 0.0) + size * share
    if cpus <= 0:
        return Means()
    return Means(
        machines, cpus, total / cpus, {team: share / cpus for team, share in teams.items()}
    )


@dataclass(frozen=True, slots=True)
class RunningTask:
    """The planner's view of one task on a machine."""

    spec: wire.JobSpec
    task: int
    attempt: int
    lost_core_s: float
    """Work that is lost if the task is stopped (core seconds)."""
    is_movable: bool
    """Whether the task may be stopped to balance load."""


class Admission(Protocol):
    """Decides which jobs a machine of a capacity partition admits."""

    def admits(self, spec: wire.JobSpec) -> bool:
        """Return whether tasks of the job may run on the machine."""


@dataclass(slots=True)
class MachineLoad:
    """The planner's view of one machine that may take tasks."""

    name: str
    owner: str
    zone: str
    spot: bool
    machine_type: wire.MachineType
    load: Load
    """Load without the tasks that are being stopped."""
    smoothed: Load
    """Load averaged over time."""
    cpus: float
    """Free CPUs."""
    gpus: float
    """Free GPUs."""
    memory_gb: float
    """Free memory (GB)."""
    images: frozenset[str] = frozenset()
    tasks: list[RunningTask] = field(default_factory=list)
    """Tasks on the machine; filled in only if the machine is considered as a source."""
    is_failing: bool = False
    """Whether tasks of any job have failed on the machine."""
    admission: Admission | None = None
    """Which jobs the machine admits; None if any."""

    def fits(self, spec: wire.JobSpec) -> bool:
        """Return whether the free capacity is enough for one task of the job."""
        return (
            self.cpus + constants.EPSILON >= spec.cpus
            and self.gpus + constants.EPSILON >= spec.gpus
            and self.memory_gb + constants.EPSILON >= spec.memory_gb
        )

    def add_tasks(self, spec: wire.JobSpec, tasks: int) -> None:
        """Add tasks of the job to the machine; a negative number removes them."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        share = task_share(spec, self.machine_type)
        self.load.add(spec.team, share, tasks)
        self.smoothed.add_share(spec.team, share * tasks)


def exceeds_bound(load: float, share: float, mean: float, bound: float) -> bool:
    """Return whether one more task would exceed the team's bound on a machine.

    A machine without load of the team never exceeds it: the smallest unit that can be placed is one
    task, however large its share is.
    """
    return load > constants.EPSILON and load + share > bound * mean + constants.EPSILON
