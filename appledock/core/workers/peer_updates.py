"""Peer updates: what the peers send this controller about workers."""

from __future__ import annotations

from appledock.core.messages import (
    AliveWorker,
    MachinesGone,
    SessionLapsed,
    WorkerMessage,
    WorkerReported,
    WorkersAlive,
)
from appledock.core.runtime import Runtime
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from appledock.core.workers.observers import WorkerObservers
from appledock.core.workers.record import HeartbeatNumber
from appledock.core.workers.table import WorkerTable


class PeerUpdates:
    """Takes in the peers' messages about workers."""

    def __init__(
        self,
        runtime: Runtime,
        table: WorkerTable,
        intake: HeartbeatIntake,
        observers: WorkerObservers,
    ) -> None:
        self.runtime = runtime
        self.table = table
        self.intake = intake
        self.observers = observers

    def apply(self, message: WorkerMessage) -> None:
        """Take a message in; copies and late ones change nothing."""
        match message:
            case WorkerReported():
                if message.report.worker not in self.table.deleted_machines:
                    self.intake.ingest(message.report, message.well_s)
            case WorkersAlive():
                for row in message.workers:
                    if row.worker not in self.table.deleted_machines:
                        self._apply_alive(row)
            case SessionLapsed():
                self.table.mark_expired(message.worker, message.session)
            case MachinesGone():
                self.table.mark_deleted(message.machines)

    def _apply_alive(self, row: AliveWorker) -> None:
        """A peer received a heartbeat that showed nothing new."""
        now = self.runtime.now
        worker = self.table.get_or_create(row.worker)
        number = HeartbeatNumber(row.session, row.seq)
        # Copies of older heartbeats are recognized as such from now on.
        worker.status.newest = max(worker.status.newest, number)
        if worker.agent_epoch != row.session:
            return
        reachability = worker.reachability
        reachability.last_heartbeat_at = max(reachability.last_heartbeat_at, now - row.heard_s)
        reachability.last_healthy_at = max(reachability.last_healthy_at, now - row.well_s)
        if not self.observers.has_capacity(worker.id):
            self.observers.on_capacity_changed(worker.id)
