"""Cordons: machines on which no task is placed, and graceful eviction from some of them."""

from __future__ import annotations

import enum
import logging
from collections.abc import Container

from appledock import constants
from appledock.core.effects import PeerSend
from appledock.core.fleet.model import ScaleInReason
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.messages import MachineCordoned
from appledock.core.records.job import Attempt
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers

log = logging.getLogger(__name__)

NO_CORDON = ""
"""in place of a reason: tasks may be placed"""


class OperatorAction(enum.StrEnum):
    """What an operator asks for; the values are part of the administration API."""

    CORDON = "cordon"
    UNCORDON = "uncordon"
    DRAIN = "drain"


REASON_OF_ACTION: dict[OperatorAction, str] = {
    OperatorAction.CORDON: ScaleInReason.OPERATOR,
    OperatorAction.UNCORDON: NO_CORDON,
    OperatorAction.DRAIN: ScaleInReason.DRAIN,
}


class Cordons:
    """Sets, broadcasts and ends cordons, and evicts tasks.

    Each controller keeps the cordons of all machines, whoever leads. Reasons are text here: a
    peer of another version may send one that this version does not know.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        capacity_index: CapacityIndex,
        reconcile_queue: ReconcileQueue,
        stop_requests: StopRequests,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index
        self._reconcile_queue = reconcile_queue
        self._stop_requests = stop_requests

    # --- setting and broadcasting -----------------------------------------
    def set_locally(self, machine: str, reason: str) -> None:
        """Take over a cordon, or its end (`NO_CORDON`), without a broadcast."""
        worker = self._workers.table.get(machine)
        if worker is not None:
            worker.placement.cordon_reason = str(reason)
            worker.placement.cordoned_at = self._runtime.now
            self._capacity_index.mark_changed(machine)
            self._reconcile_queue.placement_due = True

    def announce(self, machine: str, reason: str, peer: str | None = None) -> None:
        """Send a cordon, or its end, to one peer, or to all."""
        self._runtime.emit(PeerSend(MachineCordoned(machine, str(reason)), peer))

    def set_everywhere(self, machine: str, reason: str) -> None:
        """Set a cordon, or its end, here and at all peers."""
        self.set_locally(machine, reason)
        self.announce(machine, reason)

    def announce_all(self, peer: str, pending_deletions: Container[str]) -> None:
        """Send a peer whose link has just opened the cordons that it may have missed.

        Those of idle machines only as the leader, which alone knows its `pending_deletions`.
        """
        for worker in self._workers.table.values():
            reason = worker.placement.cordon_reason
            if reason and (reason != ScaleInReason.IDLE or worker.id in pending_deletions):
                self.announce(worker.id, reason, peer)

    # --- causes of cordons ------------------------------------------------
    def apply_operator_action(self, machine: str, action: OperatorAction) -> None:
        """Cordon, release or drain a machine, as an operator asked."""
        self.set_everywhere(machine, REASON_OF_ACTION[action])

    def on_task_failed(self, machine: str, job_id: str) -> None:
        """Count the failure; a machine on which several jobs failed is cordoned as faulty."""
        worker = self._workers.table.get(machine)
        if worker is None:
            return
        placement = worker.placement
        placement.failed_jobs.add(job_id)
        if (
            len(placement.failed_jobs) >= constants.FAULTY_MACHINE_JOBS_MIN
            and not placement.cordon_reason
        ):
            log.warning(
                "faulty machine cordoned: machine=%s failed_jobs=%s",
                machine,
                sorted(placement.failed_jobs),
            )
            self.set_everywhere(machine, ScaleInReason.FAULTY)

    # --- eviction ---------------------------------------------------------
    def enforce(self, pending_deletions: Container[str]) -> None:
        """End stale cordons, and evict this controller's tasks where that is due.

        Tasks on a machine that an operator drains are stopped with their grace period and
        placed again elsewhere; the leader deletes the machine once it is empty. From a spot
        instance about to be reclaimed, only tasks with checkpoints are evicted: the others
        lose nothing by running on.
        """
        for machine, worker in self._workers.table.items():
            if self._is_stale(worker) and machine not in pending_deletions:
                self.set_locally(machine, NO_CORDON)
            is_reclaimed = worker.report is not None and worker.report.notice_s is not None
            if worker.placement.cordon_reason == ScaleInReason.DRAIN:
                self._evict(machine, only_checkpointing=False)
            elif is_reclaimed:
                self._evict(machine, only_checkpointing=True)

    def _is_stale(self, worker: Worker) -> bool:
        """Has the leader not repeated the cordon of an idle machine for too long?

        Guards against capacity lost for ever: the leader may have ended between cordon and
        deletion, or the message that ended the cordon may have been lost with a link.
        """
        placement = worker.placement
        return (
            placement.cordon_reason == ScaleInReason.IDLE
            and self._runtime.now - placement.cordoned_at > constants.CORDON_TTL_S
        )

    def _evict(self, machine: str, *, only_checkpointing: bool) -> None:
        for job_id, attempts in self._replica.attempts_by_machine.get(machine, {}).items():
            job = self._replica.jobs[job_id]
            if only_checkpointing and job.spec.checkpoint_s <= 0:
                continue
            tasks = _running_tasks(attempts)
            if tasks and self._replica.owns_job(self._runtime.node, job):
                self._stop_requests.add(job_id, machine, tasks)


def _running_tasks(attempts: list[Attempt]) -> set[int]:
    """Tasks of the attempts that are not being stopped."""
    return {task for attempt in attempts if not attempt.stopping for task in attempt.tasks}
