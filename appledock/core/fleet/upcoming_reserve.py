"""Reservation of idle machines for jobs that will be ready soon."""

from __future__ import annotations

from dataclasses import dataclass

from appledock import wire
from appledock.core.fleet.inventory import MachineInventory
from appledock.core.fleet.model import JobDemand
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import is_allowed_on
from appledock.core.workers import Workers


@dataclass(slots=True)
class UpcomingTasks:
    """Tasks of one job for which no idle machine is reserved yet."""

    spec: wire.JobSpec
    tasks: int


class UpcomingReserve:
    """Reserves idle machines for upcoming jobs, but no more than these need.

    If the tasks were not counted, a single upcoming job would keep nearly all idle machines.
    """

    def __init__(
        self, workers: Workers, capacity_index: CapacityIndex, inventory: MachineInventory
    ) -> None:
        self._workers = workers
        self._capacity_index = capacity_index
        self._inventory = inventory
        self._unreserved: list[UpcomingTasks] = []

    def reset(self, demand: list[JobDemand]) -> None:
        """Discard all reservations, and start a new pass over the machines with this demand.

        Idle machines whose minimum charge is not used up are kept anyway, so they are reserved
        first.
        """
        self._unreserved = [
            UpcomingTasks(item.job.spec, item.tasks) for item in demand if not item.is_ready
        ]
        for name, worker in self._workers.table.items():
            if worker.placement.idle_since and not self._inventory.is_past_minimum_charge(name):
                self.try_reserve(name)

    def try_reserve(self, machine_name: str) -> bool:
        """Reserve the idle machine for an upcoming job; return False if none needs it."""
        machine = self._capacity_index.machines.get(machine_name)
        if machine is None:
            return False
        for upcoming in self._unreserved:
            spec = upcoming.spec
            if upcoming.tasks > 0 and is_allowed_on(spec, machine) and machine.fits(spec):
                upcoming.tasks -= machine.free_slots(spec)
                return True
        return False
