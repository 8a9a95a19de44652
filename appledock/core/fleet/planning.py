"""What to rent: the queue is put on what is up and booting; the rest is rented."""

from __future__ import annotations

import math
from collections.abc import Container
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.fleet.demand import soon_free
from appledock.core.fleet.machines import Machines, late_after_s
from appledock.core.fleet.model import BootingMachine, Demand, MachineKind
from appledock.core.fleet.offers import Offers
from appledock.core.fleet.rental import Rental
from appledock.core.fleet.supply import Supply
from appledock.core.machines.machine_capacity import can_run_on_type, max_tasks_per_zone
from appledock.core.records.job import Job

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class Planner:
    """Decides what to rent.

    Decided by classes: machines with the same room are one row, and a job
    takes of a row as many as it needs at once.
    """

    def __init__(
        self, engine: Controller, machines: Machines, offers: Offers, rental: Rental
    ) -> None:
        self.engine = engine
        self.machines = machines
        self.offers = offers
        self.rental = rental

    def plan(self, demand: list[Demand], returning: Container[str]) -> None:
        """Rent for what neither fits now nor will fit soon.

        Machines that are `returning` offer nothing.
        """
        if not demand:
            return
        booting = self.machines.booting()
        supply = self._supply(booting, returning)
        soon = Supply()
        for room in soon_free(self.engine):
            soon.add(room, 1)
        missing: dict[MachineKind, int] = {}
        for item in demand:
            for zone, tasks in self.by_zone(item.job, item.tasks, supply):
                left = supply.take(item.job.spec, tasks, zone)
                if left and not item.job.spec.service:
                    # No machine is rented for tasks that running work makes room for
                    # before it could be up.
                    left = soon.take(item.job.spec, left, zone)
                self._add_missing(item.job.spec, left, zone, supply, missing)
        self._rent(missing, len(booting))

    def _supply(self, booting: dict[str, BootingMachine], returning: Container[str]) -> Supply:
        """What is free on machines that are up, booting or being rented."""
        types = self.engine.machine_types
        supply = Supply()
        for room in self.engine.capacity_index.with_free_capacity.values():
            supply.add(room, 1)
        for name, machine in booting.items():
            machine_type = types.get(machine.kind.type)
            if (
                machine_type is not None
                and name not in returning
                and machine.age_s < late_after_s(machine_type) / 2
            ):
                supply.add(machine.kind.empty_room(machine_type), 1)
        for request in self.rental.requests:
            machine_type = types.get(request.kind.type)
            if machine_type is not None:
                supply.add(request.kind.empty_room(machine_type), request.count)
        return supply

    def _add_missing(
        self,
        spec: wire.JobSpec,
        tasks: int,
        zone: str | None,
        supply: Supply,
        missing: dict[MachineKind, int],
    ) -> None:
        """Count the machines for these tasks, and what they leave free, as if rented."""
        while tasks > 0:
            kind = self.offers.cheapest(spec, tasks, zone)
            if kind is None:
                break
            room = kind.empty_room(self.engine.machine_types[kind.type])
            number = math.ceil(tasks / max(1, room.free_slots(spec)))
            supply.add(room, number)
            left = supply.take(spec, tasks, zone)
            if left == tasks:
                break
            tasks = left
            missing[kind] = missing.get(kind, 0) + number

    def _rent(self, missing: dict[MachineKind, int], booting: int) -> None:
        """Rent, as far as operators allow."""
        workers = self.engine.workers.table.values()
        up = sum(worker.report is not None for worker in workers)
        allowed = int(self.engine.operator_settings["machines_max"]) - up - booting
        for kind, count in missing.items():
            number = min(count, c.RENT_MAX, allowed)
            if number > 0:
                allowed -= number
                self.rental.rent(kind, number)

    # --- zones ------------------------------------------------------------
    def by_zone(self, job: Job, tasks: int, supply: Supply) -> list[tuple[str | None, int]]:
        """How many of the tasks to provide for in which zone (None: wherever).

        Guards against rooms of two zones that count as one: a service that must be in one
        zone waited for ever, with room for half of it in each and nothing rented, and so
        did half of a service that may not be in one.
        """
        spec = job.spec
        if not (spec.one_zone or spec.spread):
            return [(None, tasks)]
        held = self.engine.machine_zones.tasks_by_zone(job) or {}
        free = self._free_by_zone(spec, supply)
        zones = self._preferred_zones(spec, tasks, held, free)
        rented = sorted(zones, key=lambda zone: self.offers.cheapest(spec, tasks, zone) is None)
        cap = max_tasks_per_zone(spec)
        parts = dict.fromkeys(zones, 0)
        for order, most in ((zones, free), (rented, None)):
            for zone in order:
                number = min(tasks, cap - held.get(zone, 0) - parts[zone])
                if most is not None:
                    number = min(number, most[zone])
                parts[zone] += max(0, number)
                tasks -= max(0, number)
        return [(zone, number) for zone, number in parts.items() if number]

    def _free_by_zone(self, spec: wire.JobSpec, supply: Supply) -> dict[str, int]:
        """Zones where the job may run -> how many of its tasks fit there now."""
        return {
            zone: supply.count(spec, zone)
            for machine_type in self.engine.machine_types.values()
            if can_run_on_type(spec, machine_type)
            for zone in machine_type.zones
            if spec.zone in (None, zone)
        }

    def _preferred_zones(
        self, spec: wire.JobSpec, tasks: int, held: dict[str, int], free: dict[str, int]
    ) -> list[str]:
        """Order the zones that may take tasks of the job.

        Those with most room come first, and then those where machines are to be had. A job of
        one zone gets only one.
        """

        def nothing_to_rent(zone: str) -> bool:
            return self.offers.cheapest(spec, tasks, zone) is None

        zones = sorted(
            free, key=lambda zone: (-min(free[zone], tasks), nothing_to_rent(zone), zone)
        )
        if not spec.one_zone:
            return zones
        bound = [zone for zone in zones if held.get(zone)]
        if bound:
            return bound
        return [zone for zone in zones if free[zone] >= tasks or not nothing_to_rent(zone)][:1]
