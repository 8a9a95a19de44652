"""Scale in: selects machines to delete because they are idle, drained, faulty or lost."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appledock import constants, wire
from appledock.core.fleet.deletions import MachineDeletions
from appledock.core.fleet.idle_reserve import IdleReserve
from appledock.core.fleet.inventory import MachineInventory
from appledock.core.fleet.model import JobDemand, ScaleInReason
from appledock.core.fleet.summary import FleetSummary
from appledock.core.fleet.unresponsive import UnresponsiveMachineDetector
from appledock.core.fleet.upcoming_reserve import UpcomingReserve
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import is_allowed_on
from appledock.core.operator_settings import OperatorSettings
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers

log = logging.getLogger(__name__)


class ScaleIn:
    """Reviews all machines on the leader, and deletes those that are not needed or have failed."""

    def __init__(  # noqa: PLR0913 -- it checks every reason to keep or delete a machine
        self,
        *,
        runtime: Runtime,
        operator_settings: OperatorSettings,
        replica: Replica,
        workers: Workers,
        capacity_index: CapacityIndex,
        inventory: MachineInventory,
        deletions: MachineDeletions,
        unresponsive: UnresponsiveMachineDetector,
        idle_reserve: IdleReserve,
        upcoming_reserve: UpcomingReserve,
        summary: FleetSummary,
        is_reachable: Callable[[str], bool],
    ) -> None:
        """Initialize the review; `is_reachable` tells whether a controller's heartbeats arrive."""
        self._runtime = runtime
        self._operator_settings = operator_settings
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index
        self._inventory = inventory
        self._deletions = deletions
        self._unresponsive = unresponsive
        self._idle_reserve = idle_reserve
        self._upcoming_reserve = upcoming_reserve
        self._summary = summary
        self._is_reachable = is_reachable

    def review(self, demand: list[JobDemand], leader_since: float | None) -> None:
        """Schedule deletions of machines, and carry out the deletions that are due."""
        are_most_reporting = self._unresponsive.are_most_workers_reporting()
        if are_most_reporting:
            for machine in self._unresponsive.find(self._deletions.pending):
                self._deletions.schedule_forced_deletion(machine, ScaleInReason.UNRESPONSIVE)
        target = self._idle_reserve.target()
        reserve = self._idle_reserve.current(target.task_cpus_by_image)
        self._summary.log_if_due(target.cpus, reserve, len(self._deletions.pending))
        self._delete_failed_boots(leader_since)
        queued_specs = [item.job.spec for item in demand if item.is_ready]
        self._upcoming_reserve.reset(demand)
        for machine, worker in self._workers.table.items():
            if not self._is_candidate(worker):
                continue
            if self._is_evacuated(worker):
                self._deletions.cordon(machine, ScaleInReason(worker.placement.cordon_reason))
            elif self._is_surplus(worker, queued_specs) and reserve.can_spare(machine, target.cpus):
                reserve.remove(machine)
                self._deletions.cordon(machine, ScaleInReason.IDLE)
            elif are_most_reporting and self._has_timed_out(worker):
                self._deletions.schedule_forced_deletion(machine, ScaleInReason.HEARTBEAT_TIMEOUT)
        self._deletions.delete_due()

    def _delete_failed_boots(self, leader_since: float | None) -> None:
        for name, machine in self._inventory.booting().items():
            if (
                self._inventory.has_failed_to_boot(name, machine, leader_since)
                and name not in self._deletions.pending
            ):
                log.warning("machine failed to boot: machine=%s age_s=%.0f", name, machine.age_s)
                self._deletions.schedule_forced_deletion(name, ScaleInReason.BOOT_FAILED)

    # --- conditions on a single machine -----------------------------------
    def _is_candidate(self, worker: Worker) -> bool:
        """Return whether the machine has sent a heartbeat and is not deleted or to be deleted."""
        return (
            worker.id not in self._deletions.pending
            and worker.report is not None
            and worker.id not in self._workers.deleted_machines
        )

    def _is_evacuated(self, worker: Worker) -> bool:
        """Return whether the machine is drained or faulty, and empty by now."""
        return worker.placement.cordon_reason in (
            ScaleInReason.DRAIN,
            ScaleInReason.FAULTY,
        ) and self._is_certainly_empty(worker.id)

    def _is_certainly_empty(self, machine: str) -> bool:
        """Return whether the machine is empty and tasks placed by its owner would become known."""
        return self._inventory.is_empty(machine) and self._is_reachable(
            self._replica.owner_of(machine)
        )

    def _is_surplus(self, worker: Worker, queued_specs: list[wire.JobSpec]) -> bool:
        """Return whether the machine is idle and not needed.

        It must have been idle for long enough, its minimum charge must be used up, and no queued
        task may be able to run on it. If an upcoming job needs the machine, this call reserves it
        for that job and returns False.
        """
        now, name = self._runtime.now, worker.id
        idle_since = worker.placement.idle_since
        return (
            bool(idle_since)
            and now - idle_since > self._operator_settings["idle_return_s"]
            and self._inventory.is_past_minimum_charge(name)
            and worker.placement.cordon_reason != ScaleInReason.OPERATOR
            and now - worker.reachability.last_heartbeat_at < constants.IDLE_HEARTBEAT_AGE_MAX_S
            and self._is_certainly_empty(name)
            and not self._could_run_queued(name, queued_specs)
            and not self._upcoming_reserve.try_reserve(name)
        )

    def _could_run_queued(self, machine_name: str, queued_specs: list[wire.JobSpec]) -> bool:
        """Return whether a queued task could run on the machine.

        The placement of such a task may only be waiting for the store's rate limit.
        """
        machine = self._capacity_index.machines.get(machine_name)
        return machine is not None and any(
            is_allowed_on(spec, machine) and machine.fits(spec) for spec in queued_specs
        )

    def _has_timed_out(self, worker: Worker) -> bool:
        """Return whether the machine has been silent for so long that it can be deleted.

        Its lease must have expired or no attempt be recorded on it, so that no recorded task can
        still run there.
        """
        silent_s = self._runtime.now - worker.reachability.last_heartbeat_at
        return silent_s > constants.SILENT_MACHINE_TIMEOUT_S and (
            worker.lease.expired_epoch >= worker.agent_epoch
            or worker.id not in self._replica.attempts_by_machine
        )
