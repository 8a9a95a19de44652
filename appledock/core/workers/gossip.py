"""What the controllers tell each other about workers: each has a picture of all."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.events import PeerSend
from appledock.core.messages import (
    AliveWorker,
    MachinesGone,
    SessionLapsed,
    WorkerMessage,
    WorkerReported,
    WorkersAlive,
)
from appledock.core.workers.record import HeartbeatNumber, Worker
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class Gossip:
    """Passes reports and proofs on, and takes in those of the peers."""

    def __init__(self, engine: Controller, workers: WorkerTable) -> None:
        self.engine = engine
        self.workers = workers
        self.unchanged: set[str] = set()
        """workers whose reports came and showed nothing new: told to the peers soon"""
        self._untold: dict[str, deque[str]] = {}
        """peer whose link has opened -> workers that it is still to be told of"""
        self.next_alive = 0.0
        self.next_remind = 0.0

    # --- sent -------------------------------------------------------------
    def tick(self) -> None:
        """Send what is due."""
        now = self.engine.now
        self._tell_parts()
        if now >= self.next_alive:
            self.next_alive = now + c.ALIVE_EVERY_S
            self._send_alive(sorted(self.unchanged))
            self.unchanged.clear()
        if now >= self.next_remind:
            self.next_remind = now + c.PEER_RESEND_S
            self._remind()

    def pass_on(self, worker: Worker) -> None:
        """Tell the peers of a report.

        Whole reports go when they show something new, else that they came is enough.
        """
        report = worker.report
        if report is None:
            return
        changed = worker.id in self.engine.reconcile_queue.changed_workers
        if changed or self.engine.now - worker.status.broadcast_at >= c.PEER_RESEND_S:
            worker.status.broadcast_at = self.engine.now
            self._send_report(worker, report)
        else:
            self.unchanged.add(worker.id)

    def announce_expired(self, machine: str, session: int, to: str | None = None) -> None:
        """The session is proven to be over."""
        self.engine.emit(PeerSend(SessionLapsed(machine, session), to))

    def on_peer_connected(self, name: str) -> None:
        """A link (re)opened: what the peer missed is sent again, part by part."""
        self._untold[name] = deque(self.workers.table)
        if self.workers.deleted_machines:
            self._send_gone(list(self.workers.deleted_machines)[-c.GONE_RESENT_MAX :], name)
        self._tell_parts()

    def _tell_parts(self) -> None:
        """One part more to each peer whose link has opened."""
        for peer, names in list(self._untold.items()):
            part = [names.popleft() for _ in range(min(len(names), c.LINK_PART))]
            if not names:
                del self._untold[peer]
            self._tell_part(peer, part)

    def _tell_part(self, peer: str, names: list[str]) -> None:
        for name in names:
            worker = self.workers.table.get(name)
            if worker is None:
                continue
            if worker.report is not None and self.engine.replica.view and self.workers.owns(name):
                self._send_report(worker, worker.report, peer)
            if worker.lease.expired_epoch:
                self.announce_expired(name, worker.lease.expired_epoch, peer)
        self._send_alive(names, peer)

    def _send_report(self, worker: Worker, report: wire.Report, to: str | None = None) -> None:
        message = WorkerReported(report, self._age_s(worker.reachability.last_healthy_at))
        self.engine.emit(PeerSend(message, to))

    def _send_alive(self, names: Iterable[str], to: str | None = None) -> None:
        """Workers whose reports came: number, and how long ago they came and were well."""
        rows = [
            AliveWorker(
                name,
                *worker.status.newest,
                self._age_s(worker.reachability.last_heartbeat_at),
                self._age_s(worker.reachability.last_healthy_at),
            )
            for name in names
            if (worker := self.workers.table.get(name)) is not None
        ]
        for first in range(0, len(rows), c.ALIVE_PART):
            self.engine.emit(PeerSend(WorkersAlive(rows[first : first + c.ALIVE_PART]), to))

    def _send_gone(self, machines: list[str], to: str | None = None) -> None:
        self.engine.emit(PeerSend(MachinesGone(machines), to))

    def _age_s(self, at: float) -> float:
        """How long ago that was: the controllers' clocks differ, ages do not."""
        return round(min(self.engine.now - at, c.AGE_MAX_S), 3)

    def _remind(self) -> None:
        """Repeat proofs of settlement while attempts wait for them.

        The first message may have been lost with its link.
        """
        waiting = self.engine.replica.attempts_by_machine
        gone = [machine for machine in waiting if machine in self.workers.deleted_machines]
        if gone:
            self._send_gone(gone)
        for machine in waiting:
            worker = self.workers.table.get(machine)
            if worker is not None and worker.lease.expired_epoch:
                self.announce_expired(machine, worker.lease.expired_epoch)

    # --- received ---------------------------------------------------------
    def on_peer(self, message: WorkerMessage) -> None:
        """What a peer tells of workers."""
        match message:
            case WorkerReported():
                if message.report.worker not in self.workers.deleted_machines:
                    self.engine.workers.ingest_heartbeat(message.report, message.well_s)
            case WorkersAlive():
                self._on_alive(message.workers)
            case SessionLapsed():
                self.workers.mark_expired(message.worker, message.session)
            case MachinesGone():
                self.workers.mark_deleted(message.machines)

    def _on_alive(self, rows: list[AliveWorker]) -> None:
        now = self.engine.now
        for row in rows:
            if row.worker in self.workers.deleted_machines:
                continue
            worker = self.workers.get_or_create(row.worker)
            # Copies of older reports are known for what they are from now on.
            if (row.session, row.seq) > worker.status.newest:
                worker.status.newest = HeartbeatNumber(row.session, row.seq)
            if worker.agent_epoch == row.session:
                worker.reachability.last_heartbeat_at = max(
                    worker.reachability.last_heartbeat_at, now - row.heard_s
                )
                worker.reachability.last_healthy_at = max(
                    worker.reachability.last_healthy_at, now - row.well_s
                )
                if worker.id not in self.engine.capacity_index.machines:
                    self.engine.capacity_index.mark_changed(worker.id)
