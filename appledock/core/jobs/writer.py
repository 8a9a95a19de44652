"""Conditional writes of job records, one at a time for each job.

One transaction holds all that a decision about a job changes (one write for a step): the job's
record or its end, and the team's record if its allocations change. Its conditions are the
versions of these records, this controller's lease and view, and who owns the capacity used.
"""

from __future__ import annotations

import enum
import logging
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import assert_never

from appledock import constants, wire
from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.jobs.reconcile_queue import PendingReason, ReconcileQueue
from appledock.core.jobs.team_record_writer import TeamRecordWriter
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.machines.machine_capacity import is_allowed_on
from appledock.core.quota.allocation import PendingWrite, QuotaAllocation
from appledock.core.quota.record_plan import RecordChange, StepNotPossible
from appledock.core.records.job import Job
from appledock.core.records.team_allocation import TeamAllocation
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX, TEAMS_PREFIX
from appledock.core.store.rate_limiter import Priority, QueuedCall
from appledock.core.store.reader import StateReader
from appledock.core.store.replica import Replica
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

log = logging.getLogger(__name__)

CommitListener = Callable[[str, list[StepReservation]], None]
"""called with a job whose write is committed, and the capacity that its step uses"""


class FinalState(enum.StrEnum):
    """How a job ends; the values are stored."""

    DONE = wire.DONE
    CANCELLED = wire.CANCELLED


@dataclass(frozen=True, slots=True)
class RecordUpdate:
    """The job stays open: progress, a step, a hand-off, or attempts marked as stopping."""


@dataclass(frozen=True, slots=True)
class JobEnd:
    """The job is over: its open record gives way to a final one."""

    state: FinalState


@dataclass(frozen=True, slots=True)
class JobWrite:
    """A write of one job's record that is under way."""

    job: Job
    """as recorded"""
    new: Job
    """as it is written"""
    change: RecordUpdate | JobEnd
    team_record: TeamAllocation | None
    """the team's record, if it is part of the transaction"""
    reservations: list[StepReservation]
    """capacity that the step uses"""
    quota_write: PendingWrite
    """what the quota counts for the write until its outcome is known"""


