"""Own reachability: do workers reach this controller, and again once it is detached?"""

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
    """Measures which workers reach this controller; while detached, probes some of them.

    A detached member owns no workers, so it receives no heartbeats that would show the way is
    open again. It asks for its workers back after rounds of probes that all were answered.
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
        """rounds of probes in a row that were answered while detached"""

    def reporting_fraction(self) -> float:
        """Part of the owned workers that sent their heartbeats here lately.

        Counted among those of which any controller has received a heartbeat.
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
        """While detached, probe some workers; once they answer, ask to be attached."""
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
            self._answered_rounds += 1  # nobody to probe, and nobody to lose
            return
        # Those that the peers receive heartbeats of are alive. Cut off from the peers as well,
        # this controller knows of none, which is no reason to own them.
        live = [
            worker
            for worker in known
            if now - worker.reachability.last_heartbeat_at < constants.PROBE_SILENCE_THRESHOLD_S
        ] or known
        self._probe_round(self.runtime.rng.sample(live, min(len(live), constants.PROBE_WORKERS)))

    def _probe_round(self, workers: list[Worker]) -> None:
        """Probe these workers; the round counts if all of them answer."""
        left = len(workers)

        def on_reply(reply: WorkerReply) -> None:
            nonlocal left
            if reply.report is None:
                self._answered_rounds, left = 0, -1
                self.view_requests.attach_self = False
                return
            left -= 1
            self._answered_rounds += left == 0

        def probe(addr: str) -> None:
            self.runtime.call(
                lambda call_id: WorkerCall(call_id, addr, None, constants.PROBE_TIMEOUT_S), on_reply
            )

        for worker in workers:
            if worker.report is not None:
                probe(worker.report.addr)
