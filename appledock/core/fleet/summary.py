"""Periodic log line about all machines, for the analysis of their cost."""

from __future__ import annotations

import logging

from appledock import constants
from appledock.core.fleet.idle_reserve import Reserve
from appledock.core.fleet.inventory import MachineInventory
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.operator_settings import OperatorSettings
from appledock.core.runtime import Runtime
from appledock.core.workers import Workers

log = logging.getLogger(__name__)


class FleetSummary:
    """Logs how many machines are idle and why they are kept."""

    def __init__(
        self,
        runtime: Runtime,
        operator_settings: OperatorSettings,
        workers: Workers,
        capacity_index: CapacityIndex,
        inventory: MachineInventory,
    ) -> None:
        self._runtime = runtime
        self._operator_settings = operator_settings
        self._workers = workers
        self._capacity_index = capacity_index
        self._inventory = inventory
        self._next_log_at = 0.0

    def log_if_due(self, target_cpus: float, reserve: Reserve, pending_deletions: int) -> None:
        """Log the summary, at most once per `FLEET_SUMMARY_INTERVAL_S`."""
        now, inventory = self._runtime.now, self._inventory
        if now < self._next_log_at:
            return
        self._next_log_at = now + constants.FLEET_SUMMARY_INTERVAL_S
        up = [worker for worker in self._workers.table.values() if worker.report is not None]
        idle = [worker for worker in up if worker.placement.idle_since]
        idle_return_s = self._operator_settings["idle_return_s"]
        machines = self._capacity_index.machines.values()
        log.info(
            "fleet summary: up=%d booting=%d deleting=%d idle=%d idle_briefly=%d"
            " idle_in_minimum_charge=%d idle_not_empty=%d idle_in_reserve=%d"
            " cpus=%.0f free_cpus=%.0f reserve_cpus=%.0f reserve_target_cpus=%.0f",
            len(up),
            len(inventory.booting()),
            pending_deletions,
            len(idle),
            sum(now - worker.placement.idle_since <= idle_return_s for worker in idle),
            sum(not inventory.is_past_minimum_charge(worker.id) for worker in idle),
            sum(not inventory.is_empty(worker.id) for worker in idle),
            sum(not reserve.can_spare(worker.id, target_cpus) for worker in idle),
            sum(machine.type.cpus for machine in machines),
            sum(max(0.0, machine.cpus) for machine in machines),
            reserve.cpus,
            target_cpus,
        )
