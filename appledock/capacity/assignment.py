"""Next owners of machines: incremental changes from the recorded owners to the target numbers.

A machine changes its owner in two writes, never in one. The first write records it as being handed
over, so that every step on it that is still being written fails. Once the records show no unsettled
task on it, the second write gives it to the partition that is furthest below its target.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from appledock.capacity.ownership import Ownership


@dataclass(frozen=True, slots=True)
class MachineUse:
    """A machine of a pool, with its owner and the unsettled tasks on it."""

    name: str
    ownership: Ownership | None
    """Owner of the machine, or None if the machine was never assigned."""
    task_counts: dict[str, int] = field(default_factory=dict)
    """Partition -> number of its unsettled tasks on the machine."""
    drain_s: float = 0.0
    """Estimated time until the machine is drained, in seconds."""

    @property
    def is_empty(self) -> bool:
        """Whether the records show no unsettled task on the machine."""
        return not self.task_counts


def next_owners(
    machines: list[MachineUse], target: dict[str, int], agreed: dict[str, int] | None = None
) -> dict[str, Ownership]:
    """Return the next ownership of each machine whose ownership changes in this pass.

    Args:
        machines: All machines of one pool.
        target: How many of the machines each partition should own, loans included.
        agreed: How many of the machines the agreed fractions give each partition. Machines that it
            owns beyond this number are lent to it. None: the same numbers as `target`.
    """
    return _AssignmentPass(machines, target, target if agreed is None else agreed).run()


class _AssignmentPass:
    """One pass over the machines of a pool, which collects the changes of ownership."""

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
        self._hand_over_from_removed_partitions()
        self._cancel_unneeded_handovers()
        self._assign_empty_and_new()
        self._hand_over_surplus()
        return self._changes

    # --- single machines ------------------------------------------------------
    def _partitions_below_target(self) -> list[str]:
        """Return the partitions below their target, the one furthest below it first."""
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

    # --- parts of a pass ------------------------------------------------------
    def _hand_over_from_removed_partitions(self) -> None:
        """Start the handover of machines whose partition is no longer in the file."""
        for machine in self._machines:
            ownership = machine.ownership
            if (
                ownership is not None
                and not ownership.is_being_handed_over
                and ownership.partition not in self._target
            ):
                self._hand_over(machine, ownership)

    def _cancel_unneeded_handovers(self) -> None:
        """Cancel handovers if the owner needs the machine again, as after a withdrawn change."""
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
        """Assign empty machines to partitions below target, and new ones in use by their tasks."""
        for machine in self._machines:
            if machine.name in self._changes or not self._target:
                continue
            ownership = machine.ownership
            if ownership is None and machine.task_counts:
                self._assign_by_use(machine)
            elif machine.is_empty and (ownership is None or ownership.is_being_handed_over):
                below_target = self._partitions_below_target()
                if below_target:
                    self._assign(machine, below_target[0])

    def _assign_by_use(self, machine: MachineUse) -> None:
        """Assign a machine that was in use before partitions were in force.

        Its owner is the partition with the most tasks on it. The machine is handed over if other
        partitions also have tasks on it, or if that partition is not below its target.
        """
        partition = max(sorted(machine.task_counts), key=machine.task_counts.__getitem__)
        if len(machine.task_counts) == 1 and self._owned[partition] < self._target.get(
            partition, 0
        ):
            self._assign(machine, partition)
        else:
            self._changes[machine.name] = Ownership(partition, is_being_handed_over=True)

    def _hand_over_surplus(self) -> None:
        """Start as many handovers as partitions lack machines, less those already under way."""
        missing = sum(
            self._target[name] - self._owned[name] for name in self._partitions_below_target()
        )
        missing -= self._count_being_handed_over()
        for machine, ownership in self._machines_by_handover_cost():
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

    def _machines_by_handover_cost(self) -> list[tuple[MachineUse, Ownership]]:
        """Return the machines that may be handed over, the least costly first.

        Lent machines come first. Otherwise the cost is the estimated time to drain the machine,
        then the number of tasks on it.
        """
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
