"""Requests of users: submit, poll and cancel, answered by any controller."""

from __future__ import annotations

from appledock.core.api.job_cancellation import JobCancellations
from appledock.core.api.job_records import DependencyOutcomes
from appledock.core.api.open_requests import NO_SUCH_JOB, OpenRequests
from appledock.core.api.status_polls import PendingRequest, StatusPolls
from appledock.core.api.submission import Submissions
from appledock.core.commands import CancelJob, GetJobState, SubmitJob


class UserRequests:
    """Admits each request and hands it to the part for its kind."""

    def __init__(
        self,
        open_requests: OpenRequests,
        submissions: Submissions,
        polls: StatusPolls,
        cancellations: JobCancellations,
        dependency_outcomes: DependencyOutcomes,
    ) -> None:
        self.open_requests = open_requests
        self._submissions = submissions
        self._polls = polls
        self._cancellations = cancellations
        self._dependency_outcomes = dependency_outcomes

    def submit(self, command: SubmitJob) -> None:
        """A user submits a job."""
        if self.open_requests.admit(command.request_id):
            self._submissions.submit(command.request_id, command.spec)

    def poll(self, command: GetJobState) -> None:
        """A user asks for the state of a job."""
        request_id = command.request_id
        if self.open_requests.admit(request_id):
            self._polls.add(
                PendingRequest(
                    request_id,
                    command.job_id,
                    lambda: self.open_requests.refuse(request_id, NO_SUCH_JOB),
                )
            )

    def cancel(self, command: CancelJob) -> None:
        """A user cancels a job."""
        if self.open_requests.admit(command.request_id):
            self._cancellations.cancel(command.request_id, command.job_id)

    def tick(self) -> None:
        """Keep to the deadlines, and go on with what waits."""
        self.open_requests.refuse_expired()
        self._polls.tick()
        self._dependency_outcomes.tick()
