"""Which recorded attempts are proven over, re-examined only where something changed.

A proof never lapses: an attempt that is over stays over. So what is found once is kept
until the record shows it, and a report costs a look at the attempts of its own machine,
not at all the attempts of every job that has a task there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock.core.records.job import Job

if TYPE_CHECKING:
    from appledock.core.controller import Controller

AttemptTask = tuple[int, int]
"""attempt number and task: unique within a job"""


class Settlement:
    """Proofs that attempts are over, by job, until they are recorded."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self._verdicts: dict[str, dict[AttemptTask, str]] = {}
        self._stale: dict[str, set[str]] = {}
        """job -> machines whose news has not been looked at for it"""
        self._unseen: set[str] = set()
        """jobs of which every attempt is to be looked at"""
        self._settled: dict[str, tuple[int, int, Job]] = {}
        """job -> version, number of proofs, and the job without its settled attempts"""

    def on_machine_changed(self, machine: str) -> None:
        """A report, a lapse, a deletion or a record has changed what is known of it."""
        for job_id in self.engine.replica.attempts_by_machine.get(machine, ()):
            self._stale.setdefault(job_id, set()).add(machine)

    def examine_all(self, job_id: str) -> None:
        """Look at every attempt of the job once more."""
        self._unseen.add(job_id)

    def forget(self, job_id: str) -> None:
        """The job is over."""
        self._verdicts.pop(job_id, None)
        self._stale.pop(job_id, None)
        self._unseen.discard(job_id)
        self._settled.pop(job_id, None)

    def without_settled_attempts(self, job: Job) -> Job | None:
        """The job without its settled attempts; None if no attempt is settled.

        The result is shared: callers do not change it.
        """
        verdicts = self._examine(job)
        if not verdicts:
            return None
        known = self._settled.get(job.id)
        if known is not None and known[:2] == (job.version, len(verdicts)):
            return known[2]
        result = self._without_settled(job, verdicts)
        if result is None:
            return None
        self._settled[job.id] = (job.version, len(verdicts), result)
        return result

    def copy_without_settled_attempts(self, job: Job) -> Job:
        """A copy of the job without its settled attempts, for the next record."""
        return (self.without_settled_attempts(job) or job).copy()

    def _examine(self, job: Job) -> dict[AttemptTask, str]:
        """All proofs for the job, those of changed machines included."""
        verdicts = self._verdicts.setdefault(job.id, {})
        machines = self._stale.pop(job.id, None)
        everything = job.id in self._unseen
        if not everything and not machines:
            return verdicts
        self._unseen.discard(job.id)
        verdict = self.engine.workers.verdict
        for attempt in job.attempts:
            if not everything and machines is not None and attempt.machine not in machines:
                continue
            for task in attempt.tasks:
                key = (attempt.attempt_number, task)
                if key in verdicts:
                    continue
                found = verdict(job, attempt, task)
                if found is not None:
                    verdicts[key] = found
                    if found == "error":
                        self.engine.fleet.task_failed(attempt.machine, job.id)
        return verdicts

    def _without_settled(self, job: Job, verdicts: dict[AttemptTask, str]) -> Job | None:
        new = job.copy()
        recorded = set(verdicts)
        for attempt in new.attempts:
            for task in sorted(attempt.tasks):
                found = verdicts.get((attempt.attempt_number, task))
                if found is None:
                    continue
                recorded.discard((attempt.attempt_number, task))
                attempt.tasks.discard(task)
                if found == "done":
                    new.completed_tasks.add(task)
                    new.consecutive_failures = 0
                elif found == "error":
                    new.consecutive_failures += 1
        for key in recorded:
            # The record shows it by now.
            del verdicts[key]
        if not verdicts:
            return None
        new.attempts = [attempt for attempt in new.attempts if attempt.tasks]
        new.seal()
        return new
