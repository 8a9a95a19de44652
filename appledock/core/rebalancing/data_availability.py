"""Availability of the machines that hold data sets, for the log and the administration API."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from appledock import wire
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.rebalancing.locality import MachineSite, describe_availability
from appledock.rebalancing.settings import DataSet

log = logging.getLogger(__name__)


class DataAvailability:
    """Tracks which grade of data locality new tasks can get for each data set."""

    def __init__(
        self,
        datasets: list[DataSet],
        capacity_index: CapacityIndex,
        machine_types: Mapping[str, wire.MachineType],
    ) -> None:
        self._datasets = datasets
        self._capacity_index = capacity_index
        self._machine_types = machine_types
        self.by_dataset: dict[str, str] = {}
        """Availability of each data set as a text for operators, by the name of the data set."""
        self._unknown_types: set[str] = set()

    def check(self) -> None:
        """Update the availability of each data set and log the changes.

        It changes when machines that hold the data disappear, fill up or become available again.
        """
        if not self._datasets:
            return
        sites = [
            MachineSite(
                machine.name,
                machine.type.name,
                machine.zone,
                name not in self._capacity_index.with_free_capacity,
            )
            for name, machine in self._capacity_index.machines.items()
        ]
        for data in self._datasets:
            availability = describe_availability(data, sites)
            if self.by_dataset.get(data.name) != availability:
                self.by_dataset[data.name] = availability
                log.info(
                    "data availability changed: dataset=%s availability=%s", data.name, availability
                )
            self._log_unknown_types(data)

    def _log_unknown_types(self, data: DataSet) -> None:
        """Log, once for each name, a machine type of the settings that the cloud does not offer.

        The types are known only after the cloud has answered, so the settings file cannot be
        rejected for them at the start.
        """
        for name in data.types:
            is_unknown = bool(self._machine_types) and name not in self._machine_types
            if is_unknown and name not in self._unknown_types:
                self._unknown_types.add(name)
                log.error("machine type not offered: dataset=%s type=%s", data.name, name)
