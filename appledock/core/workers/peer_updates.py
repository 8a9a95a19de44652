"""Peer updates: messages about workers that this controller receives from its peers."""

from __future__ import annotations

from appledock.core.messages import (
    AgentEpochExpired,
    MachinesDeleted,
    UnchangedHeartbeat,
    UnchangedHeartbeats,
    WorkerHeartbeat,
    WorkerMessage,
)
from appledock.core.runtime import Runtime
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from appledock.core.workers.observers import WorkerObservers
from appledock.core.workers.record import HeartbeatNumber
from appledock.core.workers.table import WorkerTable


class PeerUpdates:
    """Applies the peers' messages about workers."""

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
        """Apply a message; duplicated and outdated messages have no effect."""
        match message:
            case WorkerHeartbeat():
                if message.report.worker not in self.table.deleted_machines:
                    self.intake.ingest(message.report, message.healthy_age_s)
            case UnchangedHeartbeats():
                for row in message.heartbeats:
                    if row.worker not in self.table.deleted_machines:
                        self._apply_unchanged(row)
            case AgentEpochExpired():
                self.table.mark_expired(message.worker, message.agent_epoch)
            case MachinesDeleted():
                self.table.mark_deleted(message.machines)

    def _apply_unchanged(self, row: UnchangedHeartbeat) -> None:
        """Record that a peer received a heartbeat without changes."""
        now = self.runtime.now
        worker = self.table.get_or_create(row.worker)
        number = HeartbeatNumber(row.agent_epoch, row.sequence_number)
        # From now on, copies of older heartbeats are recognized by their number.
        worker.status.newest_number = max(worker.status.newest_number, number)
        if worker.agent_epoch != row.agent_epoch:
            return
        reachability = worker.reachability
        reachability.last_heartbeat_at = max(
            reachability.last_heartbeat_at, now - row.heartbeat_age_s
        )
        reachability.last_healthy_at = max(reachability.last_healthy_at, now - row.healthy_age_s)
        if not self.observers.has_capacity(worker.id):
            self.observers.on_capacity_changed(worker.id)
