"""Bind: carries out what was decided about a job's next step, in one conditional write."""

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
        """Carry the decision out; False if no write was requested."""
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
        """Make another controller the job's owner without placing anything."""
        new = self._settlement.copy_without_settled_attempts(job)
        new.handoff_target = HandoffTarget(node, self._members()[node])
        return self._writer.commit(job, new, _priority(job))

    def _write_step(self, job: Job, step: Placed) -> bool:
        """Write the step: what is settled, the new attempts, and who owns the job then."""
        new = self._next_record(step)
        if not self._codec.fits(self._codec.drop_unoffered_types(new)):
            # The record holds only so many attempts at a time: the rest of the tasks wait
            # until some are settled, the job is never stuck.
            for machine, _ in step.assignments:
                self._capacity_index.mark_changed(machine.name)
            if job.spec.gang or len(step.assignments) < 2:
                self._reconcile_queue.pending_reasons[job.id] = PendingReason.RECORD_FULL
                return False
            return self._write_part(job, new, step.assignments)
        if self._commit(job, new, step.assignments):
            return True
        for machine, _ in step.assignments:
            self._capacity_index.mark_changed(machine.name)
        return False

    def _next_record(self, step: Placed) -> Job:
        """Build the job's record with the step's attempts and owner."""
        view = self._replica.view
        assert view is not None
        new = step.unsettled.copy()
        if step.assignments:
            # A hand-off alone is no beginning: it would end the ageing of jobs that have
            # not started anywhere.
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
                new.handoff_target = None  # that controller has gone: the hash decides again
        return new

    def _write_part(self, job: Job, new: Job, assignments: list[PlacedTasks]) -> bool:
        """Write the step with half of its machines, and half of that, until the record fits."""
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
