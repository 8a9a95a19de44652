"""Who shall hold which machine: the next small steps from what is held to what is agreed.

A machine changes hands in two writes, never in one: first its holder is told to leave, which
makes every start there that is still under way fail; then, once the records show it empty, it is
given to whoever lacks machines.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from appledock.capacity.ownership import Ownership


@dataclass(frozen=True, slots=True)
class MachineUse:
    """A machine of a pool: who holds it, and whose unsettled tasks are on it."""

    name: str
    ownership: Ownership | None
    """None: nobody was given it yet"""
    tasks: dict[str, int] = field(default_factory=dict)
    """partition -> its unsettled tasks"""
    drain_s: float = 0.0
    """how long it would take to empty, for the choice among several"""

    @property
    def empty(self) -> bool:
        """Is no task on it, by the records?"""
        return not self.tasks


def next_owners(
    machines: list[MachineUse], target: dict[str, int], own: dict[str, int] | None = None
) -> dict[str, Ownership]:
    """The holdings that change now, by machine; all machines are of one pool.

    `target`: how many of them each partition shall hold; `own`: how many of those are its own,
    the others being lent to it.
    """
    return _Pass(machines, target, target if own is None else own).run()


class _Pass:
    """One look at a pool."""

    def __init__(
        self, machines: list[MachineUse], target: dict[str, int], own: dict[str, int]
    ) -> None:
        self.own = own
        self.machines = sorted(machines, key=lambda machine: machine.name)
        self.target = target
        self.changes: dict[str, Ownership] = {}
        self.held = Counter(
            machine.ownership.partition
            for machine in machines
            if machine.ownership is not None and not machine.ownership.is_being_handed_over
        )

    def run(self) -> dict[str, Ownership]:
        for machine in self.machines:
            if machine.ownership is not None and machine.ownership.partition not in self.target:
                # Its partition is in the file no more.
                self._leave(machine)
        self._take_back()
        self._give_out()
        self._make_leave()
        return self.changes

    def _lacking(self) -> list[str]:
        """Partitions below their number, the one furthest below first."""
        lacks = {name: self.target[name] - self.held[name] for name in self.target}
        return sorted((n for n in lacks if lacks[n] > 0), key=lambda n: (-lacks[n], n))

    def _hold(self, machine: MachineUse, partition: str) -> None:
        is_lent = self.held[partition] >= self.own.get(partition, 0)
        self.changes[machine.name] = Ownership(partition, is_lent=is_lent)
        self.held[partition] += 1

    def _leave(self, machine: MachineUse) -> None:
        assert machine.ownership is not None
        if not machine.ownership.is_being_handed_over:
            self.changes[machine.name] = machine.ownership.handed_over()
            self.held[machine.ownership.partition] -= 1

    def _take_back(self) -> None:
        """A change was withdrawn: machines that are being left stay with their holder."""
        for machine in self.machines:
            ownership = machine.ownership
            if (
                ownership is None
                or not ownership.is_being_handed_over
                or set(machine.tasks) - {ownership.partition}
            ):
                continue
            if self.held[ownership.partition] < self.target.get(ownership.partition, 0):
                self._hold(machine, ownership.partition)

    def _give_out(self) -> None:
        """Machines that are empty go to whoever lacks most; new ones at work to their users."""
        for machine in self.machines:
            if machine.name in self.changes or not self.target:
                continue
            if machine.ownership is None and machine.tasks:
                self._adopt(machine)
            elif machine.empty and (
                machine.ownership is None or machine.ownership.is_being_handed_over
            ):
                lacking = self._lacking()
                if lacking:
                    self._hold(machine, lacking[0])

    def _adopt(self, machine: MachineUse) -> None:
        """A machine that worked before shares were in force."""
        partition = max(sorted(machine.tasks), key=machine.tasks.__getitem__)
        if len(machine.tasks) == 1 and self.held[partition] < self.target.get(partition, 0):
            self._hold(machine, partition)
        else:
            self.changes[machine.name] = Ownership(partition, is_being_handed_over=True)

    def _make_leave(self) -> None:
        """Whoever has too many leaves as many as others lack, and that are not free anyway."""
        free = sum(
            ownership.is_being_handed_over
            for machine in self.machines
            if (ownership := self.changes.get(machine.name, machine.ownership)) is not None
        )
        wanted = sum(self.target[name] - self.held[name] for name in self._lacking()) - free
        candidates = sorted(
            (
                machine
                for machine in self.machines
                if machine.ownership is not None
                and not machine.ownership.is_being_handed_over
                and machine.name not in self.changes
            ),
            key=lambda machine: (
                machine.ownership is not None and not machine.ownership.is_lent,
                machine.drain_s,
                sum(machine.tasks.values()),
                machine.name,
            ),
        )
        for machine in candidates:
            assert machine.ownership is not None
            if wanted <= 0:
                return
            partition = machine.ownership.partition
            if self.held[partition] > self.target[partition]:
                self._leave(machine)
                wanted -= 1
