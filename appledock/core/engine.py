"""The batch loop: commands in, effects out; each command goes to the part that handles it."""

from __future__ import annotations

import logging
from typing import Any

from appledock.core import messages
from appledock.core.api.admin import AdminApi
from appledock.core.api.health import HealthCheck
from appledock.core.api.user_requests import UserRequests
from appledock.core.capacity.partitions import PartitionManager
from appledock.core.commands import (
    AdminRequest,
    CancelJob,
    CloudReply,
    Command,
    GetJobState,
    HealthRequest,
    HeartbeatReceived,
    PeerConnected,
    PeerMessageReceived,
    StoreReply,
    SubmitJob,
    Tick,
    WorkerReply,
)
from appledock.core.effects import Effect, Response
from appledock.core.fleet import Fleet
from appledock.core.jobs.cancellation import CancellationEnforcer
from appledock.core.jobs.cancellation_dissemination import CancellationDissemination
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.settlement import Settlement
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.protocol import MembershipProtocol
from appledock.core.operator_settings import OperatorSettings
from appledock.core.quota.allocation import QuotaAllocation
from appledock.core.rebalancing.rebalancer import Rebalancer
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves import Moves
from appledock.core.scheduling.queue_order import QueueOrder
from appledock.core.scheduling.reconciler import Reconciler
from appledock.core.store.client import StoreClient
from appledock.core.store.reader import StateReader
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers

log = logging.getLogger(__name__)


