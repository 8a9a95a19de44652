"""Own reachability: whether workers reach this controller, also while it is detached."""

from __future__ import annotations

from appledock import constants
from appledock.core.commands import WorkerReply
from appledock.core.effects import WorkerCall
from appledock.core.membership.membership import Membership
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.record import Worker
from appledock.core.workers.table import WorkerTable


class OwnReachability:
    """Measures how many workers reach this controller; while detached, probes some of them.

    A detached member owns no workers, so it receives no heartbeats that would show that the
    network works again. After consecutive rounds in which all probes were answered, it requests
    to be attached.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        view_requests: ViewChangeRequests,
        table: WorkerTable,
    ) -> None:
        self.runtime = runtime
        self.replica = replica
        self.membership = membership
        self.view_requests = view_requests
        self.table = table
        self._next_round_at = 0.0
        self._answered_rounds = 0
        """consecutive rounds of probes that were answered completely while detached"""

    def reporting_fraction(self) -> float:
        """Return the fraction of the owned live workers that recently sent a heartbeat here.

        A worker is live if any controller has recently received a heartbeat from it.
        """
        now = self.runtime.now
        if self.replica.view is None or self.membership.is_detached():
            return 0.0
        recent_s = (
            constants.REPORTING_WINDOW_INTERVALS * self.runtime.settings.cluster.workers.report_s
        )
        live = [
            worker.reachability
            for worker in self.table.rows.values()
            if now - worker.reachability.last_heartbeat_at
            < recent_s + constants.OWNER_TIMEOUT_SILENCE_MIN_S
            and self.table.owns(worker.id)
        ]
        direct = sum(now - row.last_direct_heartbeat_at < recent_s for row in live)
        return direct / len(live) if live else 1.0

    def tick(self) -> None:
        """While detached, probe some workers; once they answer, request to be attached."""
        now = self.runtime.now
        if not self.membership.is_detached():
            self._answered_rounds = 0
            return
        if now < self._next_round_at:
            return
        self._next_round_at = now + constants.PROBE_INTERVAL_S
        self.view_requests.attach_self = self._answered_rounds >= constants.PROBE_ROUNDS
        known = [
            worker for _, worker in sorted(self.table.rows.items()) if worker.report is not None
        ]
        if not known:
            self._answered_rounds += 1  # no known worker: none to probe, and none to lose
            return
        # Workers whose heartbeats the peers receive are alive. If this controller is cut off from
        # the peers as well, it knows of no live worker. It then probes any of the known workers:
        # without an answer from them, it must not own workers again.
        live = [
            worker
            for worker in known
            if now - worker.reachability.last_heartbeat_at < constants.PROBE_SILENCE_THRESHOLD_S
        ] or known
        self._probe_round(self.runtime.rng.sample(live, min(len(live), constants.PROBE_WORKERS)))

    def _probe_round(self, workers: list[Worker]) -> None:
        """Probe these workers; the round counts as answered if all of them answer."""
        unanswered = len(workers)

        def on_reply(reply: WorkerReply) -> None:
            nonlocal unanswered
            if reply.report is None:
                self._answered_rounds, unanswered = 0, -1
                self.view_requests.attach_self = False
                return
            unanswered -= 1
            self._answered_rounds += unanswered == 0

        def probe(addr: str) -> None:
            self.runtime.call(
                lambda call_id: WorkerCall(call_id, addr, None, constants.PROBE_TIMEOUT_S), on_reply
            )

        for worker in workers:
            if worker.report is not None:
                probe(worker.report.addr)
