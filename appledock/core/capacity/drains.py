"""Drains machines that are being handed over to another partition.

Replicas of services are moved to other machines of their partition. Tasks with checkpoints are
stopped, but only after a deadline: that of the change of fractions, or the time for which a lender
waits for its machine. All other tasks run to completion; no task is killed.
"""

from __future__ import annotations

from collections.abc import Iterator, Sized
from typing import Protocol

from appledock import wire
from appledock.capacity.ownership import Ownership
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers
from appledock.rebalancing.planner import Proposal


class ReplicaMoves(Protocol):
    """Moves of running replicas to other machines."""

    @property
    def requested(self) -> Sized:
        """Moves that this controller has requested and that have not ended."""

    def request(self, proposal: Proposal, /) -> None:
        """Ask the controller that owns the destination machine's worker to start a move."""

    def is_cooling_down(self, job_id: str, /) -> bool:
        """Return whether the job has a move under way or is in the cooldown after a move."""

    def is_reachable(self, node: str, /) -> bool:
        """Return whether messages can be exchanged with this job owner.

        Otherwise the job owner would not receive a move, or this controller not its outcome.
        """


class MachineDrainer:
    """Moves and stops tasks on machines that are being handed over.

    Each controller stops tasks of its own jobs, and reserves machines for replicas. The leader also
    requests moves and stops of tasks whose jobs other controllers own.
    """

    def __init__(
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        capacity_index: CapacityIndex,
        stop_requests: StopRequests,
        moves: ReplicaMoves,
        partitions: PartitionMap,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index
        self._stop_requests = stop_requests
        self._moves = moves
        self._partitions = partitions
        self._return_started_at: dict[str, float] = {}
        """Machine being returned to its lender -> when this controller first saw the return."""

    def drain_own_jobs(self) -> None:
        """Stop tasks of own jobs if that is due, and reserve machines for replicas of services."""
        self._stop_checkpointing_after_deadline()
        self._reserve_for_replicas()

    def drain_as_leader(self, give_back_s: float, max_moves: int) -> None:
        """Request, as the leader, the return of lent machines and moves of replicas.

        Args:
            give_back_s: How long (s) a lender waits for its machine before tasks with checkpoints
                are stopped there.
            max_moves: Maximum number of requested moves that have not ended.
        """
        self._stop_tasks_on_returned_machines(give_back_s)
        self._move_replicas(max_moves)

    def _machines_being_handed_over(self) -> Iterator[tuple[str, Ownership]]:
        for machine, ownership in self._replica.capacity.owned_machines():
            if ownership.is_being_handed_over:
                yield machine, ownership

    # --- stops --------------------------------------------------------------
    def _stop_tasks_on_returned_machines(self, give_back_s: float) -> None:
        """Stop tasks with checkpoints on machines whose lender has waited for `give_back_s`."""
        now = self._runtime.now
        returned = {
            machine
            for machine, ownership in self._machines_being_handed_over()
            if ownership.is_lent
        }
        self._return_started_at = {
            machine: self._return_started_at.get(machine, now) for machine in returned
        }
        for machine, started_at in self._return_started_at.items():
            if now - started_at >= give_back_s:
                for job_id, tasks in self._checkpointing_tasks(machine).items():
                    job = self._replica.jobs[job_id]
                    self._stop_requests.send_to_owner(job, machine, tasks)

    def _stop_checkpointing_after_deadline(self) -> None:
        """Stop tasks with checkpoints of own jobs after the deadline of the last change."""
        agreed = self._replica.capacity.agreed_fractions
        if (
            agreed is None
            or agreed.stop_wall_time is None
            or self._runtime.wall_time < agreed.stop_wall_time
        ):
            return
        for machine, _ in self._machines_being_handed_over():
            for job_id, tasks in self._checkpointing_tasks(machine).items():
                if self._replica.owns_job(self._runtime.node, self._replica.jobs[job_id]):
                    self._stop_requests.add(job_id, machine, tasks)

    def _checkpointing_tasks(self, machine: str) -> dict[str, set[int]]:
        """Return, by job, the tasks on the machine that have checkpoints and are not being stopped.

        Tasks of gangs are left out.
        """
        result = {}
        for job_id, attempts in self._replica.attempts_by_machine.get(machine, {}).items():
            spec = self._replica.jobs[job_id].spec
            tasks = {task for attempt in attempts if not attempt.stopping for task in attempt.tasks}
            if tasks and spec.checkpoint_s > 0 and not spec.gang:
                result[job_id] = tasks
        return result

    # --- reservations ---------------------------------------------------------
    def _reserve_for_replicas(self) -> None:
        """Reserve one machine of each partition that has replicas to move, for these replicas.

        Without the reservation, arrays of the partition would take all capacity that becomes free
        on its other machines, and the replicas would never leave the machines that are being
        handed over.
        """
        reserved = self._partitions.reserved_for_replicas
        before = set(reserved.values())
        owned = dict(self._replica.capacity.owned_machines())
        to_move = {
            ownership.partition
            for machine, ownership in owned.items()
            if ownership.is_being_handed_over and self._has_replicas(machine)
        }
        after = {
            partition: machine
            for partition in sorted(to_move)
            if (machine := self._choose_machine_to_reserve(partition, owned)) is not None
        }
        reserved.clear()
        reserved.update(after)
        for machine in before ^ set(after.values()):
            self._capacity_index.mark_changed(machine)

    def _has_replicas(self, machine: str) -> bool:
        return any(
            self._replica.jobs[job_id].spec.service and not self._replica.is_cancelled(job_id)
            for job_id in self._replica.attempts_by_machine.get(machine, {})
        )

    def _choose_machine_to_reserve(self, partition: str, owned: dict[str, Ownership]) -> str | None:
        """Return the machine reserved so far if it is still suitable, else the least used one."""
        candidates = [
            machine
            for machine, ownership in owned.items()
            if ownership.partition == partition
            and not ownership.is_being_handed_over
            and self._may_have_free_capacity(machine)
        ]
        reserved = self._partitions.reserved_for_replicas.get(partition)
        if reserved in candidates:
            return reserved
        jobs_by_machine = self._replica.attempts_by_machine
        return min(
            candidates,
            key=lambda machine: (len(jobs_by_machine.get(machine, {})), machine),
            default=None,
        )

    def _may_have_free_capacity(self, machine: str) -> bool:
        """Return whether the machine has free capacity, or tasks of arrays that will free some."""
        return machine in self._capacity_index.with_free_capacity or any(
            not self._replica.jobs[job_id].spec.service
            for job_id in self._replica.attempts_by_machine.get(machine, {})
        )

    # --- moves ----------------------------------------------------------------
    def _move_replicas(self, max_moves: int) -> None:
        """Request moves of replicas off machines that are being handed over."""
        self._capacity_index.recompute()
        for machine, _ in self._machines_being_handed_over():
            for proposal in self._propose_moves(machine):
                if len(self._moves.requested) >= max_moves:
                    return
                self._moves.request(proposal)

    def _propose_moves(self, machine: str) -> list[Proposal]:
        """Propose at most one move for each job with a replica on the machine."""
        if machine not in self._workers.table:
            return []
        result: list[Proposal] = []
        for job_id, attempts in self._replica.attempts_by_machine.get(machine, {}).items():
            if not self._can_move(job_id, machine):
                continue
            spec = self._replica.jobs[job_id].spec
            attempt = next(
                (attempt for attempt in attempts if not attempt.stopping and attempt.tasks), None
            )
            destination = self._find_destination(spec)
            if attempt is None or destination is None or destination.load is None:
                continue
            result.append(
                Proposal(
                    job_id,
                    min(attempt.tasks),
                    attempt.attempt_number,
                    machine,
                    destination.name,
                    0.0,
                    destination.load.total,
                )
            )
        return result

    def _can_move(self, job_id: str, machine: str) -> bool:
        job = self._replica.jobs[job_id]
        return (
            self._partitions.must_move_off(job.spec, machine)
            and not self._replica.is_cancelled(job_id)
            and not job.queued_task_count
            and not self._moves.is_cooling_down(job_id)
            and self._moves.is_reachable(self._replica.job_owner(job))
        )

    def _find_destination(self, spec: wire.JobSpec) -> MachineCapacity | None:
        """Return the machine with the most free CPUs that the job may use, or None.

        Machines in no pool are not considered.
        """
        return max(
            (
                machine
                for machine in self._capacity_index.with_free_capacity.values()
                if machine.admission is not None
                and machine.load is not None
                and machine.fits(spec)
                and self._capacity_index.can_reserve_for_move(machine, spec)
            ),
            key=lambda machine: (machine.cpus, machine.name),
            default=None,
        )
