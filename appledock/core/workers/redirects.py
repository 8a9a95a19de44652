"""Redirects: heartbeats of workers that another controller owns."""

from __future__ import annotations

import logging

from appledock import constants, wire
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.detached_members import DetachedMembers
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from appledock.core.workers.record import NOT_MISDIRECTED, MisdirectedHeartbeats, Worker
from appledock.core.workers.table import WorkerTable

log = logging.getLogger(__name__)

_RECENT_S = 2.0
"""s; a misdirected worker's heartbeats follow each other at shorter gaps"""


class Redirects:
    """Sends workers back to their owners, and takes over those that cannot reach theirs."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        view_requests: ViewChangeRequests,
        heartbeats: Heartbeats,
        table: WorkerTable,
        intake: HeartbeatIntake,
        detached_members: DetachedMembers,
    ) -> None:
        self.runtime = runtime
        self.replica = replica
        self.view_requests = view_requests
        self.heartbeats = heartbeats
        self.table = table
        self.intake = intake
        self.detached_members = detached_members

    def redirect(self, report: wire.Report) -> wire.Redirect:
        """Take in a heartbeat whose worker another controller owns; say where it shall report."""
        owner = self.replica.owner_of(report.worker)
        worker = self.table.get_or_create(report.worker)
        silent_s = self.runtime.now - worker.reachability.last_heartbeat_at
        has_timed_out = (
            constants.OWNER_TIMEOUT_SILENCE_MIN_S
            <= silent_s
            < constants.OWNER_TIMEOUT_SILENCE_MAX_S
        )
        if self.intake.ingest_and_broadcast(report):
            self._count_misdirected(worker, owner, has_timed_out)
        return wire.Redirect(self._destination(owner, has_timed_out))

    def on_view(self) -> None:
        """Workers may have other owners now: what was counted was for the former ones."""
        for worker in self.table.rows.values():
            worker.reachability.misdirected = NOT_MISDIRECTED

    def _destination(self, owner: str, has_timed_out: bool) -> str | None:
        """The node to report to; None: the worker tries the next one.

        Sent back to an owner that does not receive from its workers, it would time out there
        again, perhaps until its lease expires. Without a node it comes to the next one a second
        later, and from there back here: until then a new view should have moved it.
        """
        if self.heartbeats.receives_worker_reports(owner):
            return owner
        reached_peer = self.heartbeats.peer_with_most_owner_timeouts(owner)
        if has_timed_out:
            return None
        return reached_peer or owner

    def _count_misdirected(self, worker: Worker, owner: str, has_timed_out: bool) -> None:
        """Count the heartbeats of a worker that cannot reach its owner.

        It must not be redirected until its lease expires: after some tries a new view overrides
        its owner with this controller.
        """
        now, reachability = self.runtime.now, worker.reachability
        since_at, tries = reachability.misdirected
        if (
            now - since_at > 2 * constants.OWNER_OVERRIDE_DELAY_S
            or reachability.last_heartbeat_at > since_at + _RECENT_S > now - _RECENT_S
        ):
            since_at, tries = now, 0
        if has_timed_out:
            # It has waited for an answer until its timeout, and not for ours.
            self.detached_members.on_owner_timeout(owner, worker.id)
            tries += 1
        tries += 1
        reachability.misdirected = MisdirectedHeartbeats(since_at, tries)
        if (
            tries >= constants.OWNER_OVERRIDE_REDIRECTS_MIN
            and now - since_at >= constants.OWNER_OVERRIDE_DELAY_S
        ):
            log.warning("worker cannot reach its owner: machine=%s owner=%s", worker.id, owner)
            self.view_requests.overrides[worker.id] = self.runtime.node
