"""Role of the destination owner in a move: reserves capacity on the destination machine."""

from __future__ import annotations

from collections.abc import Callable

from appledock import constants
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import is_allowed_on
from appledock.core.messages import MoveEnded, MoveMessage, MoveOrder, MoveReserved
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves.order_check import OrderCheck
from appledock.core.scheduling.moves.outcome import MoveOutcome
from appledock.core.scheduling.moves.policy import MovePolicy
from appledock.core.scheduling.moves.reservations import MoveReservations
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers


class DestinationOwner:
    """Handles move orders whose destination is a machine of this controller."""

    def __init__(  # noqa: PLR0913 -- the check of an order needs many collaborators
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        capacity_index: CapacityIndex,
        policy: MovePolicy,
        order_check: OrderCheck,
        reservations: MoveReservations,
        send: Callable[[str, MoveMessage], None],
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index
        self._policy = policy
        self._order_check = order_check
        self._reservations = reservations
        self._send = send

    def on_requested(self, order: MoveOrder) -> None:
        """Reserve the capacity and notify the job owner, or send the refusal to the requester."""
        refusal = self.refusal(order)
        if refusal is not None:
            self._send(order.planner, MoveEnded(order, refusal))
            return
        job = self._replica.jobs[order.job]
        self._reservations.reserve_as_destination_owner(order, job.spec)
        self._send(self._replica.job_owner(job), MoveReserved(order))

    def refusal(self, order: MoveOrder) -> MoveOutcome | None:
        """Return why this controller refuses the order; None if it can reserve the capacity."""
        if not self._policy.is_enabled():
            return MoveOutcome.REBALANCING_OFF
        refusal = self._order_check.refusal(order)
        if refusal is not None:
            return refusal
        if not self._workers.owns(order.destination):
            return MoveOutcome.OWNER_CHANGED
        if (
            order.job in self._reservations.as_destination_owner
            or self._capacity_index.move_reservations.get(order.destination)
        ):
            # One move at a time to each machine: several planners may choose the same empty one.
            return MoveOutcome.MOVE_IN_PROGRESS
        return self._refusal_by_capacity(order)

    def _refusal_by_capacity(self, order: MoveOrder) -> MoveOutcome | None:
        self._capacity_index.recompute()
        machine = self._capacity_index.machines.get(order.destination)
        if machine is None:
            return MoveOutcome.DESTINATION_UNAVAILABLE
        spec = self._replica.jobs[order.job].spec
        if not is_allowed_on(spec, machine):
            return MoveOutcome.NOT_ALLOWED
        if not machine.fits(spec):
            return MoveOutcome.NO_CAPACITY
        if machine.load is None or machine.load.total > order.load + constants.MOVE_LOAD_TOLERANCE:
            return MoveOutcome.LOAD_TOO_HIGH
        return None

    def on_ended(self, order: MoveOrder) -> None:
        """Release the capacity of a move that the job owner reports as ended."""
        if self._reservations.is_reserved_as_destination_owner(order):
            self._release(order)

    def tick(self) -> None:
        """Release the capacity of moves that have expired or are finished according to records."""
        for move in list(self._reservations.as_destination_owner.values()):
            if self._runtime.now >= move.expires_at or self._has_finished(move.order):
                self._release(move.order)

    def _release(self, order: MoveOrder) -> None:
        del self._reservations.as_destination_owner[order.job]
        self._reservations.release(order)

    def _has_finished(self, order: MoveOrder) -> bool:
        """Return whether the job has a later attempt at the destination or has ended."""
        job = self._replica.jobs.get(order.job)
        return job is None or any(
            attempt.machine == order.destination and attempt.attempt_number > order.attempt
            for attempt in job.attempts
        )
