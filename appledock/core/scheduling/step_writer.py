"""Bind phase: carries out the decision about a job's next step in one conditional write."""

from __future__ import annotations

from typing import assert_never

from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.jobs.reconcile_queue import PendingReason, ReconcileQueue
from appledock.core.jobs.settlement import Settlement
from appledock.core.jobs.writer import JobWriter
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.records.job import Attempt, HandoffTarget, Job
from appledock.core.scheduling.decisions import HandedOff, Placed, StepDecision, Waiting
from appledock.core.scheduling.pacing import Pacing
from appledock.core.scheduling.placement import PlacedTasks
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica


class StepWriter:
    """Builds the records of steps and hand-offs and requests their writes."""

    def __init__(
        self,
        replica: Replica,
        codec: JobRecordCodec,
        capacity_index: CapacityIndex,
        reconcile_queue: ReconcileQueue,
        settlement: Settlement,
        writer: JobWriter,
        pacing: Pacing,
    ) -> None:
        self._replica = replica
        self._codec = codec
        self._capacity_index = capacity_index
        self._reconcile_queue = reconcile_queue
        self._settlement = settlement
        self._writer = writer
        self._pacing = pacing

    def carry_out(self, job: Job, decision: StepDecision) -> bool:
        """Carry the decision out; return whether a write was requested."""
        reasons = self._reconcile_queue.pending_reasons
        match decision:
            case Waiting():
                reasons[job.id] = decision.reason
                if decision.retry_soon:
                    self._reconcile_queue.placement_due = True
                return False
            case HandedOff():
                if decision.reason is not None:
                    reasons[job.id] = decision.reason
                return self.hand_off(job, decision.node)
            case Placed():
                if decision.ends_waiting:
                    reasons.pop(job.id, None)
                    self._pacing.forget(job.id)
                return self._write_step(job, decision)
            case _:
                assert_never(decision)

    def hand_off(self, job: Job, node: str) -> bool:
        """Make another controller the job's owner without placing tasks.

        Return whether the write was requested.
        """
        new = self._settlement.copy_without_settled_attempts(job)
        new.handoff_target = HandoffTarget(node, self._members()[node])
        return self._writer.commit(job, new, _priority(job))

    def _write_step(self, job: Job, step: Placed) -> bool:
        """Write the step: the settled attempts removed, the new ones added, and the next owner.

        Return whether the write was requested.
        """
        new = self._next_record(step)
        if not self._codec.fits(self._codec.drop_unoffered_types(new)):
            # The size of a record limits its number of attempts. The other tasks wait until
            # some attempts are settled, so the job always makes progress.
            for machine, _ in step.assignments:
                self._capacity_index.mark_changed(machine.name)
            if job.spec.gang or len(step.assignments) < 2:
                self._reconcile_queue.pending_reasons[job.id] = PendingReason.RECORD_FULL
                return False
            return self._write_part_that_fits(job, new, step.assignments)
        if self._commit(job, new, step.assignments):
            return True
        for machine, _ in step.assignments:
            self._capacity_index.mark_changed(machine.name)
        return False

    def _next_record(self, step: Placed) -> Job:
        """Return the job's record with the step's attempts and owner."""
        view = self._replica.view
        assert view is not None
        new = step.unsettled.copy()
        if step.assignments:
            # A hand-off without placed tasks is not counted as a step: that would end the
            # ageing of jobs of which no task has started anywhere.
            new.last_step += 1
        tasks = new.first_queued_tasks(sum(count for _, count in step.assignments))
        for machine, count in step.assignments:
            assigned, tasks = tasks[:count], tasks[count:]
            new.attempts.append(
                Attempt(
                    machine.name,
                    machine.agent_epoch,
                    new.last_step,
                    view.term,
                    False,
                    set(assigned),
                )
            )
        if step.handoff_to is not None:
            new.handoff_target = HandoffTarget(step.handoff_to, view.members[step.handoff_to])
        elif new.handoff_target:
            node, incarnation = new.handoff_target
            if view.members.get(node) != incarnation:
                # That controller has left the view: the hash of the job determines the owner.
                new.handoff_target = None
        return new

    def _write_part_that_fits(self, job: Job, new: Job, assignments: list[PlacedTasks]) -> bool:
        """Halve the machines of the step until the record fits, and write that part.

        Return whether the write was requested.
        """
        new.handoff_target = job.handoff_target
        while assignments and not self._codec.fits(new):
            dropped = len(assignments) - len(assignments) // 2
            assignments, new.attempts = assignments[:-dropped], new.attempts[:-dropped]
        if not assignments:
            self._reconcile_queue.pending_reasons[job.id] = PendingReason.RECORD_FULL
            return False
        return self._commit(job, new, assignments)

    def _commit(self, job: Job, new: Job, assignments: list[PlacedTasks]) -> bool:
        reserved = [
            StepReservation(machine.name, job.spec, count) for machine, count in assignments
        ]
        return self._writer.commit(job, new, _priority(job), reserved)

    def _members(self) -> dict[str, str]:
        view = self._replica.view
        assert view is not None
        return view.members


def _priority(job: Job) -> Priority:
    return Priority.URGENT if job.spec.service else Priority.STEP
