"""Deletion of machines: empty ones are cordoned first, failed ones are deleted at once."""

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
    """Keeps track of scheduled deletions until the cloud has confirmed them.

    A machine that is deleted because it is empty is first cordoned for `DELETION_CORDON_S`.
    Within that time this controller learns of tasks that another controller has placed on it
    meanwhile; in that case the machine is kept.
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
        """machine -> its scheduled deletion"""

    def cordon(self, machine: str, reason: ScaleInReason) -> None:
        """Cordon an empty machine, and schedule its deletion after `DELETION_CORDON_S`."""
        self.pending[machine] = PendingDeletion(self._runtime.now, reason)
        self._cordons.set_everywhere(machine, reason)

    def schedule_forced_deletion(self, machine: str, reason: ScaleInReason) -> None:
        """Schedule a machine to be deleted by the next `delete_due`, whether it is empty or not."""
        cordoned_at = self._runtime.now - constants.DELETION_CORDON_S
        self.pending[machine] = PendingDeletion(cordoned_at, reason, is_forced=True)

    def on_failed(self, machines: list[str]) -> None:
        """Mark machines listed as failed as deleted, and schedule their deletion from the cloud."""
        deleted = self._workers.deleted_machines
        new = [machine for machine in machines if machine not in deleted]
        if new:
            self._inventory.announce_deleted(new)
        for machine in machines:
            if machine not in self.pending:
                self.schedule_forced_deletion(machine, ScaleInReason.FAILED)

    def delete_due(self) -> None:
        """Request the deletions that are due, as many as fit in one call.

        Deletions of machines that have recovered or are no longer empty are cancelled.
        """
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
        """Return whether a machine to be deleted for missing heartbeats has sent one since.

        An outage of the cloud may delay the deletion, and by its end the machine may be healthy
        again, with tasks running on it.
        """
        worker = self._workers.table.get(machine)
        return (
            deletion.reason.is_cleared_by_heartbeat
            and worker is not None
            and worker.reachability.last_healthy_at
            > deletion.cordoned_at + constants.DELETION_CORDON_S
        )

    def delete(self, machines: list[str]) -> None:
        """Request the scheduled deletions of these machines from the cloud."""
        now = self._runtime.now
        for machine in machines:
            deletion = self.pending[machine]
            deletion.is_call_in_flight = True
            if (
                deletion.reason is ScaleInReason.IDLE
                and now - deletion.cordoned_at > constants.CORDON_TTL_S / 3
            ):
                # Calls to the cloud keep failing. The cordon is renewed so that it does not
                # expire at the peers, which would then place tasks on the machine again.
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
        """Handle a deletion that the cloud has confirmed."""
        for machine in machines:
            self.pending.pop(machine, None)
        self._inventory.on_deleted(machines)
