"""Unit tests of placement: filter, sample, score and reserve."""

from __future__ import annotations

import random

import pytest

from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.scheduling.placement import Sampling, filter_machines, place
from tests.test_requests import spec

MACHINE_TYPE = wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"], fetch_gb_per_s=0.5)


def machine(name: str, cpus: float, zone: str = "a") -> MachineCapacity:
    return MachineCapacity(name, MACHINE_TYPE, zone, False, 1, cpus, 0.0, 16.0)


def sampling() -> Sampling:
    return Sampling(random.Random(1), 16)


def test_placed_tasks_are_grouped_by_machine_and_their_capacity_is_reserved() -> None:
    machines = [machine("m1", 3.0), machine("m2", 2.0)]
    placed = place(spec(crates=4, cores=1.0), 4, machines, sampling(), {})
    assert {row.machine.name: row.tasks for row in placed} == {"m2": 2, "m1": 2}
    assert [row.cpus for row in machines] == [1.0, 0.0]


def test_a_gang_that_does_not_fit_whole_reserves_nothing() -> None:
    machines = [machine("m1", 3.0), machine("m2", 2.0)]
    assert place(spec(crates=6, cores=1.0), 6, machines, sampling(), {}, True) == []
    assert [row.cpus for row in machines] == [3.0, 2.0]


@pytest.mark.parametrize(
    ("tasks_by_zone", "names"), [({}, ["m2", "m3"]), ({"a": 1}, ["m1"]), ({"a": 1, "b": 1}, [])]
)
def test_a_co_located_job_gets_the_zone_of_its_tasks_or_the_one_with_most_free_slots(
    tasks_by_zone: dict[str, int], names: list[str]
) -> None:
    machines = [machine("m1", 3.0), machine("m2", 2.0, "b"), machine("m3", 2.0, "b")]
    job = spec(crates=4, cores=1.0, together=True)
    assert [row.name for row in filter_machines(job, machines, tasks_by_zone)] == names
