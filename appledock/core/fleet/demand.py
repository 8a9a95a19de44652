"""What the queue asks for, and what running work gives back soon."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.fleet.forecast import Forecast, left_by_estimate_s
from appledock.core.fleet.model import Demand
from appledock.core.machines.machine_capacity import MachineCapacity, can_run_on_type
from appledock.core.quota.resources import Resources, demand_of, limit_of
from appledock.core.records.job import Job
from appledock.core.workers import Worker

if TYPE_CHECKING:
    from appledock.core.controller import Controller


def queued_demand(engine: Controller) -> list[Demand]:
    """Tasks that their teams' limits admit, the most urgent first.

    Those of jobs that will be ready soon come after all that is queued.
    """
    held: dict[str, Resources] = {}
    result = []
    queued = _most_urgent_first(engine)
    for job in queued + Forecast(engine).upcoming():
        limits = engine.teams.get(job.spec.team)
        if limits is None or not any(
            can_run_on_type(job.spec, machine_type)
            for machine_type in engine.machine_types.values()
        ):
            continue
        if job.consecutive_failures >= c.RENT_FAILURES:
            continue  # a job that fails everywhere is not worth machines
        used = held.get(job.spec.team)
        if used is None:
            used = engine.quota_usage.held_by_team(job.spec.team)
        tasks = min(
            job.queued_task_count,
            limit_of(limits).above(used).count_tasks(job.spec),
        )
        if tasks:
            held[job.spec.team] = used + demand_of(job.spec, tasks)
            result.append(Demand(job, tasks, job.id in engine.replica.queued_jobs))
    return result


def _most_urgent_first(engine: Controller) -> list[Job]:
    return sorted(
        (engine.replica.jobs[job_id] for job_id in engine.replica.queued_jobs),
        key=lambda job: (engine.queue_order.sort_key(job), job.id),
    )


def soon_free(engine: Controller) -> Iterator[MachineCapacity]:
    """What arrays at work give back while a machine would boot and fetch."""
    for name, room in engine.capacity_index.machines.items():
        worker = engine.workers.table[name]
        freed = MachineCapacity("", room.type, room.zone, room.spot, 0, 0.0, 0.0, 0.0)
        for job_id, attempts in engine.replica.attempts_by_machine.get(name, {}).items():
            spec = engine.replica.jobs[job_id].spec
            if spec.service or spec.estimate_s <= 0:
                continue
            horizon_s = boot_and_fetch_s(spec, room.type) * c.SOON_SHARE
            for attempt in attempts:
                for task in attempt.tasks:
                    left_s = _expected_left_s(
                        engine.now, spec, worker, (f"{job_id}/{task}", attempt.attempt_number)
                    )
                    if left_s is not None and left_s < horizon_s:
                        freed.reserve(spec, -1)
        if freed.cpus > 0 or freed.gpus > 0:
            yield freed


def _expected_left_s(
    now: float, spec: wire.JobSpec, worker: Worker, key: tuple[str, int]
) -> float | None:
    """How long the task may still run, by its estimate; None: it does not run yet."""
    since = worker.status.running_since.get(key)
    return None if since is None else left_by_estimate_s(spec, now - since)


def boot_and_fetch_s(spec: wire.JobSpec, machine_type: wire.MachineType) -> float:
    """How long a new machine takes until it has the job's image."""
    if machine_type.fetch_gb_per_s <= 0:
        return machine_type.boot_s
    return machine_type.boot_s + spec.image_gb / machine_type.fetch_gb_per_s
