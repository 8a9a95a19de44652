"""The graph of dependencies between jobs, and what follows from it.

Only the ids of its prerequisites stand in a job's description; nothing else of the graph is
stored. `done` and `cancelled` never change, and neither does "was accepted", so readiness is
derived: a job is ready once every prerequisite is known to be done; it is cancelled once one of
them, directly or through others, is. What is not known counts as not ready.

The graph is kept up to date by change: what an end, a cancellation or a submission costs depends
on the pipeline that it touches, not on how many pipelines there are.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from appledock import wire
from appledock.core.records.job import Job


class InheritedPriority(NamedTuple):
    """What a job has through those that depend on it."""

    rank: int
    """the highest rank among the job and its dependents"""
    deadline_at: float
    """time of day, s: the earliest deadline that leaves time, by their estimates, for what comes
    after the job"""


class DependencyGraph:
    """The open jobs that have prerequisites, and the outcomes of those."""

    def __init__(self) -> None:
        self.prerequisites: dict[str, tuple[str, ...]] = {}
        """open job -> the jobs that it depends on directly"""
        self.dependents: dict[str, set[str]] = {}
        """job, open or not -> the open jobs that depend on it directly"""
        self.outcomes: dict[str, str] = {}
        """prerequisite that is over -> done or cancelled"""
        self.open_jobs: dict[str, Job] = {}
        """open jobs that have prerequisites or dependents"""
        self.cancelled_jobs: set[str] = set()
        """open jobs that are cancelled by their own record"""
        self.waiting_jobs: set[str] = set()
        """open jobs with a prerequisite that is not known to be done"""
        self.cancelled_by_dependency: set[str] = set()
        """open jobs that are cancelled because a prerequisite is"""
        self.unknown_outcomes: set[str] = set()
        """prerequisites that are neither open nor known to be over: to be read"""
        self.changed_jobs: set[str] = set()
        """jobs whose readiness or cancellation has changed since this was last emptied"""
        self._inherited: dict[str, InheritedPriority] = {}

    # --- changes ----------------------------------------------------------
    def on_job_recorded(
        self, job: Job, open_jobs: dict[str, Job], final_states: dict[str, str]
    ) -> None:
        """An open record is known, for the first time or changed."""
        is_new = job.id not in self.prerequisites and bool(job.spec.needs)
        if is_new:
            self.prerequisites[job.id] = tuple(job.spec.needs or ())
        if job.id in self.prerequisites or job.id in self.dependents:
            self.open_jobs[job.id] = job
            self.unknown_outcomes.discard(job.id)
            if job.cancelled and job.id not in self.cancelled_jobs:
                self.cancelled_jobs.add(job.id)
                self._check_dependents(job.id)
        if is_new:
            for prerequisite in self.prerequisites[job.id]:
                self._add_edge(job.id, prerequisite, open_jobs, final_states)
            self._forget_inherited(job.id, self.prerequisites[job.id])
            self._check(job.id)

    def _add_edge(
        self,
        job_id: str,
        prerequisite: str,
        open_jobs: dict[str, Job],
        final_states: dict[str, str],
    ) -> None:
        self.dependents.setdefault(prerequisite, set()).add(job_id)
        if prerequisite in final_states:
            self.outcomes[prerequisite] = final_states[prerequisite]
        elif prerequisite in open_jobs:
            self.open_jobs[prerequisite] = open_jobs[prerequisite]
            if open_jobs[prerequisite].cancelled:
                self.cancelled_jobs.add(prerequisite)
        elif prerequisite not in self.outcomes:
            self.unknown_outcomes.add(prerequisite)

    def on_record_deleted(self, job_id: str) -> None:
        """The open record is gone: the job is over."""
        prerequisites = self.prerequisites.pop(job_id, ())
        if job_id in self.dependents and job_id not in self.outcomes:
            self.unknown_outcomes.add(job_id)
        self._forget_inherited(job_id, prerequisites)
        for prerequisite in prerequisites:
            self._remove_edge(job_id, prerequisite)
        self.open_jobs.pop(job_id, None)
        self.cancelled_jobs.discard(job_id)
        self.waiting_jobs.discard(job_id)
        self.cancelled_by_dependency.discard(job_id)

    def _remove_edge(self, job_id: str, prerequisite: str) -> None:
        remaining = self.dependents[prerequisite]
        remaining.discard(job_id)
        if remaining:
            return
        del self.dependents[prerequisite]
        self.outcomes.pop(prerequisite, None)
        self.unknown_outcomes.discard(prerequisite)
        if prerequisite not in self.prerequisites:
            self.open_jobs.pop(prerequisite, None)
            self.cancelled_jobs.discard(prerequisite)

    def on_job_ended(self, job_id: str, state: str) -> None:
        """The job is over, done or cancelled."""
        if job_id not in self.dependents:
            return
        self.outcomes[job_id] = state
        self.unknown_outcomes.discard(job_id)
        self._check_dependents(job_id)

    # --- readiness and cancellation ---------------------------------------
    def _check_dependents(self, job_id: str) -> None:
        for dependent in sorted(self.dependents.get(job_id, ())):
            self._check(dependent)

    def _is_cancelled(self, prerequisite: str) -> bool:
        outcome = self.outcomes.get(prerequisite)
        if outcome is not None:
            return outcome == wire.CANCELLED
        return prerequisite in self.cancelled_by_dependency or prerequisite in self.cancelled_jobs

    def _check(self, job_id: str) -> None:
        """Derive whether the job is ready or cancelled; its dependents too if that changed.

        Pipelines may be long: no recursion.
        """
        to_check = [job_id]
        while to_check:
            name = to_check.pop()
            self._check_waiting(name)
            if name not in self.cancelled_by_dependency and any(
                map(self._is_cancelled, self.prerequisites[name])
            ):
                self.cancelled_by_dependency.add(name)
                self.changed_jobs.add(name)
                # It passes no priority on any more.
                self._forget_inherited(name, self.prerequisites[name])
                to_check += sorted(self.dependents.get(name, ()))

    def _check_waiting(self, job_id: str) -> None:
        is_waiting = bool(self.unfinished_prerequisites(job_id))
        if is_waiting == (job_id in self.waiting_jobs):
            return
        if is_waiting:
            self.waiting_jobs.add(job_id)
        else:
            self.waiting_jobs.discard(job_id)
        self.changed_jobs.add(job_id)

    def unfinished_prerequisites(self, job_id: str) -> list[str]:
        """Return the prerequisites that are not known to be done."""
        return [
            prerequisite
            for prerequisite in self.prerequisites.get(job_id, ())
            if self.outcomes.get(prerequisite) != wire.DONE
        ]

    def has_unknown_outcome(self, job_id: str) -> bool:
        """Is the outcome of a prerequisite, direct or through others, unknown?

        Then the job may be cancelled, and users can be given no answer.
        """
        seen, to_visit = {job_id}, [job_id]
        while to_visit:
            for prerequisite in self.unfinished_prerequisites(to_visit.pop()):
                if prerequisite in self.unknown_outcomes:
                    return True
                if prerequisite not in seen:
                    seen.add(prerequisite)
                    to_visit.append(prerequisite)
        return False

    # --- inherited priority -----------------------------------------------
    def inherited_rank(self, job: Job) -> int:
        """Return the job's rank, or the higher one of a job that depends on it."""
        return self.inherited_priority(job).rank

    def inherited_priority(self, job: Job) -> InheritedPriority:
        """Return rank and deadline that the job has through its dependents."""
        if job.id not in self.dependents:
            return InheritedPriority(job.spec.rank, job.deadline_at())
        known = self._inherited.get(job.id)
        if known is not None:
            return known
        order = self._unranked_dependents(job.id)
        priorities = {}
        for name in order:
            member = job if name == job.id else self.open_jobs[name]
            priorities[name] = InheritedPriority(member.spec.rank, member.deadline_at())
        # From the ends of the pipelines backwards, again until nothing changes: never more
        # often than a pipeline is long, and the graph has no cycles.
        is_changed = True
        while is_changed:
            is_changed = False
            for name in reversed(order):
                priority = self._inherit(name, priorities)
                is_changed = is_changed or priority != priorities[name]
                priorities[name] = priority
        self._inherited.update(priorities)
        return priorities[job.id]

    def _unranked_dependents(self, job_id: str) -> list[str]:
        """The job and all that depend on it, as far as their priority is not known."""
        order, seen, to_visit = [], {job_id}, [job_id]
        while to_visit:
            name = to_visit.pop()
            order.append(name)
            for dependent in self.dependents.get(name, ()):
                if dependent not in seen and dependent not in self._inherited:
                    seen.add(dependent)
                    to_visit.append(dependent)
        return order

    def _inherit(self, job_id: str, priorities: dict[str, InheritedPriority]) -> InheritedPriority:
        """The job's priority, raised to that of its direct dependents."""
        rank, deadline_at = priorities[job_id]
        for dependent in self.dependents.get(job_id, ()):
            if dependent in self.cancelled_by_dependency:
                continue
            inherited = priorities.get(dependent) or self._inherited[dependent]
            estimate_s = self.open_jobs[dependent].spec.estimate_s
            rank = max(rank, inherited.rank)
            deadline_at = min(deadline_at, inherited.deadline_at - estimate_s)
        return InheritedPriority(rank, deadline_at)

    def _forget_inherited(self, job_id: str, prerequisites: Iterable[str]) -> None:
        """Forget what the job, and all that it depends on at any distance, inherited."""
        self._inherited.pop(job_id, None)
        to_visit = list(prerequisites)
        seen = set(to_visit)
        while to_visit:
            name = to_visit.pop()
            self._inherited.pop(name, None)
            for prerequisite in self.prerequisites.get(name, ()):
                if prerequisite not in seen:
                    seen.add(prerequisite)
                    to_visit.append(prerequisite)
