"""Demand for machines: tasks that need capacity, and capacity that running tasks free soon."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from appledock import constants, wire
from appledock.core.fleet.boot_time import boot_and_fetch_s
from appledock.core.fleet.forecast import QueueOrder, ReadinessForecast, estimated_remaining_s
from appledock.core.fleet.model import JobDemand
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import MachineCapacity, can_run_on_type
from appledock.core.quota.resources import Resources, demand_of, limit_of
from appledock.core.quota.usage import QuotaUsage
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers


class DemandEstimator:
    """Estimates how many tasks need capacity, and how much capacity running tasks will free."""

    def __init__(  # noqa: PLR0913 -- demand depends on records, workers, capacity and quota
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        capacity_index: CapacityIndex,
        machine_types: Mapping[str, wire.MachineType],
        quota_usage: QuotaUsage,
        queue_order: QueueOrder,
        forecast: ReadinessForecast,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index
        self._machine_types = machine_types
        self._quota_usage = quota_usage
        self._queue_order = queue_order
        self._forecast = forecast

    def queued(self) -> list[JobDemand]:
        """Return the tasks that the limits of their teams admit, the most urgent first.

        Tasks of jobs that will be ready soon come after all queued tasks.
        """
        used_by_team: dict[str, Resources] = {}
        demand = []
        for job in self._queued_jobs_by_urgency() + self._forecast.upcoming_jobs():
            team = job.spec.team
            limits = self._runtime.teams.get(team)
            if limits is None or not self._justifies_rental(job):
                continue
            used = used_by_team.get(team)
            if used is None:
                used = self._quota_usage.held_by_team(team)
            tasks = min(
                job.queued_task_count, limit_of(limits).excess_over(used).count_tasks(job.spec)
            )
            if tasks:
                used_by_team[team] = used + demand_of(job.spec, tasks)
                demand.append(JobDemand(job, tasks, job.id in self._replica.queued_jobs))
        return demand

    def _queued_jobs_by_urgency(self) -> list[Job]:
        return sorted(
            (self._replica.jobs[job_id] for job_id in self._replica.queued_jobs),
            key=lambda job: (self._queue_order.sort_key(job), job.id),
        )

    def _justifies_rental(self, job: Job) -> bool:
        """Return whether machines may be rented for the job.

        The job must be able to run on an offered type, and must not have failed on several
        machines in a row.
        """
        return job.consecutive_failures < constants.RENTAL_JOB_FAILURES_LIMIT and any(
            can_run_on_type(job.spec, machine_type) for machine_type in self._machine_types.values()
        )

    def freed_soon(self) -> Iterator[MachineCapacity]:
        """Yield, by machine, the capacity that tasks of arrays and gangs are about to free.

        Tasks count if they are expected to end while a new machine would boot and fetch the image
        of their job.
        """
        for name, machine in self._capacity_index.machines.items():
            worker = self._workers.table[name]
            freed = MachineCapacity("", machine.type, machine.zone, machine.spot, 0, 0.0, 0.0, 0.0)
            for job_id, attempts in self._replica.attempts_by_machine.get(name, {}).items():
                spec = self._replica.jobs[job_id].spec
                if not spec.service and spec.estimate_s > 0:
                    self._release_ending_tasks(freed, spec, attempts, worker)
            if freed.cpus > 0 or freed.gpus > 0:
                yield freed

    def _release_ending_tasks(
        self, freed: MachineCapacity, spec: wire.JobSpec, attempts: list[Attempt], worker: Worker
    ) -> None:
        """Add to `freed` the capacity of tasks that, by their estimate, end within the horizon."""
        horizon_s = boot_and_fetch_s(spec, freed.type) * constants.FREED_CAPACITY_HORIZON_SHARE
        now, running_since = self._runtime.now, worker.status.running_since
        for attempt in attempts:
            for task in attempt.tasks:
                since = running_since.get((f"{spec.id}/{task}", attempt.attempt_number))
                if since is not None and estimated_remaining_s(spec, now - since) < horizon_s:
                    freed.release(spec)