class JobWriter:
    """Writes job records and follows up each outcome."""

    def __init__(  # noqa: PLR0913 -- one transaction touches all that a step changes
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StateReader,
        codec: JobRecordCodec,
        quota_allocation: QuotaAllocation,
        capacity_index: CapacityIndex,
        reconcile_queue: ReconcileQueue,
        team_record_writer: TeamRecordWriter,
        fencing_conditions: Callable[[], dict[str, int]],
        partition_conditions: Callable[[Iterable[StepReservation]], dict[str, int]],
        is_step_rate_limited: Callable[[], bool],
        commit_listeners: Sequence[CommitListener],
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._reader = reader
        self._codec = codec
        self._quota_allocation = quota_allocation
        self._capacity_index = capacity_index
        self._reconcile_queue = reconcile_queue
        self._team_record_writer = team_record_writer
        self._fencing_conditions = fencing_conditions
        self._partition_conditions = partition_conditions
        self._is_step_rate_limited = is_step_rate_limited
        self._commit_listeners = commit_listeners
        self.jobs_in_flight: set[str] = set()
        """jobs with a write under way"""
        self.queued_calls: dict[str, QueuedCall] = {}
        """job -> the call of its write, perhaps still queued in the client"""
        self.written_at: dict[str, float] = {}
        """job -> when a write of it was last committed"""
        self._retry_at: dict[str, float] = {}
        """job -> when it may be written again"""
        self._rejection_counts: dict[str, int] = {}
        """job -> writes in a row that the store rejected as malformed or too large"""

    def forget(self, job_id: str) -> None:
        """The job is over."""
        self._retry_at.pop(job_id, None)
        self.written_at.pop(job_id, None)
        self._rejection_counts.pop(job_id, None)

    def can_write(self, job: Job) -> bool:
        """Has the job no write under way, and no backoff?"""
        return job.id not in self.jobs_in_flight and self._runtime.now >= self._retry_at.get(
            job.id, 0.0
        )

    def final_state(self, job: Job) -> FinalState | None:
        """Return how the job has ended; None while it is open."""
        if job.cancelled or job.id in self._replica.dependencies.cancelled_by_dependency:
            return None if job.attempts else FinalState.CANCELLED
        if not job.spec.service and len(job.completed_tasks) == job.spec.tasks:
            return FinalState.DONE
        return None

    # --- committing -------------------------------------------------------
    def commit(
        self,
        job: Job,
        new: Job,
        priority: Priority,
        reservations: list[StepReservation] | None = None,
    ) -> bool:
        """Write the job as `new` in one conditional transaction; False: not possible now."""
        new_owner = self._replica.job_owner(new)
        plan = self._quota_allocation.plan(job, new, new_owner)
        if isinstance(plan, StepNotPossible):
            self._reconcile_queue.deferred_jobs.add(job.id)
            self._wait_for_team_record(job)
            return False
        team_record = plan.record if isinstance(plan, RecordChange) else None
        if team_record is not None and self._must_raise_allocation_first(new_owner):
            self._team_record_writer.write(job.spec.team, team_record, Priority.URGENT)
            self._wait_for_team_record(job)
            return False
        state = self.final_state(new)
        change = JobEnd(state) if state is not None else RecordUpdate()
        return self._submit(job, new, change, priority, team_record, reservations or [])

    def _wait_for_team_record(self, job: Job) -> None:
        self._reconcile_queue.pending_reasons[job.id] = PendingReason.TEAM_RECORD_UNDER_WAY

    def _must_raise_allocation_first(self, new_owner: str) -> bool:
        """Must the team's allocation be raised by a write of its own, before the step?

        A step queued for its write conflicts with the others' changes of the team's record and
        is then placed anew. Never for a job that is handed off: its reservation goes along with
        it, or the new owner's allocation would hold what still runs here.
        """
        return new_owner == self._runtime.node and self._is_step_rate_limited()

    def _submit(
        self,
        job: Job,
        new: Job,
        change: RecordUpdate | JobEnd,
        priority: Priority,
        team_record: TeamAllocation | None,
        reservations: list[StepReservation],
    ) -> bool:
        """Reserve what the write uses and queue it; False: the client's queue is full."""
        transaction = self._transaction(job, new, change, team_record)
        transaction.conditions.update(self._partition_conditions(reservations))
        self.jobs_in_flight.add(job.id)
        if reservations:
            self._capacity_index.reserve_step(job.id, reservations)
        quota_write = self._quota_allocation.begin_job_write(job, new, team_record)
        write = JobWrite(job, new, change, team_record, reservations, quota_write)
        is_step_or_end = isinstance(change, JobEnd) or priority >= Priority.STEP
        call = self._client.submit(
            transaction,
            priority,
            lambda outcome: self._on_outcome(write, outcome),
            constants.STEP_QUEUE_TIMEOUT_S if is_step_or_end else constants.QUEUE_TIMEOUT_S,
        )
        if call is None:
            return False
        self.queued_calls[job.id] = call
        return True

    def _transaction(
        self, job: Job, new: Job, change: RecordUpdate | JobEnd, team_record: TeamAllocation | None
    ) -> Transaction:
        transaction = Transaction(self._fencing_conditions())
        transaction.conditions[JOBS_PREFIX + job.id] = job.version
        match change:
            case JobEnd(state):
                transaction.writes += [
                    Delete(JOBS_PREFIX + job.id),
                    Put(FINAL_PREFIX + job.id, {"state": state.value}),
                ]
            case RecordUpdate():
                record = self._codec.encode(self._codec.drop_unoffered_types(new))
                transaction.writes.append(Put(JOBS_PREFIX + job.id, record))
            case _:
                assert_never(change)
        if team_record is not None:
            transaction.conditions[TEAMS_PREFIX + job.spec.team] = team_record.version
            transaction.writes.append(Put(TEAMS_PREFIX + job.spec.team, team_record.encode()))
        return transaction

    # --- outcomes ---------------------------------------------------------
    def _on_outcome(self, write: JobWrite, outcome: StoreOutcome) -> None:
        job_id = write.job.id
        self.jobs_in_flight.discard(job_id)
        self.queued_calls.pop(job_id, None)
        self._capacity_index.release_step(job_id)
        write.quota_write.finish(outcome)
        self._reconcile_queue.placement_due = True
        self._reconcile_queue.jobs.add(job_id)
        if isinstance(outcome, Committed):
            self._on_committed(write, outcome.revision)
        else:
            self._retry_at[job_id] = self._runtime.now + self._backoff_s(write, outcome)

    def _on_committed(self, write: JobWrite, revision: int) -> None:
        """Apply the write to the replica ahead of the watch."""
        job_id = write.job.id
        self.written_at[job_id] = self._runtime.now
        self._rejection_counts.pop(job_id, None)
        for listener in self._commit_listeners:
            listener(job_id, write.reservations)
        if write.reservations:
            _log_step(write)
        match write.change:
            case JobEnd(state):
                self._replica.put(FINAL_PREFIX + job_id, {"state": state.value}, revision)
                self._replica.drop(JOBS_PREFIX + job_id, revision)
                log.info("job ended: job=%s state=%s", job_id, state)
            case RecordUpdate():
                write.new.version = revision
                self._replica.set_job(write.new)
                self._back_off_failing(write.job, write.new)
            case _:
                assert_never(write.change)
        if write.team_record is not None:
            team = write.job.spec.team
            self._quota_allocation.on_record_committed(team, write.team_record, revision)

    def _backoff_s(self, write: JobWrite, outcome: StoreOutcome) -> float:
        """Return the time until the job is decided anew after a write that did not succeed."""
        job, random = write.job, self._runtime.rng.random
        spread_s = constants.RETRY_DELAY_MAX_S - constants.RETRY_DELAY_MIN_S
        backoff_s = constants.RETRY_DELAY_MIN_S + random() * spread_s
        match outcome:
            case Conflict():
                self._reader.read_keys(outcome.failed)
                return constants.RETRY_DELAY_MIN_S * random()
            case UnknownOutcome():
                # It may be applied, now or later: read before acting on either.
                team_keys = [TEAMS_PREFIX + job.spec.team] if write.team_record else []
                self._reader.read_keys([JOBS_PREFIX + job.id, *team_keys])
            case Rejected():
                # Too large, most likely: it may fit now that the client's limit is lower. If
                # not, try seldom, since each attempt uses up the rate limit of the others.
                count = self._rejection_counts.get(job.id, 0) + 1
                self._rejection_counts[job.id] = count
                self._reconcile_queue.pending_reasons[job.id] = PendingReason.RECORD_REJECTED
                return _exponential_backoff_s(count - 1)
            case _:
                pass
        return backoff_s

    def _back_off_failing(self, job: Job, new: Job) -> None:
        """Write a job whose tasks fail everywhere less and less often."""
        failures = new.consecutive_failures
        if failures > job.consecutive_failures and failures >= 2:
            self._retry_at[job.id] = self._runtime.now + _exponential_backoff_s(failures - 2)

    # --- withdrawing ------------------------------------------------------
    def withdraw(self, job_id: str) -> bool:
        """Withdraw a write that is still queued in the client; False: there is none.

        Something more urgent changes the same record, or needs the capacity that it reserves.
        """
        call = self.queued_calls.get(job_id)
        if call is None or call.priority <= Priority.URGENT or not self._client.withdraw(call):
            return False
        self._retry_at[job_id] = self._runtime.now
        return True

    def withdraw_lower_priority_steps(self, job: Job) -> bool:
        """Withdraw queued steps of lower rank whose machines the job could use.

        False: none was withdrawn.
        """
        rank = self._replica.dependencies.inherited_rank(job)
        is_any_withdrawn = False
        for other_id, reservations in list(self._capacity_index.step_reservations.items()):
            other = self._replica.jobs.get(other_id)
            if (
                other is not None
                and self._replica.dependencies.inherited_rank(other) < rank
                and any(self._can_use(job, reservation) for reservation in reservations)
            ):
                is_any_withdrawn = self.withdraw(other_id) or is_any_withdrawn
        return is_any_withdrawn

    def _can_use(self, job: Job, reservation: StepReservation) -> bool:
        capacity = self._capacity_index.machines.get(reservation.machine)
        return capacity is not None and is_allowed_on(job.spec, capacity)


def _exponential_backoff_s(doublings: int) -> float:
    return float(
        min(
            constants.ERROR_BACKOFF_MAX_S,
            constants.ERROR_BACKOFF_S * 2 ** min(10, doublings),
        )
    )


def _log_step(write: JobWrite) -> None:
    target = write.new.handoff_target
    log.info(
        "step committed: job=%s step=%d machines=%s handoff_to=%s",
        write.job.id,
        write.new.last_step,
        ",".join(f"{reserved.machine}:{reserved.tasks}" for reserved in write.reservations),
        target.node if target and target != write.job.handoff_target else None,
    )
