"""Cancellation of jobs by their users: committed first, then answered, then carried out.

The commit changes the version of the job's record, so every later write that starts tasks of the
job fails.
"""

from __future__ import annotations

from typing import Protocol

from appledock import constants, wire
from appledock.core.api.job_records import JobRecordReader
from appledock.core.api.job_states import JobStates
from appledock.core.api.pending_requests import NO_SUCH_JOB, STORE_UNAVAILABLE, PendingRequests
from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.records.final_record import FinalRecord
from appledock.core.records.job import Job
from appledock.core.records.times import stored_wall_time
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    Committed,
    Conflict,
    Delete,
    Put,
    StoreOutcome,
    Transaction,
)


class BroadcastCancellation(Protocol):
    """Sends a committed cancellation to the peers."""

    def __call__(self, job: Job | None, job_id: str, revision: int) -> None:
        """Send the cancellation that the store committed at `revision`.

        `job` is the committed record; None if the cancellation ended the job at once.
        """


class JobCancellations:
    """Cancels open jobs and answers each request with the job's resulting state."""

    def __init__(  # noqa: PLR0913 -- what a cancellation reads, writes and sends
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        codec: JobRecordCodec,
        requests: PendingRequests,
        record_reader: JobRecordReader,
        states: JobStates,
        broadcast: BroadcastCancellation,
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._codec = codec
        self._requests = requests
        self._record_reader = record_reader
        self._states = states
        self._broadcast = broadcast

    def cancel(self, request_id: int, job_id: str) -> None:
        """Cancel the job, after reading its records if the replica has none of them."""
        if self._record_reader.is_known(job_id):
            self._cancel_known(request_id, job_id)
        else:
            self._read_and_cancel(request_id, job_id)

    def _read_and_cancel(self, request_id: int, job_id: str) -> None:
        self._record_reader.read(
            job_id,
            lambda: self._cancel_known(request_id, job_id),
            lambda: self._requests.refuse(request_id, STORE_UNAVAILABLE),
        )

    def _cancel_known(self, request_id: int, job_id: str) -> None:
        """Cancel the job according to the replica, which has the newest known records."""
        if request_id not in self._requests:
            return
        state = self._states.state_of(job_id)
        if state is None:
            self._requests.refuse(request_id, NO_SUCH_JOB)
        elif job_id in self._replica.final_states or self._replica.is_cancelled(job_id):
            # The job has ended, or was cancelled earlier by a request or with a prerequisite.
            # Neither is ever undone.
            self._requests.answer(request_id, 200, state)
        else:
            self._commit(request_id, self._replica.jobs[job_id])

    def _commit(self, request_id: int, job: Job) -> None:
        """Write the cancellation, which also ends the job if none of its attempts is unsettled."""
        cancelled = job.copy()
        cancelled.cancelled = True
        cancelled.cancelled_wall_time = stored_wall_time(self._runtime.wall_time)
        ends_job = not job.attempts
        final = FinalRecord(wire.CANCELLED, cancelled.cancelled_wall_time)
        cancellation = Transaction({JOBS_PREFIX + job.id: job.version})
        if ends_job:
            cancellation.writes = [
                Delete(JOBS_PREFIX + job.id),
                Put(FINAL_PREFIX + job.id, final.encode()),
            ]
        else:
            record = self._codec.encode(self._codec.drop_unoffered_types(cancelled))
            cancellation.writes = [Put(JOBS_PREFIX + job.id, record)]

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Committed():
                    self._apply(cancelled, outcome.revision, final if ends_job else None)
                    self._requests.answer(request_id, 200, wire.JobState(job.id, wire.CANCELLED))
                case Conflict():
                    self._read_and_cancel(request_id, job.id)
                case _:
                    self._requests.refuse(request_id, STORE_UNAVAILABLE)

        self._client.submit(cancellation, Priority.USER, on_outcome, constants.REQUEST_TIMEOUT_S)

    def _apply(self, job: Job, revision: int, final: FinalRecord | None) -> None:
        """Apply the committed cancellation to the replica and send it to the peers.

        `final` is the job's final record; None if the job stays open until its tasks are over.
        """
        if final is not None:
            self._replica.put(FINAL_PREFIX + job.id, final.encode(), revision)
            self._replica.drop(JOBS_PREFIX + job.id, revision)
        else:
            job.version = revision
            self._replica.set_job(job)
        self._broadcast(job if final is None else None, job.id, revision)
