"""Status polls, answered from the replica once a linearizable read confirms that it is current.

Another controller may already have sent the user a newer state, so a state that is not final is
sent only after such a read. The read is a compare-only transaction on the cached versions of the
records of all polled jobs.
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
    """A user's poll or submission that is to be answered with a job's state."""

    request_id: int
    job_id: str
    on_absent: Callable[[], None]
    """Called once it is confirmed that the job does not exist."""


class StatusPolls:
    """Polls that wait for a linearizable read, or for the replica to reach the read's revision."""

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
        self._awaiting_revision: list[tuple[StatusPoll, int]] = []
        """Polls of jobs with prerequisites, each with the revision that the replica must reach."""
        self._is_confirming = False
        self._next_confirm_at = 0.0

    def tick(self) -> None:
        """Start a read for the waiting polls; answer polls whose revision has been reached."""
        if self._polls and not self._is_confirming and self._runtime.now >= self._next_confirm_at:
            self.confirm()
        awaiting_revision, self._awaiting_revision = self._awaiting_revision, []
        for poll, revision in awaiting_revision:
            if poll.request_id in self._requests:
                self.answer_at_revision(poll, revision)

    def add(self, poll: StatusPoll) -> None:
        """Answer with the job's state: at once if it is final or cancelled, else after a read.

        The immediate answer is also right during an outage of the store: a committed cancellation
        is never withdrawn, and a cancelled job cannot end in another state.
        """
        job_id = poll.job_id
        if job_id in self._replica.final_states or self._replica.is_cancelled(job_id):
            self.answer(poll, is_absence_confirmed=False)
        else:
            self._polls.append(poll)

    def answer(self, poll: StatusPoll, *, is_absence_confirmed: bool) -> None:
        """Answer from the replica, whose record of the job has just been confirmed.

        If the replica has no record of the job, the job is known not to exist only if the absence
        of its final record was confirmed too. Otherwise the job has ended in the meantime and its
        final record is not in the replica yet, so both records are read.
        """
        state = self._states.state_of(poll.job_id)
        if state is not None:
            self._requests.answer(poll.request_id, 200, state)
        elif is_absence_confirmed:
            poll.on_absent()
        else:
            self.read_and_answer(poll)

    def read_and_answer(self, poll: StatusPoll) -> None:
        """Read both records of a job that may be out of date in the replica, then answer."""

        def on_read() -> None:
            if poll.job_id in self._replica.dependencies.waiting_jobs:
                # A confirmation gives the revision that the replica must reach for this answer.
                self.add(poll)
            else:
                self.answer(poll, is_absence_confirmed=True)

        self._record_reader.read(
            poll.job_id,
            on_read,
            lambda: self._requests.refuse(poll.request_id, STORE_UNAVAILABLE),
        )

    # --- linearizable read ------------------------------------------------
    def confirm(self) -> None:
        """Compare the cached versions of the jobs of waiting polls in one transaction."""
        self._next_confirm_at = self._runtime.now + constants.POLL_CONFIRMATION_WINDOW_S
        polls, conditions = self._take_polls()
        if not polls:
            return
        self._is_confirming = True

        def on_outcome(outcome: StoreOutcome) -> None:
            self._is_confirming = False
            match outcome:
                case Committed():
                    self._on_compared(polls, conditions, set(), outcome.revision)
                case Conflict():
                    self._on_compared(polls, conditions, set(outcome.failed), outcome.revision)
                case _:
                    for poll in polls:
                        self._requests.refuse(poll.request_id, STORE_UNAVAILABLE)

        self._client.submit(
            Transaction(conditions), Priority.USER, on_outcome, constants.REQUEST_TIMEOUT_S
        )

    def _take_polls(self) -> tuple[list[StatusPoll], dict[str, int]]:
        """Remove and return as many waiting polls as one transaction holds, with its conditions.

        Polls of jobs that have ended are answered at once, and polls that have been answered or
        refused are dropped.
        """
        conditions: dict[str, int] = {}
        taken: list[StatusPoll] = []
        remaining: list[StatusPoll] = []
        state_settings = self._runtime.settings.cluster.state
        max_conditions = min(constants.POLL_CONFIRMATION_CONDITIONS_MAX, 4 * state_settings.txn_ops)
        for poll in self._polls:
            job_id = poll.job_id
            if poll.request_id not in self._requests:
                continue
            if job_id in self._replica.final_states:
                self.answer(poll, is_absence_confirmed=False)
                continue
            if len(conditions) + 2 > max_conditions:
                remaining.append(poll)
                continue
            job = self._replica.jobs.get(job_id)
            conditions[JOBS_PREFIX + job_id] = job.version if job else 0
            if job is None:
                conditions[FINAL_PREFIX + job_id] = 0
            taken.append(poll)
        self._polls = remaining
        return taken, conditions

    def _on_compared(
        self,
        polls: list[StatusPoll],
        conditions: dict[str, int],
        failed: set[str],
        revision: int,
    ) -> None:
        """Answer polls after their cached versions were compared with those at the revision.

        The cached versions of the `failed` keys are out of date.
        """
        for poll in polls:
            job_id = poll.job_id
            if JOBS_PREFIX + job_id in failed or FINAL_PREFIX + job_id in failed:
                self.read_and_answer(poll)
            elif job_id in self._replica.dependencies.waiting_jobs:
                self.answer_at_revision(poll, revision)
            else:
                self.answer(poll, is_absence_confirmed=FINAL_PREFIX + job_id in conditions)

    def answer_at_revision(self, poll: StatusPoll, revision: int) -> None:
        """Answer once the watch has brought the replica up to the revision.

        An unchanged record of a job does not show that none of its prerequisites was cancelled. An
        earlier answer could contradict a cancellation that another controller has already
        answered. The revision of the linearizable read is later than any such cancellation.
        """
        replica, job_id = self._replica, poll.job_id
        if replica.is_cancelled(job_id) or job_id not in replica.dependencies.waiting_jobs:
            self.answer(poll, is_absence_confirmed=False)
        elif replica.revision < revision or replica.dependencies.has_unknown_outcome(job_id):
            self._awaiting_revision.append((poll, revision))
        else:
            self.answer(poll, is_absence_confirmed=False)
