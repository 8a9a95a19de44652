"""Which recorded attempts are over, re-examined only where something changed.

A verdict is final: an attempt that is over stays over. So a verdict is kept until the record
shows it, and a heartbeat costs a look at the attempts of its own machine, not at all attempts
of every job that has a task there.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job
from appledock.core.store.replica import Replica


class AttemptTask(NamedTuple):
    """One attempt of one task; unique within a job."""

    attempt_number: int
    task: int


class _SettledJob(NamedTuple):
    """A job without its settled attempts, and what it was computed from."""

    version: int
    verdict_count: int
    job: Job


Verdicts = dict[AttemptTask, AttemptVerdict]


class Settlement:
    """Verdicts on attempts that are over, by job, until they are recorded."""

    def __init__(
        self,
        replica: Replica,
        verdict: Callable[[Job, Attempt, int], AttemptVerdict | None],
        on_task_failed: Callable[[str, str], None],
    ) -> None:
        """Build it on `verdict` (None: the attempt is open).

        `on_task_failed` is called once for each failed attempt, with machine and job.
        """
        self._replica = replica
        self._verdict = verdict
        self._on_task_failed = on_task_failed
        self._verdicts: dict[str, Verdicts] = {}
        """job -> verdicts that its record doesn't show yet"""
        self._changed_machines: dict[str, set[str]] = {}
        """job -> machines that changed since its attempts there were examined"""
        self._unexamined: set[str] = set()
        """jobs of which every attempt is to be examined"""
        self._settled: dict[str, _SettledJob] = {}

    def on_machine_changed(self, machine: str) -> None:
        """A heartbeat, an expired lease, a deletion or a record changed what is known of it."""
        for job_id in self._replica.attempts_by_machine.get(machine, ()):
            self._changed_machines.setdefault(job_id, set()).add(machine)

    def examine_all(self, job_id: str) -> None:
        """Examine every attempt of the job once more."""
        self._unexamined.add(job_id)

    def forget(self, job_id: str) -> None:
        """The job is over."""
        self._verdicts.pop(job_id, None)
        self._changed_machines.pop(job_id, None)
        self._unexamined.discard(job_id)
        self._settled.pop(job_id, None)

    def without_settled_attempts(self, job: Job) -> Job | None:
        """Return the job without its settled attempts; None if no attempt is settled.

        The result is shared: callers do not change it.
        """
        verdicts = self._examine(job)
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
        """Copy the job without its settled attempts, for the next record."""
        return (self.without_settled_attempts(job) or job).copy()

    def _examine(self, job: Job) -> Verdicts:
        """All verdicts on the job, those of changed machines included."""
        verdicts = self._verdicts.setdefault(job.id, {})
        machines = self._changed_machines.pop(job.id, set())
        is_complete = job.id in self._unexamined
        self._unexamined.discard(job.id)
        for attempt in job.attempts:
            if is_complete or attempt.machine in machines:
                self._examine_attempt(job, attempt, verdicts)
        return verdicts

    def _examine_attempt(self, job: Job, attempt: Attempt, verdicts: Verdicts) -> None:
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
    """Copy the job without the attempts that the verdicts settle; None if they settle none.

    Verdicts that the record shows already are dropped from `verdicts`.
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
                _count(new, task, verdict)
    for key in recorded:
        del verdicts[key]
    if not verdicts:
        return None
    new.attempts = [attempt for attempt in new.attempts if attempt.tasks]
    new.seal()
    return new


def _count(job: Job, task: int, verdict: AttemptVerdict) -> None:
    match verdict:
        case AttemptVerdict.DONE:
            job.completed_tasks.add(task)
            job.consecutive_failures = 0
        case AttemptVerdict.FAILED:
            job.consecutive_failures += 1
        case AttemptVerdict.SETTLED:
            pass
