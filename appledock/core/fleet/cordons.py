"""Cordons, which keep new tasks off a machine, and graceful eviction of running tasks."""

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
from appledock.core.messages import MachineCordonChanged
from appledock.core.records.job import Attempt
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers

log = logging.getLogger(__name__)

NO_CORDON = ""
"""used instead of a reason if tasks may be placed on the machine"""


class OperatorAction(enum.StrEnum):
    """Action requested by an operator; the values are part of the administration API."""

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

    Every controller, whether it leads or not, keeps the cordons of all machines. Reasons are
    stored as plain strings: a peer of another version may send a reason that this version does
    not know.
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
        """Set a cordon, or end it (`NO_CORDON`), without sending it to the peers."""
        worker = self._workers.table.get(machine)
        if worker is not None:
            worker.placement.cordon_reason = str(reason)
            worker.placement.cordoned_at = self._runtime.now
            self._capacity_index.mark_changed(machine)
            self._reconcile_queue.placement_due = True

    def announce(self, machine: str, reason: str, peer: str | None = None) -> None:
        """Send a cordon, or its end, to one peer, or to all peers if `peer` is None."""
        self._runtime.emit(PeerSend(MachineCordonChanged(machine, str(reason)), peer))

    def set_everywhere(self, machine: str, reason: str) -> None:
        """Set a cordon, or end it, on this controller and on all peers."""
        self.set_locally(machine, reason)
        self.announce(machine, reason)

    def announce_all(self, peer: str, pending_deletions: Container[str]) -> None:
        """Send all cordons to a peer whose link has just opened, since it may have missed some.

        The cordon of an idle machine is sent only if the machine is in `pending_deletions`, which
        is empty on any controller but the leader.
        """
        for worker in self._workers.table.values():
            reason = worker.placement.cordon_reason
            if reason and (reason != ScaleInReason.IDLE or worker.id in pending_deletions):
                self.announce(worker.id, reason, peer)

    # --- causes of cordons ------------------------------------------------
    def apply_operator_action(self, machine: str, action: OperatorAction) -> None:
        """Cordon, uncordon or drain a machine at the request of an operator."""
        self.set_everywhere(machine, REASON_OF_ACTION[action])

    def on_task_failed(self, machine: str, job_id: str) -> None:
        """Record that a task of the job failed on the machine.

        The machine is cordoned as faulty once tasks of `FAULTY_MACHINE_JOBS_MIN` jobs failed on it.
        """
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
        """End expired cordons, and evict tasks of jobs that this controller owns.

        Tasks on a machine that an operator drains are stopped with their grace period and placed
        on other machines; the leader deletes the machine once it is empty. From a spot instance
        that is about to be reclaimed, only tasks with checkpoints are evicted: the others lose
        nothing by continuing to run.
        """
        for machine, worker in self._workers.table.items():
            if self._has_expired(worker) and machine not in pending_deletions:
                self.set_locally(machine, NO_CORDON)
            is_reclaimed = worker.report is not None and worker.report.notice_s is not None
            if worker.placement.cordon_reason == ScaleInReason.DRAIN:
                self._evict(machine, only_checkpointing=False)
            elif is_reclaimed:
                self._evict(machine, only_checkpointing=True)

    def _has_expired(self, worker: Worker) -> bool:
        """Return whether the leader has not renewed the cordon of an idle machine in time.

        Without an expiry the capacity could be lost permanently: the leader may have failed
        between cordon and deletion, or the message that ended the cordon may have been lost when
        a link closed.
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
    """Return the tasks of those attempts that are not being stopped already."""
    return {task for attempt in attempts if not attempt.stopping for task in attempt.tasks}
