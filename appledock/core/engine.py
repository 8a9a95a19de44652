"""Batch loop of a controller: dispatches commands to the components and returns their effects."""

from __future__ import annotations

import logging
from typing import Any, assert_never

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
    UserRequest,
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
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers

log = logging.getLogger(__name__)


class Engine:
    """Dispatches each command of a batch, then processes the changes that the batch made.

    The components do not clear the change sets of the replica, and do not call each other's `tick`
    methods, except that the membership protocol's is also called after each full listing of the
    store. Apart from that, this class alone determines what happens in a batch, and in which order.
    """

    def __init__(  # noqa: PLR0913 -- the engine dispatches to every component
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
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
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._reader = reader
        self._membership_protocol = membership_protocol
        self._heartbeats = heartbeats
        self._workers = workers
        self._capacity_index = capacity_index
        self._rebalancer = rebalancer
        self._partitions = partitions
        self._moves = moves
        self._quota_allocation = quota_allocation
        self._queue_order = queue_order
        self._reconcile_queue = reconcile_queue
        self._settlement = settlement
        self._stop_requests = stop_requests
        self._reconciler = reconciler
        self._cancellation = cancellation
        self._cancellation_dissemination = cancellation_dissemination
        self._fleet = fleet
        self._health = health
        self._user_requests = user_requests
        self._admin = admin
        self._operator_settings = operator_settings
        self._last_view: View | None = None
        """The view that the components were last notified of; None before the first one."""
        self._is_started = False

    # --- batches ----------------------------------------------------------
    def handle(self, batch: list[Command], now: float, wall_time: float) -> list[Effect]:
        """Process a batch of commands and return the effects to carry out.

        `now` is the time on the steady clock and `wall_time` the time of day, both in seconds.

        Never raises: an exception that bad input or a bug in one component causes is logged. The
        rest of the batch is still processed, and the effects collected so far are returned.
        """
        self._runtime.now, self._runtime.wall_time = now, wall_time
        if not self._is_started:
            self._workers.on_start()
            self._is_started = True
        for command in batch:
            try:
                self._dispatch(command)
            except Exception:
                log.exception("command failed: kind=%s", type(command).__name__)
                self._answer_failed_request(command)
        # Each follow-up has its own exception handler: if the processing of changes fails, the
        # flush still sends the store calls, so that leases are renewed and users get answers.
        for follow_up in (self._process_changes, self._client.flush):
            try:
                follow_up()
            except Exception:
                log.exception("follow-up of a batch failed: step=%s", follow_up.__qualname__)
        return self._runtime.take_effects()

    def _answer_failed_request(self, command: Command) -> None:
        """Answer status 500 if the command was a request, so that its sender does not wait."""
        request_id = getattr(command, "request_id", None)
        if request_id is not None:
            self._user_requests.pending_requests.discard(request_id)
            self._runtime.emit(Response(request_id, 500, {"error": "internal error"}))

    # --- commands ---------------------------------------------------------
    def _dispatch(self, command: Command) -> None:
        match command:
            case HeartbeatReceived():
                self._workers.on_heartbeat(command.request_id, command.report)
            case StoreReply() | CloudReply() | WorkerReply():
                self._runtime.resolve(command)
            case PeerMessageReceived():
                self._dispatch_message(command.message)
            case PeerConnected():
                self._workers.on_peer_connected(command.name)
                self._fleet.on_peer_connected(command.name)
                self._cancellation_dissemination.on_peer_connected(command.name)
            case Tick():
                self._tick()
            case SubmitJob() | GetJobState() | CancelJob():
                self._dispatch_user_request(command)
            case HealthRequest():
                is_healthy = self._health.is_healthy()
                body = {"healthy": is_healthy}
                self._runtime.emit(Response(command.request_id, 200 if is_healthy else 503, body))
            case AdminRequest():
                self._admin.handle(command)
            case _:
                assert_never(command)

    def _dispatch_user_request(self, request: UserRequest) -> None:
        match request:
            case SubmitJob():
                self._user_requests.submit(request)
            case GetJobState():
                self._user_requests.poll(request)
            case CancelJob():
                self._user_requests.cancel(request)
            case _:
                assert_never(request)

    def _dispatch_message(self, body: Any) -> None:
        message = messages.decode(body)
        match message:
            case (
                messages.WorkerHeartbeat()
                | messages.UnchangedHeartbeats()
                | messages.AgentEpochExpired()
                | messages.MachinesDeleted()
            ):
                self._workers.on_peer_message(message)
            case messages.MachinesRented() | messages.MachineCordonChanged():
                self._fleet.on_peer_message(message)
            case messages.StopTasks():
                self._stop_requests.add(message.job, message.machine, set(message.tasks))
            case messages.JobCancelled():
                self._cancellation_dissemination.on_peer_message(message)
            case messages.MoveRequested() | messages.MoveReserved() | messages.MoveEnded():
                self._moves.on_peer_message(message)
            case messages.ControllerHeartbeat():
                self._heartbeats.on_peer_message(message)
            case None:
                pass
            case _:
                assert_never(message)

    def _tick(self) -> None:
        self._reader.tick()
        for tick in (
            self._membership_protocol.tick,
            self._heartbeats.tick,
            self._workers.tick,
            self._cancellation.tick,
            self._user_requests.tick,
            self._fleet.tick,
            self._moves.tick,
            self._rebalancer.tick,
            self._partitions.tick,
        ):
            try:
                tick()
            except Exception:  # a failure of one component must not stop the others
                log.exception("tick failed: part=%s", tick.__qualname__)

    # --- processing of changes --------------------------------------------
    def _process_changes(self) -> None:
        """Process the changes that the batch made to the replica, then reconcile the jobs.

        If one of the calls raises, the calls after it are skipped; the changes that they would
        have processed remain recorded for the next batch.
        """
        changes = self._replica.changes
        if changes.view:
            self._process_view_change()
        if self._replica.capacity.changed_machines:
            self._process_partition_changes()
        if changes.settings:
            self._process_settings_change()
        if changes.jobs:
            self._process_job_changes()
        self._fleet.load_stored_catalogue()
        self._quota_allocation.clear_admissions()
        self._capacity_index.check_eligibility()
        self._reconciler.tick()
        self._workers.push_commands()

    def _process_view_change(self) -> None:
        """Notify the components of a new view: its members, machine owners or term have changed."""
        self._replica.changes.view = False
        view = self._replica.view
        assert view is not None
        self._workers.on_view(self._last_view)
        self._membership_protocol.on_view()
        self._quota_allocation.on_view()
        self._moves.on_view()
        self._capacity_index.mark_all_changed()
        self._last_view = view
        self._reconcile_queue.placement_due = True

    def _process_partition_changes(self) -> None:
        """Process machines that were assigned to another capacity partition, or drained."""
        changed_machines = self._replica.capacity.changed_machines
        self._capacity_index.mark_each_changed(changed_machines)
        changed_machines.clear()
        self._reconcile_queue.placement_due = True

    def _process_settings_change(self) -> None:
        """Apply settings that an operator has changed at this controller or at another one."""
        self._replica.changes.settings = False
        self._operator_settings.apply(self._replica.stored_settings.value)
        self._reconcile_queue.placement_due = True

    def _process_job_changes(self) -> None:
        """Process changed job records, and the changes to teams and machines that they imply."""
        changes = self._replica.changes
        for team in changes.teams:
            self._quota_allocation.clear_caches_of(team)
        changes.teams.clear()
        for job_id in sorted(changes.jobs):
            self._process_job_change(job_id)
        changes.jobs.clear()
        self._process_machine_changes()
        self._reconcile_queue.placement_due = True

    def _process_job_change(self, job_id: str) -> None:
        job = self._replica.jobs.get(job_id)
        if job is not None:
            self._fleet.on_job_changed(job)
            dependencies = self._replica.dependencies
            if job_id in dependencies.prerequisites and job_id not in dependencies.waiting_jobs:
                self._queue_order.on_dependencies_met(job_id)
        self._reconcile_queue.jobs.add(job_id)

    def _process_machine_changes(self) -> None:
        """Process machines whose recorded attempts have changed.

        The attempts determine what can be settled, which commands the workers are sent, and how
        much capacity is free.
        """
        machines = self._replica.changes.machines
        for machine in machines:
            self._settlement.on_machine_changed(machine)
        self._workers.request_commands(machines)
        self._capacity_index.mark_each_changed(machines)
        machines.clear()
