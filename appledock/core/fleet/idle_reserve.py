"""Idle reserve: machines kept so that new services need not wait for a machine to boot."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from appledock import constants, wire
from appledock.core.fleet.boot_time import boot_and_fetch_s
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import can_run_on_type
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica


class ServiceArrival(NamedTuple):
    """A recently submitted service."""

    submitted_at: float
    """time of submission, on the monotonic clock"""
    spec: wire.JobSpec


class ReserveTarget(NamedTuple):
    """Size of the reserve to keep."""

    cpus: float
    task_cpus_by_image: dict[str, float]
    """recently requested image -> CPUs of the largest task that uses it"""


class ReserveMachine(NamedTuple):
    """Capacity of a machine that has a recently requested image."""

    cpus: float
    """CPUs that are free or used by tasks that a service may preempt"""
    images: frozenset[str]


class Reserve:
    """Machines on which a service could start at once, and their total capacity."""

    def __init__(
        self, machines: dict[str, ReserveMachine], task_cpus_by_image: dict[str, float]
    ) -> None:
        self._machines = machines
        self._task_cpus_by_image = task_cpus_by_image
        self.cpus = sum(machine.cpus for machine in machines.values())
        self._machines_with_image = {
            image: sum(
                image in machine.images and machine.cpus >= task_cpus
                for machine in machines.values()
            )
            for image, task_cpus in task_cpus_by_image.items()
        }
        """image -> number of machines that have it and the CPUs for the largest task"""

    def can_spare(self, machine_name: str, target_cpus: float) -> bool:
        """Return whether the reserve is sufficient without this machine.

        The other machines must have `target_cpus` in total. For each requested image that this
        machine has, one of them must have the image and the CPUs for the largest task that uses it.
        """
        machine = self._machines.get(machine_name)
        return machine is None or (
            self.cpus - machine.cpus >= target_cpus
            and all(
                self._machines_with_image[image] - (machine.cpus >= task_cpus) >= 1
                for image, task_cpus in self._task_cpus_by_image.items()
                if image in machine.images
            )
        )

    def remove(self, machine_name: str) -> None:
        """Remove a machine that is about to be deleted."""
        machine = self._machines.pop(machine_name, None)
        if machine is not None:
            self.cpus -= machine.cpus
            for image, task_cpus in self._task_cpus_by_image.items():
                self._machines_with_image[image] -= (
                    image in machine.images and machine.cpus >= task_cpus
                )


class IdleReserve:
    """Derives the size of the reserve from recent arrivals of services."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        capacity_index: CapacityIndex,
        machine_types: Mapping[str, wire.MachineType],
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._capacity_index = capacity_index
        self._machine_types = machine_types
        self._arrivals: dict[str, ServiceArrival] = {}
        """service -> its arrival within the last `IDLE_RESERVE_WINDOW_S`"""

    def on_job_changed(self, job: Job) -> None:
        """Record the arrival if the job is a service that is not known yet."""
        if job.spec.service and job.id not in self._arrivals:
            age_s = max(0.0, self._runtime.wall_time - job.submitted_wall_time)
            self._arrivals[job.id] = ServiceArrival(self._runtime.now - age_s, job.spec)

    def target(self) -> ReserveTarget:
        """Return the size of the reserve for services that arrive as often as recently.

        It covers the CPUs that services request on average while a machine boots and fetches an
        image. The CPUs of the largest task are added, since services arrive one at a time.
        """
        now, window_s = self._runtime.now, constants.IDLE_RESERVE_WINDOW_S
        self._arrivals = {
            job_id: arrival
            for job_id, arrival in self._arrivals.items()
            if now - arrival.submitted_at < window_s
        }
        max_task_cpus_by_image: dict[str, float] = {}
        cpus = 0.0
        for _, spec in self._arrivals.values():
            usable_types = [
                machine_type
                for machine_type in self._machine_types.values()
                if can_run_on_type(spec, machine_type)
            ]
            if not usable_types:
                continue
            wait_s = min(boot_and_fetch_s(spec, machine_type) for machine_type in usable_types)
            cpus += spec.cpus * spec.tasks * wait_s / window_s
            max_task_cpus_by_image[spec.image] = max(
                max_task_cpus_by_image.get(spec.image, 0.0), spec.cpus
            )
        return ReserveTarget(
            cpus + max(max_task_cpus_by_image.values(), default=0.0), max_task_cpus_by_image
        )

    def current(self, task_cpus_by_image: dict[str, float]) -> Reserve:
        """Return the current reserve: the on-demand machines that have a requested image."""
        machines = {}
        jobs, attempts_by_machine = self._replica.jobs, self._replica.attempts_by_machine
        for machine in self._capacity_index.machines.values():
            if machine.spot or not machine.images & task_cpus_by_image.keys():
                continue
            cpus = max(0.0, machine.cpus)
            for job_id, attempts in attempts_by_machine.get(machine.name, {}).items():
                spec = jobs[job_id].spec
                if spec.rank < wire.RANKS["production"] and not spec.gang:
                    cpus += sum(spec.cpus * len(attempt.tasks) for attempt in attempts)
            machines[machine.name] = ReserveMachine(cpus, frozenset(machine.images))
        return Reserve(machines, task_cpus_by_image)
