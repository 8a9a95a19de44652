"""Detached members: controllers that their workers cannot reach must not own workers.

A member that hangs, or that is cut off from its workers but not from the key-value store, keeps
its lease and still owns its part of the workers, whose own leases then expire. Once many workers
have reported to this controller after a timeout at such a member, a view in which the member is
detached assigns other owners to all its workers in a single write.
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
    """Finds members that their workers cannot reach, and requests a view that detaches them."""

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
        """owner -> worker that reported here after a timeout at the owner -> when last"""

    def on_owner_timeout(self, owner: str, machine: str) -> None:
        """Record that the worker reported here after its heartbeat to its owner had timed out."""
        self._timed_out.setdefault(owner, {})[machine] = self.runtime.now

    def owner_timeout_counts(self) -> dict[str, int]:
        """Return, by owner, how many of its workers recently reported here after a timeout."""
        return {owner: len(machines) for owner, machines in self._timed_out.items()}

    def on_view(self) -> None:
        """Drop all timeouts, since workers may have other owners under the new view."""
        self._timed_out.clear()

    def tick(self) -> None:
        """Request to detach the members that too many of their workers cannot reach."""
        for owner in list(self._timed_out):
            self._drop_old_timeouts(owner)
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

    def _drop_old_timeouts(self, owner: str) -> None:
        now = self.runtime.now
        recent = {
            machine: at
            for machine, at in self._timed_out[owner].items()
            if now - at < constants.OWNER_TIMEOUT_WINDOW_S
        }
        if recent:
            self._timed_out[owner] = recent
        else:
            del self._timed_out[owner]

    def _can_detach(self, owner: str) -> bool:
        view = self.replica.view
        assert view is not None
        return owner in view.attached_members() and not self.heartbeats.receives_worker_reports(
            owner
        )

    def _live_workers_of(self, owner: str) -> int:
        """Return how many of the owner's workers recently sent a heartbeat to any controller."""
        now = self.runtime.now
        return sum(
            now - worker.reachability.last_heartbeat_at < 2 * constants.OWNER_TIMEOUT_WINDOW_S
            and self.replica.owner_of(worker.id) == owner
            for worker in self.table.rows.values()
        )
