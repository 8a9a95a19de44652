"""Data locality: the distance of a machine from the data sets that a task reads."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from appledock import wire
from appledock.rebalancing.settings import DataSet


class Distance(enum.Enum):
    """Grade of the distance from a machine to data; its value multiplies the locality weight."""

    MACHINE = 0.0
    """The machine holds the data, or is as close as the settings can express."""
    ZONE = 0.5
    """Other machines hold the data; the settings name this machine's type or zone."""
    ELSEWHERE = 1.0
    """Neither the machine nor its type nor its zone is named."""


def distance(data: DataSet, machine: str, machine_type: str, zone: str) -> Distance:
    """Return the distance from a machine to one data set."""
    if machine in data.machines:
        return Distance.MACHINE
    if machine_type in data.types or zone in data.zones:
        # If the settings name no machines for the data set, type and zone are the closest grade.
        return Distance.ZONE if data.machines else Distance.MACHINE
    return Distance.ELSEWHERE


def reads(spec: wire.JobSpec, data: DataSet) -> bool:
    """Return whether the job reads the data set."""
    return spec.job_class in data.classes or spec.team in data.teams


class DataSets:
    """Finds the data sets of the settings file that a job reads."""

    def __init__(self, datasets: list[DataSet]) -> None:
        self.datasets = datasets
        self._by_reader: dict[tuple[str, str], list[DataSet]] = {}

    def read_by(self, spec: wire.JobSpec) -> list[DataSet]:
        """Return the data sets that the job reads; cached by job class and team."""
        key = (spec.job_class, spec.team)
        found = self._by_reader.get(key)
        if found is None:
            found = self._by_reader[key] = [data for data in self.datasets if reads(spec, data)]
        return found

    def distance(self, spec: wire.JobSpec, machine: str, machine_type: str, zone: str) -> float:
        """Return the mean distance to the data sets that the job reads, or 0 if it reads none."""
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
    """Describe the best grade of locality with free capacity, and why no better one has any.

    The text goes to the administration API and the log.
    """
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
