"""Dissemination: what this controller sends its peers about workers.

Every controller knows of every worker, so that it can take over at any time. Heartbeats that show
something new are sent whole; of the others, their numbers and ages are enough. Expired epochs and
deleted machines are repeated while recorded attempts wait for them: a link may lose any message.
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
    """Sends heartbeats, expired epochs and deleted machines to the peers."""

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
        """workers whose heartbeats came and showed nothing new: sent with the next summary"""
        self._backlogs: dict[str, deque[str]] = {}
        """peer whose link has opened -> workers that it has not been sent yet"""
        self._next_summary_at = 0.0
        self._next_repeat_at = 0.0

    def tick(self) -> None:
        """Send what is due."""
        now = self.runtime.now
        self._send_backlogs()
        if now >= self._next_summary_at:
            self._next_summary_at = now + constants.UNCHANGED_HEARTBEATS_INTERVAL_S
            self.send_unchanged_heartbeats(sorted(self._unchanged))
            self._unchanged.clear()
        if now >= self._next_repeat_at:
            self._next_repeat_at = now + constants.WORKER_RESEND_INTERVAL_S
            self._repeat_proofs()

    def broadcast(self, worker: Worker) -> None:
        """Send the worker's heartbeat to the peers.

        Whole heartbeats go when they show something new, else that they came is enough.
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
        """Send to one peer, or to all, that the agent epoch is proven to have ended."""
        self.runtime.emit(PeerSend(AgentEpochExpired(machine, agent_epoch), to))

    def on_peer_connected(self, peer: str) -> None:
        """A link (re)opened: what the peer missed is sent again, part by part."""
        self._backlogs[peer] = deque(self.table.rows)
        if self.table.deleted_machines:
            newest = list(self.table.deleted_machines)[-constants.DELETED_MACHINES_RESENT_MAX :]
            self._send_deleted(newest, peer)
        self._send_backlogs()

    def send_unchanged_heartbeats(self, machines: Iterable[str], to: str | None = None) -> None:
        """Send of these workers the number and the ages of their last heartbeats.

        In messages of at most `UNCHANGED_HEARTBEATS_MAX` workers, so that each fits a frame.
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
        """Send one part more to each peer whose link has opened."""
        for peer, machines in list(self._backlogs.items()):
            part = [
                machines.popleft()
                for _ in range(min(len(machines), constants.INITIAL_SYNC_WORKERS_MAX))
            ]
            if not machines:
                del self._backlogs[peer]
            self._send_part(peer, part)

    def _send_part(self, peer: str, machines: list[str]) -> None:
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
        """How long ago that was: the controllers' clocks differ, ages do not."""
        return round(min(self.runtime.now - at, constants.PEER_AGE_MAX_S), 3)

    def _repeat_proofs(self) -> None:
        """Repeat proofs of settlement while attempts wait for them.

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
