"""Leases of workers: which sessions are surely over, and whom to ask directly."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.events import WorkerCall, WorkerReply
from appledock.core.workers.gossip import Gossip
from appledock.core.workers.record import NOT_MISDIRECTED, Worker
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller
    from appledock.core.store.replica import View

log = logging.getLogger(__name__)


class Liveness:
    """Watches the workers' leases."""

    def __init__(self, engine: Controller, workers: WorkerTable, gossip: Gossip) -> None:
        self.engine = engine
        self.workers = workers
        self.gossip = gossip

    # --- leases -----------------------------------------------------------
    def check_all(self) -> None:
        """Find the sessions that have lapsed, and ask workers that are quiet."""
        lease_s = self.engine.settings.cluster.workers.lease_s
        lease_s = lease_s * (1 + c.CLOCK_DRIFT) + c.LAPSE_MARGIN_S
        for machine in list(self.engine.replica.attempts_by_machine):
            worker = self.workers.get_or_create(machine)
            if machine not in self.workers.deleted_machines:
                self._check_lease(worker, lease_s)
                if self._worth_asking(worker):
                    self.probe(worker)

    def _check_lease(self, worker: Worker, lease_s: float) -> None:
        member = self.engine.membership
        # A session heard of lives on for a lease even if nobody answers it.
        ends_at = max(worker.lease.renewable_until, worker.reachability.last_heartbeat_at) + lease_s
        if self.engine.now < ends_at or not self.workers.owns(worker.id):
            return
        session = max(self._newest_recorded_session(worker.id), worker.agent_epoch)
        if session <= worker.lease.expired_epoch:
            return
        # The view must be proven to have been ours until then: a
        # newer owner may have renewed the lease.
        if member.view_confirmed_at < ends_at:
            self.engine.membership_protocol.confirm_view()
            return
        log.info("%s: session %d has lapsed", worker.id, session)
        self.workers.mark_expired(worker.id, session)
        self.gossip.announce_expired(worker.id, session)

    def _newest_recorded_session(self, machine: str) -> int:
        attempts = self.engine.replica.attempts_by_machine[machine].values()
        return max((attempt.agent_epoch for row in attempts for attempt in row), default=0)

    # --- direct questions -------------------------------------------------
    def _worth_asking(self, worker: Worker) -> bool:
        now = self.engine.now
        return (
            worker.report is not None
            and now - worker.reachability.last_heartbeat_at > c.SHOW_AFTER_S
            and now >= worker.reachability.next_probe_at
            and not worker.reachability.calls_in_flight
            and self._session_open(worker)
        )

    def _session_open(self, worker: Worker) -> bool:
        """Does a job of ours have an open attempt in the worker's session?"""
        engine = self.engine
        return any(
            engine.replica.owns_job(engine.settings.name, engine.replica.jobs[job_id])
            and any(attempt.agent_epoch > worker.lease.expired_epoch for attempt in attempts)
            for job_id, attempts in engine.replica.attempts_by_machine.get(worker.id, {}).items()
        )

    def probe(self, worker: Worker) -> None:
        """Ask the worker itself: the owner may be unable to pass reports on."""
        assert worker.report is not None
        worker.reachability.next_probe_at = self.engine.now + c.SHOW_EVERY_S
        worker.reachability.calls_in_flight += 1
        addr = worker.report.addr

        def answered(reply: WorkerReply) -> None:
            worker.reachability.calls_in_flight -= 1
            if reply.report is not None and reply.report.worker == worker.id:
                worker.reachability.probe_failed_at = c.LONG_AGO
                if self.engine.workers.ingest_heartbeat(reply.report):
                    self.gossip.pass_on(worker)
            else:
                worker.reachability.probe_failed_at = self.engine.now

        self.engine.call(
            lambda call_id: WorkerCall(call_id, addr, None, c.SHOW_TIMEOUT_S), answered
        )

    # --- views ------------------------------------------------------------
    def on_view(self, old: View | None) -> None:
        """Ownership may have moved: how long may the former owners still answer?

        A former owner that is no longer in the view had no authority left when
        the view was committed. One that is still a member may answer until it
        learns of the view, at most one lease from now.
        """
        view, now = self.engine.replica.view, self.engine.now
        assert view is not None
        for name, worker in self.workers.table.items():
            worker.commanded.launched_at.clear()
            worker.reachability.misdirected = NOT_MISDIRECTED  # tries with another owner
            self.workers.commands_due.add(name)
            if old is None or view.term != old.term + 1:
                # A view in between may have had any owner.
                worker.lease.renewable_until = max(
                    worker.lease.renewable_until, now + self.engine.runtime.lease_ttl_s
                )
                continue
            owner = old.owner_of(name)
            if view.members.get(owner) != old.members[owner]:
                worker.lease.renewable_until = max(worker.lease.renewable_until, now)
            elif owner != self.engine.settings.name:
                worker.lease.renewable_until = max(
                    worker.lease.renewable_until, now + self.engine.runtime.lease_ttl_s
                )
