"""Probes: direct calls to workers whose heartbeats do not arrive."""

from __future__ import annotations

from appledock import constants
from appledock.core.commands import WorkerReply
from appledock.core.effects import WorkerCall
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from appledock.core.workers.record import Worker


class Probes:
    """Calls workers for their status, since their owner may be unable to forward heartbeats."""

    def __init__(self, runtime: Runtime, replica: Replica, intake: HeartbeatIntake) -> None:
        self.runtime = runtime
        self.replica = replica
        self.intake = intake

    def probe_if_due(self, worker: Worker) -> None:
        """Probe a worker without recent heartbeats if a job owned here depends on its status."""
        now, reachability = self.runtime.now, worker.reachability
        if (
            worker.report is not None
            and now - reachability.last_heartbeat_at > constants.PROBE_SILENCE_THRESHOLD_S
            and now >= reachability.next_probe_at
            and not reachability.calls_in_flight
            and self._has_open_attempt(worker)
        ):
            self.probe(worker)

    def probe(self, worker: Worker) -> None:
        """Call the worker for its status; its address must be known from an earlier heartbeat."""
        assert worker.report is not None
        reachability = worker.reachability
        reachability.next_probe_at = self.runtime.now + constants.PROBE_INTERVAL_S
        reachability.calls_in_flight += 1
        addr = worker.report.addr

        def on_reply(reply: WorkerReply) -> None:
            reachability.calls_in_flight -= 1
            if reply.report is not None and reply.report.worker == worker.id:
                reachability.probe_failed_at = constants.DISTANT_PAST
                self.intake.ingest_and_broadcast(reply.report)
            else:
                reachability.probe_failed_at = self.runtime.now

        self.runtime.call(
            lambda call_id: WorkerCall(call_id, addr, None, constants.PROBE_TIMEOUT_S), on_reply
        )

    def _has_open_attempt(self, worker: Worker) -> bool:
        """Return whether a job owned here has an attempt in an unexpired epoch of the worker."""
        replica = self.replica
        return any(
            replica.owns_job(self.runtime.node, replica.jobs[job_id])
            and any(attempt.agent_epoch > worker.lease.expired_epoch for attempt in attempts)
            for job_id, attempts in replica.attempts_by_machine.get(worker.id, {}).items()
        )
