"""What teams may use and hold: limits, guarantees and charges."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from appledock import constants as c
from appledock import wire
from appledock.core.jobs import Job
from appledock.core.replica import Team
from appledock.settings import Team as TeamLimits


@dataclass(frozen=True, slots=True)
class Amounts:
    cpus: float = 0.0
    gpus: float = 0.0

    def fits(self, limit: Amounts) -> bool:
        return self.cpus <= limit.cpus + c.EPSILON and self.gpus <= limit.gpus + c.EPSILON


def limit(team: TeamLimits) -> Amounts:
    return Amounts(team.cpus_max, team.gpus_max)


def guarantee(team: TeamLimits) -> Amounts:
    return Amounts(team.cpus, team.gpus)


def need(spec: wire.JobSpec, tasks: int) -> Amounts:
    return Amounts(spec.cpus * tasks, spec.gpus * tasks)


def charge(job: Job) -> list[float] | None:
    """What the job's unsettled attempts hold; None when they hold nothing."""
    tasks = job.open_tasks
    if not tasks:
        return None
    held = need(job.spec, tasks)
    return [round(held.cpus, 6), round(held.gpus, 6)]


def allowed(spec: wire.JobSpec, limits: TeamLimits, record: Team, held_by_job: int) -> int:
    """How many more tasks of the job the team's limit admits.

    `record` holds the charges of all jobs, `held_by_job` the tasks that this
    job would still hold. Everything unsettled counts, also what nobody can see.
    """
    cpus, gpus = record.used(without=spec.id)
    count = spec.tasks
    for size, most, used in ((spec.cpus, limits.cpus_max, cpus),
                             (spec.gpus, limits.gpus_max, gpus)):
        if size > 0:
            count = min(count, int((most - used + c.EPSILON) / size) - held_by_job)
    return max(0, count)


def reserved_above(job: Job, jobs: Iterable[Job]) -> int:
    """Tasks of this job's size that queued jobs of the same team with a higher
    priority keep from it: what is freed for them must not be taken by others."""
    cpus = gpus = 0.0
    for other in jobs:
        if (other.spec.team == job.spec.team and other.spec.rank > job.spec.rank
                and other.queued > 0 and not other.failures):
            more = need(other.spec, other.queued)
            cpus, gpus = cpus + more.cpus, gpus + more.gpus
    tasks = 0
    for size, kept in ((job.spec.cpus, cpus), (job.spec.gpus, gpus)):
        if size > 0:
            tasks = max(tasks, math.ceil(kept / size - c.EPSILON))
    return tasks


def within_guarantee(spec: wire.JobSpec, limits: TeamLimits, record: Team, tasks: int) -> bool:
    """Would the team still be within its guarantee with `tasks` tasks of this job?"""
    cpus, gpus = record.used(without=spec.id)
    more = need(spec, tasks)
    return Amounts(cpus + more.cpus, gpus + more.gpus).fits(guarantee(limits))
