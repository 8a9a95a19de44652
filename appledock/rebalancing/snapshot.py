"""Snapshot of the fleet that the policy decides on: loads, tasks, means.

Load is the *committed* share of a machine, since workers report no usage: the sum, over the
tasks on it, of the largest of their shares of its CPUs, memory and GPUs.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from appledock import constants, wire


def task_share(spec: wire.JobSpec, machine_type: wire.MachineType) -> float:
    """Return the dominant share: the largest part of the machine's resources that a task takes."""
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
    """The committed shares of one machine."""

    total: float = 0.0
    teams: dict[str, float] = field(default_factory=dict)
    task_counts: dict[str, int] = field(default_factory=dict)
    """team -> its tasks"""

    def add(self, team: str, share: float, tasks: int) -> None:
        """Count tasks of a team, each of this share (negative: no longer)."""
        self.total += share * tasks
        left = self.task_counts.get(team, 0) + tasks
        if left > 0:
            self.task_counts[team] = left
            self.teams[team] = self.teams.get(team, 0.0) + share * tasks
        else:
            self.task_counts.pop(team, None)
            self.teams.pop(team, None)

    def add_share(self, team: str, share: float) -> None:
        """Add a share that is not a whole number of tasks."""
        self.total += share
        self.teams[team] = self.teams.get(team, 0.0) + share

    @property
    def task_count(self) -> int:
        """How many tasks are counted."""
        return sum(self.task_counts.values())

    def interpolated_towards(self, now: Load, weight: float) -> Load:
        """Return this load, moved towards the present one by `weight` of their difference."""
        teams = {
            team: self.of_team(team) + weight * (now.of_team(team) - self.of_team(team))
            for team in self.teams.keys() | now.teams.keys()
        }
        return Load(self.total + weight * (now.total - self.total), teams, dict(now.task_counts))

    def maximum_with(self, other: Load) -> Load:
        """Return the maximum of both loads, team by team."""
        teams = {
            team: max(self.of_team(team), other.of_team(team))
            for team in self.teams.keys() | other.teams.keys()
        }
        return Load(max(self.total, other.total), teams, dict(self.task_counts))

    def of_team(self, team: str) -> float:
        """Return the team's share."""
        return self.teams.get(team, 0.0)

    def copy(self) -> Load:
        """Return a copy that may be changed."""
        return Load(self.total, dict(self.teams), dict(self.task_counts))


@dataclass(frozen=True, slots=True)
class Means:
    """Mean loads over machines, each weighted by its size."""

    machines: int = 0
    cpus: float = 0.0
    total: float = 0.0
    teams: dict[str, float] = field(default_factory=dict)

    def team(self, name: str) -> float:
        """The team's mean load."""
        return self.teams.get(name, 0.0)


def means(loads: Iterable[tuple[float, Load]]) -> Means:
    """Return the mean loads over machines, each given as its CPUs and its load."""
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
    """One task on a machine, as far as the planner needs to know it."""

    spec: wire.JobSpec
    task: int
    attempt: int
    lost_core_s: float
    """work that is thrown away when it is stopped"""
    is_movable: bool
    """may it be stopped to balance load?"""


class Admission(Protocol):
    """Which jobs a machine of a capacity partition admits."""

    def admits(self, spec: wire.JobSpec) -> bool:
        """May a task of the job run there?"""


@dataclass(slots=True)
class MachineLoad:
    """One machine that may take tasks, as the planner sees it."""

    name: str
    owner: str
    zone: str
    spot: bool
    machine_type: wire.MachineType
    load: Load
    """without the tasks that are leaving it"""
    smoothed: Load
    """averaged over time"""
    cpus: float
    gpus: float
    memory_gb: float
    """what is free"""
    images: frozenset[str] = frozenset()
    tasks: list[RunningTask] = field(default_factory=list)
    """read for machines that tasks may be moved from"""
    is_failing: bool = False
    """tasks of different jobs failed on it"""
    admission: Admission | None = None
    """which jobs it admits; None: any"""

    def fits(self, spec: wire.JobSpec) -> bool:
        """Is there free capacity for one task?"""
        return (
            self.cpus + constants.EPSILON >= spec.cpus
            and self.gpus + constants.EPSILON >= spec.gpus
            and self.memory_gb + constants.EPSILON >= spec.memory_gb
        )

    def add_tasks(self, spec: wire.JobSpec, tasks: int) -> None:
        """Count tasks of the job as placed here; a negative number as moved away."""
        self.cpus -= spec.cpus * tasks
        self.gpus -= spec.gpus * tasks
        self.memory_gb -= spec.memory_gb * tasks
        share = task_share(spec, self.machine_type)
        self.load.add(spec.team, share, tasks)
        self.smoothed.add_share(spec.team, share * tasks)


def exceeds_bound(load: float, share: float, mean: float, bound: float) -> bool:
    """Would one task more be beyond the team's bound on a machine?

    A machine may always hold one task of a team: a smaller part of it cannot be moved.
    """
    return load > constants.EPSILON and load + share > bound * mean + constants.EPSILON
