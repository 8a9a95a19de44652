"""Composition root: creates the components of one controller and connects them."""

from __future__ import annotations

import random

from appledock import constants, wire
from appledock.capacity.settings import Capacity
from appledock.core.api.admin import AdminApi
from appledock.core.api.admin_readers import JobReader, MachineReader, StatusReader, TeamReader
from appledock.core.api.admin_responses import AdminResponder
from appledock.core.api.capacity_api import PartitionSharesApi
from appledock.core.api.console_feed import ConsoleFeed
from appledock.core.api.health import HealthCheck
from appledock.core.api.initial_owner import InitialOwnerPolicy
from appledock.core.api.job_cancellation import JobCancellations
from appledock.core.api.job_records import DependencyOutcomeReader, JobRecordReader
from appledock.core.api.job_states import JobStates
from appledock.core.api.machine_actions import MachineActions
from appledock.core.api.pending_requests import PendingRequests
from appledock.core.api.settings_api import SettingsApi
from appledock.core.api.status_polls import StatusPolls
from appledock.core.api.submission import Submissions
from appledock.core.api.submission_check import SubmissionCheck
from appledock.core.api.user_requests import UserRequests
from appledock.core.capacity.drains import MachineDrainer
from appledock.core.capacity.machine_usage import MachineUsage
from appledock.core.capacity.ownership import OwnershipAssigner
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.capacity.partitions import PartitionManager
from appledock.core.capacity.preferred_owners import PreferredOwnerHandoff, PreferredOwners
from appledock.core.capacity.summary import PartitionSummary
from appledock.core.commands import Command
from appledock.core.effects import Effect
from appledock.core.engine import Engine
from appledock.core.fleet import Fleet
from appledock.core.jobs.cancellation import CancellationEnforcer
from appledock.core.jobs.cancellation_dissemination import CancellationDissemination
from appledock.core.jobs.cancelled_task_halter import CancelledTaskHalter
from appledock.core.jobs.cancelled_task_machine_deleter import CancelledTaskMachineDeleter
from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.settlement import Settlement
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.jobs.team_record_writer import TeamRecordWriter
from appledock.core.jobs.writer import JobWriter
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.machines.eligibility import Eligibility
from appledock.core.machines.zones import MachineZones
from appledock.core.membership.format_upgrade import NEWEST_FORMAT
from appledock.core.membership.heartbeats import Heartbeats, LocalStatus
from appledock.core.membership.membership import Membership
from appledock.core.membership.protocol import MembershipProtocol
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.operator_settings import OperatorSettings
from appledock.core.quota.allocation import QuotaAllocation
from appledock.core.quota.usage import QuotaUsage
from appledock.core.rebalancing.rebalancer import Rebalancer
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.handoff import HandoffPolicy
from appledock.core.scheduling.lost_launches import LostLaunchDetector
from appledock.core.scheduling.moves import MovePolicy, Moves
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
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.workers import WorkerObservers, Workers
from appledock.rebalancing.settings import Rebalancing
from appledock.settings import Settings


