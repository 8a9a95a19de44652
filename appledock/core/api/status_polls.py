"""Status polls, answered from the replica once a linearizable read shows that it is current.

Another controller may already have told the user something newer, so a state that is not final
is answered only after a read. The read is one compare-only transaction on the cached versions of
all jobs that are polled.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from appledock import constants
from appledock.core.api.job_records import JobRecordReader
from appledock.core.api.job_states import JobStates
from appledock.core.api.pending_requests import STORE_UNAVAILABLE, PendingRequests
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Committed, Conflict, StoreOutcome, Transaction


@dataclass(frozen=True, slots=True)
class StatusPoll:
    """A user's request that is answered with a job's state."""

    request_id: int
    job_id: str
    on_absent: Callable[[], None]
    """what to do once it is confirmed that the job does not exist"""


class StatusPolls:
    """Polls that wait for a linearizable read, and those for which the replica lags behind it."""

    def __init__(
        self,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        requests: PendingRequests,
        record_reader: JobRecordReader,
        states: JobStates,
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._requests = requests
        self._record_reader = record_reader
        self._states = states
        self._polls: list[StatusPoll] = []
        self._lagging: list[tuple[StatusPoll, int]] = []
        """polls of jobs with dependencies, and the revision that the replica must reach"""
        self._is_confirming = False
        self._next_confirm_at = 0.0

    def tick(self) -> None:
        """Confirm the polls that wait; answer those that the replica has caught up with."""
        if self._polls and not self._is_confirming and self._runtime.now >= self._next_confirm_at:
            self.confirm()
        lagging, self._lagging = self._lagging, []
        for request, revision in lagging:
            if request.request_id in self._requests:
                self.answer_at_revision(request, revision)

    def add(self, request: StatusPoll) -> None:
        """Answer with the job's state, at once if it is final.

        That holds in an outage too: a committed cancellation is never taken back, nor does its
        job end in another way.
        """
        job_id = request.job_id
        if job_id in self._replica.final_states or self._replica.is_cancelled(job_id):
            self.answer(request, is_absence_confirmed=False)
        else:
            self._polls.append(request)

    def answer(self, request: StatusPoll, *, is_absence_confirmed: bool) -> None:
        """Answer from the replica, whose state of the job has just been confirmed.

        Without a record of the job, `no such job` is right only if its absence was confirmed
        too. Otherwise it ended meanwhile and its final state is not in the replica yet.
        """
        state = self._states.state_of(request.job_id)
        if state is not None:
            self._requests.answer(request.request_id, 200, state)
        elif is_absence_confirmed:
            request.on_absent()
        else:
            self.read_and_answer(request)

    def read_and_answer(self, request: StatusPoll) -> None:
        """The cached version is not the newest: read both records, then answer."""

        def on_read() -> None:
            if request.job_id in self._replica.dependencies.waiting_jobs:
                self.add(request)  # confirmed, its revision says how far the replica must reach
            else:
                self.answer(request, is_absence_confirmed=True)

        self._record_reader.read(
            request.job_id,
            on_read,
            lambda: self._requests.refuse(request.request_id, STORE_UNAVAILABLE),
        )

    # --- linearizable read ------------------------------------------------
    def confirm(self) -> None:
        """Compare the cached versions of the jobs of all waiting polls in one transaction."""
        self._next_confirm_at = self._runtime.now + constants.POLL_CONFIRMATION_WINDOW_S
        batch, conditions = self._take_batch()
        if not batch:
            return
        self._is_confirming = True

        def on_outcome(outcome: StoreOutcome) -> None:
            self._is_confirming = False
            match outcome:
                case Committed():
                    self._on_compared(batch, conditions, set(), outcome.revision)
                case Conflict():
                    self._on_compared(batch, conditions, set(outcome.failed), outcome.revision)
                case _:
                    for request in batch:
                        self._requests.refuse(request.request_id, STORE_UNAVAILABLE)

        self._client.submit(
            Transaction(conditions), Priority.USER, on_outcome, constants.REQUEST_TIMEOUT_S
        )

    def _take_batch(self) -> tuple[list[StatusPoll], dict[str, int]]:
        """Take as many waiting polls as one transaction holds, with its conditions."""
        conditions: dict[str, int] = {}
        batch: list[StatusPoll] = []
        rest: list[StatusPoll] = []
        state_settings = self._runtime.settings.cluster.state
        max_conditions = min(constants.POLL_CONFIRMATION_CONDITIONS_MAX, 4 * state_settings.txn_ops)
        for request in self._polls:
            job_id = request.job_id
            if request.request_id not in self._requests:
                continue
            if job_id in self._replica.final_states:
                self.answer(request, is_absence_confirmed=False)
                continue
            if len(conditions) + 2 > max_conditions:
                rest.append(request)
                continue
            job = self._replica.jobs.get(job_id)
            conditions[JOBS_PREFIX + job_id] = job.version if job else 0
            if job is None:
                conditions[FINAL_PREFIX + job_id] = 0
            batch.append(request)
        self._polls = rest
        return batch, conditions

    def _on_compared(
        self,
        batch: list[StatusPoll],
        conditions: dict[str, int],
        failed: set[str],
        revision: int,
    ) -> None:
        """The versions were compared at the revision; those of the failed keys are old."""
        for request in batch:
            job_id = request.job_id
            if JOBS_PREFIX + job_id in failed or FINAL_PREFIX + job_id in failed:
                self.read_and_answer(request)
            elif job_id in self._replica.dependencies.waiting_jobs:
                self.answer_at_revision(request, revision)
            else:
                self.answer(request, is_absence_confirmed=FINAL_PREFIX + job_id in conditions)

    def answer_at_revision(self, request: StatusPoll, revision: int) -> None:
        """Answer once the watch has brought the replica up to the revision.

        That the record of a job has not changed does not show that none of its dependencies was
        cancelled: a cancellation that another controller has answered would be taken back here.
        The revision of the linearizable read is later than any such cancellation.
        """
        replica, job_id = self._replica, request.job_id
        if replica.is_cancelled(job_id) or job_id not in replica.dependencies.waiting_jobs:
            self.answer(request, is_absence_confirmed=False)
        elif replica.revision < revision or replica.dependencies.has_unknown_outcome(job_id):
            self._lagging.append((request, revision))
        else:
            self.answer(request, is_absence_confirmed=False)
