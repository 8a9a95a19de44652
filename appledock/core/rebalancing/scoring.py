"""Scores of machines for job classes that have weights of their own."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from appledock import constants, wire
from appledock.core.machines.machine_capacity import MachineCapacity, fragmentation, image_fetch_s
from appledock.core.scheduling.placement import spot_mismatch
from appledock.rebalancing.locality import DataSets
from appledock.rebalancing.settings import ClassWeights, Rebalancing
from appledock.rebalancing.snapshot import Means, exceeds_bound, task_share


@dataclass(frozen=True, slots=True)
class WeightedScorer:
    """Scores machines for the tasks of one job; lower is better."""

    spec: wire.JobSpec
    weights: ClassWeights
    datasets: DataSets
    means: Means
    bound: float
    slowness: Callable[[str], float]

    def score(self, machine: MachineCapacity) -> tuple[float, ...]:
        """Return failures, spot mismatch and the weighted sum, in the order of precedence."""
        return (
            float(machine.failure_count > 0),
            spot_mismatch(self.spec, machine),
            round(self._weighted(machine), 6),
        )

    def _weighted(self, machine: MachineCapacity) -> float:
        weights, spec = self.weights, self.spec
        result = weights.locality * self.distance(machine)
        if machine.load is not None:
            share = task_share(spec, machine.type)
            result += weights.spread * (
                machine.load.total + machine.load.of_team(spec.team) + share
            )
        if weights.image:
            result += weights.image * image_fetch_s(spec, machine) / constants.FETCH_SCALE_S
        if weights.packing:
            result += weights.packing * fragmentation(spec, machine)
        if weights.speed:
            result += weights.speed * self.slowness(machine.name)
        return result

    def distance(self, machine: MachineCapacity) -> float:
        """To the job's data; a team at its bound gains nothing by being close."""
        far = self.datasets.distance(self.spec, machine.name, machine.type.name, machine.zone)
        if far < 1.0 and machine.load is not None:
            share = task_share(self.spec, machine.type)
            mean = self.means.team(self.spec.team)
            if exceeds_bound(machine.load.of_team(self.spec.team), share, mean, self.bound):
                return 1.0
        return far

    def is_preferred(self, machine: MachineCapacity) -> bool:
        """Does it hold the data of the job, with the team below its bound there?"""
        return (
            self.weights.locality > 0
            and bool(self.datasets.read_by(self.spec))
            and self.distance(machine) <= 0.0
        )


class ScorerFactory:
    """Makes the scorers, with the mean loads as last computed."""

    def __init__(
        self, rebalancing: Rebalancing, datasets: DataSets, slowness: Callable[[str], float]
    ) -> None:
        self.datasets = datasets
        self.slowness = slowness
        self.bound = rebalancing.bound
        self.means = Means()
        self._weights = {row.name: row for row in rebalancing.classes}

    def scorer(self, spec: wire.JobSpec) -> WeightedScorer | None:
        """Return the scorer of a job; None: its class has no weights, the default score holds."""
        weights = self._weights.get(spec.job_class)
        if weights is None:
            return None
        return WeightedScorer(spec, weights, self.datasets, self.means, self.bound, self.slowness)
