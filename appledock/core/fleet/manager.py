"""Interface of the fleet package to the rest of the core, and wiring of its modules."""

from __future__ import annotations

from collections.abc import Container
from typing import assert_never

from appledock import constants, wire
from appledock.core.fleet.catalogue import MachineTypeCatalogue
from appledock.core.fleet.cloud import CloudClient
from appledock.core.fleet.cordons import Cordons, OperatorAction
from appledock.core.fleet.deletions import MachineDeletions
from appledock.core.fleet.demand import DemandEstimator
from appledock.core.fleet.desired_capacity import CapacityPlanner
from appledock.core.fleet.forecast import QueueOrder, ReadinessForecast, WaitObjectives
from appledock.core.fleet.idle_reserve import IdleReserve
from appledock.core.fleet.inventory import MachineInventory
from appledock.core.fleet.machine_list import MachineListReader
from appledock.core.fleet.model import BootingMachine, JobDemand, MachineKind
from appledock.core.fleet.offers import InstanceOffers
from appledock.core.fleet.scale_in import ScaleIn
from appledock.core.fleet.scale_out import ScaleOut
from appledock.core.fleet.summary import FleetSummary
from appledock.core.fleet.unresponsive import UnresponsiveMachineDetector
from appledock.core.fleet.upcoming_reserve import UpcomingReserve
from appledock.core.fleet.zone_distribution import ZoneDistribution
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.zones import MachineZones
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.messages import FleetMessage, MachineCordonChanged, MachinesRented
from appledock.core.operator_settings import OperatorSettings
from appledock.core.quota.usage import QuotaUsage
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers


