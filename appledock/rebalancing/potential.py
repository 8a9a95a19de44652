"""The potential that every move lowers: why moves end under a constant load.

For machines m of C cores with load L(m), and the part T(m, t) of team t in it:

    sum over m of C * (L(m)^2 + sum over t of T(m, t)^2)
    + sum over running tasks of (locality / spread) * cores * distance to their data

It is never negative. A move is proposed only if it lowers the potential by more than a
fixed amount for each core of the task, both by the loads of now and by the smoothed ones.
Under a constant load smoothed loads become those of now, and only finitely many moves can
follow. Weights of a class only scale its own term of distance, so classes that wish for
opposite things share one potential and cannot chase each other.
"""

from __future__ import annotations

from dataclasses import dataclass

from appledock import wire
from appledock.rebalancing.locality import DataSets
from appledock.rebalancing.settings import ClassWeights
from appledock.rebalancing.snapshot import Load, MachineLoad, task_share


@dataclass(frozen=True, slots=True)
class Gain:
    """By how much a move lowers the potential."""

    now: float
    smoothed: float

    @property
    def minimum(self) -> float:
        """The lower of the two gains: what the move gains by either load."""
        return min(self.now, self.smoothed)


def _growth(cores: float, load: Load, team: str, change: float) -> float:
    """How much the terms of one machine grow when a team's load there changes."""
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
    """The gain of moving one task of the job from its source, where it is counted."""
    leaves = task_share(spec, source.machine_type)
    arrives = task_share(spec, destination.machine_type)

    def spread(source_load: Load, destination_load: Load) -> float:
        return -(
            _growth(source.machine_type.cpus, source_load, spec.team, -leaves)
            + _growth(destination.machine_type.cpus, destination_load, spec.team, arrives)
        )

    closer = 0.0
    if weights.locality > 0:
        nearer = _distance(spec, source, datasets) - _distance(spec, destination, datasets)
        closer = weights.locality / weights.spread * spec.cpus * nearer
    return Gain(
        closer + spread(source.load, destination.load),
        closer + spread(source.smoothed, destination.smoothed),
    )


def _distance(spec: wire.JobSpec, machine: MachineLoad, datasets: DataSets) -> float:
    return datasets.distance(spec, machine.name, machine.machine_type.name, machine.zone)


def potential(
    machines: list[MachineLoad], weights: dict[str, ClassWeights], datasets: DataSets
) -> float:
    """The whole potential of machines whose tasks are known; for tests and the log."""
    result = 0.0
    for machine in machines:
        cores = machine.machine_type.cpus
        result += cores * machine.load.total**2
        result += cores * sum(share**2 for share in machine.load.teams.values())
        for task in machine.tasks:
            row = weights.get(task.spec.job_class)
            if row is not None and row.spread > 0:
                far = _distance(task.spec, machine, datasets)
                result += row.locality / row.spread * task.spec.cpus * far
    return result
