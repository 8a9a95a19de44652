"""Requests of users to submit, poll and cancel jobs, which any controller answers."""

from __future__ import annotations

from appledock.core.api.job_cancellation import JobCancellations
from appledock.core.api.job_records import DependencyOutcomeReader
from appledock.core.api.pending_requests import NO_SUCH_JOB, PendingRequests
from appledock.core.api.status_polls import StatusPoll, StatusPolls
from appledock.core.api.submission import Submissions
from appledock.core.commands import CancelJob, GetJobState, SubmitJob


class UserRequests:
    """Admits each request and passes it to the component for its kind."""

    def __init__(
        self,
        pending_requests: PendingRequests,
        submissions: Submissions,
        polls: StatusPolls,
        cancellations: JobCancellations,
        dependency_outcome_reader: DependencyOutcomeReader,
    ) -> None:
        self.pending_requests = pending_requests
        self._submissions = submissions
        self._polls = polls
        self._cancellations = cancellations
        self._dependency_outcome_reader = dependency_outcome_reader

    def submit(self, command: SubmitJob) -> None:
        """Handle the submission of a job by a user."""
        if self.pending_requests.admit(command.request_id):
            self._submissions.submit(command.request_id, command.spec)

    def poll(self, command: GetJobState) -> None:
        """Handle a user's poll of the state of a job."""
        request_id = command.request_id
        if self.pending_requests.admit(request_id):
            self._polls.add(
                StatusPoll(
                    request_id,
                    command.job_id,
                    lambda: self.pending_requests.refuse(request_id, NO_SUCH_JOB),
                )
            )

    def cancel(self, command: CancelJob) -> None:
        """Handle the cancellation of a job by a user."""
        if self.pending_requests.admit(command.request_id):
            self._cancellations.cancel(command.request_id, command.job_id)

    def tick(self) -> None:
        """Refuse expired requests, and continue waiting polls and reads of prerequisites."""
        self.pending_requests.refuse_expired()
        self._polls.tick()
        self._dependency_outcome_reader.tick()
