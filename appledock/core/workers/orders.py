"""Orders: commands sent straight to a worker, without waiting for its report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.events import WorkerCall, WorkerOutcome, WorkerReply
from appledock.core.workers.gossip import Gossip
from appledock.core.workers.record import TaskKey, Worker
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller


@dataclass(frozen=True, slots=True)
class SentLaunches:
    """The launches of one call, and what was known of them before it."""

    at: float
    term: int
    keys: list[TaskKey]
    launched: dict[TaskKey, float]
    uncertain: dict[TaskKey, int]


class Orders:
    """Sends commands at once."""

    def __init__(self, engine: Controller, workers: WorkerTable, gossip: Gossip) -> None:
        self.engine = engine
        self.workers = workers
        self.gossip = gossip

    def flush(self) -> None:
        """Send to all workers that may need other commands than before."""
        due, self.workers.commands_due = self.workers.commands_due, set()
        if not self.engine.membership.can_act():
            return
        for name in sorted(due):
            worker = self.workers.table.get(name)
            if worker is not None and self.workers.owns(name):
                if worker.reachability.calls_in_flight:
                    self.workers.commands_due.add(name)
                else:
                    self._send(worker)

    def _send(self, worker: Worker) -> None:
        report = worker.report
        if (
            worker.reachability.calls_in_flight
            or report is None
            or not self.engine.membership.can_act()
            or report.session <= worker.lease.expired_epoch
            or worker.id in self.workers.deleted_machines
        ):
            return
        launched, uncertain = (
            dict(worker.commanded.launched_at),
            dict(worker.commanded.unconfirmed_launches),
        )
        commands = self.engine.workers.commands_for(worker, direct=True)
        if not commands:
            return
        term = self.engine.membership.term
        keys = [(x.task, x.attempt) for x in commands if x.op == wire.LAUNCH]
        sent = SentLaunches(self.engine.now, term, keys, launched, uncertain)
        worker.commanded.unconfirmed_launches.update((key, term) for key in keys)
        worker.reachability.calls_in_flight += 1
        addr, orders = report.addr, wire.Orders(term, report.session, commands)
        self.engine.call(
            lambda call_id: WorkerCall(call_id, addr, orders, c.ORDERS_TIMEOUT_S),
            lambda reply: self._on_reply(worker, sent, reply),
        )

    def _on_reply(self, worker: Worker, sent: SentLaunches, reply: WorkerReply) -> None:
        worker.reachability.calls_in_flight -= 1
        if reply.outcome is WorkerOutcome.UNKNOWN:
            worker.commanded.launched_at.update((key, self.engine.now) for key in sent.keys)
        else:
            self._on_known_outcome(worker, sent, executed=reply.outcome is WorkerOutcome.OK)
        if reply.report is None:
            worker.reachability.probe_failed_at = self.engine.now
        elif reply.report.worker == worker.id and self.engine.workers.ingest_heartbeat(
            reply.report
        ):
            self.gossip.pass_on(worker)

    def _on_known_outcome(self, worker: Worker, sent: SentLaunches, executed: bool) -> None:
        if executed:
            worker.commanded.repeatable_launches.update((key, sent.term) for key in sent.keys)
        for key in sent.keys:
            # What was not sent now says nothing of the same launch sent before:
            # that one may still be on its way, or have been carried out.
            if worker.commanded.unconfirmed_launches.get(key) == sent.term and (
                executed or key not in sent.uncertain
            ):
                del worker.commanded.unconfirmed_launches[key]
            if not executed and worker.commanded.launched_at.get(key) == sent.at:
                self._restore_launched(worker, sent, key)

    @staticmethod
    def _restore_launched(worker: Worker, sent: SentLaunches, key: TaskKey) -> None:
        """The launch was not executed: as if it had not been sent."""
        if key in sent.launched:
            worker.commanded.launched_at[key] = sent.launched[key]
        else:
            del worker.commanded.launched_at[key]
