"""Distribution of the tasks of a job with zone constraints over the zones."""

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
    """Number of tasks that need capacity in a zone, or in any zone if `zone` is None."""

    zone: str | None
    tasks: int


class ZoneDistribution:
    """Distributes tasks over zones, so that free capacity of two zones is never added up.

    Otherwise a job that must run in one zone would wait forever, and nothing would be rented for
    it, if each of two zones had capacity for half of it. Half of a job that must spread over zones
    would wait in the same way if all free capacity was in one zone.
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
        """Return how many of the tasks need capacity in which zone.

        Free capacity is used first. The remaining tasks go to zones where machines can be rented,
        and only then to other zones.
        """
        spec = job.spec
        if not (spec.one_zone or spec.spread):
            return [ZoneTasks(None, tasks)]
        placed = self._machine_zones.tasks_by_zone(job) or {}
        free_slots = self._free_slots_by_zone(spec, supply)
        zones = self._preferred_zones(spec, tasks, placed, free_slots)
        rentable_first = sorted(zones, key=lambda zone: not self._can_rent(spec, tasks, zone))
        max_per_zone = max_tasks_per_zone(spec)
        tasks_by_zone = dict.fromkeys(zones, 0)
        for order, limits in ((zones, free_slots), (rentable_first, None)):
            for zone in order:
                count = min(tasks, max_per_zone - placed.get(zone, 0) - tasks_by_zone[zone])
                if limits is not None:
                    count = min(count, limits[zone])
                tasks_by_zone[zone] += max(0, count)
                tasks -= max(0, count)
        return [ZoneTasks(zone, count) for zone, count in tasks_by_zone.items() if count]

    def _free_slots_by_zone(self, spec: wire.JobSpec, supply: CapacitySupply) -> dict[str, int]:
        """Return how many tasks of the job fit now in each zone where it may run."""
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
        self, spec: wire.JobSpec, tasks: int, placed: dict[str, int], free_slots: dict[str, int]
    ) -> list[str]:
        """Return the zones that may take tasks of the job, in order of preference.

        Zones where more of the tasks fit come first, and among equals those where machines can be
        rented. A job that must run in one zone gets only the zone where it runs already, or else
        the first zone that has the capacity or where machines can be rented.
        """
        can_rent = {zone: self._can_rent(spec, tasks, zone) for zone in free_slots}
        zones = sorted(
            free_slots, key=lambda zone: (-min(free_slots[zone], tasks), not can_rent[zone], zone)
        )
        if not spec.one_zone:
            return zones
        zones_in_use = [zone for zone in zones if placed.get(zone)]
        if zones_in_use:
            return zones_in_use
        return [zone for zone in zones if free_slots[zone] >= tasks or can_rent[zone]][:1]
