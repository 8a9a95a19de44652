"""Unit tests of free capacity by class, without a controller."""

from __future__ import annotations

from appledock import wire
from appledock.core.fleet.model import MachineKind
from appledock.core.fleet.supply import CapacitySupply
from tests.test_requests import spec

SMALL = wire.MachineType("small", 4, 16, 0.2, 0.1, 5, ["a", "b"])


def supply(machines_by_zone: dict[str, int]) -> CapacitySupply:
    """Return a supply of empty machines with four CPUs each."""
    result = CapacitySupply()
    for zone, count in machines_by_zone.items():
        result.add(MachineKind("small", zone, False).empty_capacity(SMALL), count)
    return result


def test_tasks_beyond_the_supply_are_left_over() -> None:
    present = supply({"a": 2, "b": 1})
    job = spec(cores=3.0, memory_gb=1.0)
    assert present.count_slots(job, "a") == 2
    assert present.reserve(job, 5) == 2
    assert present.reserve(spec(cores=1.0, memory_gb=1.0), 3) == 0  # one CPU is left on each


def test_capacity_of_other_zones_is_not_reserved_for_tasks_of_one_zone() -> None:
    present = supply({"a": 1, "b": 3})
    job = spec(cores=2.0, memory_gb=1.0)
    assert present.reserve(job, 3, "a") == 1
    assert present.count_slots(job, "a") == 0
    assert present.count_slots(job, "b") == 6
