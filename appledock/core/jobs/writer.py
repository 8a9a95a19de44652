"""Conditional writes of job records, one at a time for each job.

One transaction holds everything that a decision about a job changes, so that a step takes a
single write: the job's record or its final record, and the team's record if its allocations
change. The transaction is conditional on the versions of these records, on this controller's
lease and view, and on the ownership of the capacity that the step uses.
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
from appledock.core.records.final_record import FinalRecord
from appledock.core.records.job import Job
from appledock.core.records.team_allocation import TeamAllocation
from appledock.core.records.times import stored_wall_time
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX, TEAMS_PREFIX
from appledock.core.store.rate_limiter import Priority, QueuedCall
from appledock.core.store.reader import StoreReader
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
"""called with the ID of a job whose write was committed, and the capacity that its step uses"""


class FinalState(enum.StrEnum):
    """Final state of a job; the values are stored."""

    DONE = wire.DONE
    CANCELLED = wire.CANCELLED


@dataclass(frozen=True, slots=True)
class RecordUpdate:
    """The job stays open.

    The write records progress, a step, a hand-off or attempts marked as stopping.
    """


@dataclass(frozen=True, slots=True)
class JobEnd:
    """The job has ended: a final record replaces its open record."""

    final: FinalRecord


@dataclass(frozen=True, slots=True)
class JobWrite:
    """A write of one job's record, from its submission until its outcome is known."""

    job: Job
    """the job as recorded before the write"""
    new: Job
    """the job as the write records it"""
    change: RecordUpdate | JobEnd
    team_record: TeamAllocation | None
    """the team's record, if it is part of the transaction"""
    reservations: list[StepReservation]
    """capacity that the step uses; empty if the write places no tasks"""
    quota_write: PendingWrite
    """what the quota counts for the write while its outcome is unknown"""


