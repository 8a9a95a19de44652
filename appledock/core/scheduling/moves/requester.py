"""Role of the requester in a move: sends the order and records the outcome."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.messages import MoveMessage, MoveOrder, MoveRequested
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves.cooldowns import Cooldowns
from appledock.core.scheduling.moves.outcome import EndedMove, MoveOutcome, OngoingMove
from appledock.core.scheduling.moves.reservations import begin_move
from appledock.core.store.replica import Replica
from appledock.rebalancing.planner import Proposal

log = logging.getLogger(__name__)


class Requester:
    """Requests moves and tracks them until they end."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        cooldowns: Cooldowns,
        send: Callable[[str, MoveMessage], None],
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._membership = membership
        self._cooldowns = cooldowns
        self._send = send
        self.requested: dict[int, OngoingMove] = {}
        """order number -> requested move that has not ended"""
        self.outcomes: Counter[str] = Counter()
        """outcome -> number of ended moves"""
        self.ended: deque[EndedMove] = deque(maxlen=constants.MOVE_HISTORY_MAX)
        """most recent ended moves"""
        self._last_number = 0
        self._unanswered: dict[str, int] = {}
        """job -> number of consecutive moves without an answer"""

    def request(self, proposal: Proposal) -> None:
        """Send the order of a proposed move to the owner of its destination."""
        self._last_number += 1
        order = MoveOrder(
            self._runtime.node,
            self._last_number,
            self._membership.term,
            proposal.job,
            proposal.task,
            proposal.attempt,
            proposal.source,
            proposal.destination,
            round(proposal.destination_load, 6),
        )
        self.requested[order.number] = begin_move(order, self._runtime.now)
        log.info(
            "move requested: job=%s task=%d source=%s destination=%s gain=%.2f",
            order.job,
            order.task,
            order.source,
            order.destination,
            proposal.gain,
        )
        self._send(self._replica.owner_of(order.destination), MoveRequested(order))

    def is_requested(self, job_id: str) -> bool:
        """Return whether a requested move of the job has not ended."""
        return any(move.order.job == job_id for move in self.requested.values())

    def count_dry_run(self) -> None:
        """Count a move that is not requested because the operators have set a dry run."""
        self.outcomes[MoveOutcome.DRY_RUN] += 1

    def on_ended(self, order: MoveOrder, outcome: str) -> None:
        """End a requested move with the outcome that the job or destination owner reports."""
        if order.planner != self._runtime.node:
            return
        move = self.requested.get(order.number)
        if move is not None and move.order == order:
            self._end(order, outcome)

    def on_view(self) -> None:
        """End all moves at a new view, since owners may have changed."""
        for move in list(self.requested.values()):
            self._record(move.order, MoveOutcome.VIEW_CHANGED)
        self.requested.clear()

    def tick(self) -> None:
        """End the moves for which no outcome has arrived in time."""
        for move in list(self.requested.values()):
            if self._runtime.now >= move.expires_at + constants.MOVE_CHECK_INTERVAL_S:
                self._end(move.order, MoveOutcome.NO_ANSWER)

    def forget_closed_jobs(self) -> None:
        """Drop the counters of jobs that have ended."""
        for job_id in self._unanswered.keys() - self._replica.jobs.keys():
            del self._unanswered[job_id]

    def _end(self, order: MoveOrder, outcome: str) -> None:
        del self.requested[order.number]
        self._cooldowns.extend(order.job, self._cooldown_s(order, outcome))
        self._record(order, outcome)

    def _cooldown_s(self, order: MoveOrder, outcome: str) -> float:
        """Return how long (s) no move of the job is requested, as its owner would refuse it."""
        unanswered = self._unanswered.pop(order.job, 0)
        match outcome:
            case MoveOutcome.DONE | MoveOutcome.COOLING_DOWN:
                return self._cooldowns.duration_s(order)
            case MoveOutcome.NO_ANSWER:
                # The owner may run a version without moves. Requests at a constant rate would
                # reserve capacity repeatedly without any use.
                self._unanswered[order.job] = unanswered + 1
                backoff_s: float = constants.MOVE_BACKOFF_S * 2 ** min(10, unanswered)
                return min(constants.MOVE_BACKOFF_MAX_S, backoff_s)
            case _:
                return constants.MOVE_BACKOFF_S

    def _record(self, order: MoveOrder, outcome: str) -> None:
        self.outcomes[outcome] += 1
        self.ended.append(EndedMove(order, self._runtime.wall_time, outcome))
        log.info(
            "move ended: job=%s task=%d destination=%s outcome=%s",
            order.job,
            order.task,
            order.destination,
            outcome,
        )
