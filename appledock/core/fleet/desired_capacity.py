"""Desired capacity: packs the demand onto current and expected capacity, and rents the rest."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Container, Mapping

from appledock import constants, wire
from appledock.core.fleet.boot_time import boot_timeout_s
from appledock.core.fleet.demand import DemandEstimator
from appledock.core.fleet.inventory import MachineInventory
from appledock.core.fleet.model import BootingMachine, JobDemand, MachineKind
from appledock.core.fleet.offers import InstanceOffers
from appledock.core.fleet.scale_out import ScaleOut
from appledock.core.fleet.supply import CapacitySupply
from appledock.core.fleet.zone_distribution import ZoneDistribution
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.operator_settings import OperatorSettings
from appledock.core.workers import Workers


class CapacityPlanner:
    """Computes which machines the demand lacks, and rents them."""

    def __init__(  # noqa: PLR0913 -- supply comes from all sources of capacity
        self,
        *,
        operator_settings: OperatorSettings,
        workers: Workers,
        capacity_index: CapacityIndex,
        machine_types: Mapping[str, wire.MachineType],
        inventory: MachineInventory,
        offers: InstanceOffers,
        scale_out: ScaleOut,
        demand_estimator: DemandEstimator,
        zone_distribution: ZoneDistribution,
    ) -> None:
        self._operator_settings = operator_settings
        self._workers = workers
        self._capacity_index = capacity_index
        self._machine_types = machine_types
        self._inventory = inventory
        self._offers = offers
        self._scale_out = scale_out
        self._demand_estimator = demand_estimator
        self._zone_distribution = zone_distribution

    def plan(self, demand: list[JobDemand], pending_deletions: Container[str]) -> None:
        """Rent machines for the demand that neither fits now nor will fit soon."""
        if not demand:
            return
        booting = self._inventory.booting()
        missing = self._missing_machines(demand, self._supply(booting, pending_deletions))
        self._rent(missing, len(booting))

    def _supply(
        self, booting: dict[str, BootingMachine], pending_deletions: Container[str]
    ) -> CapacitySupply:
        """Return the free capacity of machines that are up, booting on time or being rented.

        Machines that are about to be deleted are not counted.
        """
        supply = CapacitySupply()
        for free in self._capacity_index.with_free_capacity.values():
            supply.add(free, 1)
        for name, machine in booting.items():
            machine_type = self._machine_types.get(machine.kind.type)
            if (
                machine_type is not None
                and name not in pending_deletions
                and machine.age_s < boot_timeout_s(machine_type) / 2
            ):
                supply.add(machine.kind.empty_capacity(machine_type), 1)
        for request in self._scale_out.requests:
            machine_type = self._machine_types.get(request.kind.type)
            if machine_type is not None:
                supply.add(request.kind.empty_capacity(machine_type), request.count)
        return supply

    def _missing_machines(
        self, demand: list[JobDemand], supply: CapacitySupply
    ) -> Counter[MachineKind]:
        """Pack the demand onto the supply, and count the machines that the rest needs, by kind.

        No machines are counted for tasks of arrays and gangs that fit into capacity that is freed
        before a new machine could be up. Services do not wait for such capacity.
        """
        freed_soon = CapacitySupply()
        for freed in self._demand_estimator.freed_soon():
            freed_soon.add(freed, 1)
        missing: Counter[MachineKind] = Counter()
        for item in demand:
            spec = item.job.spec
            for zone, tasks in self._zone_distribution.distribute(item.job, item.tasks, supply):
                unplaced = supply.reserve(spec, tasks, zone)
                if unplaced and not spec.service:
                    unplaced = freed_soon.reserve(spec, unplaced, zone)
                self._add_missing(spec, unplaced, zone, supply, missing)
        return missing

    def _add_missing(
        self,
        spec: wire.JobSpec,
        tasks: int,
        zone: str | None,
        supply: CapacitySupply,
        missing: Counter[MachineKind],
    ) -> None:
        """Add the machines for these tasks to `missing`, and what they leave free to `supply`."""
        while tasks > 0:
            kind = self._offers.cheapest(spec, tasks, zone)
            if kind is None:
                break
            empty = kind.empty_capacity(self._machine_types[kind.type])
            count = math.ceil(tasks / max(1, empty.free_slots(spec)))
            supply.add(empty, count)
            unplaced = supply.reserve(spec, tasks, zone)
            if unplaced == tasks:
                break
            tasks = unplaced
            missing[kind] += count

    def _rent(self, missing: Counter[MachineKind], booting: int) -> None:
        """Rent the missing machines, up to the limit on machines that operators have set."""
        running = sum(worker.report is not None for worker in self._workers.table.values())
        remaining = int(self._operator_settings["machines_max"]) - running - booting
        for kind, count in missing.items():
            rental_count = min(count, constants.RENTAL_MACHINES_MAX, remaining)
            if rental_count > 0:
                remaining -= rental_count
                self._scale_out.rent(kind, rental_count)
