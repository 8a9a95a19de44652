"""Deletion of machines: cordoned first, deleted once they are certainly empty."""

from __future__ import annotations

import logging

from appledock import constants
from appledock.core.fleet.cloud import CloudClient, CloudFailure
from appledock.core.fleet.cordons import NO_CORDON, Cordons
from appledock.core.fleet.inventory import MachineInventory
from appledock.core.fleet.model import PendingDeletion, ScaleInReason
from appledock.core.runtime import Runtime
from appledock.core.workers import Workers

log = logging.getLogger(__name__)


class MachineDeletions:
    """Keeps the machines that are to be deleted, until the cloud has confirmed it.

    Between cordon and deletion `DELETION_CORDON_S` pass, in which a step that another controller
    has placed there meanwhile becomes known; then the machine is kept.
    """

    def __init__(
        self,
        runtime: Runtime,
        workers: Workers,
        cloud: CloudClient,
        inventory: MachineInventory,
        cordons: Cordons,
    ) -> None:
        self._runtime = runtime
        self._workers = workers
        self._cloud = cloud
        self._inventory = inventory
        self._cordons = cordons
        self.pending: dict[str, PendingDeletion] = {}
        """machine -> its deletion"""

    def cordon(self, machine: str, reason: ScaleInReason) -> None:
        """Cordon an empty machine, to be deleted if it is still empty after `DELETION_CORDON_S`."""
        self.pending[machine] = PendingDeletion(self._runtime.now, reason)
        self._cordons.set_everywhere(machine, reason)

    def delete_soon(self, machine: str, reason: ScaleInReason) -> None:
        """Delete a machine at the next opportunity, empty or not."""
        cordoned_at = self._runtime.now - constants.DELETION_CORDON_S
        self.pending[machine] = PendingDeletion(cordoned_at, reason, is_forced=True)

    def on_failed(self, machines: list[str]) -> None:
        """The cloud lists these machines as failed."""
        deleted = self._workers.deleted_machines
        new = [machine for machine in machines if machine not in deleted]
        if new:
            self._inventory.announce_deleted(new)
        for machine in machines:
            if machine not in self.pending:
                self.delete_soon(machine, ScaleInReason.FAILED)

    def delete_due(self) -> None:
        """Delete the machines whose time has come, as many as one call takes."""
        due = []
        for machine, deletion in list(self.pending.items()):
            if (
                deletion.is_call_in_flight
                or self._runtime.now < deletion.cordoned_at + constants.DELETION_CORDON_S
            ):
                continue
            if self._has_recovered(machine, deletion):
                del self.pending[machine]
            elif not deletion.is_forced and not self._inventory.is_empty(machine):
                del self.pending[machine]
                self._cordons.set_everywhere(machine, NO_CORDON)
            else:
                due.append(machine)
        if due:
            self.delete(due[: constants.DELETION_MACHINES_MAX])

    def _has_recovered(self, machine: str, deletion: PendingDeletion) -> bool:
        """Has a heartbeat arrived since the machine was to be deleted for the lack of them?

        Guards against an outage of the cloud that delays the deletion: by its end the machine
        may be healthy again, with all tasks that run on it.
        """
        worker = self._workers.table.get(machine)
        return (
            deletion.reason.is_void_after_heartbeat
            and worker is not None
            and worker.reachability.last_healthy_at
            > deletion.cordoned_at + constants.DELETION_CORDON_S
        )

    def delete(self, machines: list[str]) -> None:
        """Request the deletion of these pending machines from the cloud."""
        now = self._runtime.now
        for machine in machines:
            deletion = self.pending[machine]
            deletion.is_call_in_flight = True
            if (
                deletion.reason is ScaleInReason.IDLE
                and now - deletion.cordoned_at > constants.CORDON_TTL_S / 3
            ):
                # Calls to the cloud fail: renewed, so that the cordon does not become stale
                # at the peers, and nothing is placed there meanwhile.
                deletion.cordoned_at = now - constants.DELETION_CORDON_S
                self._cordons.announce(machine, deletion.reason)
        self._cloud.delete(machines, lambda failure: self._on_result(machines, failure))

    def _on_result(self, machines: list[str], failure: CloudFailure | None) -> None:
        deletions = {name: self.pending[name] for name in machines if name in self.pending}
        for deletion in deletions.values():
            deletion.is_call_in_flight = False
        if failure is None:
            reasons = {name: deletion.reason.value for name, deletion in deletions.items()}
            log.info("machines deleted: reasons=%s", reasons)
            self.on_deleted(machines)
        else:
            self._cloud.back_off()

    def on_deleted(self, machines: list[str]) -> None:
        """The cloud has confirmed the deletion."""
        for machine in machines:
            self.pending.pop(machine, None)
        self._inventory.on_deleted(machines)
