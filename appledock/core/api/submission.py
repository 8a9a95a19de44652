"""Submission of jobs: idempotent creation of their records with compare-and-swap."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appledock import constants, wire
from appledock.core.api.job_records import JobRecordReader
from appledock.core.api.pending_requests import STORE_UNAVAILABLE, PendingRequests, Refusal
from appledock.core.api.status_polls import StatusPoll, StatusPolls
from appledock.core.api.submission_check import MACHINE_TYPES_UNKNOWN, SubmissionCheck
from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.records.job import HandoffTarget, Job
from appledock.core.records.times import stored_wall_time
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    Committed,
    Conflict,
    Put,
    Rejected,
    StoreOutcome,
    Transaction,
)

log = logging.getLogger(__name__)

DEPENDENCIES_MIN_FORMAT = 2
"""First format of records that can hold dependencies."""
DEPENDENCIES_NOT_SUPPORTED = Refusal(503, "not every controller knows jobs that need others yet")
REJECTED_BY_STORE = Refusal(400, "refused by the state service")


def prerequisite_never_accepted(job_id: str) -> Refusal:
    """Return the refusal for a prerequisite that was never accepted as a job."""
    return Refusal(422, f"{job_id} was never accepted")


class Submissions:
    """Checks and creates submitted jobs; a repeated submission is answered with the job's state."""

    def __init__(  # noqa: PLR0913 -- what a submission reads, checks and writes
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        codec: JobRecordCodec,
        reconcile_queue: ReconcileQueue,
        requests: PendingRequests,
        record_reader: JobRecordReader,
        polls: StatusPolls,
        check: SubmissionCheck,
        choose_initial_owner: Callable[[Job], HandoffTarget | None],
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._codec = codec
        self._reconcile_queue = reconcile_queue
        self._requests = requests
        self._record_reader = record_reader
        self._polls = polls
        self._check = check
        self._choose_initial_owner = choose_initial_owner

    def submit(self, request_id: int, spec: wire.JobSpec) -> None:
        """Create the job, or answer with its state if it was accepted before."""
        if self._record_reader.is_known(spec.id):
            self._polls.add(self._make_poll(request_id, spec))
            return
        refusal = self._check.refusal(spec)
        if refusal is None:
            self._create_after_prerequisites(request_id, spec, list(spec.needs or ()))
        elif refusal == MACHINE_TYPES_UNKNOWN:
            self._requests.refuse(request_id, refusal)
        else:
            self._refuse_unless_accepted(request_id, spec.id, refusal)

    def _make_poll(self, request_id: int, spec: wire.JobSpec) -> StatusPoll:
        """Return a poll that creates the job if it is confirmed that the job does not exist."""
        return StatusPoll(
            request_id,
            spec.id,
            lambda: self._create_after_prerequisites(request_id, spec, list(spec.needs or ())),
        )

    def _refuse_unless_accepted(self, request_id: int, job_id: str, refusal: Refusal) -> None:
        """Refuse a submission once it is confirmed that the job does not exist.

        The job may have been accepted earlier, under other machine types or limits; it is then
        answered with its state.
        """
        self._polls.add(
            StatusPoll(request_id, job_id, lambda: self._requests.refuse(request_id, refusal))
        )

    def _create_after_prerequisites(
        self, request_id: int, spec: wire.JobSpec, unchecked: list[str]
    ) -> None:
        """Create the job once all its prerequisites are known to have been accepted.

        `unchecked` are the prerequisites for which this is not known yet. An accepted job stays
        accepted, so the creation itself need not be conditional on the prerequisites.
        """
        if spec.needs and self._replica.record_format.value < DEPENDENCIES_MIN_FORMAT:
            self._requests.refuse(request_id, DEPENDENCIES_NOT_SUPPORTED)
            return
        while unchecked and self._record_reader.is_known(unchecked[0]):
            unchecked.pop(0)
        if not unchecked:
            self._create(request_id, spec)
            return

        def on_read() -> None:
            if self._record_reader.is_known(unchecked[0]):
                self._create_after_prerequisites(request_id, spec, unchecked[1:])
            else:
                self._refuse_unless_accepted(
                    request_id, spec.id, prerequisite_never_accepted(unchecked[0])
                )

        self._record_reader.read(
            unchecked[0], on_read, lambda: self._requests.refuse(request_id, STORE_UNAVAILABLE)
        )

    def _create(self, request_id: int, spec: wire.JobSpec) -> None:
        """Write the job's record on condition that the job neither exists nor has ended."""
        job = Job(spec, stored_wall_time(self._runtime.wall_time))
        job.handoff_target = self._choose_initial_owner(job)
        creation = Transaction(
            {JOBS_PREFIX + spec.id: 0, FINAL_PREFIX + spec.id: 0},
            [Put(JOBS_PREFIX + spec.id, self._codec.encode(job))],
        )

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Committed():
                    job.version = outcome.revision
                    self._on_created(request_id, job)
                case Conflict():
                    self._polls.read_and_answer(self._make_poll(request_id, spec))
                case Rejected():
                    self._requests.refuse(request_id, REJECTED_BY_STORE)
                case _:
                    self._requests.refuse(request_id, STORE_UNAVAILABLE)

        self._client.submit(creation, Priority.USER, on_outcome, constants.REQUEST_TIMEOUT_S)

    def _on_created(self, request_id: int, job: Job) -> None:
        spec = job.spec
        self._replica.set_job(job)
        self._reconcile_queue.placement_due = True
        log.info(
            "job accepted: job=%s class=%s team=%s tasks=%d image=%s",
            spec.id,
            spec.job_class,
            spec.team,
            spec.tasks,
            spec.image,
        )
        if spec.id not in self._replica.jobs:
            # The job was cancelled with a prerequisite, and ended, before this answer arrived.
            self._polls.read_and_answer(self._make_poll(request_id, spec))
            return
        state = wire.CANCELLED if self._replica.is_cancelled(spec.id) else wire.PENDING
        self._requests.answer(request_id, 201, wire.JobState(spec.id, state))
