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


class Dependencies:
    """The open jobs that need others, and the outcomes of those others."""

    def __init__(self) -> None:
        self.needs: dict[str, tuple[str, ...]] = {}
        """open job -> the jobs that it needs"""
        self.dependents: dict[str, set[str]] = {}
        """job, open or not -> the open jobs that need it directly"""
        self.outcome: dict[str, str] = {}
        """needed job that is over -> done or cancelled"""
        self.open: dict[str, Job] = {}
        """open jobs that need others or are needed"""
        self.cancelled: set[str] = set()
        """open jobs that are cancelled by their own record"""
        self.waiting: set[str] = set()
        """open jobs with a need that is not known to be done"""
        self.doomed: set[str] = set()
        """open jobs that are cancelled because one that they need is"""
        self.unknown: set[str] = set()
        """needed jobs that are neither open nor known to be over: to be read"""
        self.changed: set[str] = set()
        """jobs whose readiness or doom has changed since this was last emptied"""
        self._pressing: dict[str, tuple[int, float]] = {}

    # --- changes ----------------------------------------------------------
    def job(self, job: Job, open_jobs: dict[str, Job], finals: dict[str, str]) -> None:
        """An open record is known, for the first time or changed."""
        new = job.id not in self.needs and bool(job.spec.needs)
        if new:
            self.needs[job.id] = tuple(job.spec.needs or ())
        if job.id in self.needs or job.id in self.dependents:
            self.open[job.id] = job
            self.unknown.discard(job.id)
            if job.cancelled and job.id not in self.cancelled:
                self.cancelled.add(job.id)
                self._spread(job.id)
        if not new:
            return
        for need in self.needs[job.id]:
            self.dependents.setdefault(need, set()).add(job.id)
            if need in finals:
                self.outcome[need] = finals[need]
            elif need in open_jobs:
                self.open[need] = open_jobs[need]
                if open_jobs[need].cancelled:
                    self.cancelled.add(need)
            elif need not in self.outcome:
                self.unknown.add(need)
        self._forget_pressing(job.id)
        self._check(job.id)

    def dropped(self, job_id: str) -> None:
        """The open record is gone: the job is over."""
        needs = self.needs.pop(job_id, ())
        if job_id in self.dependents and job_id not in self.outcome:
            self.unknown.add(job_id)
        self._forget_pressing(job_id, needs)
        for need in needs:
            left = self.dependents[need]
            left.discard(job_id)
            if not left:
                del self.dependents[need]
                self.outcome.pop(need, None)
                self.unknown.discard(need)
                if need not in self.needs:
                    self.open.pop(need, None)
                    self.cancelled.discard(need)
        self.open.pop(job_id, None)
        self.cancelled.discard(job_id)
        self.waiting.discard(job_id)
        self.doomed.discard(job_id)

    def final(self, job_id: str, state: str) -> None:
        """The job is over, and how."""
        if job_id not in self.dependents:
            return
        self.outcome[job_id] = state
        self.unknown.discard(job_id)
        self._spread(job_id)

    # --- what follows -----------------------------------------------------
    def _spread(self, job_id: str) -> None:
        for dependent in sorted(self.dependents.get(job_id, ())):
            self._check(dependent)

    def _ended_badly(self, need: str) -> bool:
        outcome = self.outcome.get(need)
        if outcome is not None:
            return outcome == wire.CANCELLED
        return need in self.doomed or need in self.cancelled

    def _check(self, job_id: str) -> None:
        """Is the job ready, or cancelled with one that it needs? What depends on it is
        looked at if that has changed. Chains may be long: no recursion."""
        left = [job_id]
        while left:
            name = left.pop()
            needs = self.needs[name]
            waits = any(self.outcome.get(need) != wire.DONE for need in needs)
            doomed = name in self.doomed or any(map(self._ended_badly, needs))
            if waits != (name in self.waiting):
                (self.waiting.add if waits else self.waiting.discard)(name)
                self.changed.add(name)
            if doomed and name not in self.doomed:
                self.doomed.add(name)
                self.changed.add(name)
                self._forget_pressing(name)  # it presses on nothing any more
                left += sorted(self.dependents.get(name, ()))

    # --- questions --------------------------------------------------------
    def left(self, job_id: str) -> list[str]:
        """The needs that are not known to be done."""
        return [need for need in self.needs.get(job_id, ()) if self.outcome.get(need) != wire.DONE]

    def undecided(self, job_id: str) -> bool:
        """Is it unknown how a job ended that this one needs, directly or through others?
        Then it may be cancelled, and no answer can be given."""
        seen, left = {job_id}, [job_id]
        while left:
            for need in self.left(left.pop()):
                if need in self.unknown:
                    return True
                if need not in seen:
                    seen.add(need)
                    left.append(need)
        return False

    # --- what presses -----------------------------------------------------
    def inherited_rank(self, job: Job) -> int:
        """The job's priority, or the higher one of a job that needs it."""
        return self.pressing(job)[0]

    def pressing(self, job: Job) -> tuple[int, float]:
        """Rank and latest end (time of day) that the job has through the jobs that need
        it: the highest rank of them, and the earliest end that leaves time, by their
        estimates, for what comes after."""
        if job.id not in self.dependents:
            return job.spec.rank, job.deadline()
        known = self._pressing.get(job.id)
        if known is not None:
            return known
        order, seen, left = [], {job.id}, [job.id]
        while left:  # those behind it, each after all that it needs among them or not
            name = left.pop()
            order.append(name)
            for dependent in self.dependents.get(name, ()):
                if dependent not in seen and dependent not in self._pressing:
                    seen.add(dependent)
                    left.append(dependent)
        # From the ends of the chains backwards: again until nothing changes is never
        # more than the chain is long, and chains have no cycles.
        values = {
            name: (self._job(name, job).spec.rank, self._job(name, job).deadline())
            for name in order
        }
        changed = True
        while changed:
            changed = False
            for name in reversed(order):
                rank, end = values[name]
                for dependent in self.dependents.get(name, ()):
                    if dependent in self.doomed:
                        continue
                    other_rank, other_end = (
                        values[dependent] if dependent in values else self._pressing[dependent]
                    )
                    rank = max(rank, other_rank)
                    end = min(end, other_end - self.open[dependent].spec.estimate_s)
                if (rank, end) != values[name]:
                    values[name] = (rank, end)
                    changed = True
        self._pressing.update(values)
        return values[job.id]

    def _job(self, name: str, job: Job) -> Job:
        return job if name == job.id else self.open[name]

    def _forget_pressing(self, job_id: str, needs: tuple[str, ...] | None = None) -> None:
        """What the job presses on has changed: all that it needs, at any distance."""
        self._pressing.pop(job_id, None)
        left = list(self.needs.get(job_id, ()) if needs is None else needs)
        seen = set(left)
        while left:
            name = left.pop()
            self._pressing.pop(name, None)
            for need in self.needs.get(name, ()):
                if need not in seen:
                    seen.add(need)
                    left.append(need)
