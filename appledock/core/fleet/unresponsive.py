"""Detection of machines that run services but send no heartbeats and answer no probes."""

from __future__ import annotations

import logging
from collections.abc import Container

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers

log = logging.getLogger(__name__)


class UnresponsiveMachineDetector:
    """Distinguishes failed machines from a failed network.

    Replicas of a service on a failed machine are replaced sooner if the machine is deleted than
    if the lease of its worker has to expire first.
    """

    def __init__(
        self, runtime: Runtime, replica: Replica, workers: Workers, membership: Membership
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._membership = membership
        self._report_s = runtime.settings.cluster.workers.report_s

    def are_most_workers_reporting(self) -> bool:
        """Return whether most workers, and most of those that this controller owns, are reporting.

        If not, this controller or the network has failed, and no machine may be considered
        failed. The second condition counts the heartbeats that owned workers send directly to this
        controller. It guards against a leader that alone is cut off from its workers. Their
        heartbeats still arrive through the peers and only its own probes stay unanswered; such a
        leader once deleted a fifth of the machines.
        """
        now, recent_s = self._runtime.now, 2 * self._report_s
        are_recent = [
            now - worker.reachability.last_healthy_at < recent_s
            for worker in self._workers.table.values()
            if worker.report
        ]
        return (
            sum(are_recent) >= constants.DELETE_REPORTING_SHARE_MIN * len(are_recent)
            and self._workers.reporting_fraction() >= constants.REPORTING_SHARE_MIN
        )

    def find(self, pending_deletions: Container[str]) -> list[str]:
        """Return unresponsive machines, and probe those that are only suspected.

        This may be called only if `are_most_workers_reporting` returns True. A new leader sends
        probes at once, but the result is empty until it has been able to act for
        `LEADER_DELETE_DELAY_S`.
        """
        can_delete = (
            self._runtime.now - self._membership.can_act_since >= constants.LEADER_DELETE_DELAY_S
        )
        unresponsive = []
        for machine, worker in self._workers.table.items():
            if machine in pending_deletions or not self._is_suspected(worker):
                continue
            silent_s = self._runtime.now - worker.reachability.last_healthy_at
            if (
                can_delete
                and self._is_last_probe_unanswered(worker)
                and silent_s > constants.UNRESPONSIVE_SILENCE_INTERVALS * self._report_s
            ):
                log.warning("machine unresponsive: machine=%s silent_s=%.1f", machine, silent_s)
                unresponsive.append(machine)
            else:
                self._probe_if_due(worker)
        return unresponsive

    def _is_suspected(self, worker: Worker) -> bool:
        """Return whether a machine that runs a service has sent no healthy heartbeat for a while.

        A heartbeat is healthy if it shows that the answers of the machine's owner reach the worker.
        """
        silent_s = self._runtime.now - worker.reachability.last_healthy_at
        return (
            worker.report is not None
            and worker.id not in self._workers.deleted_machines
            and silent_s >= constants.SUSPECT_SILENCE_INTERVALS * self._report_s
            and self._runs_service(worker.id)
        )

    def _runs_service(self, machine: str) -> bool:
        return any(
            self._replica.jobs[job_id].spec.service
            for job_id in self._replica.attempts_by_machine.get(machine, ())
        )

    def _is_last_probe_unanswered(self, worker: Worker) -> bool:
        reachability = worker.reachability
        return (
            reachability.last_healthy_at < reachability.probe_failed_at
            and self._runtime.now - reachability.probe_failed_at < 2 * constants.PROBE_INTERVAL_S
        )

    def _probe_if_due(self, worker: Worker) -> None:
        reachability = worker.reachability
        if self._runtime.now >= reachability.next_probe_at and not reachability.calls_in_flight:
            self._workers.probe(worker)
