"""Victim selection: which running tasks to stop so that one task of another job fits.

The functions are pure. The platform's protocol ("Preemption") allows stopping tasks only for a
job of higher priority, for another team's guarantee, and on machines that are being drained. This
module applies only the first rule; draining a machine is done by the fleet. Among the allowed
victims, those whose stop loses least work are selected.
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
"""CPUs; the work of a task that requests fewer is counted as if it requested this many"""


@dataclass(frozen=True, slots=True)
class Victim:
    """A running task that may be stopped."""

    job: Job
    task: int
    lost_cpu_s: float
    """work that the stop loses, in CPU seconds"""


@dataclass(frozen=True, slots=True)
class PreemptionOption:
    """A machine with enough victims for one task of the preempting job."""

    cost_s: float
    """s; image fetch time plus the weighted lost work"""
    machine: MachineCapacity
    victims: list[Victim]


def is_preemptible(job: Job, inherited_rank: int, preemptor: Job) -> bool:
    """Return whether tasks of the job may be stopped for the preemptor.

    The job has the rank that it inherits from the jobs that depend on it, but the preemptor only
    its own rank. With an inherited rank, the wide early stages of a pipeline would preempt so
    many tasks that store writes became the bottleneck. Tasks of a gang are never stopped,
    because a gang cannot run in part.
    """
    return inherited_rank < preemptor.spec.rank and not job.cancelled and not job.spec.gang


def running_tasks(
    job: Job, attempts: Iterable[Attempt], agent_epoch: int, worker: Worker, now: float
) -> Iterator[Victim]:
    """Yield the tasks of the job's attempts on a machine whose stop would free capacity.

    Attempts that are being stopped or that belong to another agent epoch are left out, and so
    are tasks that the worker reports as exited although the record does not show this yet.
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
    """Return enough victims for one task, in ascending order of lost work.

    The victims are enough if the task fits on the machine without them and if they free
    `quota_deficit` of the team's limit. None if all victims together are not enough, or if no
    victim is needed.
    """
    cpus, gpus, memory_gb = machine.cpus, machine.gpus, machine.memory_gb
    recovered = NO_RESOURCES
    selected: list[Victim] = []
    for victim in sorted(victims, key=_lost_work_key):
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


def _lost_work_key(victim: Victim) -> tuple[float, str, int]:
    return victim.lost_cpu_s, victim.job.id, victim.task


def preemption_cost_s(
    spec: wire.JobSpec, machine: MachineCapacity, victims: Iterable[Victim], lost_work_weight: float
) -> float:
    """Return the cost of starting a task in place of the victims, in seconds of waiting time.

    `lost_work_weight` is the operators' setting: the weight of one second of lost work, of
    a task of this size, against one second of waiting.
    """
    lost_cpu_s = sum(victim.lost_cpu_s for victim in victims)
    return image_fetch_s(spec, machine) + lost_work_weight * lost_cpu_s / max(spec.cpus, MIN_CPUS)
