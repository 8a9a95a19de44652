"""Settlement of recorded attempts: which of them are over.

Attempts are examined again only where something changed. A verdict is final, since an attempt
that is over stays over, so each verdict is kept until the record shows it. A heartbeat therefore
costs one examination of the attempts on its own machine, not of all attempts of every job that
has a task there.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job
from appledock.core.store.replica import Replica


class AttemptTask(NamedTuple):
    """Key of one attempt of one task, unique within a job."""

    attempt_number: int
    task: int


class _SettledJob(NamedTuple):
    """Cached copy of a job without its settled attempts, and the inputs it was computed from."""

    version: int
    verdict_count: int
    job: Job


Verdicts = dict[AttemptTask, AttemptVerdict]


class Settlement:
    """Verdicts on attempts that are over, by job, kept until the job's record shows them."""

    def __init__(
        self,
        replica: Replica,
        verdict: Callable[[Job, Attempt, int], AttemptVerdict | None],
        on_task_failed: Callable[[str, str], None],
    ) -> None:
        """Create the settlement.

        Args:
            replica: the jobs and their recorded attempts
            verdict: returns the verdict on one task of an attempt, None while it is open
            on_task_failed: called with machine and job, once for each failed attempt of a task
        """
        self._replica = replica
        self._verdict = verdict
        self._on_task_failed = on_task_failed
        self._verdicts: dict[str, Verdicts] = {}
        """job -> verdicts that its record does not show yet"""
        self._changed_machines: dict[str, set[str]] = {}
        """job -> machines that changed after its attempts there were last examined"""
        self._jobs_to_examine: set[str] = set()
        """IDs of jobs of which every attempt is to be examined"""
        self._settled: dict[str, _SettledJob] = {}

    def on_machine_changed(self, machine: str) -> None:
        """Mark the attempts on a machine for examination.

        To be called when a heartbeat, an expired lease, a deletion or a record has changed what
        is known of the machine.
        """
        for job_id in self._replica.attempts_by_machine.get(machine, ()):
            self._changed_machines.setdefault(job_id, set()).add(machine)

    def examine_all(self, job_id: str) -> None:
        """Mark every attempt of the job for examination."""
        self._jobs_to_examine.add(job_id)

    def forget(self, job_id: str) -> None:
        """Drop the state of a job that has ended."""
        self._verdicts.pop(job_id, None)
        self._changed_machines.pop(job_id, None)
        self._jobs_to_examine.discard(job_id)
        self._settled.pop(job_id, None)

    def without_settled_attempts(self, job: Job) -> Job | None:
        """Return a copy of the job without its settled attempts, or None if none is settled.

        The copy is cached and shared, so callers must not change it.
        """
        verdicts = self._examine_job(job)
        if not verdicts:
            return None
        known = self._settled.get(job.id)
        if known is not None and (known.version, known.verdict_count) == (
            job.version,
            len(verdicts),
        ):
            return known.job
        result = _apply_verdicts(job, verdicts)
        if result is not None:
            self._settled[job.id] = _SettledJob(job.version, len(verdicts), result)
        return result

    def copy_without_settled_attempts(self, job: Job) -> Job:
        """Return a new copy of the job without its settled attempts, for the next record."""
        return (self.without_settled_attempts(job) or job).copy()

    def _examine_job(self, job: Job) -> Verdicts:
        """Examine the attempts that are marked, and return all verdicts on the job."""
        verdicts = self._verdicts.setdefault(job.id, {})
        machines = self._changed_machines.pop(job.id, set())
        examines_all = job.id in self._jobs_to_examine
        self._jobs_to_examine.discard(job.id)
        for attempt in job.attempts:
            if examines_all or attempt.machine in machines:
                self._examine_attempt(job, attempt, verdicts)
        return verdicts

    def _examine_attempt(self, job: Job, attempt: Attempt, verdicts: Verdicts) -> None:
        """Add the verdicts on the tasks of the attempt that are over to `verdicts`."""
        for task in attempt.tasks:
            key = AttemptTask(attempt.attempt_number, task)
            if key in verdicts:
                continue
            verdict = self._verdict(job, attempt, task)
            if verdict is not None:
                verdicts[key] = verdict
                if verdict == AttemptVerdict.FAILED:
                    self._on_task_failed(attempt.machine, job.id)


def _apply_verdicts(job: Job, verdicts: Verdicts) -> Job | None:
    """Return a copy of the job with the verdicts applied, or None if they settle no attempt.

    Verdicts that the record already shows are removed from `verdicts`.
    """
    new = job.copy()
    recorded = set(verdicts)
    for attempt in new.attempts:
        for task in sorted(attempt.tasks):
            key = AttemptTask(attempt.attempt_number, task)
            verdict = verdicts.get(key)
            if verdict is not None:
                recorded.discard(key)
                attempt.tasks.discard(task)
                _count_verdict(new, task, verdict)
    for key in recorded:
        del verdicts[key]
    if not verdicts:
        return None
    new.attempts = [attempt for attempt in new.attempts if attempt.tasks]
    new.seal()
    return new


def _count_verdict(job: Job, task: int, verdict: AttemptVerdict) -> None:
    """Update the job's completed tasks and consecutive failures for one verdict."""
    match verdict:
        case AttemptVerdict.DONE:
            job.completed_tasks.add(task)
            job.consecutive_failures = 0
        case AttemptVerdict.FAILED:
            job.consecutive_failures += 1
        case AttemptVerdict.SETTLED:
            pass
