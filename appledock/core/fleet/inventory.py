"""Inventory of machines, from the machine list, the rentals and the heartbeats."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from appledock import constants, wire
from appledock.core.effects import PeerSend
from appledock.core.fleet.boot_time import boot_timeout_s
from appledock.core.fleet.model import BootingMachine, MachineKind, RentedMachine
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.messages import MachinesDeleted
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers


class MachineInventory:
    """Keeps track of listed and rented machines, and answers queries about their state.

    The machine list lags behind: a machine that is not listed may exist, but a machine that is
    listed as failed is certainly gone.
    """

    def __init__(
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        capacity_index: CapacityIndex,
        reconcile_queue: ReconcileQueue,
        machine_types: Mapping[str, wire.MachineType],
        on_failed: Callable[[list[str]], None],
    ) -> None:
        """Initialize the inventory; `on_failed` is called with the machines listed as failed."""
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index
        self._reconcile_queue = reconcile_queue
        self._machine_types = machine_types
        self._on_failed = on_failed
        self.listed: dict[str, wire.Machine] = {}
        """machine -> its row in the last complete list"""
        self.listed_at = constants.DISTANT_PAST
        """when that list was completed"""
        self.rentals: dict[str, RentedMachine] = {}
        """machine -> its rental, until its first heartbeat, its deletion or a timeout"""
        self.rented_at: dict[str, float] = {}
        """machine -> when this controller or a peer rented it; kept after its first heartbeat"""

    # --- machine list -----------------------------------------------------
    def on_list_complete(self, machines: dict[str, wire.Machine]) -> None:
        """Replace the known list by a complete list that was just read."""
        self.listed, self.listed_at = machines, self._runtime.now
        self._on_failed([name for name, row in machines.items() if row.state == wire.FAILED])
        self._drop_old_rentals()

    def _drop_old_rentals(self) -> None:
        """Drop rentals whose machine has a known worker, was deleted or did not appear in time."""
        now, workers = self._runtime.now, self._workers
        rental_timeout_s = (
            constants.UNLISTED_MACHINE_TIMEOUT_S
            + 2 * self._runtime.settings.cluster.cloud.list_lag_s
        )
        for name, rental in list(self.rentals.items()):
            if (
                name in workers.table
                or now - rental.rented_at > rental_timeout_s
                or (name in workers.deleted_machines and name in self.listed)
            ):
                del self.rentals[name]

    # --- rentals ----------------------------------------------------------
    def add_rented(self, machines: Iterable[str], kind: MachineKind) -> None:
        """Record machines that this controller or a peer has just rented."""
        now = self._runtime.now
        for name in machines:
            self.rentals[name] = RentedMachine(kind, now)
            self.rented_at[name] = now

    def rentals_by_kind(self) -> dict[MachineKind, list[str]]:
        """Return the machines in `rentals`, by kind."""
        machines_by_kind: dict[MachineKind, list[str]] = {}
        for name, rental in self.rentals.items():
            machines_by_kind.setdefault(rental.kind, []).append(name)
        return machines_by_kind

    def is_past_minimum_charge(self, machine: str) -> bool:
        """Return whether the minimum charge of the machine is used up.

        Deleting the machine earlier saves nothing.
        """
        rented_at = self.rented_at.get(machine)
        return (
            rented_at is None
            or self._runtime.now - rented_at > constants.MIN_CHARGE_S - constants.DELETION_CORDON_S
        )

    # --- deletion ---------------------------------------------------------
    def on_deleted(self, machines: list[str]) -> None:
        """Handle a deletion that the cloud has confirmed."""
        for name in machines:
            self.rentals.pop(name, None)
            self.listed.pop(name, None)
        self.announce_deleted(machines)

    def announce_deleted(self, machines: list[str]) -> None:
        """Mark the machines as deleted on this controller and on all peers."""
        self._workers.mark_deleted(machines)
        for name in machines:
            self.rented_at.pop(name, None)
        self._runtime.emit(PeerSend(MachinesDeleted(machines)))
        self._reconcile_queue.placement_due = True

    # --- queries ----------------------------------------------------------
    def zone_of(self, machine: str) -> str | None:
        """Return the zone of a listed machine; None if the machine is not listed."""
        row = self.listed.get(machine)
        return row.zone if row is not None else None

    def booting(self) -> dict[str, BootingMachine]:
        """Return the machines that are paid for but have not sent a heartbeat yet."""
        now = self._runtime.now
        booting = {}
        for name, rental in self.rentals.items():
            if self._awaits_first_heartbeat(name):
                booting[name] = BootingMachine(rental.kind, now - rental.rented_at)
        for name, row in self.listed.items():
            if row.state != wire.FAILED and self._awaits_first_heartbeat(name):
                kind = MachineKind(row.type, row.zone, row.spot)
                booting[name] = BootingMachine(kind, row.age_s + now - self.listed_at)
        return booting

    def _awaits_first_heartbeat(self, machine: str) -> bool:
        worker = self._workers.table.get(machine)
        has_heartbeat = worker is not None and worker.report is not None
        return not has_heartbeat and machine not in self._workers.deleted_machines

    def is_empty(self, machine: str) -> bool:
        """Return whether the machine runs no tasks, as far as this controller knows.

        No unsettled attempt may be recorded on the machine, no step that places tasks on it may
        be in progress, and its heartbeat may report no task that has not exited.
        """
        if machine in self._replica.attempts_by_machine:
            return False
        worker = self._workers.table.get(machine)
        if worker is None or worker.report is None:
            return True
        return machine not in self._capacity_index.reserved_tasks and all(
            task.state == wire.EXITED for task in worker.report.tasks
        )

    def has_failed_to_boot(
        self, name: str, machine: BootingMachine, leader_since: float | None
    ) -> bool:
        """Return whether the machine's first heartbeat is overdue.

        The heartbeats of a machine that is not listed as booting may only be unknown to this
        controller, which may have become leader a moment ago. Such a machine counts as failed
        once the leader has waited `FIRST_HEARTBEAT_TIMEOUT_S` for a heartbeat.
        """
        machine_type = self._machine_types.get(machine.kind.type)
        if machine.age_s <= boot_timeout_s(machine_type) or leader_since is None:
            return False
        if name in self._replica.attempts_by_machine:
            # A task was placed on the machine, so some controller has received a heartbeat from
            # it. This guards against the machine list of a leader that has just regained its
            # lease: that list may be minutes old.
            return False
        row = self.listed.get(name)
        if row is not None and row.state == wire.BOOTING:
            return True
        return self._runtime.now - leader_since > constants.FIRST_HEARTBEAT_TIMEOUT_S
