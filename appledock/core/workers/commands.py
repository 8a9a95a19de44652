"""Commands: what a worker lacks or has too much, compared with the records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.records.job import Attempt, Job
from appledock.core.workers.record import TaskKey, Worker

if TYPE_CHECKING:
    from appledock.core.controller import Controller


Recorded = tuple[Job, Attempt]
"""what the records say of a task that they want on the worker"""


class Commands:
    """Makes the commands for a worker."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine

    def commands_for(self, worker: Worker, direct: bool) -> list[wire.Command]:
        """Commands as the answer to a report, or sent straight to the worker (`direct`)."""
        recorded = self._recorded(worker)
        result: list[wire.Command] = []
        kept = 0
        for key, entry in worker.tasks.items():
            known = recorded.get(key)
            if entry.state != wire.EXITED:
                if known is None or known[0].cancelled or known[1].stopping:
                    result += self._halt(worker, key, entry, known)
            elif known is None and key not in worker.commanded.unconfirmed_launches and not direct:
                # Forgotten only once recorded, and never while a launch of it
                # may be under way: after `forget` that launch would start it.
                if self.may_come_again(worker, key):
                    # Those of earlier terms go as soon as the worker shows the present one:
                    # another new term would cost the cluster a view and gain nothing.
                    kept += worker.commanded.repeatable_launches[key] >= self.engine.membership.term
                else:
                    worker.commanded.repeatable_launches.pop(key, None)
                    result.append(wire.Command(wire.FORGET, *key))
        if kept > c.KEPT_MAX:
            self.engine.view_requests.new_term = True
        return result + self._launches(worker, recorded)

    def _recorded(self, worker: Worker) -> dict[TaskKey, Recorded]:
        """Tasks with an open attempt in the worker's session."""
        session = worker.agent_epoch
        replica = self.engine.replica
        recorded = {}
        for job_id, attempts in sorted(replica.attempts_by_machine.get(worker.id, {}).items()):
            job = replica.jobs[job_id]
            for attempt in attempts:
                if attempt.agent_epoch == session:
                    row = (job, attempt)
                    for number in attempt.tasks:
                        recorded[(f"{job_id}/{number}", attempt.attempt_number)] = row
        return recorded

    def _halt(
        self, worker: Worker, key: TaskKey, entry: wire.TaskReport, known: Recorded | None
    ) -> list[wire.Command]:
        """The halt, if it is due, of a task that is there and should not be."""
        if known is None:
            return [wire.Command(wire.HALT, *key, grace_s=0.0)]
        job, _ = known
        grace_s = 0.0
        if not job.cancelled:
            if entry.state == wire.SAVING:
                return []
            if job.spec.checkpoint_s > 0:
                grace_s = job.spec.save_s + c.SAVE_SLACK_S
        now = self.engine.now
        if now - worker.commanded.halted_at.get(key, c.LONG_AGO) < c.HALT_AGAIN_S:
            return []
        worker.commanded.halted_at[key] = now
        return [wire.Command(wire.HALT, *key, grace_s=grace_s)]

    def _launches(self, worker: Worker, recorded: dict[TaskKey, Recorded]) -> list[wire.Command]:
        """Launches of tasks that are not there yet."""
        now, term = self.engine.now, self.engine.membership.term
        result = []
        for key, (job, attempt) in recorded.items():
            if key in worker.tasks or attempt.term != term or job.cancelled or attempt.stopping:
                continue
            if now - worker.commanded.launched_at.get(key, c.LONG_AGO) >= c.LAUNCH_AGAIN_S:
                worker.commanded.launched_at[key] = now
                result.append(wire.Command(wire.LAUNCH, *key))
        return result

    @staticmethod
    def may_come_again(worker: Worker, key: TaskKey) -> bool:
        """Would a repeat of the launch that brought this attempt run it anew?

        Guards against copies of requests that were carried out: after `forget` the
        worker takes the launch for a new one, and the task would run here while its
        next attempt runs elsewhere, or long after its job was cancelled. A completed one
        would only be there for a moment, its result being kept, but that moment counts
        for its team's limit and for its job's zones. So attempts stay on the worker's
        books until a higher term makes the copy void.
        """
        return worker.commanded.repeatable_launches.get(key, -1) >= worker.fencing_token
