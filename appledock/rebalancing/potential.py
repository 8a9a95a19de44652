"""Potential function that every planned move decreases, so that moves end under constant load.

For machines m with C cores and load L(m), of which T(m, t) belongs to team t, the potential is:

    sum over m of C * (L(m)^2 + sum over t of T(m, t)^2)
    + sum over running tasks of (locality / spread) * cores * distance to their data

The potential is never negative. A move is proposed only if it decreases the potential by at least
a fixed amount for each core of the task, both with the present and with the smoothed loads. Under
constant load the smoothed loads converge to the present ones, and only finitely many moves can
follow. The weights of a class scale only the distance terms of its own tasks. Classes with
conflicting weights therefore share one potential, and cannot undo each other's moves forever.
"""

from __future__ import annotations

from dataclasses import dataclass

from appledock import wire
from appledock.rebalancing.locality import DataSets
from appledock.rebalancing.settings import ClassWeights
from appledock.rebalancing.snapshot import Load, MachineLoad, task_share


@dataclass(frozen=True, slots=True)
class Gain:
    """Decrease of the potential by a move, with the present and with the smoothed loads."""

    now: float
    smoothed: float

    @property
    def minimum(self) -> float:
        """The lower of the two gains."""
        return min(self.now, self.smoothed)


def _potential_increase(cores: float, load: Load, team: str, change: float) -> float:
    """Return the increase of a machine's load terms when the load of a team on it changes."""
    return cores * sum(
        (before + change) ** 2 - before**2 for before in (load.total, load.of_team(team))
    )


def move_gain(
    spec: wire.JobSpec,
    weights: ClassWeights,
    source: MachineLoad,
    destination: MachineLoad,
    datasets: DataSets,
) -> Gain:
    """Return the gain of moving one task of the job; the loads of the source include the task."""
    source_share = task_share(spec, source.machine_type)
    destination_share = task_share(spec, destination.machine_type)

    def spread_gain(source_load: Load, destination_load: Load) -> float:
        return -(
            _potential_increase(source.machine_type.cpus, source_load, spec.team, -source_share)
            + _potential_increase(
                destination.machine_type.cpus, destination_load, spec.team, destination_share
            )
        )

    locality_gain = 0.0
    if weights.locality > 0:
        distance_decrease = _distance(spec, source, datasets) - _distance(
            spec, destination, datasets
        )
        locality_gain = weights.locality / weights.spread * spec.cpus * distance_decrease
    return Gain(
        locality_gain + spread_gain(source.load, destination.load),
        locality_gain + spread_gain(source.smoothed, destination.smoothed),
    )


def _distance(spec: wire.JobSpec, machine: MachineLoad, datasets: DataSets) -> float:
    return datasets.distance(spec, machine.name, machine.machine_type.name, machine.zone)


def potential(
    machines: list[MachineLoad], weights: dict[str, ClassWeights], datasets: DataSets
) -> float:
    """Return the potential of machines whose tasks are known; used by tests."""
    result = 0.0
    for machine in machines:
        cores = machine.machine_type.cpus
        result += cores * machine.load.total**2
        result += cores * sum(share**2 for share in machine.load.teams.values())
        for task in machine.tasks:
            row = weights.get(task.spec.job_class)
            if row is not None and row.spread > 0:
                distance = _distance(task.spec, machine, datasets)
                result += row.locality / row.spread * task.spec.cpus * distance
    return result
