"""In which zones capacity is provided for the tasks of a job with zone constraints."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from appledock import wire
from appledock.core.fleet.offers import InstanceOffers
from appledock.core.fleet.supply import CapacitySupply
from appledock.core.machines.machine_capacity import can_run_on_type, max_tasks_per_zone
from appledock.core.machines.zones import MachineZones
from appledock.core.records.job import Job


class ZoneTasks(NamedTuple):
    """Tasks to provide capacity for in a zone; None: in any."""

    zone: str | None
    tasks: int


class ZoneDistribution:
    """Distributes tasks over zones, so that free capacity of two zones never counts as one.

    Otherwise a job that must be in one zone would wait for ever with capacity for half of it in
    each of two, and nothing would be rented; the same for half of a job that must spread.
    """

    def __init__(
        self,
        machine_types: Mapping[str, wire.MachineType],
        machine_zones: MachineZones,
        offers: InstanceOffers,
    ) -> None:
        self._machine_types = machine_types
        self._machine_zones = machine_zones
        self._offers = offers

    def distribute(self, job: Job, tasks: int, supply: CapacitySupply) -> list[ZoneTasks]:
        """How many of the tasks to provide for in which zone: first by what is free, then anew."""
        spec = job.spec
        if not (spec.one_zone or spec.spread):
            return [ZoneTasks(None, tasks)]
        held = self._machine_zones.tasks_by_zone(job) or {}
        free = self._free_slots_by_zone(spec, supply)
        zones = self._preferred_zones(spec, tasks, held, free)
        rentable_first = sorted(zones, key=lambda zone: not self._can_rent(spec, tasks, zone))
        cap = max_tasks_per_zone(spec)
        parts = dict.fromkeys(zones, 0)
        for order, limits in ((zones, free), (rentable_first, None)):
            for zone in order:
                count = min(tasks, cap - held.get(zone, 0) - parts[zone])
                if limits is not None:
                    count = min(count, limits[zone])
                parts[zone] += max(0, count)
                tasks -= max(0, count)
        return [ZoneTasks(zone, count) for zone, count in parts.items() if count]

    def _free_slots_by_zone(self, spec: wire.JobSpec, supply: CapacitySupply) -> dict[str, int]:
        """Zones where the job may run -> how many of its tasks fit there now."""
        zones = dict.fromkeys(
            zone
            for machine_type in self._machine_types.values()
            if can_run_on_type(spec, machine_type)
            for zone in machine_type.zones
            if spec.zone in (None, zone)
        )
        return {zone: supply.count_slots(spec, zone) for zone in zones}

    def _can_rent(self, spec: wire.JobSpec, tasks: int, zone: str) -> bool:
        return self._offers.cheapest(spec, tasks, zone) is not None

    def _preferred_zones(
        self, spec: wire.JobSpec, tasks: int, held: dict[str, int], free: dict[str, int]
    ) -> list[str]:
        """Order the zones that may take tasks of the job: most free first, then rentable ones.

        A job of one zone gets only one: where it runs already, or else the first that has or
        may get the capacity.
        """
        can_rent = {zone: self._can_rent(spec, tasks, zone) for zone in free}
        zones = sorted(free, key=lambda zone: (-min(free[zone], tasks), not can_rent[zone], zone))
        if not spec.one_zone:
            return zones
        bound = [zone for zone in zones if held.get(zone)]
        if bound:
            return bound
        return [zone for zone in zones if free[zone] >= tasks or can_rent[zone]][:1]
