"""Who shall hold which machine: the next small steps from what is held to what is agreed.

A machine changes hands in two writes, never in one: first its holder is told to leave, which
makes every start there that is still under way fail; then, once the records show it empty, it is
given to whoever lacks machines.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from appledock.capacity.ownership import Holding


@dataclass(frozen=True, slots=True)
class MachineUse:
    """A machine of a pool: who holds it, and whose unsettled tasks are on it."""

    name: str
    holding: Holding | None
    """None: nobody was given it yet"""
    tasks: dict[str, int] = field(default_factory=dict)
    """partition -> its unsettled tasks"""
    cost: float = 0.0
    """how long it would take to empty, for the choice among several"""

    @property
    def empty(self) -> bool:
        """Is no task on it, by the records?"""
        return not self.tasks


def next_holdings(
    machines: list[MachineUse], target: dict[str, int], own: dict[str, int] | None = None
) -> dict[str, Holding]:
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
        self.changes: dict[str, Holding] = {}
        self.held = Counter(
            machine.holding.partition
            for machine in machines
            if machine.holding is not None and not machine.holding.leaving
        )

    def run(self) -> dict[str, Holding]:
        for machine in self.machines:
            if machine.holding is not None and machine.holding.partition not in self.target:
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
        lent = self.held[partition] >= self.own.get(partition, 0)
        self.changes[machine.name] = Holding(partition, lent=lent)
        self.held[partition] += 1

    def _leave(self, machine: MachineUse) -> None:
        assert machine.holding is not None
        if not machine.holding.leaving:
            self.changes[machine.name] = machine.holding.left()
            self.held[machine.holding.partition] -= 1

    def _take_back(self) -> None:
        """A change was withdrawn: machines that are being left stay with their holder."""
        for machine in self.machines:
            holding = machine.holding
            if holding is None or not holding.leaving or set(machine.tasks) - {holding.partition}:
                continue
            if self.held[holding.partition] < self.target.get(holding.partition, 0):
                self._hold(machine, holding.partition)

    def _give_out(self) -> None:
        """Machines that are empty go to whoever lacks most; new ones at work to their users."""
        for machine in self.machines:
            if machine.name in self.changes or not self.target:
                continue
            if machine.holding is None and machine.tasks:
                self._adopt(machine)
            elif machine.empty and (machine.holding is None or machine.holding.leaving):
                lacking = self._lacking()
                if lacking:
                    self._hold(machine, lacking[0])

    def _adopt(self, machine: MachineUse) -> None:
        """A machine that worked before shares were in force."""
        partition = max(sorted(machine.tasks), key=machine.tasks.__getitem__)
        if len(machine.tasks) == 1 and self.held[partition] < self.target.get(partition, 0):
            self._hold(machine, partition)
        else:
            self.changes[machine.name] = Holding(partition, leaving=True)

    def _make_leave(self) -> None:
        """Whoever has too many leaves as many as others lack, and that are not free anyway."""
        free = sum(
            holding.leaving
            for machine in self.machines
            if (holding := self.changes.get(machine.name, machine.holding)) is not None
        )
        wanted = sum(self.target[name] - self.held[name] for name in self._lacking()) - free
        candidates = sorted(
            (
                machine
                for machine in self.machines
                if machine.holding is not None
                and not machine.holding.leaving
                and machine.name not in self.changes
            ),
            key=lambda machine: (
                machine.holding is not None and not machine.holding.lent,
                machine.cost,
                sum(machine.tasks.values()),
                machine.name,
            ),
        )
        for machine in candidates:
            assert machine.holding is not None
            if wanted <= 0:
                return
            partition = machine.holding.partition
            if self.held[partition] > self.target[partition]:
                self._leave(machine)
                wanted -= 1
