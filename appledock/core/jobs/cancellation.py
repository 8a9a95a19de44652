"""Enforcement of cancellations before their deadline.

No task of a cancelled job may be on any machine `cancel_s` after the cancellation is answered.
Normally, the owner of each machine halts the tasks through command reconciliation
(`core/workers`). Three fallbacks cover failures of that path:

* The committed record is sent to all peers (`cancellation_dissemination`).
* Every controller that knows of the cancellation halts the tasks that heartbeats report; this
  needs no leadership (`cancelled_task_halter`).
* Shortly before the deadline, any controller that reaches the cloud deletes a machine that may
  still run such a task (`cancelled_task_machine_deleter`).

This module checks at intervals whether the second and the third fallback are due.
"""

from __future__ import annotations

from dataclasses import dataclass

from appledock import constants, wire
from appledock.core.jobs.cancelled_task_halter import CancelledTaskHalter
from appledock.core.jobs.cancelled_task_machine_deleter import CancelledTaskMachineDeleter
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.membership.membership import Membership
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers


@dataclass(frozen=True, slots=True)
class KnownCancellation:
    """Times of the cancellation of a job that is still open, on the monotonic clock, s."""

    learned_at: float
    """when this controller learned of the cancellation"""
    committed_at: float
    """when the cancellation was committed, which is no later than the answer to the user"""


class CancellationEnforcer:
    """Halts cancelled tasks that the machine's owner may be unable to halt; deletes machines."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        membership: Membership,
        heartbeats: Heartbeats,
        halter: CancelledTaskHalter,
        machine_deleter: CancelledTaskMachineDeleter,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._membership = membership
        self._heartbeats = heartbeats
        self._halter = halter
        self._machine_deleter = machine_deleter
        self._known_cancellations: dict[str, KnownCancellation] = {}
        self._next_check_at = 0.0

    def tick(self) -> None:
        """Halt tasks that cancelled jobs still run; near the deadline, delete their machines."""
        now = self._runtime.now
        if now < self._next_check_at:
            return
        self._next_check_at = now + constants.MACHINE_CHECK_INTERVAL_S
        if not self._replica.cancelled_jobs and not self._known_cancellations:
            return
        self._forget_finished()
        to_halt: dict[str, list[wire.TaskReport]] = {}
        to_delete: set[str] = set()
        for job_id in sorted(self._replica.cancelled_jobs):
            job = self._replica.jobs[job_id]
            known = self._register(job)
            for machine, tasks in self._tasks_to_halt(job, known):
                to_halt.setdefault(machine, []).extend(tasks)
            if self._is_deadline_near(known):
                to_delete.update(
                    attempt.machine for attempt in job.attempts if self._may_still_run(job, attempt)
                )
        for machine, tasks in to_halt.items():
            report = self._workers.table[machine].report
            assert report is not None
            self._halter.halt(report, tasks)
        if to_delete:
            self._machine_deleter.delete(sorted(to_delete))

    def _forget_finished(self) -> None:
        for job_id in [job_id for job_id in self._known_cancellations if self._is_finished(job_id)]:
            del self._known_cancellations[job_id]
        self._halter.forget_expired()
        self._machine_deleter.forget_expired()

    def _is_finished(self, job_id: str) -> bool:
        return job_id not in self._replica.cancelled_jobs

    def _register(self, job: Job) -> KnownCancellation:
        """Return the times of the job's cancellation; the first call records them."""
        known = self._known_cancellations.get(job.id)
        if known is None:
            now = self._runtime.now
            age_s = (
                max(0.0, self._runtime.wall_time - job.cancelled_wall_time)
                if job.cancelled_wall_time
                else 0.0
            )
            known = self._known_cancellations[job.id] = KnownCancellation(now, now - age_s)
        return known

    # --- halts ------------------------------------------------------------
    def _tasks_to_halt(
        self, job: Job, known: KnownCancellation
    ) -> list[tuple[str, list[wire.TaskReport]]]:
        """Return each machine with the job's tasks there that this controller has to halt."""
        result = []
        for attempt in job.attempts:
            worker = self._workers.table.get(attempt.machine)
            if worker is not None and self._must_halt(worker, known):
                tasks = _reported_tasks(worker, job.id, attempt)
                if tasks:
                    result.append((attempt.machine, tasks))
        return result

    def _must_halt(self, worker: Worker, known: KnownCancellation) -> bool:
        """Return whether this controller must halt tasks since the owner may be unable to."""
        if self._replica.view is None:
            return True
        owner = self._replica.owner_of(worker.id)
        if owner == self._runtime.node:
            return not self._membership.can_act()
        return (
            not self._heartbeats.is_served_by_store(owner)
            or self._runtime.now - known.learned_at > constants.CANCEL_HALT_FALLBACK_DELAY_S
        )

    # --- deletions --------------------------------------------------------
    def _is_deadline_near(self, known: KnownCancellation) -> bool:
        """Return whether the deadline is near and halts had enough time to take effect.

        Every controller applies this test. The machine's owner, which knows most about it, is
        meant to act first; the others follow if the machine still exists by then.
        """
        cancel_s = self._runtime.settings.cluster.workers.cancel_s
        return (
            self._runtime.now > known.committed_at + cancel_s - constants.CANCEL_DELETE_LEAD_S
            and self._runtime.now - known.learned_at > constants.CANCEL_HALT_FALLBACK_DELAY_S
        )

    def _may_still_run(self, job: Job, attempt: Attempt) -> bool:
        """Return whether a task of the attempt may still run.

        No task may still run if verdicts show that all of them are over, or if a recent heartbeat
        of the machine reports none of them. In the latter case only a launch in flight could still
        start one, and the machine's agent epoch or a new term voids that launch.
        """
        worker = self._workers.table.get(attempt.machine)
        if attempt.machine in self._workers.deleted_machines or worker is None:
            return False
        if self._is_lease_expired(worker) or self._is_settled(job, attempt):
            return False
        if worker.agent_epoch != attempt.agent_epoch:
            return False
        recent_s = 2 * self._runtime.settings.cluster.workers.report_s
        is_recent = self._runtime.now - worker.reachability.last_heartbeat_at < recent_s
        return not is_recent or bool(_reported_tasks(worker, job.id, attempt))

    def _is_lease_expired(self, worker: Worker) -> bool:
        """Return whether the worker's lease has certainly expired, given the drift of its clock."""
        lease_s = self._runtime.settings.cluster.workers.lease_s
        last_renewal_at = max(worker.lease.renewable_until, worker.reachability.last_heartbeat_at)
        return self._runtime.now - last_renewal_at > (
            lease_s * (1 + constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S
        )

    def _is_settled(self, job: Job, attempt: Attempt) -> bool:
        """Return whether there is a verdict on every task of the attempt."""
        return all(self._workers.verdict(job, attempt, task) is not None for task in attempt.tasks)


def _reported_tasks(worker: Worker, job_id: str, attempt: Attempt) -> list[wire.TaskReport]:
    """Return the attempt's tasks that the worker's last heartbeat reports as not exited."""
    if worker.agent_epoch != attempt.agent_epoch:
        return []
    entries = [
        worker.tasks.get((f"{job_id}/{task}", attempt.attempt_number)) for task in attempt.tasks
    ]
    return [entry for entry in entries if entry is not None and entry.state != wire.EXITED]
