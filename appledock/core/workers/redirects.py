"""Redirects: answers to heartbeats of workers that another controller owns."""

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

_HEARTBEAT_GAP_MAX_S = 2.0
"""s; the heartbeats of a misdirected worker arrive at shorter intervals"""


class Redirects:
    """Redirects workers to their owners, and takes over workers that cannot reach their owner."""

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
        """Apply a heartbeat of a worker that another controller owns; return the redirect."""
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
        """Reset the counts, which apply to the owners under the previous view."""
        for worker in self.table.rows.values():
            worker.reachability.misdirected = NOT_MISDIRECTED

    def _destination(self, owner: str, has_timed_out: bool) -> str | None:
        """Return the node that the worker is redirected to; None: it tries the next node itself.

        If the owner does not receive its workers' heartbeats, a worker redirected to it would
        time out again, possibly until its lease expires. A worker without a node to report to
        tries the next one after a second, and then returns here. Until then, a new view should
        have assigned another owner to it. A worker that has not timed out is redirected to the
        peer to which most of the owner's workers reported after a timeout, if there is one.
        """
        if self.heartbeats.receives_worker_reports(owner):
            return owner
        reached_peer = self.heartbeats.peer_with_most_owner_timeouts(owner)
        if has_timed_out:
            return None
        return reached_peer or owner

    def _count_misdirected(self, worker: Worker, owner: str, has_timed_out: bool) -> None:
        """Count the redirects of a worker, and request an override if it cannot reach its owner.

        Otherwise the worker would be redirected until its lease expires. The override makes this
        controller the owner of the worker.
        """
        now, reachability = self.runtime.now, worker.reachability
        started_at, redirects = reachability.misdirected
        # The count restarts if it is too old, or if this heartbeat arrived between one and two
        # times `_HEARTBEAT_GAP_MAX_S` after its start.
        if (
            now - started_at > 2 * constants.OWNER_OVERRIDE_DELAY_S
            or reachability.last_heartbeat_at
            > started_at + _HEARTBEAT_GAP_MAX_S
            > now - _HEARTBEAT_GAP_MAX_S
        ):
            started_at, redirects = now, 0
        if has_timed_out:
            # The worker has waited for an answer of its owner until the timeout.
            self.detached_members.on_owner_timeout(owner, worker.id)
            redirects += 1
        redirects += 1
        reachability.misdirected = MisdirectedHeartbeats(started_at, redirects)
        if (
            redirects >= constants.OWNER_OVERRIDE_REDIRECTS_MIN
            and now - started_at >= constants.OWNER_OVERRIDE_DELAY_S
        ):
            log.warning("worker cannot reach its owner: machine=%s owner=%s", worker.id, owner)
            self.view_requests.overrides[worker.id] = self.runtime.node
