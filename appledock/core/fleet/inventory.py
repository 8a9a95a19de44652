"""The machines that exist, as far as the list, the rentals and the heartbeats show."""

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
    """Remembers listed and rented machines, and answers what state a machine is in.

    The list lags behind: a machine that it lacks may exist, one that it shows as failed doesn't.
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
        """Build it; `on_failed` is called with the machines that a list shows as failed."""
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
        self.rentals: dict[str, RentedMachine] = {}
        """machines rented, and seen neither in the list nor by a heartbeat since"""
        self.rented_at: dict[str, float] = {}
        """machines rented by us or a peer -> when; kept after their first heartbeat"""

    # --- machine list -----------------------------------------------------
    def on_list(self, found: dict[str, wire.Machine]) -> None:
        """A complete list was read."""
        self.listed, self.listed_at = found, self._runtime.now
        self._on_failed([name for name, row in found.items() if row.state == wire.FAILED])
        self._forget_rentals()

    def _forget_rentals(self) -> None:
        """Drop rentals whose machine shows elsewhere by now, or is lost."""
        now, workers = self._runtime.now, self._workers
        lost_after_s = (
            constants.UNLISTED_MACHINE_TIMEOUT_S
            + 2 * self._runtime.settings.cluster.cloud.list_lag_s
        )
        for name, rental in list(self.rentals.items()):
            if (
                name in workers.table
                or now - rental.rented_at > lost_after_s
                or (name in workers.deleted_machines and name in self.listed)
            ):
                del self.rentals[name]

    # --- rentals ----------------------------------------------------------
    def add_rented(self, machines: Iterable[str], kind: MachineKind) -> None:
        """This controller or a peer has just rented these machines."""
        now = self._runtime.now
        for name in machines:
            self.rentals[name] = RentedMachine(kind, now)
            self.rented_at[name] = now

    def rentals_by_kind(self) -> dict[MachineKind, list[str]]:
        """Machines rented and not seen otherwise since."""
        machines_by_kind: dict[MachineKind, list[str]] = {}
        for name, rental in self.rentals.items():
            machines_by_kind.setdefault(rental.kind, []).append(name)
        return machines_by_kind

    def is_past_minimum_charge(self, machine: str) -> bool:
        """Is the minimum charge used up? Before, deleting the machine saves nothing."""
        rented_at = self.rented_at.get(machine)
        return (
            rented_at is None
            or self._runtime.now - rented_at > constants.MIN_CHARGE_S - constants.DELETION_CORDON_S
        )

    # --- deletion ---------------------------------------------------------
    def on_deleted(self, machines: list[str]) -> None:
        """The cloud has confirmed the deletion."""
        for name in machines:
            self.rentals.pop(name, None)
            self.listed.pop(name, None)
        self.announce_deleted(machines)

    def announce_deleted(self, machines: list[str]) -> None:
        """Mark the machines as deleted, here and at all peers."""
        self._workers.mark_deleted(machines)
        for name in machines:
            self.rented_at.pop(name, None)
        self._runtime.emit(PeerSend(MachinesDeleted(machines)))
        self._reconcile_queue.placement_due = True

    # --- questions --------------------------------------------------------
    def zone_of(self, machine: str) -> str | None:
        """The zone of a listed machine."""
        row = self.listed.get(machine)
        return row.zone if row is not None else None

    def booting(self) -> dict[str, BootingMachine]:
        """Machines paid for that have not sent a heartbeat yet."""
        now = self._runtime.now
        booting = {}
        for name, rental in self.rentals.items():
            if self._is_first_heartbeat_due(name):
                booting[name] = BootingMachine(rental.kind, now - rental.rented_at)
        for name, row in self.listed.items():
            if row.state != wire.FAILED and self._is_first_heartbeat_due(name):
                kind = MachineKind(row.type, row.zone, row.spot)
                booting[name] = BootingMachine(kind, row.age_s + now - self.listed_at)
        return booting

    def _is_first_heartbeat_due(self, machine: str) -> bool:
        worker = self._workers.table.get(machine)
        has_heartbeat = worker is not None and worker.report is not None
        return not has_heartbeat and machine not in self._workers.deleted_machines

    def is_empty(self, machine: str) -> bool:
        """Is no unsettled attempt recorded there, no step under way, and no task reported?"""
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
        """Is the machine's first heartbeat overdue?

        One listed as running may only be unknown to this controller, which perhaps became
        leader a moment ago: it counts once the leader has waited `FIRST_HEARTBEAT_TIMEOUT_S`
        for a heartbeat.
        """
        machine_type = self._machine_types.get(machine.kind.type)
        if machine.age_s <= boot_timeout_s(machine_type) or leader_since is None:
            return False
        if name in self._replica.attempts_by_machine:
            # A task was placed there, so it has sent a heartbeat to somebody. Guards against
            # the list of a leader that has just regained its lease, which may be minutes old.
            return False
        row = self.listed.get(name)
        if row is not None and row.state == wire.BOOTING:
            return True
        return self._runtime.now - leader_since > constants.FIRST_HEARTBEAT_TIMEOUT_S
