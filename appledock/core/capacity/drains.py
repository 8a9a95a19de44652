"""Drains machines that change owner: moves their replicas and stops tasks with checkpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock import wire
from appledock.capacity.ownership import Holding
from appledock.rebalancing.planner import Proposal

if TYPE_CHECKING:
    from appledock.core.capacity.partitions import PartitionManager
    from appledock.core.controller import Controller


class MachineDrainer:
    """Empties machines: what ends by itself is waited for, and nothing is killed."""

    def __init__(self, engine: Controller, shares: PartitionManager) -> None:
        self.engine = engine
        self.shares = shares
        self.kept: dict[str, str] = {}
        """partition whose machines change hands with replicas on them -> its machine on which
        room is kept for those"""
        self._returning: dict[str, float] = {}
        """machine that is given back to its lender -> since when"""

    def tick(self) -> None:
        """What every controller does, for its own jobs and rooms."""
        self._stop_savers()
        self._keep_room()

    def lead(self, moves_in_flight: int) -> None:
        """What the leader asks for."""
        self._stop_borrowers()
        self._move_replicas(moves_in_flight)

    def _stop_borrowers(self) -> None:
        """Tasks that save go on elsewhere when their lender has waited for its machine."""
        engine = self.engine
        assert self.shares.settings is not None
        buckets = engine.replica.capacity.buckets.values()
        returning = {
            machine
            for bucket in buckets
            for machine, holding in bucket.holdings.items()
            if holding.leaving and holding.lent
        }
        self._returning = {
            machine: self._returning.get(machine, engine.now) for machine in returning
        }
        for machine, since in self._returning.items():
            if engine.now - since >= self.shares.settings.give_back_s:
                for job_id, tasks in self._savers(machine).items():
                    engine.stop_requests.send_to_owner(engine.replica.jobs[job_id], machine, tasks)

    def _savers(self, machine: str) -> dict[str, set[int]]:
        """Job -> its tasks on the machine that save, and that nobody has told to stop."""
        result = {}
        for job_id, attempts in self.engine.replica.attempts_by_machine.get(machine, {}).items():
            spec = self.engine.replica.jobs[job_id].spec
            tasks = {task for x in attempts if not x.stopping for task in x.tasks}
            if tasks and spec.checkpoint_s > 0 and not spec.gang:
                result[job_id] = tasks
        return result

    def _keep_room(self) -> None:
        """Keep a machine of each partition whose replicas have to move for replicas alone.

        Guards against changes that are never over: the partition's arrays took whatever became
        free on its other machines, and the replicas stayed where they were.
        """
        before = dict(self.kept)
        holders = {
            machine: holding
            for bucket in self.engine.replica.capacity.buckets.values()
            for machine, holding in bucket.holdings.items()
        }
        moving = {x.partition for m, x in holders.items() if x.leaving and self._replicas_on(m)}
        self.kept = {
            partition: machine
            for partition in sorted(moving)
            if (machine := self._kept_for(partition, holders)) is not None
        }
        for machine in set(before.values()) ^ set(self.kept.values()):
            self.engine.capacity_index.mark_changed(machine)

    def _replicas_on(self, machine: str) -> bool:
        replica = self.engine.replica
        return any(
            replica.jobs[job].spec.service and not replica.is_cancelled(job)
            for job in replica.attempts_by_machine.get(machine, {})
        )

    def _kept_for(self, partition: str, holders: dict[str, Holding]) -> str | None:
        """The machine of before while replicas may find room there, else that with least to end."""
        own = [
            machine
            for machine, holding in holders.items()
            if holding.partition == partition
            and not holding.leaving
            and self._may_gain_room(machine)
        ]
        known = self.kept.get(partition)
        if known in own:
            return known
        by_machine = self.engine.replica.attempts_by_machine
        return min(own, key=lambda m: (len(by_machine.get(m, {})), m), default=None)

    def _may_gain_room(self, machine: str) -> bool:
        """Is anything free on it, or will be when arrays end?"""
        replica = self.engine.replica
        return machine in self.engine.capacity_index.with_free_capacity or any(
            not replica.jobs[job].spec.service
            for job in replica.attempts_by_machine.get(machine, {})
        )

    def _move_replicas(self, most: int) -> None:
        """Move replicas off machines that are being handed over, to the holder's other ones."""
        engine = self.engine
        engine.capacity_index.recompute()
        for bucket in engine.replica.capacity.buckets.values():
            for machine, holding in bucket.holdings.items():
                if not holding.leaving:
                    continue
                for proposal in self._proposals(machine):
                    if len(engine.moves.requested) >= most:
                        return
                    engine.moves.request(proposal)

    def _proposals(self, machine: str) -> list[Proposal]:
        """At most one move for each job with a replica on the machine."""
        engine = self.engine
        worker = engine.workers.table.get(machine)
        result: list[Proposal] = []
        for job_id, attempts in engine.replica.attempts_by_machine.get(machine, {}).items():
            job = engine.replica.jobs[job_id]
            if (
                worker is None
                or not self.shares.must_move_off(job.spec, machine)
                or engine.replica.is_cancelled(job_id)
                or job.queued_task_count
                or engine.moves.is_cooling_down(job_id)
                or not engine.moves.is_reachable(engine.replica.job_owner(job))
            ):
                continue
            attempt = next((x for x in attempts if not x.stopping and x.tasks), None)
            destination = self._destination(job.spec)
            if attempt is not None and destination is not None:
                name, load = destination
                task = min(attempt.tasks)
                result.append(
                    Proposal(job_id, task, attempt.attempt_number, machine, name, 0.0, load)
                )
        return result

    def _destination(self, spec: wire.JobSpec) -> tuple[str, float] | None:
        """The machine of the job's partition that has most room, and its load."""
        best = max(
            (
                room
                for room in self.engine.capacity_index.with_free_capacity.values()
                if room.admission is not None
                and room.load is not None
                and room.fits(spec)
                and self.engine.capacity_index.can_reserve_for_move(room, spec)
            ),
            key=lambda room: (room.cpus, room.name),
            default=None,
        )
        if best is None or best.load is None:
            return None
        return best.name, best.load.total

    def _stop_savers(self) -> None:
        """Past the deadline that a change names, tasks that save go on elsewhere."""
        engine, agreed = self.engine, self.engine.replica.capacity.agreed_fractions
        if agreed is None or agreed.stop_at is None or engine.wall < agreed.stop_at:
            return
        for bucket in engine.replica.capacity.buckets.values():
            for machine, holding in bucket.holdings.items():
                if not holding.leaving:
                    continue
                for job_id, tasks in self._savers(machine).items():
                    if engine.replica.owns_job(engine.settings.name, engine.replica.jobs[job_id]):
                        engine.stop_requests.add(job_id, machine, tasks)
