"""Eligibility of workers for new tasks."""

from __future__ import annotations

from collections.abc import Mapping

from appledock import wire
from appledock.core.runtime import Runtime
from appledock.core.workers import Worker, Workers

HEALTHY_WITHIN_HEARTBEATS = 2.5
"""heartbeat intervals; a worker stays eligible this long after its last healthy heartbeat"""


class Eligibility:
    """Decides whether tasks may be placed on a worker's machine, regardless of free capacity."""

    def __init__(
        self, runtime: Runtime, workers: Workers, machine_types: Mapping[str, wire.MachineType]
    ) -> None:
        self._runtime = runtime
        self._workers = workers
        self._machine_types = machine_types
        self._healthy_for_s = HEALTHY_WITHIN_HEARTBEATS * runtime.settings.cluster.workers.report_s

    def is_eligible(self, worker: Worker) -> bool:
        """Return whether tasks may be placed on the worker's machine now.

        A machine is not eligible if it is cordoned, deleted, about to be reclaimed or of a type
        that the cloud no longer lists. Nor is it if its worker's agent epoch has expired, if the
        epoch may be known only from an old copy of a heartbeat, or if the worker no longer
        receives its owner's answers.
        """
        report = worker.report
        return (
            report is not None
            and report.type in self._machine_types
            and not worker.placement.cordon_reason
            and worker.id not in self._workers.deleted_machines
            and report.session > worker.lease.expired_epoch
            and report.notice_s is None
            and worker.has_shown_current_token
            and self._runtime.now - worker.reachability.last_healthy_at <= self._healthy_for_s
        )
