"""Members that workers do not reach: they shall own nothing until they are reached."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.events import WorkerCall, WorkerReply
from appledock.core.workers.record import Worker
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class Detachment:
    """Finds such members, and finds out when we are one ourselves."""

    def __init__(self, engine: Controller, workers: WorkerTable) -> None:
        self.engine = engine
        self.workers = workers
        self.unanswered: dict[str, dict[str, float]] = {}
        """owner -> workers that came here after waiting for it in vain -> when"""
        self.next_probe = 0.0
        self.probes = 0
        """rounds of questions in a row that workers answered us while detached"""

    def tick(self) -> None:
        """Look at the others, and at ourselves."""
        self._detach_others()
        self._probe()

    def on_view(self) -> None:
        """Workers may have other owners now."""
        self.unanswered.clear()

    def note_unanswered(self, owner: str, worker: str) -> None:
        """The worker came here after it had waited for its owner's answer in vain."""
        self.unanswered.setdefault(owner, {})[worker] = self.engine.now

    def owner_timeout_counts(self) -> dict[str, int]:
        """Owner -> how many of its workers came here lately after waiting in vain."""
        return {owner: len(rows) for owner, rows in self.unanswered.items()}

    def reporting_fraction(self) -> float:
        """Part of our workers that reported to us lately.

        Counted among those that anybody has heard of.
        """
        view, now = self.engine.replica.view, self.engine.now
        if view is None or self.engine.membership.is_detached():
            return 0.0
        near_s = c.REPORTING_INTERVALS * self.engine.settings.cluster.workers.report_s
        heard = [
            worker
            for worker in self.workers.table.values()
            if now - worker.reachability.last_heartbeat_at < near_s + c.UNANSWERED_S
            and self.workers.owns(worker.id)
        ]
        direct = sum(
            now - worker.reachability.last_direct_heartbeat_at < near_s for worker in heard
        )
        return direct / len(heard) if heard else 1.0

    # --- others -----------------------------------------------------------
    def _detach_others(self) -> None:
        """Find members that many workers wait for in vain.

        One that stands still, or that loses its workers but not the state service, keeps its
        lease and owns a third of all workers, whose own leases run out meanwhile. Once many of
        them have come here after waiting in vain, a view in which it owns nothing moves them in
        one write, however many.
        """
        for owner in list(self.unanswered):
            self._forget_old(owner)
            if owner not in self.unanswered:
                continue
            waited = len(
                self.unanswered[owner]
            ) + self.engine.heartbeats.unanswered_workers_at_peers(owner)
            if waited < c.DETACH_MIN or not self._may_detach(owner):
                continue
            owned = self._heard_of(owner)
            if waited >= c.DETACH_SHARE * owned:
                log.warning(
                    "%d of %d workers of %s waited for it in vain; it shall own nothing",
                    waited,
                    owned,
                    owner,
                )
                self.engine.view_requests.members_to_detach.add(owner)
                del self.unanswered[owner]

    def _forget_old(self, owner: str) -> None:
        now = self.engine.now
        rows = {
            name: at
            for name, at in self.unanswered[owner].items()
            if now - at < c.UNANSWERED_WINDOW_S
        }
        if rows:
            self.unanswered[owner] = rows
        else:
            del self.unanswered[owner]

    def _may_detach(self, owner: str) -> bool:
        view = self.engine.replica.view
        assert view is not None
        return owner in view.attached() and not self.engine.heartbeats.receives_worker_reports(
            owner
        )

    def _heard_of(self, owner: str) -> int:
        """How many workers of the owner anybody has heard of lately."""
        now = self.engine.now
        return sum(
            now - worker.reachability.last_heartbeat_at < 2 * c.UNANSWERED_WINDOW_S
            and self.engine.replica.owner_of(worker.id) == owner
            for worker in self.workers.table.values()
        )

    # --- ourselves --------------------------------------------------------
    def _probe(self) -> None:
        """While detached: ask some workers directly. Once they answer, we own again."""
        now, member = self.engine.now, self.engine.membership
        if not member.is_detached():
            self.probes = 0
            return
        if now < self.next_probe:
            return
        self.next_probe = now + c.SHOW_EVERY_S
        self.engine.view_requests.attach_self = self.probes >= c.PROBE_ROUNDS
        known = [
            worker for _, worker in sorted(self.workers.table.items()) if worker.report is not None
        ]
        if not known:
            self.probes += 1  # nobody to ask, and nobody to lose
            return
        # Those that the peers hear of are alive. Cut off from the peers as well, we hear
        # of none, which is no reason to own them.
        near = [
            worker
            for worker in known
            if now - worker.reachability.last_heartbeat_at < c.SHOW_AFTER_S
        ] or known
        self._ask(self.engine.rng.sample(near, min(len(near), c.PROBE_WORKERS)))

    def _ask(self, workers: list[Worker]) -> None:
        """Ask these workers; the round counts if all of them answer."""
        left = len(workers)

        def answered(reply: WorkerReply) -> None:
            nonlocal left
            if reply.report is None:
                self.probes, left = 0, -1
                self.engine.view_requests.attach_self = False
                return
            left -= 1
            self.probes += left == 0

        def ask(addr: str) -> None:
            self.engine.call(
                lambda call_id: WorkerCall(call_id, addr, None, c.SHOW_TIMEOUT_S), answered
            )

        for worker in workers:
            if worker.report is not None:
                ask(worker.report.addr)
