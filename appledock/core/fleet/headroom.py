"""Machines kept for services that come while a new machine would boot and fetch."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from appledock import constants as c
from appledock import wire
from appledock.core.fleet.demand import boot_and_fetch_s
from appledock.core.machines.machine_capacity import can_run_on_type
from appledock.core.records.job import Job

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class Arrival(NamedTuple):
    """A service submitted lately."""

    at: float
    """s, steady clock"""
    spec: wire.JobSpec


@dataclass(frozen=True, slots=True)
class Wanted:
    """The headroom to keep."""

    cpus: float
    images: dict[str, float]
    """images asked for lately -> cores of one task"""


class WarmMachine(NamedTuple):
    """A machine that has an image in demand."""

    cpus: float
    images: frozenset[str]


class WarmMachines:
    """Machines that a service could use at once, and what they offer together."""

    def __init__(self, machines: dict[str, WarmMachine], images: dict[str, float]) -> None:
        self.machines = machines
        self.images = images
        self.cpus = sum(machine.cpus for machine in machines.values())
        self.holders = {
            image: sum(
                image in machine.images and machine.cpus >= size for machine in machines.values()
            )
            for image, size in images.items()
        }

    def spare(self, name: str, cpus: float) -> bool:
        """Would the headroom still be there without this machine?"""
        machine = self.machines.get(name)
        return machine is None or (
            self.cpus - machine.cpus >= cpus
            and all(
                self.holders[image] - (machine.cpus >= size) >= 1
                for image, size in self.images.items()
                if image in machine.images
            )
        )

    def remove(self, name: str) -> None:
        """The machine is returned."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            self.cpus -= machine.cpus
            for image, size in self.images.items():
                self.holders[image] -= image in machine.images and machine.cpus >= size


class Headroom:
    """Learns from arrivals of services what headroom they need."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.arrivals: dict[str, Arrival] = {}

    def note(self, job: Job) -> None:
        """A record changed: perhaps a service has arrived."""
        if job.spec.service and job.id not in self.arrivals:
            age_s = max(0.0, self.engine.wall - job.submitted_at)
            self.arrivals[job.id] = Arrival(self.engine.now - age_s, job.spec)

    def wanted(self) -> Wanted:
        """Cores to keep for services, and the images asked for lately.

        Enough for those that come while a machine would boot and fetch.
        """
        now, window_s = self.engine.now, c.HEADROOM_WINDOW_S
        self.arrivals = {
            job_id: arrival
            for job_id, arrival in self.arrivals.items()
            if now - arrival.at < window_s
        }
        images: dict[str, float] = {}
        cpus = 0.0
        for _, spec in self.arrivals.values():
            types = [t for t in self.engine.machine_types.values() if can_run_on_type(spec, t)]
            if not types:
                continue
            wait_s = min(boot_and_fetch_s(spec, machine_type) for machine_type in types)
            cpus += spec.cpus * spec.tasks * wait_s / window_s
            images[spec.image] = max(images.get(spec.image, 0.0), spec.cpus)
        return Wanted(cpus + max(images.values(), default=0.0), images)

    def warm(self, images: dict[str, float]) -> WarmMachines:
        """Find the ordinary machines with an image in demand.

        Their cores are those that a service could get there at once, free or held by work that
        makes way for it.
        """
        machines = {}
        jobs, by_machine = self.engine.replica.jobs, self.engine.replica.attempts_by_machine
        for room in self.engine.capacity_index.machines.values():
            if room.spot or not room.images & images.keys():
                continue
            cpus = max(0.0, room.cpus)
            for job_id, attempts in by_machine.get(room.name, {}).items():
                spec = jobs[job_id].spec
                if spec.rank < wire.RANKS["production"] and not spec.gang:
                    cpus += sum(spec.cpus * len(attempt.tasks) for attempt in attempts)
            machines[room.name] = WarmMachine(cpus, frozenset(room.images))
        return WarmMachines(machines, images)
