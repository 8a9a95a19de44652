"""Victim selection: which running tasks to stop so that one task of another job fits.

Pure functions on values. The protocol ("Preemption") lets work stop only for a job of higher
priority, for another team's guarantee, and on machines that are drained. Only the first rule is
applied here; a machine's own drain is a matter of the fleet. Among the allowed victims, those
are taken that lose least work.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity, fits_in, image_fetch_s
from appledock.core.quota.resources import NO_RESOURCES, Resources
from appledock.core.records.job import Attempt, Job
from appledock.core.workers import Worker

MIN_CPUS = 0.1
"""tasks that request fewer CPUs are weighed as if they requested so many"""


@dataclass(frozen=True, slots=True)
class Victim:
    """One running task that may be stopped."""

    job: Job
    task: int
    lost_cpu_s: float
    """work that stopping it discards, in CPU seconds"""


@dataclass(frozen=True, slots=True)
class PreemptionOption:
    """A machine with victims that suffice for one task."""

    cost_s: float
    """image fetch time, and discarded work weighted against waiting, in s"""
    machine: MachineCapacity
    victims: list[Victim]


def is_preemptible(job: Job, inherited_rank: int, preemptor: Job) -> bool:
    """May tasks of the job be stopped for the other job?

    A job counts with the rank of the jobs that depend on it, the preemptor with its own only:
    with inherited ranks, wide early stages of a pipeline stop work in such numbers that the
    writes for it are what becomes scarce. A gang is never stopped in part.
    """
    return inherited_rank < preemptor.spec.rank and not job.cancelled and not job.spec.gang


def running_tasks(
    job: Job, attempts: Iterable[Attempt], agent_epoch: int, worker: Worker, now: float
) -> Iterator[Victim]:
    """The job's tasks on a machine that could be stopped, of its attempts there.

    Left out are attempts that are being stopped or of another agent epoch, and tasks reported
    as ended although the record does not say so yet: stopping these would free nothing.
    """
    spec = job.spec
    running_since = worker.status.running_since
    for attempt in attempts:
        if attempt.stopping or attempt.agent_epoch != agent_epoch:
            continue
        for task in attempt.tasks:
            key = (f"{job.id}/{task}", attempt.attempt_number)
            reported = worker.tasks.get(key)
            if reported is not None and reported.state == wire.EXITED:
                continue
            lost_s = now - running_since.get(key, now)
            if spec.checkpoint_s > 0:
                lost_s = min(lost_s, spec.save_s)
            yield Victim(job, task, lost_s * max(spec.cpus, MIN_CPUS))


def select_victims(
    spec: wire.JobSpec,
    machine: MachineCapacity,
    victims: Iterable[Victim],
    quota_deficit: Resources = NO_RESOURCES,
) -> list[Victim] | None:
    """The victims that lose least and suffice for one task, those that lose least first.

    Sufficient is what lets the task fit on the machine and frees `quota_deficit` of the team's
    limit. None if all victims together do not suffice, or if none is needed.
    """
    cpus, gpus, memory_gb = machine.cpus, machine.gpus, machine.memory_gb
    recovered = NO_RESOURCES
    selected: list[Victim] = []
    for victim in sorted(victims, key=_least_lost_first):
        if fits_in(spec, cpus, gpus, memory_gb) and quota_deficit.fits_in(recovered):
            break
        stopped = victim.job.spec
        selected.append(victim)
        cpus += stopped.cpus
        gpus += stopped.gpus
        memory_gb += stopped.memory_gb
        recovered = Resources(recovered.cpus + stopped.cpus, recovered.gpus + stopped.gpus)
    is_sufficient = fits_in(spec, cpus, gpus, memory_gb) and quota_deficit.fits_in(recovered)
    return selected if is_sufficient and selected else None


def _least_lost_first(victim: Victim) -> tuple[float, str, int]:
    return victim.lost_cpu_s, victim.job.id, victim.task


def preemption_cost_s(
    spec: wire.JobSpec, machine: MachineCapacity, victims: Iterable[Victim], lost_work_weight: float
) -> float:
    """What starting a task in place of the victims costs, in seconds of its waiting.

    `lost_work_weight` is the operators' setting: a second of discarded work, at the task's own
    size, against a second of waiting.
    """
    lost_cpu_s = sum(victim.lost_cpu_s for victim in victims)
    return image_fetch_s(spec, machine) + lost_work_weight * lost_cpu_s / max(spec.cpus, MIN_CPUS)
