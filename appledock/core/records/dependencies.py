"""Graph of the dependencies between jobs, with the readiness and priorities derived from it.

The only stored part of the graph is the list of prerequisites in each job's description. Readiness
is derived from the states of the prerequisites, which is safe because `done` and `cancelled` are
final and an accepted job stays accepted. A job is ready when every prerequisite is known to be
done, and cancelled when a direct or indirect prerequisite is cancelled. A prerequisite in an
unknown state counts as not done.

The graph is updated incrementally: the cost of the end, the cancellation or the submission of a job
depends on the size of the job's pipeline, not on the number of pipelines.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from appledock import wire
from appledock.core.records.job import Job


class InheritedPriority(NamedTuple):
    """Rank and deadline that a job gets from the jobs that depend on it."""

    rank: int
    """Highest rank among the job and its dependents."""
    deadline_wall_time: float
    """Time of day, in seconds, by which the job must be complete so that its dependents can meet
    their deadlines, according to their estimated run times."""


class DependencyGraph:
    """Open jobs that have prerequisites, and the outcomes of the prerequisites."""

    def __init__(self) -> None:
        self.prerequisites: dict[str, tuple[str, ...]] = {}
        """Open job -> its direct prerequisites."""
        self.dependents: dict[str, set[str]] = {}
        """Job, open or not -> open jobs that directly depend on it."""
        self.outcomes: dict[str, str] = {}
        """Prerequisite that has ended -> `done` or `cancelled`."""
        self.ended_wall_times: dict[str, float] = {}
        """Prerequisite that has ended -> time of day of its end, if its final record has one."""
        self.open_jobs: dict[str, Job] = {}
        """Open jobs that have prerequisites or dependents."""
        self.cancelled_jobs: set[str] = set()
        """Open jobs that were cancelled themselves, according to their records."""
        self.waiting_jobs: set[str] = set()
        """Open jobs with a prerequisite that is not known to be done."""
        self.cancelled_by_dependency: set[str] = set()
        """Open jobs that are cancelled because a prerequisite is cancelled."""
        self.unknown_outcomes: set[str] = set()
        """Prerequisites that are neither open nor known to have ended, and have to be read."""
        self.changed_jobs: set[str] = set()
        """Jobs whose readiness or cancellation has changed; the replica empties the set."""
        self._inherited_cache: dict[str, InheritedPriority] = {}

    # --- changes ----------------------------------------------------------
    def on_job_recorded(
        self,
        job: Job,
        open_jobs: Mapping[str, Job],
        final_states: Mapping[str, str],
        ended_wall_times: Mapping[str, float],
    ) -> None:
        """Add an open job to the graph, or update it after a change of its record.

        `final_states` and `ended_wall_times` tell how and when jobs have ended, by their ids.
        """
        is_new = job.id not in self.prerequisites and bool(job.spec.needs)
        if is_new:
            self.prerequisites[job.id] = tuple(job.spec.needs or ())
        if job.id in self.prerequisites or job.id in self.dependents:
            self.open_jobs[job.id] = job
            self.unknown_outcomes.discard(job.id)
            if job.cancelled and job.id not in self.cancelled_jobs:
                self.cancelled_jobs.add(job.id)
                self._update_dependents(job.id)
        if is_new:
            for prerequisite in self.prerequisites[job.id]:
                self._add_edge(job.id, prerequisite, open_jobs, final_states)
                if prerequisite in ended_wall_times:
                    self.ended_wall_times[prerequisite] = ended_wall_times[prerequisite]
            self._invalidate_inherited(job.id, self.prerequisites[job.id])
            self._update_state(job.id)

    def _add_edge(
        self,
        job_id: str,
        prerequisite: str,
        open_jobs: Mapping[str, Job],
        final_states: Mapping[str, str],
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
        """Remove a job whose open record was deleted, which means that the job has ended."""
        prerequisites = self.prerequisites.pop(job_id, ())
        if job_id in self.dependents and job_id not in self.outcomes:
            self.unknown_outcomes.add(job_id)
        self._invalidate_inherited(job_id, prerequisites)
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
        self.ended_wall_times.pop(prerequisite, None)
        self.unknown_outcomes.discard(prerequisite)
        if prerequisite not in self.prerequisites:
            self.open_jobs.pop(prerequisite, None)
            self.cancelled_jobs.discard(prerequisite)

    def on_job_ended(self, job_id: str, state: str, ended_wall_time: float | None = None) -> None:
        """Record the outcome of a job that has ended, either `done` or `cancelled`."""
        if job_id not in self.dependents:
            return
        self.outcomes[job_id] = state
        if ended_wall_time is not None:
            self.ended_wall_times[job_id] = ended_wall_time
        self.unknown_outcomes.discard(job_id)
        self._update_dependents(job_id)

    # --- readiness and cancellation ---------------------------------------
    def _update_dependents(self, job_id: str) -> None:
        for dependent in sorted(self.dependents.get(job_id, ())):
            self._update_state(dependent)

    def _is_cancelled(self, prerequisite: str) -> bool:
        outcome = self.outcomes.get(prerequisite)
        if outcome is not None:
            return outcome == wire.CANCELLED
        return prerequisite in self.cancelled_by_dependency or prerequisite in self.cancelled_jobs

    def _update_state(self, job_id: str) -> None:
        """Update whether the job is ready or cancelled; a cancellation spreads to its dependents.

        The loop replaces a recursion, which would be too deep for long pipelines.
        """
        to_update = [job_id]
        while to_update:
            name = to_update.pop()
            self._update_waiting(name)
            if name not in self.cancelled_by_dependency and any(
                map(self._is_cancelled, self.prerequisites[name])
            ):
                self.cancelled_by_dependency.add(name)
                self.changed_jobs.add(name)
                # A cancelled job no longer passes its priority to its prerequisites.
                self._invalidate_inherited(name, self.prerequisites[name])
                to_update += sorted(self.dependents.get(name, ()))

    def _update_waiting(self, job_id: str) -> None:
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

    def ready_wall_time(self, job_id: str) -> float | None:
        """Return the time of day (s) at which the last prerequisite of the job ended.

        Every controller reads the same time from the final records. None if the job has no
        prerequisites, or if the end of one is not known or has no time in its record.
        """
        prerequisites = self.prerequisites.get(job_id, ())
        if not prerequisites or not self.ended_wall_times.keys() >= set(prerequisites):
            return None
        return max(self.ended_wall_times[prerequisite] for prerequisite in prerequisites)

    def has_unknown_outcome(self, job_id: str) -> bool:
        """Return whether the outcome of a direct or indirect prerequisite is unknown.

        Then the job may be cancelled already, so its state cannot be reported to users yet.
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
        """Return the highest rank among the job and the jobs that depend on it."""
        return self.inherited_priority(job).rank

    def inherited_priority(self, job: Job) -> InheritedPriority:
        """Return the rank and the deadline that the job gets from its dependents."""
        if job.id not in self.dependents:
            return InheritedPriority(job.spec.rank, job.deadline_wall_time())
        known = self._inherited_cache.get(job.id)
        if known is not None:
            return known
        order = self._dependents_without_priority(job.id)
        priorities = {}
        for name in order:
            member = job if name == job.id else self.open_jobs[name]
            priorities[name] = InheritedPriority(member.spec.rank, member.deadline_wall_time())
        # Repeat passes from the ends of the pipelines backwards until nothing changes. The graph
        # has no cycles, so the number of passes is at most the length of the longest pipeline.
        is_changed = True
        while is_changed:
            is_changed = False
            for name in reversed(order):
                priority = self._inherit(name, priorities)
                is_changed = is_changed or priority != priorities[name]
                priorities[name] = priority
        self._inherited_cache.update(priorities)
        return priorities[job.id]

    def _dependents_without_priority(self, job_id: str) -> list[str]:
        """Return the job and its direct and indirect dependents whose priority is not cached."""
        order, seen, to_visit = [], {job_id}, [job_id]
        while to_visit:
            name = to_visit.pop()
            order.append(name)
            for dependent in self.dependents.get(name, ()):
                if dependent not in seen and dependent not in self._inherited_cache:
                    seen.add(dependent)
                    to_visit.append(dependent)
        return order

    def _inherit(self, job_id: str, priorities: dict[str, InheritedPriority]) -> InheritedPriority:
        """Return the priority of the job, raised to the priorities of its direct dependents."""
        rank, deadline_wall_time = priorities[job_id]
        for dependent in self.dependents.get(job_id, ()):
            if dependent in self.cancelled_by_dependency:
                continue
            inherited = priorities.get(dependent) or self._inherited_cache[dependent]
            estimate_s = self.open_jobs[dependent].spec.estimate_s
            rank = max(rank, inherited.rank)
            deadline_wall_time = min(deadline_wall_time, inherited.deadline_wall_time - estimate_s)
        return InheritedPriority(rank, deadline_wall_time)

    def _invalidate_inherited(self, job_id: str, prerequisites: Iterable[str]) -> None:
        """Drop the cached priorities of the job and its direct and indirect prerequisites."""
        self._inherited_cache.pop(job_id, None)
        to_visit = list(prerequisites)
        seen = set(to_visit)
        while to_visit:
            name = to_visit.pop()
            self._inherited_cache.pop(name, None)
            for prerequisite in self.prerequisites.get(name, ()):
                if prerequisite not in seen:
                    seen.add(prerequisite)
                    to_visit.append(prerequisite)