class JobWriter:
    """Writes job records and handles the outcome of each write."""

    def __init__(  # noqa: PLR0913 -- one transaction touches all that a step changes
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
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
        """IDs of jobs with a write in flight"""
        self.queued_calls: dict[str, QueuedCall] = {}
        """job -> the call of its write in flight, which the client may not have sent yet"""
        self.written_at: dict[str, float] = {}
        """job -> time of its last committed write"""
        self._retry_at: dict[str, float] = {}
        """job -> earliest time of its next write"""
        self._rejection_counts: dict[str, int] = {}
        """job -> consecutive writes that the store rejected as malformed or too large"""

    def forget(self, job_id: str) -> None:
        """Drop the state of a job that has ended."""
        self._retry_at.pop(job_id, None)
        self.written_at.pop(job_id, None)
        self._rejection_counts.pop(job_id, None)

    def can_write(self, job: Job) -> bool:
        """Return whether the job has no write in flight and is not in backoff."""
        return job.id not in self.jobs_in_flight and self._runtime.now >= self._retry_at.get(
            job.id, 0.0
        )

    def final_state(self, job: Job) -> FinalState | None:
        """Return the final state that the job has reached, or None while it is open."""
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
        """Write the job as `new` in one conditional transaction.

        Return False if no write of the job was queued: the quota does not allow it now, the
        team's record has to be written first, or the client's queue is full.
        """
        new_owner = self._replica.job_owner(new)
        plan = self._quota_allocation.plan(job, new, new_owner)
        if isinstance(plan, StepNotPossible):
            self._reconcile_queue.deferred_jobs.add(job.id)
            self._mark_waiting_for_team_record(job)
            return False
        team_record = plan.record if isinstance(plan, RecordChange) else None
        if team_record is not None and self._must_raise_allocation_first(new_owner):
            self._team_record_writer.write(job.spec.team, team_record, Priority.URGENT)
            self._mark_waiting_for_team_record(job)
            return False
        state = self.final_state(new)
        change = self._job_end(state) if state is not None else RecordUpdate()
        return self._submit(job, new, change, priority, team_record, reservations or [])

    def _job_end(self, state: FinalState) -> JobEnd:
        return JobEnd(FinalRecord(state.value, stored_wall_time(self._runtime.wall_time)))

    def _mark_waiting_for_team_record(self, job: Job) -> None:
        self._reconcile_queue.pending_reasons[job.id] = PendingReason.TEAM_RECORD_UNDER_WAY

    def _must_raise_allocation_first(self, new_owner: str) -> bool:
        """Return whether a separate write must raise the team's allocation before the step.

        While steps are rate limited, a step waits in the client's queue. If it also wrote the
        team's record, it would conflict with other controllers' writes of that record and would
        have to be placed again. A job that is handed off is exempt: its reservation moves in the
        transaction of the hand-off, since otherwise the new owner's allocation would include
        capacity that this controller's job still holds.
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
        """Reserve what the write uses and queue it; return False if the client's queue is full."""
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
            case JobEnd(final):
                transaction.writes += [
                    Delete(JOBS_PREFIX + job.id),
                    Put(FINAL_PREFIX + job.id, final.encode()),
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
        """Apply the committed write to the replica, before the watch reports it."""
        job_id = write.job.id
        self.written_at[job_id] = self._runtime.now
        self._rejection_counts.pop(job_id, None)
        for listener in self._commit_listeners:
            listener(job_id, write.reservations)
        if write.reservations:
            _log_step(write)
        match write.change:
            case JobEnd(final):
                self._replica.put(FINAL_PREFIX + job_id, final.encode(), revision)
                self._replica.drop(JOBS_PREFIX + job_id, revision)
                log.info("job ended: job=%s state=%s", job_id, final.state)
            case RecordUpdate():
                write.new.version = revision
                self._replica.set_job(write.new)
                self._back_off_failing_job(write.job, write.new)
            case _:
                assert_never(write.change)
        if write.team_record is not None:
            team = write.job.spec.team
            self._quota_allocation.on_record_committed(team, write.team_record, revision)

    def _backoff_s(self, write: JobWrite, outcome: StoreOutcome) -> float:
        """Return the delay, in s, before the job is decided again after a failed write."""
        job, random = write.job, self._runtime.rng.random
        spread_s = constants.RETRY_DELAY_MAX_S - constants.RETRY_DELAY_MIN_S
        backoff_s = constants.RETRY_DELAY_MIN_S + random() * spread_s
        match outcome:
            case Conflict():
                self._reader.read_keys(outcome.failed)
                return constants.RETRY_DELAY_MIN_S * random()
            case UnknownOutcome():
                # The write may have been executed or may still be. Read the records before
                # acting on either case.
                team_keys = [TEAMS_PREFIX + job.spec.team] if write.team_record else []
                self._reader.read_keys([JOBS_PREFIX + job.id, *team_keys])
            case Rejected():
                # The record is probably too large. The client has lowered its size limit, so
                # the next record may fit. If it does not, back off exponentially: each attempt
                # uses up rate limit that other writes need.
                count = self._rejection_counts.get(job.id, 0) + 1
                self._rejection_counts[job.id] = count
                self._reconcile_queue.pending_reasons[job.id] = PendingReason.RECORD_REJECTED
                return _exponential_backoff_s(count - 1)
            case _:
                pass
        return backoff_s

    def _back_off_failing_job(self, job: Job, new: Job) -> None:
        """Delay the next write of a job whose tasks keep failing, longer with each failure."""
        failures = new.consecutive_failures
        if failures > job.consecutive_failures and failures >= 2:
            self._retry_at[job.id] = self._runtime.now + _exponential_backoff_s(failures - 2)

    # --- withdrawing ------------------------------------------------------
    def withdraw(self, job_id: str) -> bool:
        """Withdraw the job's write if it is still queued in the client.

        This is done when something more urgent changes the same record or needs the capacity
        that the write reserves. Writes of priority `URGENT` or higher are never withdrawn.
        Return whether a write was withdrawn.
        """
        call = self.queued_calls.get(job_id)
        if call is None or call.priority <= Priority.URGENT or not self._client.withdraw(call):
            return False
        self._retry_at[job_id] = self._runtime.now
        return True

    def withdraw_lower_priority_steps(self, job: Job) -> bool:
        """Withdraw queued steps of lower-ranked jobs on machines that the job could use.

        Return whether any step was withdrawn.
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
        """Return whether the job is allowed on the machine of the reservation."""
        capacity = self._capacity_index.machines.get(reservation.machine)
        return capacity is not None and is_allowed_on(job.spec, capacity)


def _exponential_backoff_s(doublings: int) -> float:
    """Return the backoff, in s, after this many doublings, limited to the longest one."""
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
