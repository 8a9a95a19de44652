"""Composition root: builds the parts of one controller and connects them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from appledock import wire
from appledock.capacity.settings import Capacity
from appledock.core import events as ev
from appledock.core.api.admin import AdminApi
from appledock.core.api.health import HealthCheck
from appledock.core.api.user_requests import UserRequests
from appledock.core.capacity.partitions import CapacityShares
from appledock.core.engine import Engine
from appledock.core.fleet import Fleet
from appledock.core.jobs.cancellation import CancellationEnforcer
from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.settlement import Settlement
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.jobs.writer import JobWriter
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.zones import MachineZones
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.operator_settings import OperatorSettings
from appledock.core.quota.allocation import QuotaAllocation
from appledock.core.quota.usage import QuotaUsage
from appledock.core.rebalancing.rebalancer import Rebalancer
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.handoff import HandOff
from appledock.core.scheduling.lost_launches import LostLaunchDetector
from appledock.core.scheduling.moves import Moves
from appledock.core.scheduling.objectives import ServiceLevelObjectives
from appledock.core.scheduling.pacing import Pacing
from appledock.core.scheduling.placement_pass import PlacementPass
from appledock.core.scheduling.preemption import Preemption
from appledock.core.scheduling.queue_order import QueueOrder
from appledock.core.scheduling.reconciler import Reconciler
from appledock.core.scheduling.settlement_recorder import SettlementRecorder
from appledock.core.scheduling.step_planner import StepPlanner
from appledock.core.scheduling.step_writer import StepWriter
from appledock.core.store.client import StoreClient
from appledock.core.store.reader import StateReader
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers
from appledock.rebalancing.settings import Rebalancing
from appledock.settings import Settings
from appledock.settings import Team as TeamLimits


class Controller:
    """The parts of one controller; `handle` runs a batch through its engine."""

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        rng: random.Random,
        rebalancing: Rebalancing | None = None,
        capacity: Capacity | None = None,
    ) -> None:
        self.runtime = Runtime(settings, incarnation, rng)
        self.operator_settings = OperatorSettings()
        self.machine_types: dict[str, wire.MachineType] = {}
        """name -> machine type that the cloud offers; one object for all parts"""
        self.reconcile_queue = ReconcileQueue()
        self.objectives = ServiceLevelObjectives(settings.cluster.objectives)
        self.client = StoreClient(self.runtime)
        self.replica = Replica()
        self.codec = JobRecordCodec(self.replica, self.client, self.machine_types)
        self.reader = StateReader(self)
        self.view_requests = ViewChangeRequests()
        self.membership = Membership(self)
        self.heartbeats = Heartbeats(self)
        self.workers = Workers(self)
        self.machine_zones = MachineZones(
            self.workers,
            lambda machine: self.fleet.zone_of(machine),  # noqa: PLW0108 -- built further down
        )
        self.capacity_index = CapacityIndex(self)
        self.rebalancer = Rebalancer(self, rebalancing)
        self.partitions = CapacityShares(self, capacity)
        self.moves = Moves(self)
        self.quota_usage = QuotaUsage(self.runtime, self.replica)
        self.queue_order = QueueOrder(self.runtime, self.replica, self.quota_usage, self.objectives)
        self.quota_allocation = QuotaAllocation(
            self.runtime, self.replica, self.quota_usage, self.queue_order
        )
        self.settlement = Settlement(self)
        self.preemption = Preemption(self)
        self.job_writer = JobWriter(self)
        self.stop_requests = StopRequests(
            self.runtime, self.replica, self.job_writer, self.reconcile_queue
        )
        self.handoff = HandOff(self.runtime, self.replica)
        self.pacing = Pacing(
            self.runtime,
            self.client.limiter,
            self.replica,
            self.quota_usage,
            self.reconcile_queue,
            self.heartbeats.is_any_peer_under_pressure,
        )
        self.step_writer = StepWriter(
            self.replica,
            self.codec,
            self.capacity_index,
            self.reconcile_queue,
            self.settlement,
            self.job_writer,
            self.pacing,
        )
        self.step_planner = StepPlanner(
            self.runtime,
            self.operator_settings,
            self.membership.is_leader,
            self.settlement,
            self.job_writer,
            self.quota_allocation,
            self.machine_zones,
            self.preemption,
            self.handoff,
            self.pacing,
            self.moves,
            self.rebalancer,
            self.partitions,
        )
        self.placement_pass = PlacementPass(
            self.runtime,
            self.replica,
            self.reconcile_queue,
            self.queue_order,
            self.capacity_index,
            self.job_writer,
            self.pacing,
            self.preemption,
            self.step_planner,
            self.step_writer,
            self.moves,
            self.rebalancer,
        )
        self.lost_launches = LostLaunchDetector(
            self.runtime, self.replica, self.membership, self.view_requests, self.workers
        )
        self.settlement_recorder = SettlementRecorder(
            self.runtime,
            self.replica,
            self.reconcile_queue,
            self.settlement,
            self.stop_requests,
            self.job_writer,
            self.pacing,
        )
        self.reconciler = Reconciler(
            self.runtime,
            self.replica,
            self.membership.can_act,
            self.reconcile_queue,
            self.settlement,
            self.stop_requests,
            self.job_writer,
            self.queue_order,
            self.handoff,
            self.pacing,
            self.lost_launches,
            self.settlement_recorder,
            self.placement_pass,
        )
        self.cancellation = CancellationEnforcer(self)
        self.fleet = Fleet(self)
        self.health = HealthCheck(self.reader, self.membership, self.heartbeats, self.machine_types)
        self.user_requests = UserRequests(self)
        self.admin = AdminApi(self)
        self.engine = Engine(
            runtime=self.runtime,
            client=self.client,
            replica=self.replica,
            reader=self.reader,
            membership=self.membership,
            heartbeats=self.heartbeats,
            workers=self.workers,
            capacity_index=self.capacity_index,
            rebalancer=self.rebalancer,
            partitions=self.partitions,
            moves=self.moves,
            quota_allocation=self.quota_allocation,
            queue_order=self.queue_order,
            reconcile_queue=self.reconcile_queue,
            settlement=self.settlement,
            stop_requests=self.stop_requests,
            reconciler=self.reconciler,
            cancellation=self.cancellation,
            fleet=self.fleet,
            health=self.health,
            user_requests=self.user_requests,
            admin=self.admin,
            operator_settings=self.operator_settings,
        )

    def handle(self, batch: list[ev.Cmd], now: float, wall: float) -> list[ev.Effect]:
        """Work through a batch; `now` is the steady clock, `wall` the time of day (s)."""
        return self.engine.handle(batch, now, wall)

    # --- for the parts that are still given the controller -----------------
    @property
    def settings(self) -> Settings:
        """The platform's settings."""
        return self.runtime.settings

    @property
    def incarnation(self) -> str:
        """Of this process."""
        return self.runtime.incarnation

    @property
    def rng(self) -> random.Random:
        """The random source."""
        return self.runtime.rng

    @property
    def now(self) -> float:
        """Steady clock, s."""
        return self.runtime.now

    @now.setter
    def now(self, now: float) -> None:
        self.runtime.now = now

    @property
    def wall(self) -> float:
        """Time of day, s."""
        return self.runtime.wall

    @wall.setter
    def wall(self, wall: float) -> None:
        self.runtime.wall = wall

    @property
    def teams(self) -> dict[str, TeamLimits]:
        """The teams by name."""
        return self.runtime.teams

    @property
    def grant_s(self) -> float:
        """Time to live of a controller's lease."""
        return self.runtime.lease_ttl_s

    def emit(self, effect: ev.Effect) -> None:
        """Hand an effect to the adapters, with the others of this batch."""
        self.runtime.emit(effect)

    def call(self, make: Callable[[int], ev.Effect], done: Callable[[Any], None]) -> None:
        """Emit a call whose answer goes to `done`."""
        self.runtime.call(make, done)

    def running(self, job: Job) -> int:
        """Tasks that reports show as running, for display."""
        count = 0
        for attempt in job.attempts:
            worker = self.workers.table.get(attempt.machine)
            if worker is not None:
                for task in attempt.tasks:
                    entry = worker.tasks.get((f"{job.id}/{task}", attempt.attempt_number))
                    count += entry is not None and entry.state == wire.RUNNING
        return count

    def placeable(self, worker: Worker) -> bool:
        """May steps be placed on the worker's machine?"""
        report = worker.report
        return (
            report is not None
            and report.type in self.machine_types
            and not worker.placement.cordon_reason
            and worker.id not in self.workers.deleted_machines
            and report.session > worker.lease.expired_epoch
            and report.notice_s is None
            and worker.has_shown_current_token
            and self.now - worker.reachability.last_healthy_at
            <= 2.5 * self.settings.cluster.workers.report_s
        )
