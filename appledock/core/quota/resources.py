"""Resource vectors: the CPUs and GPUs that jobs hold and that quotas limit."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from appledock import constants, wire
from appledock.core.records.job import Job
from appledock.settings import TeamLimits


@dataclass(frozen=True, slots=True)
class Resources:
    """CPUs and GPUs; comparisons allow for `constants.EPSILON` in each component."""

    cpus: float = 0.0
    gpus: float = 0.0

    def __add__(self, other: Resources) -> Resources:
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: Resources) -> Resources:
        return Resources(self.cpus - other.cpus, self.gpus - other.gpus)

    def fits_in(self, limit: Resources) -> bool:
        """Return whether no component is larger than that of the limit."""
        return (
            self.cpus <= limit.cpus + constants.EPSILON
            and self.gpus <= limit.gpus + constants.EPSILON
        )

    def minimum(self, other: Resources) -> Resources:
        """Return the smaller value of each component."""
        return Resources(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def maximum(self, other: Resources) -> Resources:
        """Return the larger value of each component."""
        return Resources(max(self.cpus, other.cpus), max(self.gpus, other.gpus))

    def excess_over(self, other: Resources) -> Resources:
        """Return by how much this exceeds the other, with no component below zero."""
        return (self - other).maximum(NO_RESOURCES)

    def scaled_by(self, factor: float) -> Resources:
        """Return each component times the factor."""
        return Resources(self.cpus * factor, self.gpus * factor)

    def is_positive(self) -> bool:
        """Return whether either component is above zero."""
        return self.cpus > constants.EPSILON or self.gpus > constants.EPSILON

    def count_tasks(self, spec: wire.JobSpec) -> int:
        """Return how many tasks of the job fit, at most as many as it has."""
        tasks = spec.tasks
        for available, size in ((self.cpus, spec.cpus), (self.gpus, spec.gpus)):
            if size > 0:
                # Take the minimum before converting to an integer: dividing by a size close to
                # zero may give infinity, which has no integer value.
                tasks = int(min(tasks, (available + constants.EPSILON) / size))
        return max(0, tasks)


NO_RESOURCES = Resources()


def total(parts: Iterable[Resources]) -> Resources:
    """Return the sum of the parts."""
    result = NO_RESOURCES
    for part in parts:
        result = result + part
    return result


def limit_of(team: TeamLimits) -> Resources:
    """Return what the team's jobs may hold together."""
    return Resources(team.cpus_max, team.gpus_max)


def guarantee_of(team: TeamLimits) -> Resources:
    """Return what the team's jobs get ahead of other teams' jobs that exceed a guarantee."""
    return Resources(team.cpus, team.gpus)


def demand_of(spec: wire.JobSpec, tasks: int) -> Resources:
    """Return what this number of tasks of the job needs."""
    return Resources(spec.cpus * tasks, spec.gpus * tasks)


def reservation_of(job: Job) -> Resources:
    """Return what the job's record reserves: the demand of its unsettled attempts."""
    return demand_of(job.spec, job.open_task_count)
