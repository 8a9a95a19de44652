"""Hand-off: choice of the controller that takes over a job that lacks capacity here."""

from __future__ import annotations

import math

from appledock import constants
from appledock.core.machines.machine_capacity import MachineCapacity, count_free_slots
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica


class HandoffPolicy:
    """Chooses the controller to hand a job off to: the one with most free slots for it."""

    def __init__(self, runtime: Runtime, replica: Replica) -> None:
        self._runtime = runtime
        self._replica = replica
        self._received_at: dict[str, float] = {}
        """job handed to this controller -> time at which this controller noticed it"""

    def forget(self, job_id: str) -> None:
        """Drop the state of a job that has ended or that another controller owns."""
        self._received_at.pop(job_id, None)

    def on_job_owned(self, job: Job) -> None:
        """Start the hand-off cooldown of a job of this controller that was handed to it."""
        if job.handoff_target:
            self._received_at.setdefault(job.id, self._runtime.now)

    def choose_target(
        self,
        job: Job,
        machines: list[MachineCapacity],
        tasks: int,
        tasks_by_zone: dict[str, int],
    ) -> str | None:
        """Return the controller for `tasks` tasks that found no capacity; None to keep them here.

        `tasks_by_zone` is the number of the job's unsettled tasks in each zone, including those
        of this step.
        """
        view = self._replica.view
        assert view is not None
        slots = self._free_slots_by_peer(job, machines, tasks_by_zone)
        if job.spec.gang:
            total = count_free_slots(job.spec, machines, tasks_by_zone)
            target = choose_for_gang(slots, total, tasks, view.leader)
            return target if target != self._runtime.node else None
        if not slots:
            return None
        target = most_free_slots(slots)
        if job.spec.service or self._is_worthwhile(job, tasks, slots[target]):
            return target
        return None

    def _free_slots_by_peer(
        self, job: Job, machines: list[MachineCapacity], tasks_by_zone: dict[str, int]
    ) -> dict[str, int]:
        """Return the number of free slots for the job of each other controller that has any."""
        view = self._replica.view
        assert view is not None
        by_owner: dict[str, list[MachineCapacity]] = {}
        for machine in machines:
            if machine.owner != self._runtime.node and machine.owner in view.members:
                by_owner.setdefault(machine.owner, []).append(machine)
        return {
            owner: count
            for owner, owned in by_owner.items()
            if (count := count_free_slots(job.spec, owned, tasks_by_zone))
        }

    def _is_worthwhile(self, job: Job, tasks: int, free_slots: int) -> bool:
        """Return whether handing an array off saves enough waiting time to be worth a write.

        Capacity is freed on this controller's machines as well, so handing a job off for a few
        tasks at a time would take more writes than the shorter wait is worth.
        """
        received_at = self._received_at.get(job.id, constants.DISTANT_PAST)
        has_cooled_down = self._runtime.now - received_at > constants.HANDOFF_COOLDOWN_S
        min_slots = min(tasks, max(1, math.ceil(tasks * constants.HANDOFF_MIN_SHARE)))
        return free_slots >= min_slots and has_cooled_down


def most_free_slots(slots_by_node: dict[str, int]) -> str:
    """Return the node with most free slots; of several such nodes, the first by name."""
    return max(sorted(slots_by_node), key=slots_by_node.__getitem__)


def choose_for_gang(
    slots_by_node: dict[str, int], total_slots: int, tasks: int, leader: str
) -> str | None:
    """Return a controller that can place the whole gang; None if there is none.

    A gang that fits on no single controller's machines goes to the leader, which places it on
    the machines of all controllers, provided that these have enough slots in total.
    """
    sufficient = {node: count for node, count in slots_by_node.items() if count >= tasks}
    if sufficient:
        return most_free_slots(sufficient)
    return leader if total_slots >= tasks else None
