"""Checks of a move order that do not depend on the controller's role in the move."""

from __future__ import annotations

from appledock.core.membership.membership import Membership
from appledock.core.messages import MoveOrder
from appledock.core.records.job import Attempt, Job
from appledock.core.scheduling.moves.outcome import MoveOutcome
from appledock.core.store.replica import Replica


class OrderCheck:
    """Checks whether an order belongs to the current view and to an open job."""

    def __init__(self, membership: Membership, replica: Replica) -> None:
        self._membership = membership
        self._replica = replica

    def refusal(self, order: MoveOrder) -> MoveOutcome | None:
        """Return why the order is refused in every role; None if it passes this check."""
        if not self._membership.can_act() or order.term != self._membership.term:
            return MoveOutcome.STALE_VIEW
        return None if self.is_job_open(order) else MoveOutcome.JOB_OVER

    def is_job_open(self, order: MoveOrder) -> bool:
        """Return whether the job of the order has neither ended nor been cancelled."""
        return order.job in self._replica.jobs and not self._replica.is_cancelled(order.job)


def find_open_attempt(job: Job, order: MoveOrder) -> Attempt | None:
    """Return the attempt of the task that the order moves; None if the attempt is settled."""
    for attempt in job.attempts:
        if (
            attempt.machine == order.source
            and attempt.attempt_number == order.attempt
            and order.task in attempt.tasks
        ):
            return attempt
    return None
