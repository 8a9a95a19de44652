"""Drains machines that are being handed over: moves their replicas, stops tasks with checkpoints.

Tasks that complete by themselves are waited for, and nothing is killed.
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
        """Ask the destination's owner for a move."""

    def is_cooling_down(self, job_id: str, /) -> bool:
        """Is the job moving, or in the cool-down after a move?"""

    def is_reachable(self, node: str, /) -> bool:
        """Would this job owner receive a move, and this controller its outcome?"""


class MachineDrainer:
    """Drains machines, for the jobs of this controller and, as the leader, for all."""

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
        self._returned_since: dict[str, float] = {}
        """machine that is being returned to its lender -> since when"""

    def drain_own_jobs(self) -> None:
        """What each controller does for its own jobs and reservations."""
        self._stop_checkpointing_after_deadline()
        self._reserve_for_replicas()

    def drain_as_leader(self, give_back_s: float, max_moves: int) -> None:
        """What the leader requests: the return of lent machines, and moves of replicas.

        `give_back_s`: how long a lender waits for its machine before tasks with checkpoints are
        stopped; `max_moves`: most moves under way at a time.
        """
        self._stop_borrowers(give_back_s)
        self._move_replicas(max_moves)

    def _machines_being_handed_over(self) -> Iterator[tuple[str, Ownership]]:
        for machine, ownership in self._replica.capacity.owned_machines():
            if ownership.is_being_handed_over:
                yield machine, ownership

    # --- stops --------------------------------------------------------------
    def _stop_borrowers(self, give_back_s: float) -> None:
        """Stop tasks with checkpoints whose machine's lender has waited for long enough."""
        now = self._runtime.now
        returned = {
            machine
            for machine, ownership in self._machines_being_handed_over()
            if ownership.is_lent
        }
        self._returned_since = {
            machine: self._returned_since.get(machine, now) for machine in returned
        }
        for machine, since in self._returned_since.items():
            if now - since >= give_back_s:
                for job_id, tasks in self._checkpointing_tasks(machine).items():
                    job = self._replica.jobs[job_id]
                    self._stop_requests.send_to_owner(job, machine, tasks)

    def _stop_checkpointing_after_deadline(self) -> None:
        """Stop own tasks with checkpoints once the deadline of the last change has passed."""
        agreed = self._replica.capacity.agreed_fractions
        if agreed is None or agreed.stop_at is None or self._runtime.wall_time < agreed.stop_at:
            return
        for machine, _ in self._machines_being_handed_over():
            for job_id, tasks in self._checkpointing_tasks(machine).items():
                if self._replica.owns_job(self._runtime.node, self._replica.jobs[job_id]):
                    self._stop_requests.add(job_id, machine, tasks)

    def _checkpointing_tasks(self, machine: str) -> dict[str, set[int]]:
        """Job -> its tasks on the machine that have checkpoints and are not being stopped."""
        result = {}
        for job_id, attempts in self._replica.attempts_by_machine.get(machine, {}).items():
            spec = self._replica.jobs[job_id].spec
            tasks = {task for attempt in attempts if not attempt.stopping for task in attempt.tasks}
            if tasks and spec.checkpoint_s > 0 and not spec.gang:
                result[job_id] = tasks
        return result

    # --- reservations ---------------------------------------------------------
    def _reserve_for_replicas(self) -> None:
        """Reserve one machine of each partition for replicas that have to move.

        Otherwise batch tasks of the partition would take all capacity that becomes free on its
        other machines, and the replicas would never leave the machines to be handed over.
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
            if (machine := self._machine_to_reserve(partition, owned)) is not None
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

    def _machine_to_reserve(self, partition: str, owned: dict[str, Ownership]) -> str | None:
        """The machine reserved before while it may gain free capacity, else the least used one."""
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
        """Has it free capacity, or will it when tasks that are no replicas complete?"""
        return machine in self._capacity_index.with_free_capacity or any(
            not self._replica.jobs[job_id].spec.service
            for job_id in self._replica.attempts_by_machine.get(machine, {})
        )

    # --- moves ----------------------------------------------------------------
    def _move_replicas(self, max_moves: int) -> None:
        """Move replicas to other machines of their partition."""
        self._capacity_index.recompute()
        for machine, _ in self._machines_being_handed_over():
            for proposal in self._proposals(machine):
                if len(self._moves.requested) >= max_moves:
                    return
                self._moves.request(proposal)

    def _proposals(self, machine: str) -> list[Proposal]:
        """At most one move for each job with a replica on the machine."""
        if machine not in self._workers.table:
            return []
        result: list[Proposal] = []
        for job_id, attempts in self._replica.attempts_by_machine.get(machine, {}).items():
            if not self._can_move(job_id, machine):
                continue
            spec = self._replica.jobs[job_id].spec
            attempt = next((row for row in attempts if not row.stopping and row.tasks), None)
            destination = self._destination(spec)
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

    def _destination(self, spec: wire.JobSpec) -> MachineCapacity | None:
        """The machine of the job's partition with most free CPUs."""
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
