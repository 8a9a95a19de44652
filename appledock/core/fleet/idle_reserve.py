"""Idle reserve: machines kept for services that arrive while a new machine would boot."""

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
    """A service submitted lately."""

    submitted_at: float
    spec: wire.JobSpec


class ReserveTarget(NamedTuple):
    """The reserve to keep."""

    cpus: float
    task_cpus_by_image: dict[str, float]
    """images requested lately -> CPUs of the largest task that requested it"""


class ReserveMachine(NamedTuple):
    """A machine that has an image in demand."""

    cpus: float
    """free, or used by tasks that a service preempts"""
    images: frozenset[str]


class Reserve:
    """Machines on which a service could start at once, and what they offer together."""

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
        """image -> how many machines have it and the CPUs for a task of it"""

    def can_spare(self, machine_name: str, target_cpus: float) -> bool:
        """Would the reserve still be there without this machine?"""
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
        """The machine is scaled in."""
        machine = self._machines.pop(machine_name, None)
        if machine is not None:
            self.cpus -= machine.cpus
            for image, task_cpus in self._task_cpus_by_image.items():
                self._machines_with_image[image] -= (
                    image in machine.images and machine.cpus >= task_cpus
                )


class IdleReserve:
    """Learns from arrivals of services how large a reserve they need."""

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
        """service -> its arrival; those of the last `HEADROOM_WINDOW_S`"""

    def on_job_changed(self, job: Job) -> None:
        """A record changed: perhaps a service has arrived."""
        if job.spec.service and job.id not in self._arrivals:
            age_s = max(0.0, self._runtime.wall_time - job.submitted_at)
            self._arrivals[job.id] = ServiceArrival(self._runtime.now - age_s, job.spec)

    def target(self) -> ReserveTarget:
        """The CPUs that services request on average while a machine boots and fetches an image.

        One more task of the largest size is added, since services arrive one at a time.
        """
        now, window_s = self._runtime.now, constants.HEADROOM_WINDOW_S
        self._arrivals = {
            job_id: arrival
            for job_id, arrival in self._arrivals.items()
            if now - arrival.submitted_at < window_s
        }
        largest: dict[str, float] = {}
        cpus = 0.0
        for _, spec in self._arrivals.values():
            usable = [
                offered
                for offered in self._machine_types.values()
                if can_run_on_type(spec, offered)
            ]
            if not usable:
                continue
            wait_s = min(boot_and_fetch_s(spec, machine_type) for machine_type in usable)
            cpus += spec.cpus * spec.tasks * wait_s / window_s
            largest[spec.image] = max(largest.get(spec.image, 0.0), spec.cpus)
        return ReserveTarget(cpus + max(largest.values(), default=0.0), largest)

    def present(self, task_cpus_by_image: dict[str, float]) -> Reserve:
        """The reserve at hand: on-demand machines that have an image in demand."""
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
