"""Next owners of machines: the small steps from the recorded owners to the agreed numbers.

A machine changes owner in two writes, never in one. First it is recorded as being handed over,
which makes every step on it that is still being written fail. Then, once the records show no
unsettled task on it, it goes to the partition that is furthest below its number.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from appledock.capacity.ownership import Ownership


@dataclass(frozen=True, slots=True)
class MachineUse:
    """A machine of a pool: its owner, and the unsettled tasks on it."""

    name: str
    ownership: Ownership | None
    """None: never assigned"""
    task_counts: dict[str, int] = field(default_factory=dict)
    """partition -> its unsettled tasks"""
    drain_s: float = 0.0
    """estimated time until it is drained"""

    @property
    def is_empty(self) -> bool:
        """Is no unsettled task on it, by the records?"""
        return not self.task_counts


def next_owners(
    machines: list[MachineUse], target: dict[str, int], agreed: dict[str, int] | None = None
) -> dict[str, Ownership]:
    """Machine -> its next ownership, for those that change now; all machines are of one pool.

    `target`: how many of them each partition shall own; `agreed`: how many by the agreed fractions,
    those beyond being lent to it (None: as many as `target`).
    """
    return _AssignmentPass(machines, target, target if agreed is None else agreed).run()


class _AssignmentPass:
    """One pass over the machines of a pool."""

    def __init__(
        self, machines: list[MachineUse], target: dict[str, int], agreed: dict[str, int]
    ) -> None:
        self._machines = sorted(machines, key=lambda machine: machine.name)
        self._target = target
        self._agreed = agreed
        self._changes: dict[str, Ownership] = {}
        self._owned = Counter(
            machine.ownership.partition
            for machine in machines
            if machine.ownership is not None and not machine.ownership.is_being_handed_over
        )

    def run(self) -> dict[str, Ownership]:
        self._hand_over_of_removed_partitions()
        self._keep_withdrawn()
        self._assign_empty_and_new()
        self._hand_over_surplus()
        return self._changes

    # --- single machines ------------------------------------------------------
    def _partitions_below_target(self) -> list[str]:
        """The one furthest below its number first."""
        missing = {name: self._target[name] - self._owned[name] for name in self._target}
        return sorted(
            (name for name in missing if missing[name] > 0),
            key=lambda name: (-missing[name], name),
        )

    def _assign(self, machine: MachineUse, partition: str) -> None:
        is_lent = self._owned[partition] >= self._agreed.get(partition, 0)
        self._changes[machine.name] = Ownership(partition, is_lent=is_lent)
        self._owned[partition] += 1

    def _hand_over(self, machine: MachineUse, ownership: Ownership) -> None:
        self._changes[machine.name] = ownership.with_handover_started()
        self._owned[ownership.partition] -= 1

    # --- steps ----------------------------------------------------------------
    def _hand_over_of_removed_partitions(self) -> None:
        """Hand over the machines of partitions that the file no longer has."""
        for machine in self._machines:
            ownership = machine.ownership
            if (
                ownership is not None
                and not ownership.is_being_handed_over
                and ownership.partition not in self._target
            ):
                self._hand_over(machine, ownership)

    def _keep_withdrawn(self) -> None:
        """Leave machines with their owner that needs them again, as after a withdrawn change."""
        for machine in self._machines:
            ownership = machine.ownership
            if (
                ownership is not None
                and ownership.is_being_handed_over
                and not set(machine.task_counts) - {ownership.partition}
                and self._owned[ownership.partition] < self._target.get(ownership.partition, 0)
            ):
                self._assign(machine, ownership.partition)

    def _assign_empty_and_new(self) -> None:
        """Assign empty machines to partitions below target, and new ones in use to their users."""
        for machine in self._machines:
            if machine.name in self._changes or not self._target:
                continue
            ownership = machine.ownership
            if ownership is None and machine.task_counts:
                self._adopt(machine)
            elif machine.is_empty and (ownership is None or ownership.is_being_handed_over):
                below_target = self._partitions_below_target()
                if below_target:
                    self._assign(machine, below_target[0])

    def _adopt(self, machine: MachineUse) -> None:
        """Assign a machine that was in use before partitions were in force."""
        partition = max(sorted(machine.task_counts), key=machine.task_counts.__getitem__)
        if len(machine.task_counts) == 1 and self._owned[partition] < self._target.get(
            partition, 0
        ):
            self._assign(machine, partition)
        else:
            self._changes[machine.name] = Ownership(partition, is_being_handed_over=True)

    def _hand_over_surplus(self) -> None:
        """Hand over as many machines as partitions lack beyond those being handed over already."""
        missing = sum(
            self._target[name] - self._owned[name] for name in self._partitions_below_target()
        )
        missing -= self._count_being_handed_over()
        for machine, ownership in self._by_cost_of_handing_over():
            if missing <= 0:
                return
            if self._owned[ownership.partition] > self._target[ownership.partition]:
                self._hand_over(machine, ownership)
                missing -= 1

    def _count_being_handed_over(self) -> int:
        next_ownerships = (
            self._changes.get(machine.name, machine.ownership) for machine in self._machines
        )
        return sum(
            ownership.is_being_handed_over for ownership in next_ownerships if ownership is not None
        )

    def _by_cost_of_handing_over(self) -> list[tuple[MachineUse, Ownership]]:
        """Lent machines first, then by the time and the tasks that draining them costs."""
        return sorted(
            (
                (machine, machine.ownership)
                for machine in self._machines
                if machine.ownership is not None
                and not machine.ownership.is_being_handed_over
                and machine.name not in self._changes
            ),
            key=lambda row: (
                not row[1].is_lent,
                row[0].drain_s,
                sum(row[0].task_counts.values()),
                row[0].name,
            ),
        )
