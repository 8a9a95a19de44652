"""Command reconciliation: compares a worker's tasks with the records and issues commands."""

from __future__ import annotations

from typing import NamedTuple

from appledock import constants, wire
from appledock.core.membership.membership import Membership
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.record import TaskKey, Worker


class RecordedTask(NamedTuple):
    """Job and attempt of a task that, according to the records, belongs on a worker."""

    job: Job
    attempt: Attempt


class CommandReconciler:
    """Determines the commands that make a worker's tasks match the records."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        view_requests: ViewChangeRequests,
    ) -> None:
        self.runtime = runtime
        self.replica = replica
        self.membership = membership
        self.view_requests = view_requests

    def commands_for(self, worker: Worker, pushed: bool) -> list[wire.Command]:
        """Return the commands due now: halts and forgets first, then launches.

        `pushed` says that they are sent in a call to the worker and not as the answer to a
        heartbeat. A duplicate of a pushed request may be executed later, so `forget` is only sent
        in answers to heartbeats.
        """
        recorded = self._recorded_tasks(worker)
        commands: list[wire.Command] = []
        retained = 0
        for key, entry in worker.tasks.items():
            recorded_task = recorded.get(key)
            if entry.state != wire.EXITED:
                if (
                    recorded_task is None
                    or recorded_task.job.cancelled
                    or recorded_task.attempt.stopping
                ):
                    commands += self._halt(worker, key, entry, recorded_task)
            elif recorded_task is None and not pushed and self._is_outcome_certain(worker, key):
                # `forget` is sent only after the end of the attempt was recorded: until then,
                # the worker's report is the only proof.
                if self.may_run_again(worker, key):
                    # Attempts launched under earlier terms can be forgotten as soon as the worker
                    # shows the current term. For them, one more new term would cost a view change
                    # without any gain.
                    launch_term = worker.sent_commands.replayable_launches[key]
                    retained += launch_term >= self.membership.term
                else:
                    worker.sent_commands.replayable_launches.pop(key, None)
                    commands.append(wire.Command(wire.FORGET, *key))
        if retained > constants.RETAINED_ATTEMPTS_MAX:
            self.view_requests.new_term = True
        return commands + self._launches(worker, recorded)

    @staticmethod
    def may_run_again(worker: Worker, key: TaskKey) -> bool:
        """Return whether a duplicate of the attempt's launch request would run the task again.

        Guards against late duplicates of requests that were executed. After `forget`, the worker
        would take the duplicate for a new launch, and the task would run here while its next
        attempt runs elsewhere, or long after its job was cancelled. A completed task would only
        reappear for a moment, since its result is kept, but that moment counts towards its team's
        limit and its job's zones. So the worker has to remember the attempt until a higher term
        makes the duplicate invalid.
        """
        return worker.sent_commands.replayable_launches.get(key, -1) >= worker.fencing_token

    @staticmethod
    def _is_outcome_certain(worker: Worker, key: TaskKey) -> bool:
        """Return whether no launch is in flight that would start the task again after `forget`."""
        return key not in worker.sent_commands.unconfirmed_launches

    def _recorded_tasks(self, worker: Worker) -> dict[TaskKey, RecordedTask]:
        """Return the tasks with an open attempt in the worker's agent epoch."""
        agent_epoch = worker.agent_epoch
        recorded = {}
        for job_id, attempts in sorted(self.replica.attempts_by_machine.get(worker.id, {}).items()):
            job = self.replica.jobs[job_id]
            for attempt in attempts:
                if attempt.agent_epoch == agent_epoch:
                    row = RecordedTask(job, attempt)
                    for number in attempt.tasks:
                        recorded[(f"{job_id}/{number}", attempt.attempt_number)] = row
        return recorded

    def _halt(
        self,
        worker: Worker,
        key: TaskKey,
        entry: wire.TaskReport,
        recorded_task: RecordedTask | None,
    ) -> list[wire.Command]:
        """Return the halt, if it is due, of a task that should no longer be on the worker."""
        if recorded_task is None:
            return [wire.Command(wire.HALT, *key, grace_s=0.0)]
        job = recorded_task.job
        grace_s = 0.0
        if not job.cancelled:
            if entry.state == wire.SAVING:
                return []
            if job.spec.checkpoint_s > 0:
                grace_s = job.spec.save_s + constants.SAVE_GRACE_MARGIN_S
        now, halted_at = self.runtime.now, worker.sent_commands.halted_at
        if now - halted_at.get(key, constants.DISTANT_PAST) < constants.HALT_RETRY_DELAY_S:
            return []
        halted_at[key] = now
        return [wire.Command(wire.HALT, *key, grace_s=grace_s)]

    def _launches(
        self, worker: Worker, recorded: dict[TaskKey, RecordedTask]
    ) -> list[wire.Command]:
        """Return the launches of tasks that are not on the worker yet.

        Only attempts recorded under the current term are launched. So once the worker shows a
        higher fencing token, it can no longer start attempts of lower terms.
        """
        now, term = self.runtime.now, self.membership.term
        launched_at = worker.sent_commands.launched_at
        commands = []
        for key, (job, attempt) in recorded.items():
            if key in worker.tasks or attempt.term != term or job.cancelled or attempt.stopping:
                continue
            if now - launched_at.get(key, constants.DISTANT_PAST) >= constants.LAUNCH_RETRY_DELAY_S:
                launched_at[key] = now
                commands.append(wire.Command(wire.LAUNCH, *key))
        return commands
