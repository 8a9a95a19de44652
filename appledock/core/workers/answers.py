"""Answers to workers' reports: commands from the owner, else the way to it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.events import Reply
from appledock.core.workers.detachment import Detachment
from appledock.core.workers.gossip import Gossip
from appledock.core.workers.record import NOT_MISDIRECTED, MisdirectedHeartbeats, Worker
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class Answers:
    """Answers reports as far as this controller may."""

    def __init__(
        self, engine: Controller, workers: WorkerTable, gossip: Gossip, detachment: Detachment
    ) -> None:
        self.engine = engine
        self.workers = workers
        self.gossip = gossip
        self.detachment = detachment

    def answer(self, request_id: int, report: wire.Report) -> None:
        """Take in a report that came straight from its worker, and answer it."""
        if not self.engine.membership.can_act():
            self._learn_without_authority(report)
            self._refuse(request_id, "not entitled")
        elif report.worker in self.workers.deleted_machines:
            self._refuse(request_id, "machine is gone")
        elif self.workers.owns(report.worker):
            self._answer_as_owner(request_id, report)
        else:
            self._redirect(request_id, report)

    def _refuse(self, request_id: int, reason: str) -> None:
        self.engine.emit(Reply(request_id, 503, {"error": reason}))

    def _learn_without_authority(self, report: wire.Report) -> None:
        """Take in a report that we may not answer.

        It still tells which tasks are over, and which of cancelled jobs are not.
        """
        worker = self.workers.table.get(report.worker)
        if worker is not None and worker.report is not None:
            self.engine.workers.ingest_heartbeat(report)
        self.engine.cancellation.halt_cancelled_tasks(report)

    def _answer_as_owner(self, request_id: int, report: wire.Report) -> None:
        member = self.engine.membership
        worker = self.workers.get_or_create(report.worker)
        worker.reachability.misdirected = NOT_MISDIRECTED
        if report.token > member.term:
            # A newer view exists; answering would be dropped anyway.
            self.engine.membership_protocol.confirm_view()
            self._refuse(request_id, "newer view")
            return
        if report.session <= worker.lease.expired_epoch or not self.engine.workers.ingest_heartbeat(
            report
        ):
            self._refuse(request_id, "outdated report")
            return
        self.gossip.pass_on(worker)
        commands = self.engine.workers.commands_for(worker, direct=False)
        worker.lease.renewable_until = max(worker.lease.renewable_until, self.engine.now)
        self.engine.emit(Reply(request_id, 200, wire.ReportAnswer(member.term, commands)))

    def _redirect(self, request_id: int, report: wire.Report) -> None:
        owner = self.engine.replica.owner_of(report.worker)
        worker = self.workers.get_or_create(report.worker)
        unanswered = (
            c.UNANSWERED_S
            <= self.engine.now - worker.reachability.last_heartbeat_at
            < c.UNANSWERED_LONG_S
        )
        if self.engine.workers.ingest_heartbeat(report):
            self.gossip.pass_on(worker)
            self._count_misdirected(worker, owner, unanswered)
        heartbeats = self.engine.heartbeats
        to: str | None = owner
        if not heartbeats.receives_worker_reports(owner) and (
            unanswered or heartbeats.peer_contacted_by_workers_of(owner)
        ):
            # Sent back, it would wait in vain again, perhaps until its lease ends.
            # Named no node, it comes to the next one a second later, and from there
            # back to us: until then a new view should have moved it.
            to = None if unanswered else heartbeats.peer_contacted_by_workers_of(owner)
        self.engine.emit(Reply(request_id, 421, wire.Redirect(to)))

    def _count_misdirected(self, worker: Worker, owner: str, unanswered: bool) -> None:
        """Count the reports of a worker that cannot reach its owner.

        It must not be sent round until its lease ends: after some tries it is given to us by a
        new view.
        """
        now = self.engine.now
        since, tries = worker.reachability.misdirected
        if (
            now - since > 2 * c.OVERRIDE_AFTER_S
            or worker.reachability.last_heartbeat_at > since + 2.0 > now - 2.0
        ):
            since, tries = now, 0
        if unanswered:
            # It has waited for an answer in vain, and not from us.
            self.detachment.note_unanswered(owner, worker.id)
            tries += 1
        worker.reachability.misdirected = MisdirectedHeartbeats(since, tries + 1)
        if tries + 1 >= c.OVERRIDE_MIN_TRIES and now - since >= c.OVERRIDE_AFTER_S:
            log.warning("%s cannot reach its owner %s; taking it over", worker.id, owner)
            self.engine.view_requests.overrides[worker.id] = self.engine.settings.name
