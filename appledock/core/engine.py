"""The one owner of all state: takes commands in batches, gives effects back."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from appledock import constants as c
from appledock import wire
from appledock.capacity.settings import Capacity
from appledock.core import events as ev
from appledock.core import messages
from appledock.core.api.admin import AdminApi
from appledock.core.api.user_requests import Requests
from appledock.core.capacity.partitions import CapacityShares
from appledock.core.fleet import Fleet
from appledock.core.jobs.cancellation import Cancels
from appledock.core.jobs.record import Job
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.quota.quota import Quota
from appledock.core.rebalancing.rebalancer import Rebalancer
from appledock.core.scheduling.capacity_index import Rooms
from appledock.core.scheduling.moves import Moves
from appledock.core.scheduling.objectives import Objectives
from appledock.core.scheduling.queue_order import QueueOrder
from appledock.core.scheduling.reconciler import Steps
from appledock.core.store.rate_limiter import Bucket, Budget, Priority, Waiting
from appledock.core.store.reader import StateReader
from appledock.core.store.replica import Replica, View, key_kind
from appledock.core.workers import Worker, Workers
from appledock.rebalancing.settings import Rebalancing
from appledock.settings import Settings

log = logging.getLogger(__name__)


class Engine:
    """Owns replica, membership, workers, steps, fleet and requests."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        rng: random.Random,
        rebalancing: Rebalancing | None = None,
        capacity: Capacity | None = None,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.rng = rng
        self.now = 0.0
        """s, steady clock"""
        self.wall = 0.0
        """s, time of day"""
        self.effects: list[ev.Effect] = []
        self.queue_dirty = True
        self.value_bytes = int(settings.cluster.state.value_kb * 1024 * c.VALUE_SLACK)
        workers = settings.cluster.workers
        # A controller cut off right before a cancellation may answer a worker for
        # one lease more, and the worker runs on for its own lease after that: both
        # must fit into the time a cancellation has.
        self.grant_s = max(
            c.GRANT_MIN_S, min(c.GRANT_S, workers.cancel_s - workers.lease_s - c.CANCEL_RESERVE_S)
        )
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.objectives = Objectives(settings.cluster.objectives)
        self.types: dict[str, wire.MachineType] = {}
        self.acted_view: View | None = None
        self.tag = 0
        self.callbacks: dict[int, Callable[[Any], None]] = {}
        self.refusals: Counter[str] = Counter()
        """why the state service refused calls -> how often, for the metrics"""
        self.conflicts: Counter[str] = Counter()
        """kind of key -> transactions that failed on it, for the metrics"""
        share = c.BUDGET_SHARE / settings.cluster.size
        self.budget = Budget(
            Bucket(settings.cluster.state.rps * share),
            Bucket(settings.cluster.state.write_rps * share),
            settings.cluster.state.write_rps * share,
            settings.cluster.state.write_rps * c.WRITES_CEILING,
        )
        self.replica = Replica()
        self.reader = StateReader(self)
        self.membership = Membership(self)
        self.heartbeats = Heartbeats(self)
        self.workers = Workers(self)
        self.rooms = Rooms(self)
        self.rebalancer = Rebalancer(self, rebalancing)
        self.shares = CapacityShares(self, capacity)
        self.moves = Moves(self)
        self.quota = Quota(self)
        self.queue_order = QueueOrder(self)
        self.steps = Steps(self)
        self.cancels = Cancels(self)
        self.fleet = Fleet(self)
        self.requests = Requests(self)
        self.admin = AdminApi(self)

    # --- commands in, effects out -----------------------------------------
    def handle(self, batch: list[ev.Cmd], now: float, wall: float) -> list[ev.Effect]:
        """Work through a batch; `now` is the steady clock, `wall` the time of day."""
        self.now, self.wall = now, wall
        if self.tag == 0:
            self.workers.start_bound = now + self.grant_s
            self.tag = 1
        for command in batch:
            try:
                self._one(command)
            except Exception:
                # Bad input or a bug must never end the process, nor take the rest
                # of the batch and its effects along.
                log.exception("command %s failed", type(command).__name__)
                ask = getattr(command, "ask", None)
                if ask is not None:
                    self.requests.open.pop(ask, None)
                    self.emit(ev.Reply(ask, 500, {"error": "internal error"}))
        for follow in (self._after, self._drain):
            # One after the other: whatever fails, leases are renewed and users answered.
            try:
                follow()
            except Exception:
                log.exception("follow-up of a batch failed")
        effects, self.effects = self.effects, []
        return effects

    def _one(self, cmd: ev.Cmd) -> None:
        match cmd:
            case ev.Reported():
                self.workers.on_report(cmd.ask, cmd.report)
            case ev.StoreReply() | ev.CloudReply() | ev.WorkerReply():
                self._replied(cmd)
            case ev.PeerMessage():
                self._peer(cmd.message)
            case ev.PeerOpened():
                self.workers.on_peer_connected(cmd.name)
                self.fleet.on_peer_connected(cmd.name)
                self.cancels.on_peer_connected(cmd.name)
            case ev.Tick():
                self._tick()
            case ev.Poll() | ev.Submit() | ev.Cancel() | ev.Health() | ev.Admin():
                self._request(cmd)

    def _request(self, cmd: ev.Poll | ev.Submit | ev.Cancel | ev.Health | ev.Admin) -> None:
        match cmd:
            case ev.Poll():
                self.requests.poll(cmd)
            case ev.Submit():
                self.requests.submit(cmd)
            case ev.Cancel():
                self.requests.cancel(cmd)
            case ev.Health():
                good = self.healthy()
                self.emit(ev.Reply(cmd.ask, 200 if good else 503, {"healthy": good}))
            case ev.Admin():
                self.admin.request(cmd)

    def _replied(self, reply: ev.StoreReply | ev.CloudReply | ev.WorkerReply) -> None:
        callback = self.callbacks.pop(reply.tag, None)
        if callback is not None:
            callback(reply)

    def _peer(self, body: Any) -> None:
        message = messages.decode(body)
        match message:
            case (
                messages.WorkerReported()
                | messages.WorkersAlive()
                | messages.SessionLapsed()
                | messages.MachinesGone()
            ):
                self.workers.on_peer(message)
            case messages.MachinesRented() | messages.MachineCordoned():
                self.fleet.on_peer(message)
            case messages.StopTasks():
                self.steps.stop(message.job, message.machine, set(message.tasks))
            case messages.JobCancelled():
                self.cancels.on_peer(message)
            case messages.MoveRequested() | messages.MoveHeld() | messages.MoveEnded():
                self.moves.on_peer(message)
            case messages.Heartbeat():
                self.heartbeats.on_peer(message)
            case None:
                pass

    def _tick(self) -> None:
        self.reader.tick()
        for tick in (
            self.membership.tick,
            self.heartbeats.tick,
            self.workers.tick,
            self.cancels.tick,
            self.requests.tick,
            self.fleet.tick,
            self.moves.tick,
            self.rebalancer.tick,
            self.shares.tick,
        ):
            try:
                tick()
            except Exception:  # of one part: it must not stop the others
                log.exception("%s failed", tick.__qualname__)

    def _after(self) -> None:
        """What follows from a batch: new view, changed records, due calls."""
        replica = self.replica
        if replica.view_changed:
            replica.view_changed = False
            view = replica.view
            assert view is not None
            self.workers.on_view(self.acted_view)
            self.membership.on_view()
            self.quota.on_view()
            self.moves.on_view()
            self.rooms.touch_all()
            self.acted_view = view
            self.queue_dirty = True
        if replica.capacity.changed:
            self.rooms.dirty |= replica.capacity.changed
            replica.capacity.changed.clear()
            self.queue_dirty = True
        if replica.settings_changed:
            replica.settings_changed = False
            self.admin.apply()
        if replica.changed_jobs:
            for team in replica.changed_teams:
                self.quota.forget(team)
            replica.changed_teams.clear()
            for job_id in sorted(replica.changed_jobs):
                if job_id in replica.jobs:
                    self.fleet.note(replica.jobs[job_id])
                    if job_id in replica.needs.needs and job_id not in replica.needs.waiting:
                        self.queue_order.ready_at.setdefault(job_id, self.wall)
                self.steps.dirty.add(job_id)
            replica.changed_jobs.clear()
            for machine in replica.changed_machines:
                self.steps.settlement.machine_changed(machine)
            self.workers.orders_due |= replica.changed_machines
            self.rooms.dirty |= replica.changed_machines
            replica.changed_machines.clear()
            self.queue_dirty = True
        self.fleet.read_catalogue()
        self.quota.allowed_cache.clear()  # depends on time, and on the watch
        self.rooms.sweep()
        self.steps.tick()
        self.workers.flush_orders()

    def emit(self, effect: ev.Effect) -> None:
        """Hand an effect to the adapters, with the others of this batch."""
        self.effects.append(effect)

    def healthy(self) -> bool:
        """Can requests be taken?

        Without the machine types (first start ever) no submission can be decided. Whoever
        alone is not served by the state service steps aside; in an outage, which all meet,
        nobody does: being taken back would take longer than the outage.
        """
        return (
            self.reader.loaded
            and self.membership.joined
            and bool(self.types)
            and not self.heartbeats.shut_out()
        )

    # --- calls ------------------------------------------------------------
    def call(self, make: Callable[[int], ev.Effect], done: Callable[[Any], None]) -> None:
        """Emit a call whose answer goes to `done`."""
        self.tag += 1
        self.callbacks[self.tag] = done
        self.emit(make(self.tag))

    def store(
        self,
        op: str,
        args: tuple[Any, ...],
        priority: Priority,
        done: Callable[[ev.StoreReply], None],
        patience: float = c.PATIENCE_S,
    ) -> Waiting | None:
        """Queue a call to the state service; `done` is called in any case.

        None: the queue is full.
        """
        writes = len(args[0].writes) if op == "txn" else 0
        timeout = c.FOLLOW_TIMEOUT_S if op == "watch" else c.STORE_TIMEOUT_S
        call = Waiting(op, args, priority, writes, timeout, done, self.now + patience, self.now)
        if self.budget.add(call):
            return call
        done(ev.StoreReply(0, "refused"))
        return None

    def _drain(self) -> None:
        send, expired = self.budget.due(self.now)
        for call in send:
            self._send(call)
        for call in expired:
            try:
                call.done(ev.StoreReply(0, "refused"))
            except Exception:
                log.exception("end of a call failed")  # the others still hear of theirs

    def _send(self, call: Waiting) -> None:
        def done(reply: ev.StoreReply) -> None:
            if reply.outcome == "conflict":
                self.conflicts.update(key_kind(key) for key in reply.data.failed)
            if reply.outcome == "refused" and reply.data is not None:
                self.refusals["too fast" if reply.data == 429 else "unavailable"] += 1
            elif reply.outcome == "invalid":
                self.refusals["too large or malformed"] += 1
                if call.op == "txn":
                    self._too_large(call.args[0])
            if reply.outcome == "refused" and reply.data == 429 and call.writes:
                # Not executed, and only the pace was wrong: its turn comes again.
                self.budget.limited()
                if self.now < call.expires:
                    self.budget.queues[call.priority].appendleft(call)
                    return
            call.done(reply)

        self.call(lambda tag: ev.StoreCall(tag, call.op, call.args, call.timeout), done)

    def _too_large(self, plan: ev.TxnPlan) -> None:
        """Keep records below the largest value refused, down to a floor, from now on.

        It met a limit that nobody announced. Sent again as it is, it would be refused for ever.
        """
        largest = max(
            (len(wire.encode(write.value)) for write in plan.writes if isinstance(write, ev.Put)),
            default=0,
        )
        bound = max(c.VALUE_LEAST_BYTES, int(largest * c.VALUE_SLACK))
        if bound < self.value_bytes:
            log.warning(
                "values of %d bytes are refused: records are kept to %d bytes", largest, bound
            )
            self.value_bytes = bound

    # --- records ----------------------------------------------------------
    def record(self, job: Job) -> dict[str, Any]:
        """The job's record, in the format in use."""
        return job.encode(self.replica.format[1])

    def fits(self, job: Job) -> bool:
        """Does the record keep to the size that a value may have?"""
        return len(wire.encode(self.record(job))) <= self.value_bytes

    def slim(self, job: Job) -> Job:
        """Drop types that decide nothing from a description that is too large.

        Guards against records that were stored under larger limits and could never be written
        again. Types that the cloud does not offer decide nothing, nor do those of a cancelled
        job.
        """
        types = job.spec.types
        if types is not None and not self.fits(job):
            left = [] if job.cancelled else [name for name in types if name in self.types]
            job.spec = msgspec.structs.replace(job.spec, types=left or types[:1])
        return job

    # --- shared questions -------------------------------------------------
    def rank(self, job: Job) -> int:
        """The job's priority, or a higher one of a job that needs it."""
        return self.replica.needs.pressing(job)[0]

    def owns_job(self, job: Job) -> bool:
        """Is the job ours to move on, by the newest view known?"""
        return self.replica.view is not None and self.replica.job_owner(job) == self.settings.name

    def running(self, job: Job) -> int:
        """Tasks that reports show as running, for display."""
        count = 0
        for attempt in job.attempts:
            worker = self.workers.table.get(attempt.machine)
            if worker is not None:
                for task in attempt.tasks:
                    entry = worker.tasks.get((f"{job.id}/{task}", attempt.number))
                    count += entry is not None and entry.state == wire.RUNNING
        return count

    def note_final(self, job: Job, state: str) -> None:
        """A job of ours has ended, and that is committed."""
        log.info("%s is %s", job.id, state)

    def zone_of(self, machine: str) -> str | None:
        """The machine's zone; None if nobody has told it yet."""
        worker = self.workers.table.get(machine)
        if worker is not None and worker.report is not None:
            return worker.report.zone
        return self.fleet.zone_of(machine)

    def placeable(self, worker: Worker) -> bool:
        """May steps be placed on the worker's machine?"""
        report = worker.report
        return (
            report is not None
            and report.type in self.types
            and not worker.cordoned
            and worker.id not in self.workers.gone
            and report.session > worker.lapsed
            and report.notice_s is None
            and worker.proven
            and self.now - worker.well_at <= 2.5 * self.settings.cluster.workers.report_s
        )
