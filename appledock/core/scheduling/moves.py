"""Moves of running tasks: room is kept, the task is stopped, its next attempt goes there.

A move takes no way of its own. The stop is the conditional write that marks the attempt, the
next attempt waits for settlement as any retry, and is placed by the ordinary step; the job
stays within its team's limit and rules of zone because that step checks them. What is added
is the order of things: the planner asks the destination's owner, who keeps room and tells the
job's owner, who checks the order against what it knows *now*, stops the task, and gives its
next attempt that room. Every message may be lost: what is kept lapses, and a stopped task is
placed as any other. A new view ends all moves; a stopped task is then placed as any retry.
"""

from __future__ import annotations

import enum
import logging
from collections import Counter, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.effects import PeerSend
from appledock.core.machines.capacity_index import StepReservation
from appledock.core.machines.machine_capacity import is_allowed_on
from appledock.core.messages import MoveEnded, MoveMessage, MoveOrder, MoveRequested, MoveReserved
from appledock.core.records.job import Attempt, Job
from appledock.core.scheduling import placement
from appledock.core.scheduling.placement import PlacedTasks, Sampling
from appledock.rebalancing.settings import Moves as MoveRules

if TYPE_CHECKING:
    from appledock.core.controller import Controller
    from appledock.rebalancing.planner import Proposal

log = logging.getLogger(__name__)

DEFAULT_RULES = MoveRules()
"""where load is not spread, and replicas are moved off machines that change hands"""


class Outcome(enum.StrEnum):
    """What came of a move."""

    DONE = "done"
    OFF = "rebalancing is off there"
    STALE = "of an earlier view"
    NOT_OURS = "machine or job changed hands"
    JOB_OVER = "job over or cancelled"
    CHANGED = "task ended, stopped or moved meanwhile"
    NOT_RUNNING = "task not running"
    NOT_ALLOWED = "job may not run there"
    NO_ROOM = "no room at the destination"
    FULLER = "destination fuller than planned"
    BUSY = "destination or job has a move under way"
    COOLING = "job moved lately"
    REPLICAS = "too few replicas up"
    WRITES = "writes are scarce"
    LOST = "destination gone, cordoned or full"
    LATE = "not settled in time"
    NO_ANSWER = "no answer"
    NEW_VIEW = "ended by a new view"


@dataclass(frozen=True, slots=True)
class UnderWay:
    """A move that this controller has a part in."""

    order: MoveOrder
    since: float
    until: float


@dataclass(frozen=True, slots=True)
class Ended:
    """A move of the past, for operators."""

    order: MoveOrder
    at: float
    outcome: str