class Controller:
    """Holds the components of one controller; `handle` passes a batch to its engine."""

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
        """Machine types that the cloud offers, by name; all components share this dictionary."""
        self.reconcile_queue = ReconcileQueue()
        self.objectives = ServiceLevelObjectives(settings.cluster.objectives)
        self.client = StoreClient(self.runtime)
        self.replica = Replica()
        self.codec = JobRecordCodec(self.replica, self.client, self.machine_types)
        self.reader = StoreReader(
            self.runtime,
            self.client,
            self.replica,
            on_loaded=self._on_replica_loaded,
        )
        self._build_membership_and_workers(capacity)
        self._build_machines_and_partitions(capacity)
        self._build_quota_and_writes()
        self._build_preemption_and_moves(rebalancing)
        self._build_placement()
        self._build_reconciler()
        self._build_cancellation_and_fleet()
        self._build_api()
        self.engine = self._build_engine()

    def _build_membership_and_workers(self, capacity: Capacity | None) -> None:
        """Build membership (leases, views, leadership), controller heartbeats and workers."""
        self.view_requests = ViewChangeRequests()
        self.membership = Membership(self.runtime, self.replica)
        self.heartbeats = Heartbeats(
            self.runtime, self.client, self.replica, self.membership, self._local_status
        )
        self.workers = Workers(
            self.runtime,
            self.replica,
            self.membership,
            self.view_requests,
            self.heartbeats,
            self.reconcile_queue,
            WorkerObservers(
                on_capacity_changed=self._on_capacity_changed,
                has_capacity=lambda machine: machine in self.capacity_index.machines,
                on_task_completed=self._on_task_completed,
                on_machine_deleted=self._on_machine_deleted,
                on_unanswerable_heartbeat=self._on_unanswerable_heartbeat,
                on_view_confirmation_needed=self._on_view_confirmation_needed,
            ),
        )
        self.membership_protocol = MembershipProtocol(
            runtime=self.runtime,
            client=self.client,
            replica=self.replica,
            reader=self.reader,
            membership=self.membership,
            heartbeats=self.heartbeats,
            view_requests=self.view_requests,
            is_machine_deleted=lambda machine: machine in self.workers.deleted_machines,
            newest_format=NEWEST_FORMAT if capacity is None else constants.CAPACITY_FORMAT,
        )

    def _build_machines_and_partitions(self, capacity: Capacity | None) -> None:
        """Build the index of the machines' free capacity and the capacity partitions."""
        self.machine_zones = MachineZones(
            self.workers,
            lambda machine: self.fleet.zone_of(machine),  # noqa: PLW0108 -- created later
        )
        self.eligibility = Eligibility(self.runtime, self.workers, self.machine_types)
        self.capacity_index = CapacityIndex(
            runtime=self.runtime,
            workers=self.workers,
            replica=self.replica,
            machine_types=self.machine_types,
            eligibility=self.eligibility,
            admission_of=lambda worker: self.partitions.admission_of(worker),  # noqa: PLW0108 -- created later
            is_load_tracked=lambda: self.rebalancer.enabled or self.partitions.enabled,
        )
        self.partitions = PartitionMap(self.replica, self.capacity_index, capacity)
        self.machine_usage = MachineUsage(self.runtime, self.replica, self.workers, self.partitions)
        self.preferred_owners = PreferredOwners(
            self.runtime, self.replica, self.heartbeats, self.partitions
        )
        self.partition_summary = PartitionSummary(self.replica, self.partitions, self.machine_usage)

    def _build_quota_and_writes(self) -> None:
        """Build quota, the settlement of attempts, and the conditional writes of records."""
        self.quota_usage = QuotaUsage(self.runtime, self.replica)
        self.queue_order = QueueOrder(self.runtime, self.replica, self.quota_usage, self.objectives)
        self.quota_allocation = QuotaAllocation(
            self.runtime, self.replica, self.quota_usage, self.queue_order
        )
        self.settlement = Settlement(
            self.replica,
            self.workers.verdict,
            lambda machine, job_id: self.fleet.on_task_failed(machine, job_id),  # noqa: PLW0108 -- created later
        )
        self.team_record_writer = TeamRecordWriter(
            client=self.client,
            replica=self.replica,
            reader=self.reader,
            quota_allocation=self.quota_allocation,
            reconcile_queue=self.reconcile_queue,
            fencing_conditions=self.membership.fencing_conditions,
        )
        self.job_writer = JobWriter(
            runtime=self.runtime,
            client=self.client,
            replica=self.replica,
            reader=self.reader,
            codec=self.codec,
            quota_allocation=self.quota_allocation,
            capacity_index=self.capacity_index,
            reconcile_queue=self.reconcile_queue,
            team_record_writer=self.team_record_writer,
            fencing_conditions=self.membership.fencing_conditions,
            partition_conditions=self.partitions.conditions,
            is_step_rate_limited=lambda: self.pacing.is_step_rate_limited(),  # noqa: PLW0108 -- created later
            commit_listeners=(self._release_claims, self._on_step_committed),
        )
        self.stop_requests = StopRequests(
            self.runtime, self.replica, self.job_writer, self.reconcile_queue
        )

    def _build_preemption_and_moves(self, rebalancing: Rebalancing | None) -> None:
        """Build preemption, hand-off, pacing, moves and rebalancing."""
        self.preemption = Preemption(
            runtime=self.runtime,
            replica=self.replica,
            workers=self.workers,
            capacity_index=self.capacity_index,
            quota_usage=self.quota_usage,
            operator_settings=self.operator_settings,
            reconcile_queue=self.reconcile_queue,
            stop_requests=self.stop_requests,
            is_preferred_owner=self.preferred_owners.is_preferred_owner,
        )
        self.handoff = HandoffPolicy(self.runtime, self.replica)
        self.pacing = Pacing(
            self.runtime,
            self.client.limiter,
            self.replica,
            self.quota_usage,
            self.reconcile_queue,
            self.heartbeats.is_any_peer_rate_limited,
        )
        self.moves = Moves(
            runtime=self.runtime,
            replica=self.replica,
            membership=self.membership,
            heartbeats=self.heartbeats,
            workers=self.workers,
            zones=self.machine_zones,
            capacity_index=self.capacity_index,
            reconcile_queue=self.reconcile_queue,
            writer=self.job_writer,
            stop_requests=self.stop_requests,
            pacing=self.pacing,
            preemption=self.preemption,
            policy=self._build_move_policy(rebalancing),
            count_running=lambda job: self.job_states.count_running(job),  # noqa: PLW0108 -- created later
        )
        self.rebalancer = Rebalancer(
            rebalancing,
            runtime=self.runtime,
            replica=self.replica,
            membership=self.membership,
            workers=self.workers,
            capacity_index=self.capacity_index,
            machine_types=self.machine_types,
            operator_settings=self.operator_settings,
            moves=self.moves,
        )

    def _build_placement(self) -> None:
        """Build the components that plan and write the next steps of queued jobs."""
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
            runtime=self.runtime,
            operator_settings=self.operator_settings,
            is_leader=self.membership.is_leader,
            settlement=self.settlement,
            writer=self.job_writer,
            quota=self.quota_allocation,
            zones=self.machine_zones,
            preemption=self.preemption,
            handoff=self.handoff,
            pacing=self.pacing,
            moves=self.moves,
            rebalancing=self.rebalancer,
            partitions=self.preferred_owners,
        )
        self.placement_pass = PlacementPass(
            runtime=self.runtime,
            replica=self.replica,
            reconcile_queue=self.reconcile_queue,
            queue_order=self.queue_order,
            capacity_index=self.capacity_index,
            writer=self.job_writer,
            pacing=self.pacing,
            preemption=self.preemption,
            planner=self.step_planner,
            step_writer=self.step_writer,
            moves=self.moves,
            mean_loads=self.rebalancer,
        )

    def _build_reconciler(self) -> None:
        """Build the reconciler of the jobs that this controller owns."""
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
            runtime=self.runtime,
            replica=self.replica,
            can_act=self.membership.can_act,
            reconcile_queue=self.reconcile_queue,
            settlement=self.settlement,
            stop_requests=self.stop_requests,
            writer=self.job_writer,
            team_record_writer=self.team_record_writer,
            queue_order=self.queue_order,
            handoff=self.handoff,
            pacing=self.pacing,
            lost_launches=self.lost_launches,
            recorder=self.settlement_recorder,
            placement_pass=self.placement_pass,
        )

    def _build_cancellation_and_fleet(self) -> None:
        """Build the enforcement of cancellations, and the fleet, which scales out and in."""
        self.cancellation_dissemination = CancellationDissemination(
            self.runtime, self.replica, self.codec
        )
        self.cancelled_task_halter = CancelledTaskHalter(self.runtime, self.replica, self.workers)
        self.cancellation = CancellationEnforcer(
            runtime=self.runtime,
            replica=self.replica,
            workers=self.workers,
            membership=self.membership,
            heartbeats=self.heartbeats,
            halter=self.cancelled_task_halter,
            machine_deleter=CancelledTaskMachineDeleter(
                self.runtime,
                self.workers,
                lambda names: self.fleet.on_machines_deleted(names),  # noqa: PLW0108 -- created later
            ),
        )
        self.fleet = Fleet(
            runtime=self.runtime,
            client=self.client,
            replica=self.replica,
            reader=self.reader,
            membership=self.membership,
            heartbeats=self.heartbeats,
            workers=self.workers,
            capacity_index=self.capacity_index,
            machine_types=self.machine_types,
            machine_zones=self.machine_zones,
            operator_settings=self.operator_settings,
            quota_usage=self.quota_usage,
            queue_order=self.queue_order,
            objectives=self.objectives,
            reconcile_queue=self.reconcile_queue,
            stop_requests=self.stop_requests,
        )

    def _build_api(self) -> None:
        """Build the health check and the APIs for users and operators."""
        self.health = HealthCheck(self.reader, self.membership, self.heartbeats, self.machine_types)
        self.job_states = JobStates(self.replica, self.workers)
        self.user_requests = self._build_user_requests()
        self.job_reader = JobReader(self.replica, self.workers, self.reconcile_queue)
        self.admin = self._build_admin_api()

    def _build_engine(self) -> Engine:
        """Build the engine, which dispatches commands to the components."""
        return Engine(
            runtime=self.runtime,
            client=self.client,
            replica=self.replica,
            reader=self.reader,
            membership_protocol=self.membership_protocol,
            heartbeats=self.heartbeats,
            workers=self.workers,
            capacity_index=self.capacity_index,
            rebalancer=self.rebalancer,
            partitions=self._build_partition_manager(),
            moves=self.moves,
            quota_allocation=self.quota_allocation,
            queue_order=self.queue_order,
            reconcile_queue=self.reconcile_queue,
            settlement=self.settlement,
            stop_requests=self.stop_requests,
            reconciler=self.reconciler,
            cancellation=self.cancellation,
            cancellation_dissemination=self.cancellation_dissemination,
            fleet=self.fleet,
            health=self.health,
            user_requests=self.user_requests,
            admin=self.admin,
            operator_settings=self.operator_settings,
        )

    def _build_move_policy(self, rebalancing: Rebalancing | None) -> MovePolicy:
        """Build the policy for moves, which serve rebalancing and the drain of machines.

        A machine is drained before it changes its capacity partition.
        """
        return MovePolicy(
            settings=(rebalancing or Rebalancing()).moves,
            is_enabled=lambda: self.rebalancer.enabled or self.partitions.enabled,
            is_movable=lambda spec: self.rebalancer.is_movable(spec),  # noqa: PLW0108 -- created later
            must_leave=self.partitions.must_move_off,
            is_draining=self.partitions.is_being_handed_over,
        )

    def _build_console_feed(self) -> ConsoleFeed:
        return ConsoleFeed(
            runtime=self.runtime,
            replica=self.replica,
            workers=self.workers,
            heartbeats=self.heartbeats,
            capacity_index=self.capacity_index,
            quota_usage=self.quota_usage,
            operator_settings=self.operator_settings,
            rebalancer=self.rebalancer,
            partition_summary=self.partition_summary,
            moves=self.moves,
        )

    def _build_admin_api(self) -> AdminApi:
        """Build the administration API, with its readers keyed by the path that they serve."""
        responder = AdminResponder(self.runtime.emit)
        status = StatusReader(
            runtime=self.runtime,
            client=self.client,
            replica=self.replica,
            membership=self.membership,
            workers=self.workers,
            health=self.health,
            pending_requests=self.user_requests.pending_requests,
            machine_types=self.machine_types,
            booting_machines=self.fleet.booting,
        )
        machines = MachineReader(self.runtime, self.replica, self.workers, self.capacity_index)
        teams = TeamReader(self.runtime, self.replica, self.quota_usage)
        return AdminApi(
            runtime=self.runtime,
            responder=responder,
            readers={
                "status": status.read,
                "jobs": lambda: {"jobs": self.job_reader.read_all()},
                "machines": lambda: {"machines": machines.read_all()},
                "teams": lambda: {"teams": teams.read_all()},
                "rebalancing": self.rebalancer.summary,
                "capacity": self.partition_summary.as_json,
            },
            console_feed=self._build_console_feed(),
            settings=SettingsApi(
                self.client,
                self.replica,
                self.reader,
                self.operator_settings,
                self.reconcile_queue,
                responder,
            ),
            machine_actions=MachineActions(
                self.workers, self.membership, responder, self.fleet.apply_operator_action
            ),
            capacity=PartitionSharesApi(
                runtime=self.runtime,
                client=self.client,
                replica=self.replica,
                reader=self.reader,
                partitions=self.partitions,
                usage=self.machine_usage,
                summary=self.partition_summary,
            ),
        )

    def _build_partition_manager(self) -> PartitionManager:
        """Build what assigns machines to capacity partitions, drains them and hands jobs off."""
        return PartitionManager(
            runtime=self.runtime,
            membership=self.membership,
            view_requests=self.view_requests,
            partitions=self.partitions,
            preferred_owners=self.preferred_owners,
            handoff=PreferredOwnerHandoff(
                runtime=self.runtime,
                replica=self.replica,
                preferred_owners=self.preferred_owners,
                pacing=self.pacing,
                moves=self.moves,
                writer=self.job_writer,
                step_writer=self.step_writer,
            ),
            assigner=OwnershipAssigner(
                runtime=self.runtime,
                client=self.client,
                replica=self.replica,
                reader=self.reader,
                membership=self.membership,
                workers=self.workers,
                machine_types=self.machine_types,
                partitions=self.partitions,
                usage=self.machine_usage,
                queued_demand=self.fleet.queued_demand,
            ),
            drainer=MachineDrainer(
                runtime=self.runtime,
                replica=self.replica,
                workers=self.workers,
                capacity_index=self.capacity_index,
                stop_requests=self.stop_requests,
                moves=self.moves,
                partitions=self.partitions,
            ),
        )

    def _build_user_requests(self) -> UserRequests:
        """Build the user API, with one component for each kind of request."""
        requests = PendingRequests(self.runtime, self.reader)
        record_reader = JobRecordReader(self.replica, self.reader)
        polls = StatusPolls(
            self.runtime, self.client, self.replica, requests, record_reader, self.job_states
        )
        submissions = Submissions(
            runtime=self.runtime,
            client=self.client,
            replica=self.replica,
            codec=self.codec,
            reconcile_queue=self.reconcile_queue,
            requests=requests,
            record_reader=record_reader,
            polls=polls,
            check=SubmissionCheck(self.runtime, self.client, self.codec, self.machine_types),
            choose_initial_owner=InitialOwnerPolicy(
                self.replica,
                self.membership,
                self.heartbeats,
                self.preferred_owners.preferred_owner,
            ).choose,
        )
        cancellations = JobCancellations(
            runtime=self.runtime,
            client=self.client,
            replica=self.replica,
            codec=self.codec,
            requests=requests,
            record_reader=record_reader,
            states=self.job_states,
            broadcast=self.cancellation_dissemination.broadcast,
        )
        outcome_reader = DependencyOutcomeReader(
            self.runtime, self.replica, self.reader, record_reader
        )
        return UserRequests(requests, submissions, polls, cancellations, outcome_reader)

    def handle(self, batch: list[Command], now: float, wall_time: float) -> list[Effect]:
        """Process a batch of commands and return the effects to carry out.

        `now` is the time on the steady clock and `wall_time` the time of day, both in seconds.
        """
        return self.engine.handle(batch, now, wall_time)

    # --- callbacks into components that are built after their callers -------
    def _on_replica_loaded(self) -> None:
        """Join the cluster at once instead of at the next tick."""
        self.membership_protocol.tick()

    def _on_capacity_changed(self, machine: str) -> None:
        self.capacity_index.mark_changed(machine)

    def _on_task_completed(self, machine: str, job: Job, seconds: float) -> None:
        self.rebalancer.on_task_completed(machine, job, seconds)

    def _on_machine_deleted(self, machine: str) -> None:
        self.rebalancer.speeds.forget(machine)

    def _on_unanswerable_heartbeat(self, report: wire.Report) -> None:
        self.cancelled_task_halter.halt_cancelled_tasks(report)

    def _on_view_confirmation_needed(self) -> None:
        self.membership_protocol.confirm_view()

    def _release_claims(self, job_id: str, reservations: list[StepReservation]) -> None:
        self.preemption.release_claims(job_id, reservations)

    def _on_step_committed(self, job_id: str, reservations: list[StepReservation]) -> None:
        self.moves.on_step_committed(job_id, reservations)

    def _local_status(self) -> LocalStatus:
        return LocalStatus(
            reporting_fraction=self.workers.reporting_fraction(),
            owner_timeouts=self.workers.owner_timeout_counts(),
            is_service_rate_limited=self.pacing.is_service_rate_limited(),
        )
