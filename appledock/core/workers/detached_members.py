"""Detached members: controllers that workers do not reach shall own no workers.

A member that hangs, or that loses its workers but not the key-value store, keeps its lease and
owns its part of all workers, whose own leases expire meanwhile. Once many of them have come here
after their heartbeats to it timed out, a view in which it owns nothing moves them in one write,
however many they are.
"""

from __future__ import annotations

import logging

from appledock import constants
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.table import WorkerTable

log = logging.getLogger(__name__)


class DetachedMembers:
    """Finds members that their workers do not reach, and asks for a view that detaches them."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        view_requests: ViewChangeRequests,
        heartbeats: Heartbeats,
        table: WorkerTable,
    ) -> None:
        self.runtime = runtime
        self.replica = replica
        self.view_requests = view_requests
        self.heartbeats = heartbeats
        self.table = table
        self._timed_out: dict[str, dict[str, float]] = {}
        """owner -> workers that came here after its answer timed out -> when last"""

    def on_owner_timeout(self, owner: str, machine: str) -> None:
        """The worker came here after its heartbeat to its owner had timed out."""
        self._timed_out.setdefault(owner, {})[machine] = self.runtime.now

    def owner_timeout_counts(self) -> dict[str, int]:
        """Owner -> how many of its workers came here lately after its answer timed out."""
        return {owner: len(rows) for owner, rows in self._timed_out.items()}

    def on_view(self) -> None:
        """Workers may have other owners now."""
        self._timed_out.clear()

    def tick(self) -> None:
        """Ask for a view without the members that too many workers do not reach."""
        for owner in list(self._timed_out):
            self._drop_old(owner)
            if owner in self._timed_out and self._is_unreachable(owner):
                self.view_requests.members_to_detach.add(owner)
                del self._timed_out[owner]

    def _is_unreachable(self, owner: str) -> bool:
        timed_out = len(self._timed_out[owner]) + self.heartbeats.owner_timeouts_at_peers(owner)
        if timed_out < constants.DETACH_WORKERS_MIN or not self._can_detach(owner):
            return False
        workers = self._live_workers_of(owner)
        if timed_out < constants.DETACH_WORKERS_SHARE * workers:
            return False
        log.warning(
            "member unreachable by its workers: node=%s timed_out=%d workers=%d",
            owner,
            timed_out,
            workers,
        )
        return True

    def _drop_old(self, owner: str) -> None:
        now = self.runtime.now
        rows = {
            machine: at
            for machine, at in self._timed_out[owner].items()
            if now - at < constants.OWNER_TIMEOUT_WINDOW_S
        }
        if rows:
            self._timed_out[owner] = rows
        else:
            del self._timed_out[owner]

    def _can_detach(self, owner: str) -> bool:
        view = self.replica.view
        assert view is not None
        return owner in view.attached_members() and not self.heartbeats.receives_worker_reports(
            owner
        )

    def _live_workers_of(self, owner: str) -> int:
        """Workers of the owner of which any controller has received a heartbeat lately."""
        now = self.runtime.now
        return sum(
            now - worker.reachability.last_heartbeat_at < 2 * constants.OWNER_TIMEOUT_WINDOW_S
            and self.replica.owner_of(worker.id) == owner
            for worker in self.table.rows.values()
        )
