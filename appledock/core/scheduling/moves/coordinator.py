"""Coordinator of moves: creates this controller's roles in moves and routes their messages."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Mapping
from typing import assert_never

from appledock import constants
from appledock.core.effects import PeerSend
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.jobs.writer import JobWriter
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.machines.zones import MachineZones
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.messages import MoveEnded, MoveMessage, MoveRequested, MoveReserved
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves.cooldowns import Cooldowns
from appledock.core.scheduling.moves.destination_owner import DestinationOwner
from appledock.core.scheduling.moves.job_owner import JobOwner
from appledock.core.scheduling.moves.order_check import OrderCheck
from appledock.core.scheduling.moves.outcome import EndedMove, OngoingMove
from appledock.core.scheduling.moves.policy import MovePolicy
from appledock.core.scheduling.moves.requester import Requester
from appledock.core.scheduling.moves.reservations import MoveReservations
from appledock.core.scheduling.pacing import Pacing
from appledock.core.scheduling.placement import PlacedTasks
from appledock.core.scheduling.preemption import Preemption
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers
from appledock.rebalancing.planner import Proposal


class Moves:
    """The moves of running tasks in which this controller has any role."""

    def __init__(  # noqa: PLR0913 -- the collaborators of its three roles
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        heartbeats: Heartbeats,
        workers: Workers,
        zones: MachineZones,
        capacity_index: CapacityIndex,
        reconcile_queue: ReconcileQueue,
        writer: JobWriter,
        stop_requests: StopRequests,
        pacing: Pacing,
        preemption: Preemption,
        policy: MovePolicy,
        count_running: Callable[[Job], int],
    ) -> None:
        self._runtime = runtime
        self._heartbeats = heartbeats
        self._next_check_at = 0.0
        self._cooldowns = Cooldowns(runtime, policy)
        order_check = OrderCheck(membership, replica)
        self.reservations = MoveReservations(runtime, capacity_index, reconcile_queue)
        self.requester = Requester(
            runtime=runtime,
            replica=replica,
            membership=membership,
            cooldowns=self._cooldowns,
            send=self._send,
        )
        self.destination_owner = DestinationOwner(
            runtime=runtime,
            replica=replica,
            workers=workers,
            capacity_index=capacity_index,
            policy=policy,
            order_check=order_check,
            reservations=self.reservations,
            send=self._send,
        )
        self.job_owner = JobOwner(
            runtime=runtime,
            replica=replica,
            workers=workers,
            zones=zones,
            capacity_index=capacity_index,
            writer=writer,
            stop_requests=stop_requests,
            pacing=pacing,
            preemption=preemption,
            policy=policy,
            order_check=order_check,
            reservations=self.reservations,
            cooldowns=self._cooldowns,
            count_running=count_running,
            send=self._send,
        )

    # --- for planners of moves ----------------------------------------------
    def request(self, proposal: Proposal) -> None:
        """Request a move from the owner of its destination."""
        self.requester.request(proposal)

    def count_dry_run(self) -> None:
        """Count a move that is not requested because the operators have set a dry run."""
        self.requester.count_dry_run()

    def is_cooling_down(self, job_id: str) -> bool:
        """Return whether this controller knows of a move or a cooldown of the job."""
        return (
            self.reservations.has_any(job_id)
            or self._cooldowns.is_cooling_down(job_id)
            or self.requester.is_requested(job_id)
        )

    def is_reachable(self, node: str) -> bool:
        """Return whether messages between this controller and the job owner `node` arrive."""
        return node == self._runtime.node or self._heartbeats.is_reachable(node)

    @property
    def requested(self) -> Mapping[int, OngoingMove]:
        """Moves that this controller has requested and that have not ended, by order number."""
        return self.requester.requested

    @property
    def ended(self) -> deque[EndedMove]:
        """The most recent ended moves that this controller has requested, for operators."""
        return self.requester.ended

    @property
    def outcomes(self) -> Counter[str]:
        """Outcome -> number of ended moves that this controller has requested."""
        return self.requester.outcomes

    # --- for placement ------------------------------------------------------
    def is_moving(self, job_id: str) -> bool:
        """Return whether this controller carries out a move of the job as its owner."""
        return job_id in self.reservations.as_job_owner

    def place_moved_task(
        self, job: Job, unsettled: Job, zones: dict[str, int] | None
    ) -> list[PlacedTasks]:
        """Place the next attempt of a moved task; see `JobOwner.place_moved_task`."""
        return self.job_owner.place_moved_task(job, unsettled, zones)

    def on_step_committed(self, job_id: str, reservations: list[StepReservation]) -> None:
        """End the job's move if the committed step placed a task on the move's destination."""
        self.job_owner.on_step_committed(job_id, reservations)

    # --- messages -----------------------------------------------------------
    def on_peer_message(self, message: MoveMessage) -> None:
        """Route a message, from a peer or from this controller, to the role it is meant for."""
        match message:
            case MoveRequested():
                self.destination_owner.on_requested(message.order)
            case MoveReserved():
                self.job_owner.on_reserved(message.order)
            case MoveEnded():
                self.destination_owner.on_ended(message.order)
                self.requester.on_ended(message.order, message.outcome)
            case _:
                assert_never(message)

    def _send(self, node: str, message: MoveMessage) -> None:
        if node == self._runtime.node:
            self.on_peer_message(message)
        else:
            self._runtime.emit(PeerSend(message, node))

    # --- time and views -----------------------------------------------------
    def tick(self) -> None:
        """End moves that have expired or that are finished according to the records.

        Runs every `MOVE_CHECK_INTERVAL_S`.
        """
        if self._runtime.now < self._next_check_at:
            return
        self._next_check_at = self._runtime.now + constants.MOVE_CHECK_INTERVAL_S
        self.job_owner.tick()
        self.destination_owner.tick()
        self.requester.tick()
        self._cooldowns.drop_ended()
        self.requester.forget_closed_jobs()

    def on_view(self) -> None:
        """End all moves at a new view, since the owners of machines and jobs may have changed."""
        self.requester.on_view()
        self.reservations.release_all()
