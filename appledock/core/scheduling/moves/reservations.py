"""Capacity that this controller has reserved for moves."""

from __future__ import annotations

from appledock import constants, wire
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.messages import MoveOrder
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves.outcome import OngoingMove


class MoveReservations:
    """Moves for which capacity is reserved, by the role of this controller in them.

    In one move this controller may be the destination owner, the job owner, or both. The
    capacity is reserved once, and released when neither role needs it any more.
    """

    def __init__(
        self, runtime: Runtime, capacity_index: CapacityIndex, reconcile_queue: ReconcileQueue
    ) -> None:
        self._runtime = runtime
        self._capacity_index = capacity_index
        self._reconcile_queue = reconcile_queue
        self.as_destination_owner: dict[str, OngoingMove] = {}
        """job -> its move to a machine of this controller"""
        self.as_job_owner: dict[str, OngoingMove] = {}
        """job of this controller -> its move"""

    def reserve_as_destination_owner(self, order: MoveOrder, spec: wire.JobSpec) -> None:
        """Reserve the capacity of a move as the destination owner."""
        self.as_destination_owner[order.job] = begin_move(order, self._runtime.now)
        self._capacity_index.reserve_for_move(order.destination, spec)

    def reserve_as_job_owner(self, order: MoveOrder, spec: wire.JobSpec) -> None:
        """Reserve the capacity of a move as the job owner."""
        self.as_job_owner[order.job] = begin_move(order, self._runtime.now)
        self._capacity_index.reserve_for_move(order.destination, spec)

    def is_reserved_as_destination_owner(self, order: MoveOrder) -> bool:
        """Return whether capacity is reserved for exactly this order as the destination owner."""
        move = self.as_destination_owner.get(order.job)
        return move is not None and move.order == order

    def is_reserved_as_job_owner(self, order: MoveOrder) -> bool:
        """Return whether capacity is reserved for exactly this order as the job owner."""
        move = self.as_job_owner.get(order.job)
        return move is not None and move.order == order

    def has_any(self, job_id: str) -> bool:
        """Return whether capacity is reserved here for a move of the job, in either role."""
        return job_id in self.as_job_owner or job_id in self.as_destination_owner

    def release(self, order: MoveOrder) -> None:
        """Release the capacity unless the other role of this controller still needs it.

        The caller has already removed the move of its own role.
        """
        is_needed = any(
            move is not None and move.order.destination == order.destination
            for move in (self.as_destination_owner.get(order.job), self.as_job_owner.get(order.job))
        )
        if not is_needed:
            self._capacity_index.release_move(order.destination, order.job)
            self._reconcile_queue.placement_due = True

    def release_all(self) -> None:
        """Remove all moves and release their capacity."""
        orders = [
            move.order
            for moves in (self.as_job_owner, self.as_destination_owner)
            for move in moves.values()
        ]
        self.as_job_owner.clear()
        self.as_destination_owner.clear()
        for order in orders:
            self.release(order)


def begin_move(order: MoveOrder, now: float) -> OngoingMove:
    """Return a move that begins now and expires after `MOVE_RESERVATION_S`."""
    return OngoingMove(order, now, now + constants.MOVE_RESERVATION_S)
