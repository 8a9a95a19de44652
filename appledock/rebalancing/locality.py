"""Data locality: the distance of a machine from the data sets that a task reads."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from appledock import wire
from appledock.rebalancing.settings import DataSet


class Distance(enum.Enum):
    """Grade of the distance from a machine to data; the value multiplies the locality weight."""

    MACHINE = 0.0
    ZONE = 0.5
    """the machine's type or zone holds it"""
    ELSEWHERE = 1.0


def distance(data: DataSet, machine: str, machine_type: str, zone: str) -> Distance:
    """Return the distance from a machine to one data set."""
    if machine in data.machines:
        return Distance.MACHINE
    if machine_type in data.types or zone in data.zones:
        # Where no machines are named, type and zone are as close as it gets.
        return Distance.ZONE if data.machines else Distance.MACHINE
    return Distance.ELSEWHERE


def reads(spec: wire.JobSpec, data: DataSet) -> bool:
    """Does the job read the data set?"""
    return spec.job_class in data.classes or spec.team in data.teams


class DataSets:
    """The data sets of the settings file, by their readers."""

    def __init__(self, datasets: list[DataSet]) -> None:
        self.datasets = datasets
        self._by_reader: dict[tuple[str, str], list[DataSet]] = {}

    def read_by(self, spec: wire.JobSpec) -> list[DataSet]:
        """Return the data sets that the job reads."""
        key = (spec.job_class, spec.team)
        found = self._by_reader.get(key)
        if found is None:
            found = self._by_reader[key] = [data for data in self.datasets if reads(spec, data)]
        return found

    def distance(self, spec: wire.JobSpec, machine: str, machine_type: str, zone: str) -> float:
        """Return the mean distance to the data sets of the job; 0 if it reads none."""
        datasets = self.read_by(spec)
        if not datasets:
            return 0.0
        return sum(distance(data, machine, machine_type, zone).value for data in datasets) / len(
            datasets
        )


@dataclass(frozen=True, slots=True)
class MachineSite:
    """A machine that may take tasks, and whether it has no free capacity."""

    machine: str
    machine_type: str
    zone: str
    is_full: bool


def describe_availability(data: DataSet, sites: list[MachineSite]) -> str:
    """Return which grade of locality can be had, and why not a better one; for the API and log."""
    present = dict.fromkeys(Distance, 0)
    with_capacity = dict.fromkeys(Distance, 0)
    for site in sites:
        grade = distance(data, site.machine, site.machine_type, site.zone)
        present[grade] += 1
        with_capacity[grade] += not site.is_full
    if with_capacity[Distance.MACHINE]:
        return "room at the data"
    reason = "full" if present[Distance.MACHINE] else "gone"
    if with_capacity[Distance.ZONE]:
        return f"machines that hold it are {reason}: type or zone is used"
    return f"what holds it is {reason}: any machine is used"