class Fleet:
    """Creates the objects that manage machines, and runs their periodic work.

    Only the leader rents, probes and deletes machines. Every controller keeps track of cordons
    and rentals, since it may become leader.
    """

    def __init__(  # noqa: PLR0913 -- it creates all objects of the package
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        membership: Membership,
        heartbeats: Heartbeats,
        workers: Workers,
        capacity_index: CapacityIndex,
        machine_types: dict[str, wire.MachineType],
        machine_zones: MachineZones,
        operator_settings: OperatorSettings,
        quota_usage: QuotaUsage,
        queue_order: QueueOrder,
        objectives: WaitObjectives,
        reconcile_queue: ReconcileQueue,
        stop_requests: StopRequests,
    ) -> None:
        self._runtime = runtime
        self._reader = reader
        self._membership = membership
        self._capacity_index = capacity_index
        self._machine_types = machine_types
        self._next_scaling_at = 0.0
        self._next_cordon_check_at = 0.0
        self.leader_since: float | None = None
        """when this controller became leader; None while it is not the leader"""
        self.cloud = CloudClient(runtime)
        self.catalogue = MachineTypeCatalogue(
            runtime=runtime,
            client=client,
            replica=replica,
            capacity_index=capacity_index,
            machine_types=machine_types,
            cloud=self.cloud,
            is_leader=membership.is_leader,
            reconcile_queue=reconcile_queue,
        )
        self.cordons = Cordons(
            runtime, replica, workers, capacity_index, reconcile_queue, stop_requests
        )
        self.inventory = MachineInventory(
            runtime=runtime,
            replica=replica,
            workers=workers,
            capacity_index=capacity_index,
            reconcile_queue=reconcile_queue,
            machine_types=machine_types,
            on_failed=self._on_failed,
        )
        self.machine_list = MachineListReader(runtime, self.cloud, self.inventory.on_list_complete)
        self.deletions = MachineDeletions(
            runtime, workers, self.cloud, self.inventory, self.cordons
        )
        self.offers = InstanceOffers(runtime, machine_types)
        self.scale_out = ScaleOut(
            runtime,
            membership,
            self.cloud,
            self.inventory,
            self.offers,
            on_no_capacity=self._schedule_scaling_now,
        )
        self.demand_estimator = DemandEstimator(
            runtime=runtime,
            replica=replica,
            workers=workers,
            capacity_index=capacity_index,
            machine_types=machine_types,
            quota_usage=quota_usage,
            queue_order=queue_order,
            forecast=ReadinessForecast(
                runtime, replica, workers, machine_types, queue_order, objectives
            ),
        )
        self.planner = CapacityPlanner(
            operator_settings=operator_settings,
            workers=workers,
            capacity_index=capacity_index,
            machine_types=machine_types,
            inventory=self.inventory,
            offers=self.offers,
            scale_out=self.scale_out,
            demand_estimator=self.demand_estimator,
            zone_distribution=ZoneDistribution(machine_types, machine_zones, self.offers),
        )
        self.idle_reserve = IdleReserve(runtime, replica, capacity_index, machine_types)
        self.upcoming_reserve = UpcomingReserve(workers, capacity_index, self.inventory)
        self.unresponsive = UnresponsiveMachineDetector(runtime, replica, workers, membership)
        self.scale_in = ScaleIn(
            runtime=runtime,
            operator_settings=operator_settings,
            replica=replica,
            workers=workers,
            capacity_index=capacity_index,
            inventory=self.inventory,
            deletions=self.deletions,
            unresponsive=self.unresponsive,
            idle_reserve=self.idle_reserve,
            upcoming_reserve=self.upcoming_reserve,
            summary=FleetSummary(
                runtime, operator_settings, workers, capacity_index, self.inventory
            ),
            is_reachable=heartbeats.is_reachable,
        )

    # --- timers -----------------------------------------------------------
    def tick(self) -> None:
        """Do the work that is due.

        Every controller enforces cordons, and reads the machine types if it knows none. The rest
        is done by the leader only.
        """
        if not self._reader.loaded:
            return
        now = self._runtime.now
        if self._membership.can_act() and now >= self._next_cordon_check_at:
            self._next_cordon_check_at = now + constants.FLEET_CHECK_INTERVAL_S
            self.cordons.enforce(self._pending_deletions_as_leader())
        is_leader = self._update_leadership()
        if now < self.cloud.paused_until:
            return
        if is_leader or not self._machine_types:
            self.catalogue.refresh()
        if is_leader:
            self._tick_as_leader()

    def _tick_as_leader(self) -> None:
        now = self._runtime.now
        self.machine_list.refresh()
        self.scale_out.retry()
        if now >= self._next_scaling_at and self._machine_types:
            self._next_scaling_at = now + constants.FLEET_CHECK_INTERVAL_S
            self._capacity_index.recompute()
            demand = self.queued_demand()
            self.rent_missing(demand)
            self.delete_surplus(demand)

    def _update_leadership(self) -> bool:
        """Return whether this controller is the leader; discard stale state when it becomes leader.

        A new leader then waits for `NEW_LEADER_DELAY_S` before it scales. Until the peers have
        sent their state, a machine from which this controller has no heartbeat cannot be
        considered late or missing.
        """
        if not self._membership.is_leader():
            self.leader_since = None
            return False
        if self.leader_since is None:
            now = self._runtime.now
            self.leader_since = now
            self.machine_list.restart()
            self._next_scaling_at = now + constants.NEW_LEADER_DELAY_S
            self.deletions.pending.clear()
        return True

    def _pending_deletions_as_leader(self) -> Container[str]:
        return self.deletions.pending if self.leader_since is not None else ()

    def queued_demand(self) -> list[JobDemand]:
        """Return the tasks that need capacity, the most urgent first."""
        return self.demand_estimator.queued()

    def rent_missing(self, demand: list[JobDemand]) -> None:
        """Scale out: rent machines for the demand that existing machines do not cover."""
        self.planner.plan(demand, self.deletions.pending)

    def delete_surplus(self, demand: list[JobDemand]) -> None:
        """Scale in: delete machines that are not needed or have failed."""
        self.scale_in.review(demand, self.leader_since)

    # --- callbacks from the package ---------------------------------------
    def _schedule_scaling_now(self) -> None:
        self._next_scaling_at = self._runtime.now

    def _on_failed(self, machines: list[str]) -> None:
        self.deletions.on_failed(machines)

    # --- calls from the rest of the core ----------------------------------
    def load_stored_catalogue(self) -> None:
        """Load the stored machine types if they have changed."""
        self.catalogue.load_stored()

    def on_job_changed(self, job: Job) -> None:
        """Handle a changed job record: arrivals of services determine the idle reserve."""
        self.idle_reserve.on_job_changed(job)

    def on_task_failed(self, machine: str, job_id: str) -> None:
        """Handle the failure of a task of the job on the machine."""
        self.cordons.on_task_failed(machine, job_id)

    def on_machines_deleted(self, machines: list[str]) -> None:
        """Handle a deletion of machines that the cloud has confirmed."""
        self.deletions.on_deleted(machines)

    def booting(self) -> dict[str, BootingMachine]:
        """Return the machines that are paid for but have not sent a heartbeat yet."""
        return self.inventory.booting()

    def zone_of(self, machine: str) -> str | None:
        """Return the zone of a listed machine; None if the machine is not listed."""
        return self.inventory.zone_of(machine)

    def apply_operator_action(self, machine: str, action: str) -> None:
        """Cordon, uncordon or drain a machine at the request of an operator.

        `action` is a value of `OperatorAction`.
        """
        self.cordons.apply_operator_action(machine, OperatorAction(action))

    # --- peers ------------------------------------------------------------
    def on_peer_message(self, message: FleetMessage) -> None:
        """Record the rentals and cordons that a peer has sent."""
        match message:
            case MachinesRented():
                self.inventory.add_rented(message.machines, MachineKind(*message.machine_kind))
            case MachineCordonChanged():
                self.cordons.set_locally(message.worker, message.reason)
            case _:
                assert_never(message)

    def on_peer_connected(self, peer: str) -> None:
        """Send all cordons and rentals to a peer whose link has just opened.

        The peer needs to know them since it may become leader.
        """
        self.cordons.announce_all(peer, self._pending_deletions_as_leader())
        for kind, machines in self.inventory.rentals_by_kind().items():
            self.scale_out.announce(machines, kind, peer)