class Engine:
    """Hands each command to its part, then lets follow what the batch has changed."""

    def __init__(  # noqa: PLR0913 -- it dispatches to every part
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StateReader,
        membership_protocol: MembershipProtocol,
        heartbeats: Heartbeats,
        workers: Workers,
        capacity_index: CapacityIndex,
        rebalancer: Rebalancer,
        partitions: PartitionManager,
        moves: Moves,
        quota_allocation: QuotaAllocation,
        queue_order: QueueOrder,
        reconcile_queue: ReconcileQueue,
        settlement: Settlement,
        stop_requests: StopRequests,
        reconciler: Reconciler,
        cancellation: CancellationEnforcer,
        cancellation_dissemination: CancellationDissemination,
        fleet: Fleet,
        health: HealthCheck,
        user_requests: UserRequests,
        admin: AdminApi,
        operator_settings: OperatorSettings,
    ) -> None:
        self.runtime = runtime
        self.client = client
        self.replica = replica
        self.reader = reader
        self.membership_protocol = membership_protocol
        self.heartbeats = heartbeats
        self.workers = workers
        self.capacity_index = capacity_index
        self.rebalancer = rebalancer
        self.partitions = partitions
        self.moves = moves
        self.quota_allocation = quota_allocation
        self.queue_order = queue_order
        self.reconcile_queue = reconcile_queue
        self.settlement = settlement
        self.stop_requests = stop_requests
        self.reconciler = reconciler
        self.cancellation = cancellation
        self.cancellation_dissemination = cancellation_dissemination
        self.fleet = fleet
        self.health = health
        self.user_requests = user_requests
        self.admin = admin
        self.operator_settings = operator_settings
        self._applied_view: View | None = None
        """the view that the other parts have been told of last"""
        self._started = False

    # --- commands in, effects out -----------------------------------------
    def handle(self, batch: list[Command], now: float, wall: float) -> list[Effect]:
        """Work through a batch; `now` is the steady clock, `wall` the time of day."""
        self.runtime.now, self.runtime.wall = now, wall
        if not self._started:
            self.workers.on_start()
            self._started = True
        for command in batch:
            try:
                self._one(command)
            except Exception:
                # Bad input or a bug must never end the process, nor take the rest
                # of the batch and its effects along.
                log.exception("command %s failed", type(command).__name__)
                request_id = getattr(command, "request_id", None)
                if request_id is not None:
                    self.user_requests.open_requests.discard(request_id)
                    self.runtime.emit(Response(request_id, 500, {"error": "internal error"}))
        for follow in (self._after, self.client.flush):
            # One after the other: whatever fails, leases are renewed and users answered.
            try:
                follow()
            except Exception:
                log.exception("follow-up of a batch failed")
        return self.runtime.take_effects()

    def _one(self, cmd: Command) -> None:
        match cmd:
            case HeartbeatReceived():
                self.workers.on_heartbeat(cmd.request_id, cmd.report)
            case StoreReply() | CloudReply() | WorkerReply():
                self.runtime.resolve(cmd)
            case PeerMessageReceived():
                self._peer(cmd.message)
            case PeerConnected():
                self.workers.on_peer_connected(cmd.name)
                self.fleet.on_peer_connected(cmd.name)
                self.cancellation_dissemination.on_peer_connected(cmd.name)
            case Tick():
                self._tick()
            case GetJobState() | SubmitJob() | CancelJob() | HealthRequest() | AdminRequest():
                self._request(cmd)

    def _request(
        self, cmd: GetJobState | SubmitJob | CancelJob | HealthRequest | AdminRequest
    ) -> None:
        match cmd:
            case GetJobState():
                self.user_requests.poll(cmd)
            case SubmitJob():
                self.user_requests.submit(cmd)
            case CancelJob():
                self.user_requests.cancel(cmd)
            case HealthRequest():
                good = self.health.is_healthy()
                self.runtime.emit(Response(cmd.request_id, 200 if good else 503, {"healthy": good}))
            case AdminRequest():
                self.admin.request(cmd)

    def _peer(self, body: Any) -> None:
        message = messages.decode(body)
        match message:
            case (
                messages.WorkerHeartbeat()
                | messages.UnchangedHeartbeats()
                | messages.AgentEpochExpired()
                | messages.MachinesDeleted()
            ):
                self.workers.on_peer(message)
            case messages.MachinesRented() | messages.MachineCordoned():
                self.fleet.on_peer(message)
            case messages.StopTasks():
                self.stop_requests.add(message.job, message.machine, set(message.tasks))
            case messages.JobCancelled():
                self.cancellation_dissemination.on_peer(message)
            case messages.MoveRequested() | messages.MoveReserved() | messages.MoveEnded():
                self.moves.on_peer(message)
            case messages.ControllerHeartbeat():
                self.heartbeats.on_peer(message)
            case None:
                pass

    def _tick(self) -> None:
        self.reader.tick()
        for tick in (
            self.membership_protocol.tick,
            self.heartbeats.tick,
            self.workers.tick,
            self.cancellation.tick,
            self.user_requests.tick,
            self.fleet.tick,
            self.moves.tick,
            self.rebalancer.tick,
            self.partitions.tick,
        ):
            try:
                tick()
            except Exception:  # of one part: it must not stop the others
                log.exception("%s failed", tick.__qualname__)

    def _after(self) -> None:
        """What follows from a batch: new view, changed records, due calls."""
        replica = self.replica
        if replica.changes.view:
            replica.changes.view = False
            view = replica.view
            assert view is not None
            self.workers.on_view(self._applied_view)
            self.membership_protocol.on_view()
            self.quota_allocation.on_view()
            self.moves.on_view()
            self.capacity_index.mark_all_changed()
            self._applied_view = view
            self.reconcile_queue.placement_due = True
        if replica.capacity.changed:
            self.capacity_index.mark_each_changed(replica.capacity.changed)
            replica.capacity.changed.clear()
            self.reconcile_queue.placement_due = True
        if replica.changes.settings:
            replica.changes.settings = False
            self.operator_settings.apply(replica.stored_settings.value)
            self.reconcile_queue.placement_due = True
        if replica.changes.jobs:
            for team in replica.changes.teams:
                self.quota_allocation.clear_caches_of(team)
            replica.changes.teams.clear()
            for job_id in sorted(replica.changes.jobs):
                if job_id in replica.jobs:
                    self.fleet.note(replica.jobs[job_id])
                    if (
                        job_id in replica.dependencies.prerequisites
                        and job_id not in replica.dependencies.waiting_jobs
                    ):
                        self.queue_order.ready_at.setdefault(job_id, self.runtime.wall)
                self.reconcile_queue.jobs.add(job_id)
            replica.changes.jobs.clear()
            for machine in replica.changes.machines:
                self.settlement.on_machine_changed(machine)
            self.workers.request_commands(replica.changes.machines)
            self.capacity_index.mark_each_changed(replica.changes.machines)
            replica.changes.machines.clear()
            self.reconcile_queue.placement_due = True
        self.fleet.read_catalogue()
        self.quota_allocation.clear_admissions()
        self.capacity_index.check_eligibility()
        self.reconciler.tick()
        self.workers.push_commands()
