"""Writes of job records and of teams' shares: conditional, one at a time for each job."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.jobs.reconcile_queue import PendingReason
from appledock.core.machines.capacity_index import StepReservation
from appledock.core.machines.machine_capacity import is_allowed_on
from appledock.core.quota.allocation import PendingWrite
from appledock.core.quota.record_plan import NotPossible, RecordChange
from appledock.core.records.job import Job
from appledock.core.store.keys import FINAL, JOBS, TEAMS
from appledock.core.store.rate_limiter import Priority, QueuedCall
from appledock.core.store.replica import Team
from appledock.core.store_calls import (
    Committed,
    Conflict,
    Delete,
    Put,
    Rejected,
    StoreOutcome,
    Transaction,
    UnknownOutcome,
)

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class JobWrite:
    """A write of one job's record that is under way."""

    job: Job
    new: Job
    over: str | None
    team_record: Team | None
    reserved: list[StepReservation]
    quota_write: PendingWrite
    """what the quota counts for the write until its outcome is known"""


class JobWriter:
    """Writes completions, steps and charges, and hears how that went."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.jobs_in_flight: set[str] = set()
        """jobs with a write under way"""
        self.queued_calls: dict[str, QueuedCall] = {}
        """job -> its write, perhaps still waiting"""
        self.retry_at: dict[str, float] = {}
        self.written_at: dict[str, float] = {}
        self.rejection_counts: dict[str, int] = {}
        """job -> writes in a row that the state service refused as malformed or too large"""

    def forget(self, job_id: str) -> None:
        """The job is over."""
        for table in (self.retry_at, self.written_at):
            table.pop(job_id, None)
        self.rejection_counts.pop(job_id, None)

    def can_write(self, job: Job) -> bool:
        """May the job be written now?"""
        return job.id not in self.jobs_in_flight and self.engine.now >= self.retry_at.get(
            job.id, 0.0
        )

    def final_state(self, job: Job) -> str | None:
        """Say how the job has ended, if it has."""
        if job.cancelled or job.id in self.engine.replica.dependencies.cancelled_by_dependency:
            return wire.CANCELLED if not job.attempts else None
        if not job.spec.service and len(job.completed_tasks) == job.spec.tasks:
            return wire.DONE
        return None

    def commit(
        self,
        job: Job,
        new: Job,
        priority: Priority,
        reserved: list[StepReservation] | None = None,
    ) -> bool:
        """Write completion, next step and the team's charge in one conditional transaction."""
        engine, team = self.engine, job.spec.team
        over = self.final_state(new)
        heir = engine.replica.job_owner(new)
        change = engine.quota_allocation.plan(job, new, heir)
        if isinstance(change, NotPossible):
            engine.reconcile_queue.deferred_jobs.add(job.id)
            engine.reconcile_queue.pending_reasons[job.id] = PendingReason.TEAM_RECORD_UNDER_WAY
            return False
        record = change.record if isinstance(change, RecordChange) else None
        if (
            record is not None
            and heir == engine.settings.name
            and engine.pacing.is_step_rate_limited()
        ):
            # A step that waits for its write meets the others' changes of the record, and
            # is then placed anew: the share is raised first, by itself. Never where the job
            # is handed on: its charge goes along with it, or the heir's share would hold
            # what still runs here.
            self._write_team(team, record, Priority.URGENT)
            engine.reconcile_queue.pending_reasons[job.id] = PendingReason.TEAM_RECORD_UNDER_WAY
            return False
        plan = self._plan(job, new, over, record)
        plan.conditions.update(engine.partitions.conditions(reserved or []))
        self.jobs_in_flight.add(job.id)
        if reserved:
            engine.capacity_index.reserve_step(job.id, reserved)
        quota_write = engine.quota_allocation.begin_step(job, new, record)
        write = JobWrite(job, new, over, record, reserved or [], quota_write)
        patience = c.STEP_PATIENCE_S if over or priority >= Priority.STEP else c.PATIENCE_S
        call = engine.client.submit(
            plan, priority, lambda outcome: self._on_outcome(write, outcome), patience
        )
        if call is not None:
            self.queued_calls[job.id] = call
        return call is not None

    def _plan(self, job: Job, new: Job, over: str | None, record: Team | None) -> Transaction:
        """Build the transaction: the job's record or its end, and the team's record."""
        plan = Transaction(self.engine.membership.fencing_conditions())
        plan.conditions[JOBS + job.id] = job.version
        if over:
            plan.writes += [Delete(JOBS + job.id), Put(FINAL + job.id, {"state": over})]
        else:
            plan.writes.append(
                Put(
                    JOBS + job.id,
                    self.engine.codec.encode(self.engine.codec.drop_needless_types(new)),
                )
            )
        if record is not None:
            plan.conditions[TEAMS + job.spec.team] = record.version
            plan.writes.append(Put(TEAMS + job.spec.team, record.encode()))
        return plan

    def _on_outcome(self, write: JobWrite, outcome: StoreOutcome) -> None:
        engine, job_id = self.engine, write.job.id
        self.jobs_in_flight.discard(job_id)
        self.queued_calls.pop(job_id, None)
        engine.capacity_index.release_step(job_id)
        write.quota_write.finish(outcome)
        engine.reconcile_queue.placement_due = True
        engine.reconcile_queue.jobs.add(job_id)
        if isinstance(outcome, Committed):
            self._on_written(write, outcome.revision)
        else:
            self.retry_at[job_id] = engine.now + self._pause_after(write, outcome)

    def _on_written(self, write: JobWrite, revision: int) -> None:
        engine, job, new = self.engine, write.job, write.new
        self.written_at[job.id] = engine.now
        self.rejection_counts.pop(job.id, None)
        engine.preemption.release_claims(job.id, write.reserved)
        engine.moves.placed(job.id, write.reserved)
        if write.reserved:
            _log_step(write)
        if write.over:
            engine.replica.put(FINAL + job.id, {"state": write.over}, revision)
            engine.replica.drop(JOBS + job.id, revision)
            log.info("%s is %s", job.id, write.over)
        else:
            new.version = revision
            engine.replica.set_job(new)
            self._back_off(job, new)
        if write.team_record is not None:
            self._team_written(job.spec.team, write.team_record, revision)

    def _pause_after(self, write: JobWrite, outcome: StoreOutcome) -> float:
        """Seconds until the job is decided anew after a write that did not succeed."""
        engine, job = self.engine, write.job
        pause = c.RETRY_MIN_S + engine.rng.random() * (c.RETRY_MAX_S - c.RETRY_MIN_S)
        match outcome:
            case Conflict():
                engine.reader.read_keys(outcome.failed)
                return c.RETRY_MIN_S * engine.rng.random()
            case UnknownOutcome():
                # It may be applied, now or later: read before acting on either.
                team_keys = [TEAMS + job.spec.team] if write.team_record else []
                engine.reader.read_keys([JOBS + job.id, *team_keys])
            case Rejected():
                # Too large, most likely: it may fit now that the bound is lower. If not,
                # seldom, since each try costs the others their turn.
                tries = self.rejection_counts[job.id] = self.rejection_counts.get(job.id, 0) + 1
                engine.reconcile_queue.pending_reasons[job.id] = PendingReason.RECORD_REJECTED
                return float(
                    min(c.ERROR_BACKOFF_MAX_S, c.ERROR_BACKOFF_S * 2 ** min(10, tries - 1))
                )
            case _:
                pass
        return pause

    def withdraw(self, job_id: str) -> bool:
        """Take back a write that still waits for the state service's limit.

        Something more urgent changes the same record, or needs the room that it reserves.
        """
        call = self.queued_calls.get(job_id)
        if (
            call is None
            or call.priority <= Priority.URGENT
            or not self.engine.client.withdraw(call)
        ):
            return False
        self.retry_at[job_id] = self.engine.now
        return True

    def withdraw_lower_priority_steps(self, job: Job) -> bool:
        """Steps of lower rank that are not written yet make way for a service."""
        taken = False
        for other_id, entries in list(self.engine.capacity_index.step_reservations.items()):
            other = self.engine.replica.jobs.get(other_id)
            if (
                other is not None
                and self.engine.replica.dependencies.inherited_rank(other)
                < self.engine.replica.dependencies.inherited_rank(job)
                and any(
                    (room := self.engine.capacity_index.machines.get(machine)) is not None
                    and is_allowed_on(job.spec, room)
                    for machine, _, _ in entries
                )
            ):
                taken = self.withdraw(other_id) or taken
        return taken

    def _team_written(self, team: str, record: Team, revision: int) -> None:
        self.engine.quota_allocation.on_record_committed(team, record, revision)

    def release_unused_allocations(self) -> None:
        """Give up shares of teams' limits that more urgent jobs of others lack."""
        allocation = self.engine.quota_allocation
        for team in self.engine.replica.jobs_by_team:
            releasable = allocation.releasable(team)
            if not releasable.is_positive() or allocation.is_being_written(team):
                continue
            self._write_team(team, allocation.plan_release(team, releasable), Priority.STEP)

    def _write_team(self, team: str, record: Team, priority: Priority) -> None:
        """Change the shares of a team's limit without a step."""
        plan = Transaction(
            self.engine.membership.fencing_conditions(), [Put(TEAMS + team, record.encode())]
        )
        plan.conditions[TEAMS + team] = record.version
        quota_write = self.engine.quota_allocation.begin_record_write(team, record)

        def on_outcome(outcome: StoreOutcome) -> None:
            quota_write.finish(outcome)
            self.engine.reconcile_queue.placement_due = True
            match outcome:
                case Committed():
                    self._team_written(team, record, outcome.revision)
                case Conflict() | UnknownOutcome():
                    self.engine.reader.read_keys([TEAMS + team])
                case _:
                    pass

        self.engine.client.submit(plan, priority, on_outcome)

    def _back_off(self, job: Job, new: Job) -> None:
        """A job that fails everywhere waits longer and longer."""
        if new.consecutive_failures > job.consecutive_failures:
            pause = min(
                c.ERROR_BACKOFF_MAX_S,
                c.ERROR_BACKOFF_S * 2 ** min(10, max(0, new.consecutive_failures - 2)),
            )
            if new.consecutive_failures >= 2:
                self.retry_at[job.id] = self.engine.now + pause


def _log_step(write: JobWrite) -> None:
    handed_on = (
        write.new.handoff_target if write.new.handoff_target != write.job.handoff_target else None
    )
    log.info(
        "%s step %d: %s%s",
        write.job.id,
        write.new.last_step,
        ", ".join(f"{count} on {machine}" for machine, _, count in write.reserved),
        f", rest to {handed_on[0]}" if handed_on else "",
    )