class Moves:
    """Keeps room for moves, stops tasks for them, and gives the next attempts that room."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.requested: dict[int, UnderWay] = {}
        """ours as planner"""
        self.holds: dict[str, UnderWay] = {}
        """job -> move to a machine of ours, which keeps room for it"""
        self.active: dict[str, UnderWay] = {}
        """job of ours -> its move"""
        self.cooling: dict[str, float] = {}
        """job -> until when it is not moved again"""
        self.unanswered: dict[str, int] = {}
        """job -> moves in a row of which its owner said nothing"""
        self.outcomes: Counter[str] = Counter()
        """of moves that we planned"""
        self.ended: deque[Ended] = deque(maxlen=c.MOVES_KEPT)
        self.numbers = 0
        self.next_look = 0.0

    @property
    def enabled(self) -> bool:
        """Does any part move tasks?"""
        return self.engine.rebalancer.enabled or self.engine.partitions.enabled

    @property
    def rules(self) -> MoveRules:
        """Pace and damping."""
        settings = self.engine.rebalancer.settings
        return settings.moves if settings is not None else DEFAULT_RULES

    def is_reachable(self, node: str) -> bool:
        """Would the controller hear of a move, and would we hear what came of it?"""
        return node == self.engine.settings.name or self.engine.heartbeats.is_reachable(node)

    # --- planner ----------------------------------------------------------
    def request(self, proposal: Proposal) -> None:
        """Ask the destination's owner for a move."""
        engine = self.engine
        self.numbers += 1
        order = MoveOrder(
            engine.settings.name,
            self.numbers,
            engine.membership.term,
            proposal.job,
            proposal.task,
            proposal.attempt,
            proposal.source,
            proposal.destination,
            round(proposal.destination_load, 6),
        )
        self.requested[order.number] = self._under_way(order)
        log.info(
            "move %s/%d from %s to %s: gain %.2f",
            order.job,
            order.task,
            order.source,
            order.destination,
            proposal.gain,
        )
        self._send(engine.replica.owner_of(order.destination), MoveRequested(order))

    def _under_way(self, order: MoveOrder) -> UnderWay:
        now = self.engine.now
        return UnderWay(order, now, now + c.MOVE_HOLD_S)

    # --- messages ---------------------------------------------------------
    def on_peer(self, message: MoveMessage) -> None:
        """A part of a move that is ours, from a peer or from ourselves."""
        match message:
            case MoveRequested():
                self._on_requested(message.order)
            case MoveReserved():
                self._on_held(message.order)
            case MoveEnded():
                self._on_ended(message.order, message.outcome)

    def _send(self, node: str, message: MoveMessage) -> None:
        if node == self.engine.settings.name:
            self.on_peer(message)
        else:
            self.engine.emit(PeerSend(message, node))

    def _on_requested(self, order: MoveOrder) -> None:
        """As the destination's owner: keep the room, if it is there."""
        engine = self.engine
        refusal = self._refused_here(order)
        if refusal is not None:
            self._send(order.planner, MoveEnded(order, refusal))
            return
        job = engine.replica.jobs[order.job]
        self.holds[order.job] = self._under_way(order)
        engine.capacity_index.reserve_for_move(order.destination, job.spec)
        self._send(engine.replica.job_owner(job), MoveReserved(order))

    def _refused_here(self, order: MoveOrder) -> Outcome | None:
        engine = self.engine
        if not self.enabled:
            return Outcome.OFF
        refusal = self._refused_anywhere(order)
        if refusal is not None:
            return refusal
        if not engine.workers.owns(order.destination):
            return Outcome.NOT_OURS
        if order.job in self.holds or engine.capacity_index.move_reservations.get(
            order.destination
        ):
            # One at a time: several planners may choose the same empty machine.
            return Outcome.BUSY
        engine.capacity_index.recompute()
        room = engine.capacity_index.machines.get(order.destination)
        if room is None:
            return Outcome.LOST
        spec = engine.replica.jobs[order.job].spec
        if not is_allowed_on(spec, room):
            return Outcome.NOT_ALLOWED
        if not room.fits(spec):
            return Outcome.NO_ROOM
        if room.load is None or room.load.total > order.load + c.MOVE_LOAD_SLACK:
            return Outcome.FULLER
        return None

    def _refused_anywhere(self, order: MoveOrder) -> Outcome | None:
        """What any controller can tell: is the order of this view, and is there such a job?"""
        engine = self.engine
        if not engine.membership.can_act() or order.term != engine.membership.term:
            return Outcome.STALE
        job = engine.replica.jobs.get(order.job)
        if job is None or engine.replica.is_cancelled(order.job):
            return Outcome.JOB_OVER
        return None

    def _on_held(self, order: MoveOrder) -> None:
        """As the job's owner: check the order against what is so now, and stop the task."""
        refusal = self._refused_by_job(order)
        if refusal is not None:
            self._end(order, refusal)
            return
        engine = self.engine
        spec = engine.replica.jobs[order.job].spec
        self.active[order.job] = self._under_way(order)
        engine.capacity_index.reserve_for_move(order.destination, spec)
        engine.stop_requests.add(order.job, order.source, {order.task})

    def _refused_by_job(self, order: MoveOrder) -> Outcome | None:
        engine = self.engine
        refusal = self._refused_anywhere(order)
        if refusal is not None:
            return refusal
        job = engine.replica.jobs[order.job]
        if not engine.replica.owns_job(engine.settings.name, job):
            return Outcome.NOT_OURS
        if not self.enabled:
            return Outcome.OFF
        drains = engine.partitions.moves_off(job.spec, order.source)
        if not drains and not engine.rebalancer.is_movable(job.spec):
            return Outcome.NOT_ALLOWED
        if order.job in self.active or not engine.job_writer.can_write(job):
            return Outcome.BUSY
        if engine.now < self.cooling.get(order.job, c.LONG_AGO):
            return Outcome.COOLING
        if engine.pacing.is_step_rate_limited() or engine.pacing.is_service_rate_limited():
            return Outcome.WRITES
        return (
            self._refused_by_task(job, order)
            or self._refused_by_replicas(job)
            or self._refused_by_room(job, order)
        )

    def _refused_by_room(self, job: Job, order: MoveOrder) -> Outcome | None:
        """Is the room there by our own picture too, with the steps that we have under way?

        Guards against a task that is stopped for room which a step of ours takes meanwhile, on
        another controller's machine that we place on as well: it then stopped others' work.
        """
        held = self.holds.get(order.job)
        if held is not None and held.order == order:
            return None  # the room is ours to keep, and kept
        self.engine.capacity_index.recompute()
        room = self.engine.capacity_index.machines.get(order.destination)
        if room is None:
            return Outcome.LOST
        if not room.fits(job.spec):
            return Outcome.NO_ROOM
        return None if is_allowed_on(job.spec, room) else Outcome.NOT_ALLOWED

    def _refused_by_task(self, job: Job, order: MoveOrder) -> Outcome | None:
        attempt = open_attempt(job, order)
        if attempt is None or attempt.stopping or job.queued_task_count > 0:
            return Outcome.CHANGED
        worker = self.engine.workers.table.get(order.source)
        if worker is None:
            return Outcome.NOT_RUNNING
        shown = worker.tasks.get((f"{job.id}/{order.task}", order.attempt))
        if shown is None or shown.state != wire.RUNNING:
            return Outcome.NOT_RUNNING
        zones = {
            self.engine.machine_zones.zone_of(name) for name in (order.source, order.destination)
        }
        if (job.spec.one_zone or job.spec.spread) and len(zones) != 1:
            return Outcome.NOT_ALLOWED
        return None

    def _refused_by_replicas(self, job: Job) -> Outcome | None:
        """A service keeps its replicas, less a stated number, up during moves."""
        least = job.spec.tasks - self.rules.replicas_down
        if job.spec.service and self.engine.running(job) - 1 < least:
            return Outcome.REPLICAS
        return None

    # --- the next attempt -------------------------------------------------
    def moving(self, job_id: str) -> bool:
        """Is room kept for a task of this job of ours?"""
        return job_id in self.active

    def is_cooling_down(self, job_id: str) -> bool:
        """Is the job moving, or was it moved lately, as far as we know?"""
        return (
            job_id in self.active
            or job_id in self.holds
            or self.engine.now < self.cooling.get(job_id, c.LONG_AGO)
            or any(under_way.order.job == job_id for under_way in self.requested.values())
        )

    def place_held(self, job: Job, rest: Job, zones: dict[str, int] | None) -> list[PlacedTasks]:
        """Put the next attempt of the stopped task into the room that is kept for it.

        Empty as long as the task is not settled, and if the room is not there any more: then
        the move is over, and the task is placed as any other.
        """
        under_way = self.active.get(job.id)
        if under_way is None or open_attempt(rest, under_way.order) is not None:
            return []
        engine, order = self.engine, under_way.order
        room = engine.capacity_index.machines.get(order.destination)
        if room is None or not engine.preemption.is_available_to(room.name, job):
            self._end(order, Outcome.LOST)
            return []
        room.release(job.spec, 1)  # the room that is kept
        placed = placement.place(job.spec, 1, [room], Sampling(engine.rng), zones or {})
        if not placed:
            room.reserve(job.spec, 1)
            self._end(order, Outcome.LOST)
        return placed

    def placed(self, job_id: str, reserved: list[StepReservation]) -> None:
        """A step of the job is committed."""
        under_way = self.active.get(job_id)
        if under_way is not None and any(
            machine == under_way.order.destination for machine, _, _ in reserved
        ):
            self._end(under_way.order, Outcome.DONE)

    # --- ends -------------------------------------------------------------
    def _end(self, order: MoveOrder, outcome: str) -> None:
        """As the job's owner: the move is over; who asked and who keeps room hear of it."""
        under_way = self.active.get(order.job)
        if under_way is not None and under_way.order == order:
            del self.active[order.job]
            self.cooling[order.job] = self.engine.now + self._cooldown_s(order)
        self._release(order)
        holder = self.engine.replica.owner_of(order.destination)
        for node in {holder, order.planner}:
            self._send(node, MoveEnded(order, outcome))

    def _on_ended(self, order: MoveOrder, outcome: str) -> None:
        held = self.holds.get(order.job)
        if held is not None and held.order == order:
            del self.holds[order.job]
            self._release(order)
        if order.planner == self.engine.settings.name:
            planned = self.requested.get(order.number)
            if planned is not None and planned.order == order:
                del self.requested[order.number]
                self._rest(order, outcome)
                self._note(order, outcome)

    def _cooldown_s(self, order: MoveOrder) -> float:
        """How long a job that was moved rests; hardly, if its machine is to be handed over."""
        return (
            c.DRAIN_REST_S
            if self.engine.partitions.leaving(order.source)
            else self.rules.cooldown_s
        )

    def _rest(self, order: MoveOrder, outcome: str) -> None:
        """As the planner: ask no more for this job for a while; its owner would refuse."""
        job_id = order.job
        rest_s = c.MOVE_RETRY_S
        unanswered = self.unanswered.pop(job_id, 0)
        if outcome in (Outcome.DONE, Outcome.COOLING):
            rest_s = self._cooldown_s(order)
        elif outcome == Outcome.NO_ANSWER:
            # Its owner may be of a version that knows no moves: the room that was kept for
            # nothing would be kept again and again.
            rest_s = min(c.MOVE_REST_MAX_S, c.MOVE_RETRY_S * 2 ** min(10, unanswered))
            self.unanswered[job_id] = unanswered + 1
        until = self.engine.now + rest_s
        self.cooling[job_id] = max(until, self.cooling.get(job_id, c.LONG_AGO))

    def _note(self, order: MoveOrder, outcome: str) -> None:
        self.outcomes[outcome] += 1
        self.ended.append(Ended(order, self.engine.wall, outcome))
        log.info("move %s/%d to %s: %s", order.job, order.task, order.destination, outcome)

    def _release(self, order: MoveOrder) -> None:
        """Give up the room, unless another part of this move here still needs it."""
        needed = any(
            under_way is not None and under_way.order.destination == order.destination
            for under_way in (self.holds.get(order.job), self.active.get(order.job))
        )
        if not needed:
            self.engine.capacity_index.release_move(order.destination, order.job)
            self.engine.reconcile_queue.placement_due = True

    # --- time and views ---------------------------------------------------
    def tick(self) -> None:
        """End what lasts too long, and what records show to be over."""
        now = self.engine.now
        if now < self.next_look:
            return
        self.next_look = now + c.MOVE_LOOK_EVERY_S
        for under_way in list(self.active.values()):
            over = self._over(under_way)
            if over is not None:
                self._end(under_way.order, over)
        for under_way in list(self.holds.values()):
            if now >= under_way.until or self._arrived(under_way.order):
                del self.holds[under_way.order.job]
                self._release(under_way.order)
        for under_way in list(self.requested.values()):
            if now >= under_way.until + c.MOVE_LOOK_EVERY_S:
                del self.requested[under_way.order.number]
                self._rest(under_way.order, Outcome.NO_ANSWER)
                self._note(under_way.order, Outcome.NO_ANSWER)
        self.cooling = {job: until for job, until in self.cooling.items() if until > now}
        for job_id in self.unanswered.keys() - self.engine.replica.jobs.keys():
            del self.unanswered[job_id]

    def _over(self, under_way: UnderWay) -> Outcome | None:
        engine, order = self.engine, under_way.order
        job = engine.replica.jobs.get(order.job)
        if job is None or engine.replica.is_cancelled(order.job):
            return Outcome.JOB_OVER
        if not engine.replica.owns_job(engine.settings.name, job):
            return Outcome.NOT_OURS
        if engine.now >= under_way.until:
            return Outcome.LATE
        if (
            open_attempt(job, order) is None
            and job.queued_task_count == 0
            and engine.job_writer.can_write(job)
        ):
            return Outcome.CHANGED  # it completed before the stop reached it
        return None

    def _arrived(self, order: MoveOrder) -> bool:
        """Do the records show the job at the destination, or no job any more?"""
        job = self.engine.replica.jobs.get(order.job)
        return job is None or any(
            attempt.machine == order.destination and attempt.attempt_number > order.attempt
            for attempt in job.attempts
        )

    def on_view(self) -> None:
        """A new view drops the plans of the old: owners may have changed."""
        for under_way in list(self.requested.values()):
            self._note(under_way.order, Outcome.NEW_VIEW)
        orders = [x.order for part in (self.active, self.holds) for x in part.values()]
        self.requested.clear()
        self.active.clear()
        self.holds.clear()
        for order in orders:
            self._release(order)


def open_attempt(job: Job, order: MoveOrder) -> Attempt | None:
    """The attempt that the order is about, if it is still open."""
    for attempt in job.attempts:
        if (
            attempt.machine == order.source
            and attempt.attempt_number == order.attempt
            and order.task in attempt.tasks
        ):
            return attempt
    return None
