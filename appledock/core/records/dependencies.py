"""Jobs that have to be done before a job starts, and what follows from that.

Nothing of this is stored beside the names in a job's description. `done` and
`cancelled` never change, and neither does "was accepted", so readiness is derived: a job
is ready once every job that it needs is known to be done; it is cancelled once one of
them, directly or through others, is. What is not known counts as not ready.

Everything is kept by change: what an end, a cancellation or a submission costs depends on
the chain that it touches, not on how many chains there are.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock import wire

if TYPE_CHECKING:
    from appledock.core.records.job import Job


class DependencyGraph:
    """The open jobs that need others, and the outcomes of those others."""

    def __init__(self) -> None:
        self.prerequisites: dict[str, tuple[str, ...]] = {}
        """open job -> the jobs that it needs"""
        self.dependents: dict[str, set[str]] = {}
        """job, open or not -> the open jobs that need it directly"""
        self.outcomes: dict[str, str] = {}
        """needed job that is over -> done or cancelled"""
        self.open_jobs: dict[str, Job] = {}
        """open jobs that need others or are needed"""
        self.cancelled_jobs: set[str] = set()
        """open jobs that are cancelled by their own record"""
        self.waiting_jobs: set[str] = set()
        """open jobs with a need that is not known to be done"""
        self.cancelled_by_dependency: set[str] = set()
        """open jobs that are cancelled because one that they need is"""
        self.unknown_outcomes: set[str] = set()
        """needed jobs that are neither open nor known to be over: to be read"""
        self.changed_jobs: set[str] = set()
        """jobs whose readiness or doom has changed since this was last emptied"""
        self._inherited_priority: dict[str, tuple[int, float]] = {}

    # --- changes ----------------------------------------------------------
    def on_job_recorded(self, job: Job, open_jobs: dict[str, Job], finals: dict[str, str]) -> None:
        """An open record is known, for the first time or changed."""
        new = job.id not in self.prerequisites and bool(job.spec.needs)
        if new:
            self.prerequisites[job.id] = tuple(job.spec.needs or ())
        if job.id in self.prerequisites or job.id in self.dependents:
            self.open_jobs[job.id] = job
            self.unknown_outcomes.discard(job.id)
            if job.cancelled and job.id not in self.cancelled_jobs:
                self.cancelled_jobs.add(job.id)
                self._spread(job.id)
        if not new:
            return
        for need in self.prerequisites[job.id]:
            self.dependents.setdefault(need, set()).add(job.id)
            if need in finals:
                self.outcomes[need] = finals[need]
            elif need in open_jobs:
                self.open_jobs[need] = open_jobs[need]
                if open_jobs[need].cancelled:
                    self.cancelled_jobs.add(need)
            elif need not in self.outcomes:
                self.unknown_outcomes.add(need)
        self._forget_inherited_priority(job.id)
        self._check(job.id)

    def on_record_deleted(self, job_id: str) -> None:
        """The open record is gone: the job is over."""
        needs = self.prerequisites.pop(job_id, ())
        if job_id in self.dependents and job_id not in self.outcomes:
            self.unknown_outcomes.add(job_id)
        self._forget_inherited_priority(job_id, needs)
        for need in needs:
            left = self.dependents[need]
            left.discard(job_id)
            if not left:
                del self.dependents[need]
                self.outcomes.pop(need, None)
                self.unknown_outcomes.discard(need)
                if need not in self.prerequisites:
                    self.open_jobs.pop(need, None)
                    self.cancelled_jobs.discard(need)
        self.open_jobs.pop(job_id, None)
        self.cancelled_jobs.discard(job_id)
        self.waiting_jobs.discard(job_id)
        self.cancelled_by_dependency.discard(job_id)

    def on_job_ended(self, job_id: str, state: str) -> None:
        """The job is over, and how."""
        if job_id not in self.dependents:
            return
        self.outcomes[job_id] = state
        self.unknown_outcomes.discard(job_id)
        self._spread(job_id)

    # --- what follows -----------------------------------------------------
    def _spread(self, job_id: str) -> None:
        for dependent in sorted(self.dependents.get(job_id, ())):
            self._check(dependent)

    def _ended_badly(self, need: str) -> bool:
        outcome = self.outcomes.get(need)
        if outcome is not None:
            return outcome == wire.CANCELLED
        return need in self.cancelled_by_dependency or need in self.cancelled_jobs

    def _check(self, job_id: str) -> None:
        """Is the job ready, or cancelled with one that it needs? What depends on it is
        looked at if that has changed. Chains may be long: no recursion."""
        left = [job_id]
        while left:
            name = left.pop()
            needs = self.prerequisites[name]
            waits = any(self.outcomes.get(need) != wire.DONE for need in needs)
            doomed = name in self.cancelled_by_dependency or any(map(self._ended_badly, needs))
            if waits != (name in self.waiting_jobs):
                (self.waiting_jobs.add if waits else self.waiting_jobs.discard)(name)
                self.changed_jobs.add(name)
            if doomed and name not in self.cancelled_by_dependency:
                self.cancelled_by_dependency.add(name)
                self.changed_jobs.add(name)
                self._forget_inherited_priority(name)  # it presses on nothing any more
                left += sorted(self.dependents.get(name, ()))

    # --- questions --------------------------------------------------------
    def unfinished_prerequisites(self, job_id: str) -> list[str]:
        """The needs that are not known to be done."""
        return [
            need
            for need in self.prerequisites.get(job_id, ())
            if self.outcomes.get(need) != wire.DONE
        ]

    def has_unknown_outcome(self, job_id: str) -> bool:
        """Is it unknown how a job ended that this one needs, directly or through others?
        Then it may be cancelled, and no answer can be given."""
        seen, left = {job_id}, [job_id]
        while left:
            for need in self.unfinished_prerequisites(left.pop()):
                if need in self.unknown_outcomes:
                    return True
                if need not in seen:
                    seen.add(need)
                    left.append(need)
        return False

    # --- what presses -----------------------------------------------------
    def inherited_rank(self, job: Job) -> int:
        """The job's priority, or the higher one of a job that needs it."""
        return self.inherited_priority(job)[0]

    def inherited_priority(self, job: Job) -> tuple[int, float]:
        """Rank and latest end (time of day) that the job has through the jobs that need
        it: the highest rank of them, and the earliest end that leaves time, by their
        estimates, for what comes after."""
        if job.id not in self.dependents:
            return job.spec.rank, job.deadline_at()
        known = self._inherited_priority.get(job.id)
        if known is not None:
            return known
        order, seen, left = [], {job.id}, [job.id]
        while left:  # those behind it, each after all that it needs among them or not
            name = left.pop()
            order.append(name)
            for dependent in self.dependents.get(name, ()):
                if dependent not in seen and dependent not in self._inherited_priority:
                    seen.add(dependent)
                    left.append(dependent)
        # From the ends of the chains backwards: again until nothing changes is never
        # more than the chain is long, and chains have no cycles.
        values = {
            name: (self._job(name, job).spec.rank, self._job(name, job).deadline_at())
            for name in order
        }
        changed = True
        while changed:
            changed = False
            for name in reversed(order):
                rank, end = values[name]
                for dependent in self.dependents.get(name, ()):
                    if dependent in self.cancelled_by_dependency:
                        continue
                    other_rank, other_end = (
                        values[dependent]
                        if dependent in values
                        else self._inherited_priority[dependent]
                    )
                    rank = max(rank, other_rank)
                    end = min(end, other_end - self.open_jobs[dependent].spec.estimate_s)
                if (rank, end) != values[name]:
                    values[name] = (rank, end)
                    changed = True
        self._inherited_priority.update(values)
        return values[job.id]

    def _job(self, name: str, job: Job) -> Job:
        return job if name == job.id else self.open_jobs[name]

    def _forget_inherited_priority(self, job_id: str, needs: tuple[str, ...] | None = None) -> None:
        """What the job presses on has changed: all that it needs, at any distance."""
        self._inherited_priority.pop(job_id, None)
        left = list(self.prerequisites.get(job_id, ()) if needs is None else needs)
        seen = set(left)
        while left:
            name = left.pop()
            self._inherited_priority.pop(name, None)
            for need in self.prerequisites.get(name, ()):
                if need not in seen:
                    seen.add(need)
                    left.append(need)
