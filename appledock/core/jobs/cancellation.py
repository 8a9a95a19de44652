"""Enforcement of cancellations whose deadline is near.

`cancel_s` after a cancellation is answered, no task of the job may be on any machine. The owner
of each machine halts its tasks on the ordinary path (`core/workers`). Three means are for when
that path fails:

* the committed record goes to all peers (`cancellation_dissemination`);
* every controller that knows of it halts what heartbeats show, without leadership
  (`cancelled_task_halter`);
* shortly before the deadline, a machine that may still run such a task is deleted by any
  controller that reaches the cloud (`cancelled_task_machine_deleter`).

This module decides, at intervals, when the second and the third are due.
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
    """A cancelled job that still has open attempts; moments of the steady clock, s."""

    learned_at: float
    """when this controller learned of it"""
    committed_at: float
    """when it was committed: the user was answered no earlier"""


class CancellationEnforcer:
    """Halts cancelled tasks that their owner may be unable to halt, and deletes machines."""

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
        self._known: dict[str, KnownCancellation] = {}
        self._next_check_at = 0.0

    def tick(self) -> None:
        """Halt what cancelled jobs still run; near the deadline, delete their machines."""
        now = self._runtime.now
        if now < self._next_check_at:
            return
        self._next_check_at = now + constants.MACHINE_CHECK_INTERVAL_S
        if not self._replica.cancelled_jobs and not self._known:
            return
        self._forget_old()
        to_halt: dict[str, list[wire.TaskReport]] = {}
        to_delete: set[str] = set()
        for job_id in sorted(self._replica.cancelled_jobs):
            job = self._replica.jobs[job_id]
            known = self._learn(job)
            for machine, tasks in self._tasks_to_halt(job, known):
                to_halt.setdefault(machine, []).extend(tasks)
            if self._is_deadline_near(known):
                to_delete.update(
                    attempt.machine for attempt in job.attempts if self._may_run(job, attempt)
                )
        for machine, tasks in to_halt.items():
            report = self._workers.table[machine].report
            assert report is not None
            self._halter.halt(report, tasks)
        if to_delete:
            self._machine_deleter.delete(sorted(to_delete))

    def _forget_old(self) -> None:
        for job_id in [job_id for job_id in self._known if self._is_over(job_id)]:
            del self._known[job_id]
        self._halter.forget_old()
        self._machine_deleter.forget_old()

    def _is_over(self, job_id: str) -> bool:
        return job_id not in self._replica.cancelled_jobs

    def _learn(self, job: Job) -> KnownCancellation:
        known = self._known.get(job.id)
        if known is None:
            now = self._runtime.now
            age_s = (
                max(0.0, self._runtime.wall_time - job.cancelled_at) if job.cancelled_at else 0.0
            )
            known = self._known[job.id] = KnownCancellation(now, now - age_s)
        return known

    # --- halts ------------------------------------------------------------
    def _tasks_to_halt(
        self, job: Job, known: KnownCancellation
    ) -> list[tuple[str, list[wire.TaskReport]]]:
        """Machines, and the job's tasks there that this controller has to halt."""
        result = []
        for attempt in job.attempts:
            worker = self._workers.table.get(attempt.machine)
            if worker is not None and self._must_halt(worker, known):
                tasks = _shown_tasks(worker, job.id, attempt)
                if tasks:
                    result.append((attempt.machine, tasks))
        return result

    def _must_halt(self, worker: Worker, known: KnownCancellation) -> bool:
        """Must this controller halt, since the machine's owner may be unable to?"""
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
        """Is the deadline near, and were halts tried for a while?

        The owner, who knows most, is first; the others follow if the machine still exists then.
        """
        cancel_s = self._runtime.settings.cluster.workers.cancel_s
        return (
            self._runtime.now > known.committed_at + cancel_s - constants.CANCEL_DELETE_LEAD_S
            and self._runtime.now - known.learned_at > constants.CANCEL_HALT_FALLBACK_DELAY_S
        )

    def _may_run(self, job: Job, attempt: Attempt) -> bool:
        """May a task of the attempt still run?

        Not if a verdict says that it is over, nor if its machine's recent heartbeat does not
        show it: then only a launch under way could bring it, which the machine's agent epoch or
        a new term voids.
        """
        worker = self._workers.table.get(attempt.machine)
        if attempt.machine in self._workers.deleted_machines or worker is None:
            return False
        if self._is_lease_over(worker) or self._is_settled(job, attempt):
            return False
        if worker.agent_epoch != attempt.agent_epoch:
            return False
        recent_s = 2 * self._runtime.settings.cluster.workers.report_s
        is_recent = self._runtime.now - worker.reachability.last_heartbeat_at < recent_s
        return not is_recent or bool(_shown_tasks(worker, job.id, attempt))

    def _is_lease_over(self, worker: Worker) -> bool:
        """Has the worker's lease certainly expired, with the drift allowed for its clock?"""
        lease_s = self._runtime.settings.cluster.workers.lease_s
        last_renewal_at = max(worker.lease.renewable_until, worker.reachability.last_heartbeat_at)
        return self._runtime.now - last_renewal_at > (
            lease_s * (1 + constants.CLOCK_DRIFT) + constants.LEASE_EXPIRY_MARGIN_S
        )

    def _is_settled(self, job: Job, attempt: Attempt) -> bool:
        return all(self._workers.verdict(job, attempt, task) is not None for task in attempt.tasks)


def _shown_tasks(worker: Worker, job_id: str, attempt: Attempt) -> list[wire.TaskReport]:
    """Tasks of the attempt that the worker's last heartbeat shows as not exited."""
    if worker.agent_epoch != attempt.agent_epoch:
        return []
    entries = [
        worker.tasks.get((f"{job_id}/{task}", attempt.attempt_number)) for task in attempt.tasks
    ]
    return [entry for entry in entries if entry is not None and entry.state != wire.EXITED]
