"""Scores of machines for job classes whose weights the rebalancing settings define."""

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
    """Scores machines for one job by the weights of its class; a lower score is better."""

    spec: wire.JobSpec
    weights: ClassWeights
    datasets: DataSets
    means: Means
    bound: float
    slowness: Callable[[str], float]
    """Returns the relative run time of tasks on a machine; see `MachineSpeeds.slowness`."""

    def score(self, machine: MachineCapacity) -> tuple[float, ...]:
        """Return the terms of the score in order of precedence.

        The terms are: 1 if tasks failed on the machine, else 0; spot mismatch; weighted sum.
        """
        return (
            float(machine.failure_count > 0),
            spot_mismatch(self.spec, machine),
            round(self._weighted_sum(machine), 6),
        )

    def _weighted_sum(self, machine: MachineCapacity) -> float:
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
        """Return the distance from a machine to the job's data, from 0 (held there) to 1.

        A machine on which one more task would exceed the team's bound counts as distant, so that
        data locality does not concentrate a team's load beyond the bound.
        """
        distance = self.datasets.distance(self.spec, machine.name, machine.type.name, machine.zone)
        if distance < 1.0 and machine.load is not None:
            share = task_share(self.spec, machine.type)
            mean = self.means.team(self.spec.team)
            if exceeds_bound(machine.load.of_team(self.spec.team), share, mean, self.bound):
                return 1.0
        return distance

    def is_preferred(self, machine: MachineCapacity) -> bool:
        """Return whether the machine holds the job's data and the team is below its bound there."""
        return (
            self.weights.locality > 0
            and bool(self.datasets.read_by(self.spec))
            and self.distance(machine) <= 0.0
        )


class ScorerFactory:
    """Creates the scorers of jobs, with the mean loads as last computed."""

    def __init__(
        self, rebalancing: Rebalancing, datasets: DataSets, slowness: Callable[[str], float]
    ) -> None:
        self.datasets = datasets
        self.slowness = slowness
        self.bound = rebalancing.bound
        self.means = Means()
        self._weights = {row.name: row for row in rebalancing.classes}

    def scorer(self, spec: wire.JobSpec) -> WeightedScorer | None:
        """Return the scorer for a job, or None if its class has no weights.

        The default score applies then.
        """
        weights = self._weights.get(spec.job_class)
        if weights is None:
            return None
        return WeightedScorer(spec, weights, self.datasets, self.means, self.bound, self.slowness)
