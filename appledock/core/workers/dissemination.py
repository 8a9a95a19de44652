"""Dissemination: the messages about workers that this controller sends to its peers.

Every controller knows every worker, so that it can take over any of them at any time. Heartbeats
with a change are sent in full; of the others, only the sequence number and the ages are sent.
Expired agent epochs and deleted machines are sent repeatedly while recorded attempts depend on
them, because a link may lose any message.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from appledock import constants, wire
from appledock.core.effects import PeerSend
from appledock.core.messages import (
    AgentEpochExpired,
    MachinesDeleted,
    UnchangedHeartbeat,
    UnchangedHeartbeats,
    WorkerHeartbeat,
)
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.observers import ReconcileTriggers
from appledock.core.workers.record import Worker
from appledock.core.workers.table import WorkerTable


class Dissemination:
    """Sends heartbeats, expired agent epochs and deleted machines to the peers."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        table: WorkerTable,
        triggers: ReconcileTriggers,
    ) -> None:
        self.runtime = runtime
        self.replica = replica
        self.table = table
        self.triggers = triggers
        self._unchanged: set[str] = set()
        """workers that sent a heartbeat without changes after the last summary"""
        self._backlogs: dict[str, deque[str]] = {}
        """newly connected peer -> workers whose state has not been sent to it yet"""
        self._next_summary_at = 0.0
        self._next_repeat_at = 0.0

    def tick(self) -> None:
        """Send the messages that are due."""
        now = self.runtime.now
        self._send_backlogs()
        if now >= self._next_summary_at:
            self._next_summary_at = now + constants.UNCHANGED_HEARTBEATS_INTERVAL_S
            self.send_unchanged_heartbeats(sorted(self._unchanged))
            self._unchanged.clear()
        if now >= self._next_repeat_at:
            self._next_repeat_at = now + constants.WORKER_RESEND_INTERVAL_S
            self._resend_proofs()

    def broadcast(self, worker: Worker) -> None:
        """Send the worker's newest heartbeat to the peers.

        A heartbeat with a change is sent in full and at once. For a heartbeat without changes, the
        next summary contains its number and ages, and it is sent in full at most once per
        `WORKER_RESEND_INTERVAL_S`.
        """
        report = worker.report
        if report is None:
            return
        now = self.runtime.now
        is_changed = worker.id in self.triggers.changed_workers
        if is_changed or now - worker.status.broadcast_at >= constants.WORKER_RESEND_INTERVAL_S:
            worker.status.broadcast_at = now
            self._send_heartbeat(worker, report)
        else:
            self._unchanged.add(worker.id)

    def announce_expired(self, machine: str, agent_epoch: int, to: str | None = None) -> None:
        """Send the proof that the agent epoch has ended to one peer, or to all peers."""
        self.runtime.emit(PeerSend(AgentEpochExpired(machine, agent_epoch), to))

    def on_peer_connected(self, peer: str) -> None:
        """Start sending the state of all workers, in parts, to a peer that has connected."""
        self._backlogs[peer] = deque(self.table.rows)
        if self.table.deleted_machines:
            newest = list(self.table.deleted_machines)[-constants.DELETED_MACHINES_RESENT_MAX :]
            self._send_deleted(newest, peer)
        self._send_backlogs()

    def send_unchanged_heartbeats(self, machines: Iterable[str], to: str | None = None) -> None:
        """Send number and ages of these workers' last heartbeats to one peer, or to all peers.

        A message contains at most `UNCHANGED_HEARTBEATS_MAX` workers, so that it fits a frame.
        """
        rows = [
            UnchangedHeartbeat(
                machine,
                *worker.status.newest_number,
                self._age_s(worker.reachability.last_heartbeat_at),
                self._age_s(worker.reachability.last_healthy_at),
            )
            for machine in machines
            if (worker := self.table.rows.get(machine)) is not None
        ]
        for first in range(0, len(rows), constants.UNCHANGED_HEARTBEATS_MAX):
            part = rows[first : first + constants.UNCHANGED_HEARTBEATS_MAX]
            self.runtime.emit(PeerSend(UnchangedHeartbeats(part), to))

    def _send_backlogs(self) -> None:
        """Send the next part of the workers to each newly connected peer."""
        for peer, machines in list(self._backlogs.items()):
            part = [
                machines.popleft()
                for _ in range(min(len(machines), constants.INITIAL_SYNC_WORKERS_MAX))
            ]
            if not machines:
                del self._backlogs[peer]
            self._send_workers(peer, part)

    def _send_workers(self, peer: str, machines: list[str]) -> None:
        for machine in machines:
            worker = self.table.rows.get(machine)
            if worker is None:
                continue
            if worker.report is not None and self.replica.view and self.table.owns(machine):
                self._send_heartbeat(worker, worker.report, peer)
            if worker.lease.expired_epoch:
                self.announce_expired(machine, worker.lease.expired_epoch, peer)
        self.send_unchanged_heartbeats(machines, peer)

    def _send_heartbeat(self, worker: Worker, report: wire.Report, to: str | None = None) -> None:
        message = WorkerHeartbeat(report, self._age_s(worker.reachability.last_healthy_at))
        self.runtime.emit(PeerSend(message, to))

    def _send_deleted(self, machines: list[str], to: str | None = None) -> None:
        self.runtime.emit(PeerSend(MachinesDeleted(machines), to))

    def _age_s(self, at: float) -> float:
        """Return the age of an event; messages carry ages since the controllers' clocks differ."""
        return round(min(self.runtime.now - at, constants.PEER_AGE_MAX_S), 3)

    def _resend_proofs(self) -> None:
        """Resend proofs of settlement for all machines with open attempts.

        The first message may have been lost with its link.
        """
        machines = self.replica.attempts_by_machine
        deleted = [machine for machine in machines if machine in self.table.deleted_machines]
        if deleted:
            self._send_deleted(deleted)
        for machine in machines:
            worker = self.table.rows.get(machine)
            if worker is not None and worker.lease.expired_epoch:
                self.announce_expired(machine, worker.lease.expired_epoch)
