"""Role of the job owner in a move: stops the task and places its next attempt."""

from __future__ import annotations

from collections.abc import Callable

from appledock import wire
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.jobs.writer import JobWriter
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.machines.machine_capacity import is_allowed_on
from appledock.core.machines.zones import MachineZones
from appledock.core.messages import MoveEnded, MoveMessage, MoveOrder
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling import placement
from appledock.core.scheduling.moves.cooldowns import Cooldowns
from appledock.core.scheduling.moves.order_check import OrderCheck, find_open_attempt
from appledock.core.scheduling.moves.outcome import MoveOutcome, OngoingMove
from appledock.core.scheduling.moves.policy import MovePolicy
from appledock.core.scheduling.moves.reservations import MoveReservations
from appledock.core.scheduling.pacing import Pacing
from appledock.core.scheduling.placement import PlacedTasks, Sampling
from appledock.core.scheduling.preemption import Preemption
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers


class JobOwner:
    """Carries out the moves of tasks of this controller's jobs."""

    def __init__(  # noqa: PLR0913 -- the check of an order needs many collaborators
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        zones: MachineZones,
        capacity_index: CapacityIndex,
        writer: JobWriter,
        stop_requests: StopRequests,
        pacing: Pacing,
        preemption: Preemption,
        policy: MovePolicy,
        order_check: OrderCheck,
        reservations: MoveReservations,
        cooldowns: Cooldowns,
        count_running: Callable[[Job], int],
        send: Callable[[str, MoveMessage], None],
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._zones = zones
        self._capacity_index = capacity_index
        self._writer = writer
        self._stop_requests = stop_requests
        self._pacing = pacing
        self._preemption = preemption
        self._policy = policy
        self._order_check = order_check
        self._reservations = reservations
        self._cooldowns = cooldowns
        self._count_running = count_running
        self._send = send

    # --- the stop -----------------------------------------------------------
    def on_reserved(self, order: MoveOrder) -> None:
        """Stop the task now that the destination owner has reserved capacity, or end the move."""
        refusal = self.refusal(order)
        if refusal is not None:
            self._end(order, refusal)
            return
        self._reservations.reserve_as_job_owner(order, self._replica.jobs[order.job].spec)
        self._stop_requests.add(order.job, order.source, {order.task})

    def refusal(self, order: MoveOrder) -> MoveOutcome | None:
        """Return why this controller refuses the order; None if the task may be stopped."""
        refusal = self._order_check.refusal(order)
        if refusal is not None:
            return refusal
        job = self._replica.jobs[order.job]
        return (
            self._refusal_by_policy(job, order)
            or self._refusal_by_rate(job)
            or self._refusal_by_task(job, order)
            or self._refusal_by_replicas(job)
            or self._refusal_by_capacity(job, order)
        )

    def _refusal_by_policy(self, job: Job, order: MoveOrder) -> MoveOutcome | None:
        if not self._replica.owns_job(self._runtime.node, job):
            return MoveOutcome.OWNER_CHANGED
        if not self._policy.is_enabled():
            return MoveOutcome.REBALANCING_OFF
        must_leave = self._policy.must_leave(job.spec, order.source)
        if not must_leave and not self._policy.is_movable(job.spec):
            return MoveOutcome.NOT_ALLOWED
        return None

    def _refusal_by_rate(self, job: Job) -> MoveOutcome | None:
        """Refuse a move during another one, during the cooldown, or while writes are limited."""
        if job.id in self._reservations.as_job_owner or not self._writer.can_write(job):
            return MoveOutcome.MOVE_IN_PROGRESS
        if self._cooldowns.is_cooling_down(job.id):
            return MoveOutcome.COOLING_DOWN
        if self._pacing.is_step_rate_limited() or self._pacing.is_service_rate_limited():
            return MoveOutcome.RATE_LIMITED
        return None

    def _refusal_by_task(self, job: Job, order: MoveOrder) -> MoveOutcome | None:
        attempt = find_open_attempt(job, order)
        if attempt is None or attempt.stopping or job.queued_task_count > 0:
            return MoveOutcome.TASK_CHANGED
        worker = self._workers.table.get(order.source)
        if worker is None:
            return MoveOutcome.NOT_RUNNING
        reported = worker.tasks.get((f"{job.id}/{order.task}", order.attempt))
        if reported is None or reported.state != wire.RUNNING:
            return MoveOutcome.NOT_RUNNING
        zones = {self._zones.zone_of(name) for name in (order.source, order.destination)}
        if (job.spec.one_zone or job.spec.spread) and len(zones) != 1:
            return MoveOutcome.NOT_ALLOWED
        return None

    def _refusal_by_replicas(self, job: Job) -> MoveOutcome | None:
        """Refuse a move that would leave a service with too few running replicas.

        Moves may take down at most a configured number of a service's replicas at a time.
        """
        min_running = job.spec.tasks - self._policy.settings.replicas_down
        if job.spec.service and self._count_running(job) - 1 < min_running:
            return MoveOutcome.TOO_FEW_REPLICAS
        return None

    def _refusal_by_capacity(self, job: Job, order: MoveOrder) -> MoveOutcome | None:
        """Check the capacity again, including this controller's own steps that are being written.

        This controller may also place on machines of other controllers. Without this check, a
        task was stopped to move to capacity that one of these steps was already taking on such a
        machine, and the task's next attempt then preempted other tasks.
        """
        if self._reservations.is_reserved_as_destination_owner(order):
            return None
        self._capacity_index.recompute()
        machine = self._capacity_index.machines.get(order.destination)
        if machine is None:
            return MoveOutcome.DESTINATION_UNAVAILABLE
        if not machine.fits(job.spec):
            return MoveOutcome.NO_CAPACITY
        return None if is_allowed_on(job.spec, machine) else MoveOutcome.NOT_ALLOWED

    # --- the next attempt ---------------------------------------------------
    def place_moved_task(
        self, job: Job, unsettled: Job, zones: dict[str, int] | None
    ) -> list[PlacedTasks]:
        """Place the next attempt of the stopped task on the capacity reserved for it.

        If the capacity is not available any more, the move ends, and the task is placed like any
        other queued task.

        Args:
            job: the job whose task is being moved
            unsettled: the job without its settled attempts
            zones: zone -> number of the job's unsettled tasks

        Returns:
            The task placed; empty while the stopped attempt is unsettled, if no task of the job
            is being moved, or if the move has just ended.
        """
        move = self._reservations.as_job_owner.get(job.id)
        if move is None or find_open_attempt(unsettled, move.order) is not None:
            return []
        machine = self._capacity_index.machines.get(move.order.destination)
        if machine is None or not self._preemption.is_available_to(machine.name, job):
            self._end(move.order, MoveOutcome.DESTINATION_UNAVAILABLE)
            return []
        machine.release(job.spec, 1)  # the capacity reserved for this task
        sampling = Sampling(self._runtime.rng)
        placed = placement.place(job.spec, 1, [machine], sampling, zones or {})
        if not placed:
            machine.reserve(job.spec, 1)
            self._end(move.order, MoveOutcome.DESTINATION_UNAVAILABLE)
        return placed

    def on_step_committed(self, job_id: str, reservations: list[StepReservation]) -> None:
        """End the job's move if the committed step placed a task on the move's destination."""
        move = self._reservations.as_job_owner.get(job_id)
        if move is not None and any(
            reservation.machine == move.order.destination for reservation in reservations
        ):
            self._end(move.order, MoveOutcome.DONE)

    # --- the end ------------------------------------------------------------
    def _end(self, order: MoveOrder, outcome: MoveOutcome) -> None:
        """End the move and report its outcome to its requester and to the destination owner."""
        if self._reservations.is_reserved_as_job_owner(order):
            del self._reservations.as_job_owner[order.job]
            self._cooldowns.start(order.job, self._cooldowns.duration_s(order))
        self._reservations.release(order)
        destination_owner = self._replica.owner_of(order.destination)
        for node in {destination_owner, order.planner}:
            self._send(node, MoveEnded(order, outcome))

    def tick(self) -> None:
        """End the moves that have expired or that are finished according to the records."""
        for move in list(self._reservations.as_job_owner.values()):
            outcome = self._outcome_by_records(move)
            if outcome is not None:
                self._end(move.order, outcome)

    def _outcome_by_records(self, move: OngoingMove) -> MoveOutcome | None:
        order = move.order
        if not self._order_check.is_job_open(order):
            return MoveOutcome.JOB_OVER
        job = self._replica.jobs[order.job]
        if not self._replica.owns_job(self._runtime.node, job):
            return MoveOutcome.OWNER_CHANGED
        if self._runtime.now >= move.expires_at:
            return MoveOutcome.TIMED_OUT
        if (
            find_open_attempt(job, order) is None
            and job.queued_task_count == 0
            and self._writer.can_write(job)
        ):
            return MoveOutcome.TASK_CHANGED  # the task completed before the stop reached it
        return None
