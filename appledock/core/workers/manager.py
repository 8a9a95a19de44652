"""The interface of this package for the rest of the core."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from appledock import constants, wire
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.messages import WorkerMessage
from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.command_pusher import CommandPusher
from appledock.core.workers.command_reconciler import CommandReconciler
from appledock.core.workers.detached_members import DetachedMembers
from appledock.core.workers.dissemination import Dissemination
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from appledock.core.workers.heartbeat_responder import HeartbeatResponder
from appledock.core.workers.lease_expiry import LeaseExpiry
from appledock.core.workers.observers import ReconcileTriggers, WorkerObservers
from appledock.core.workers.own_reachability import OwnReachability
from appledock.core.workers.peer_updates import PeerUpdates
from appledock.core.workers.probes import Probes
from appledock.core.workers.record import Worker
from appledock.core.workers.redirects import Redirects
from appledock.core.workers.settlement_evidence import SettlementEvidence
from appledock.core.workers.table import WorkerTable


class Workers:
    """Builds the components of this package and forwards each call to one of them."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        view_requests: ViewChangeRequests,
        heartbeats: Heartbeats,
        triggers: ReconcileTriggers,
        observers: WorkerObservers,
    ) -> None:
        """Build the components; `triggers` and `observers` are notified of changes."""
        self.runtime = runtime
        self.replica = replica
        self.membership = membership
        self.worker_table = WorkerTable(runtime, replica, triggers, observers)
        self.evidence = SettlementEvidence(membership, self.worker_table)
        self.dissemination = Dissemination(runtime, replica, self.worker_table, triggers)
        self.intake = HeartbeatIntake(
            runtime,
            replica,
            membership,
            self.worker_table,
            triggers,
            observers,
            self.dissemination,
        )
        self.peer_updates = PeerUpdates(runtime, self.worker_table, self.intake, observers)
        self.command_reconciler = CommandReconciler(runtime, replica, membership, view_requests)
        self.command_pusher = CommandPusher(
            runtime, membership, self.worker_table, self.command_reconciler, self.intake
        )
        self.lease_expiry = LeaseExpiry(
            runtime, replica, membership, self.worker_table, self.dissemination, observers
        )
        self.probes = Probes(runtime, replica, self.intake)
        self.detached_members = DetachedMembers(
            runtime, replica, view_requests, heartbeats, self.worker_table
        )
        self.own_reachability = OwnReachability(
            runtime, replica, membership, view_requests, self.worker_table
        )
        self.redirects = Redirects(
            runtime,
            replica,
            view_requests,
            heartbeats,
            self.worker_table,
            self.intake,
            self.detached_members,
        )
        self.responder = HeartbeatResponder(
            runtime,
            membership,
            self.worker_table,
            self.intake,
            self.command_reconciler,
            self.redirects,
            observers,
        )
        self._next_check_at = 0.0

    # --- the table --------------------------------------------------------
    @property
    def table(self) -> Mapping[str, Worker]:
        """Machine -> its worker; only this package adds and removes rows."""
        return self.worker_table.rows

    @property
    def deleted_machines(self) -> Mapping[str, float]:
        """Machine that no longer exists -> since when this is known."""
        return self.worker_table.deleted_machines

    def owns(self, machine: str) -> bool:
        """Return whether this controller owns the worker."""
        return self.worker_table.owns(machine)

    def mark_deleted(self, machines: Iterable[str]) -> None:
        """Record that these machines no longer exist."""
        self.worker_table.mark_deleted(machines)

    # --- the batch loop ---------------------------------------------------
    def on_start(self) -> None:
        """Record the start of the process, before the first command is handled."""
        self.worker_table.on_start()

    def tick(self) -> None:
        """Send due messages to the peers, and check leases and the reachability of members."""
        if not self.membership.can_act():
            return
        self.dissemination.tick()
        if self.runtime.now >= self._next_check_at:
            self._next_check_at = self.runtime.now + constants.MACHINE_CHECK_INTERVAL_S
            self.detached_members.tick()
            self.own_reachability.tick()
            self._check_workers_with_attempts()

    def _check_workers_with_attempts(self) -> None:
        lease_bound_s = self.lease_expiry.lease_bound_s()
        for machine in list(self.replica.attempts_by_machine):
            worker = self.worker_table.get_or_create(machine)
            if machine not in self.worker_table.deleted_machines:
                self.lease_expiry.expire_if_proven(worker, lease_bound_s)
                self.probes.probe_if_due(worker)

    def on_view(self, old: View | None) -> None:
        """Handle a new view, under which workers may have other owners."""
        self.lease_expiry.on_view(old)
        self.command_pusher.on_view()
        self.redirects.on_view()
        self.detached_members.on_view()

    # --- heartbeats and commands ------------------------------------------
    def on_heartbeat(self, request_id: int, report: wire.Report) -> None:
        """Handle a heartbeat received directly from its worker; every heartbeat is answered."""
        self.responder.on_heartbeat(request_id, report)

    def ingest_heartbeat(self, report: wire.Report) -> bool:
        """Apply a heartbeat if it is newer than the known one, without broadcasting it."""
        return self.intake.ingest(report)

    def request_commands(self, machines: Iterable[str]) -> None:
        """Record that these machines' records have changed: their workers may need commands."""
        self.command_pusher.mark_due(machines)

    def push_commands(self) -> None:
        """Send commands at once to the workers that may need them."""
        self.command_pusher.push_due()

    # --- status of workers and attempts -----------------------------------
    def verdict(self, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        """Return how this attempt of a task ended, or None while no proof exists that it is over.

        `SETTLED` means that the attempt is over without a result of the task.
        """
        return self.evidence.verdict(job, attempt, task)

    def probe(self, worker: Worker) -> None:
        """Call the worker for its status; its address must be known from an earlier heartbeat."""
        self.probes.probe(worker)

    def reporting_fraction(self) -> float:
        """Return the fraction of the owned live workers that recently sent a heartbeat here."""
        return self.own_reachability.reporting_fraction()

    def owner_timeout_counts(self) -> dict[str, int]:
        """Return, by owner, how many of its workers recently reported here after a timeout."""
        return self.detached_members.owner_timeout_counts()

    # --- peers ------------------------------------------------------------
    def on_peer_message(self, message: WorkerMessage) -> None:
        """Apply a peer's message about workers."""
        self.peer_updates.apply(message)

    def on_peer_connected(self, peer: str) -> None:
        """Send the state of all workers to a peer that has connected."""
        self.dissemination.on_peer_connected(peer)
