"""The machines that exist, as far as the list, our rentals and the workers show."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.cloud_calls import CloudOutcome, ListMachines
from appledock.core.commands import CloudReply
from appledock.core.effects import PeerSend
from appledock.core.fleet.cloud import CloudCalls
from appledock.core.fleet.model import BootingMachine, MachineKind, RentedMachine
from appledock.core.messages import MachinesDeleted

if TYPE_CHECKING:
    from appledock.core.controller import Controller


@dataclass(slots=True)
class ListReading:
    """A machine list that is being read."""

    began: float
    found: dict[str, wire.Machine] = field(default_factory=dict)
    after: str | None = None
    """the last machine read so far"""
    next_page: float = 0.0
    calling: bool = False


class Machines:
    """Reads the machine list and remembers what was rented."""

    def __init__(
        self, engine: Controller, cloud: CloudCalls, on_failed: Callable[[list[str]], None]
    ) -> None:
        self.engine = engine
        self.cloud = cloud
        self.on_failed = on_failed
        """called with the machines that a complete list shows as failed"""
        self.listed: dict[str, wire.Machine] = {}
        self.listed_at = c.LONG_AGO
        self.rentals: dict[str, RentedMachine] = {}
        self.rented_at: dict[str, float] = {}
        """machines rented lately -> when; also after they were heard of"""
        self.next_list = 0.0
        self.reading: ListReading | None = None

    # --- machine list -----------------------------------------------------
    def refresh(self) -> None:
        """Read the machine list if it is time to, page by page.

        Guards against a list that never ends: read without a pause, eight pages are more
        calls than a cloud of two a second takes, and begun anew after each refusal the list of
        4,000 machines was never read to its end.
        """
        now = self.engine.now
        reading = self.reading
        if reading is None:
            if now < self.next_list:
                return
            reading = self.reading = ListReading(now)
        if not reading.calling and now >= reading.next_page:
            self._read_page(reading)

    def read_anew(self) -> None:
        """Forget what was read of a list so far, and begin at once."""
        self.reading = None
        self.next_list = self.engine.now

    def _read_page(self, reading: ListReading) -> None:
        reading.calling = True
        request = ListMachines(reading.after, c.MACHINE_LIST_LIMIT)
        self.cloud.call(request, lambda reply: self._on_page(reading, reply))

    def _on_page(self, reading: ListReading, reply: CloudReply) -> None:
        now = self.engine.now
        if reading is not self.reading:
            return  # begun anew meanwhile
        reading.calling = False
        if reply.outcome is not CloudOutcome.OK:
            self.cloud.back_off()
            if now - reading.began > c.LIST_ABANDON_S:
                self._list_ended()
            return
        machines = reply.data.machines
        reading.found.update((machine.id, machine) for machine in machines)
        if reply.data.more and machines:
            reading.after = machines[-1].id
            reading.next_page = now + self._page_pause_s()
            return
        self._list_ended()
        self._on_list(reading.found)

    def _page_pause_s(self) -> float:
        """Pause between two pages, so that rentals and deletions find their turn as well."""
        return 1.0 / (self.engine.settings.cluster.cloud.rps * c.LIST_CALLS_SHARE)

    def _list_ended(self) -> None:
        self.reading = None
        self.next_list = self.engine.now + c.LIST_EVERY_S

    def _on_list(self, found: dict[str, wire.Machine]) -> None:
        """The list lags: a missing row proves nothing, a failed machine is gone."""
        self.listed, self.listed_at = found, self.engine.now
        self.on_failed([name for name, row in found.items() if row.state == wire.FAILED])
        self._forget_rentals()

    def _forget_rentals(self) -> None:
        """A rental is no longer counted once its machine shows elsewhere, or is lost."""
        now, workers = self.engine.now, self.engine.workers
        lost_s = c.LOST_AFTER_S + 2 * self.engine.settings.cluster.cloud.list_lag_s
        for name, rental in list(self.rentals.items()):
            if (
                name in workers.table
                or now - rental.at > lost_s
                or (name in workers.deleted_machines and name in self.listed)
            ):
                del self.rentals[name]

    # --- rentals ----------------------------------------------------------
    def add_rented(self, names: Iterable[str], kind: MachineKind) -> None:
        """Machines that this controller or a peer has just rented."""
        for name in names:
            self.rentals[name] = RentedMachine(kind, self.engine.now)
            self.rented_at[name] = self.engine.now

    def rentals_by_kind(self) -> dict[MachineKind, list[str]]:
        """Machines rented and not seen otherwise since."""
        kinds: dict[MachineKind, list[str]] = {}
        for name, rental in self.rentals.items():
            kinds.setdefault(rental.kind, []).append(name)
        return kinds

    def past_minimum_charge(self, name: str) -> bool:
        """Has the least charge been used up? Before, returning saves nothing."""
        rented = self.rented_at.get(name)
        return rented is None or self.engine.now - rented > c.MIN_CHARGE_S - c.CORDON_S

    # --- deletion ---------------------------------------------------------
    def forget(self, names: list[str]) -> None:
        """The cloud has confirmed the deletion."""
        for name in names:
            self.rentals.pop(name, None)
            self.listed.pop(name, None)
        self.announce_gone(names)

    def announce_gone(self, names: list[str]) -> None:
        """Tell the peers that the machines no longer exist."""
        self.engine.workers.mark_deleted(names)
        for name in names:
            self.rented_at.pop(name, None)
        self.engine.emit(PeerSend(MachinesDeleted(names)))
        self.engine.reconcile_queue.placement_due = True

    # --- questions --------------------------------------------------------
    def booting(self) -> dict[str, BootingMachine]:
        """Machines paid for whose workers have not reported."""
        now = self.engine.now
        result = {}
        for name, rental in self.rentals.items():
            if self._expected(name):
                result[name] = BootingMachine(rental.kind, now - rental.at)
        for name, row in self.listed.items():
            if row.state != wire.FAILED and self._expected(name):
                kind = MachineKind(row.type, row.zone, row.spot)
                result[name] = BootingMachine(kind, row.age_s + now - self.listed_at)
        return result

    def _expected(self, name: str) -> bool:
        """Is the first report of the machine still to come?"""
        worker = self.engine.workers.table.get(name)
        heard = worker is not None and worker.report is not None
        return not heard and name not in self.engine.workers.deleted_machines

    def empty(self, name: str) -> bool:
        """No open attempt is recorded there, and no task shows in its report."""
        if name in self.engine.replica.attempts_by_machine:
            return False
        worker = self.engine.workers.table.get(name)
        if worker is None or worker.report is None:
            return True
        return name not in self.engine.capacity_index.reserved_tasks and all(
            task.state == wire.EXITED for task in worker.report.tasks
        )

    def stuck(self, name: str, machine: BootingMachine, led_since: float | None) -> bool:
        """Has the machine failed to come up?

        One listed as running may only be unknown to this controller, which perhaps leads since
        a moment ago.
        """
        machine_type = self.engine.machine_types.get(machine.kind.type)
        if machine.age_s <= late_after_s(machine_type) or led_since is None:
            return False
        if name in self.engine.replica.attempts_by_machine:
            # Somebody heard of it, or there would be no step: the list is late, and a
            # leader that has just got its lead back may go by one that is minutes old.
            return False
        row = self.listed.get(name)
        if row is not None and row.state == wire.BOOTING:
            return True
        return self.engine.now - led_since > c.UNHEARD_S


def late_after_s(machine_type: wire.MachineType | None) -> float:
    """Age at which a machine that has not reported counts as late."""
    boot_s = machine_type.boot_s if machine_type else c.BOOT_UNKNOWN_S
    return max(c.BOOT_LATE_MIN_S, c.BOOT_LATE * boot_s)
