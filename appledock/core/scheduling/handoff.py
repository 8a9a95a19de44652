"""Hand-off: which controller a step that lacks capacity here is handed to."""

from __future__ import annotations

import math

from appledock import constants
from appledock.core.machines.machine_capacity import MachineCapacity, count_free_slots
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica


class HandoffPolicy:
    """Picks the controller whose machines have most free slots for a job."""

    def __init__(self, runtime: Runtime, replica: Replica) -> None:
        self._runtime = runtime
        self._replica = replica
        self._received_at: dict[str, float] = {}
        """job handed to this controller -> when that was noticed"""

    def forget(self, job_id: str) -> None:
        """The job is over, or another controller's."""
        self._received_at.pop(job_id, None)

    def on_job_owned(self, job: Job) -> None:
        """The job is this controller's, perhaps by a hand-off."""
        if job.handoff_target:
            self._received_at.setdefault(job.id, self._runtime.now)

    def choose_target(
        self,
        job: Job,
        machines: list[MachineCapacity],
        tasks: int,
        tasks_by_zone: dict[str, int],
    ) -> str | None:
        """Choose the controller for `tasks` tasks that found no capacity; None: they stay here.

        `tasks_by_zone` counts the job's unsettled tasks, those of this step included.
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
        """Count the free slots for the job of each other controller that has any."""
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
        """Does handing a batch job off save more waiting than its write costs?

        Capacity is freed here as well: handed round for a task here and a task there, a job
        costs more writes than it saves waiting.
        """
        received_at = self._received_at.get(job.id, constants.DISTANT_PAST)
        has_rested = self._runtime.now - received_at > constants.HANDOFF_COOLDOWN_S
        least = min(tasks, max(1, math.ceil(tasks * constants.HANDOFF_MIN_SHARE)))
        return free_slots >= least and has_rested


def most_free_slots(slots_by_node: dict[str, int]) -> str:
    """Return the node with most free slots; among equals the first by name."""
    return max(sorted(slots_by_node), key=slots_by_node.__getitem__)


def choose_for_gang(
    slots_by_node: dict[str, int], total_slots: int, tasks: int, leader: str
) -> str | None:
    """Choose a controller that can place the whole gang.

    What fits the machines of none is placed by the leader over all machines, if they have
    slots for it together.
    """
    whole = {node: count for node, count in slots_by_node.items() if count >= tasks}
    if whole:
        return most_free_slots(whole)
    return leader if total_slots >= tasks else None
