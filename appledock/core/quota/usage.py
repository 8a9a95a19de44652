"""Quota usage: what the teams' jobs hold, compared with their guarantees and limits."""

from __future__ import annotations

from appledock.core.quota.resources import (
    NO_RESOURCES,
    Resources,
    demand_of,
    guarantee_of,
    limit_of,
    reservation_of,
    total,
)
from appledock.core.quota.unanswered import UnansweredWrite, UnansweredWrites
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica


class QuotaUsage:
    """What each team's jobs hold, by the replica and this controller's writes in flight.

    A write without an answer counts as executed or as not executed, whichever holds more.
    """

    def __init__(self, runtime: Runtime, replica: Replica) -> None:
        self._runtime = runtime
        self._replica = replica
        self._unanswered = UnansweredWrites()
        """by job: the most that it holds, whether its write is executed or not"""
        self._by_node: dict[str, dict[str, Resources]] = {}
        self._totals: dict[str, Resources] = {}

    # --- what is held -----------------------------------------------------
    def held_by_job(self, job: Job) -> Resources:
        """Return the most that the job may hold."""
        recorded = reservation_of(job)
        bound = self._unanswered.bound(job.id, job.version)
        return recorded if bound is None else recorded.maximum(bound)

    def held_by_node(self, team: str) -> dict[str, Resources]:
        """Return what the team's jobs hold by the controller that owns them, as a cached dict."""
        by_node = self._by_node.get(team)
        if by_node is None:
            by_node = {}
            for job_id in sorted(self._replica.jobs_by_team.get(team, ())):
                job = self._replica.jobs[job_id]
                held = self.held_by_job(job)
                if held.is_positive():
                    owner = self._replica.job_owner(job)
                    by_node[owner] = by_node.get(owner, NO_RESOURCES) + held
            self._by_node[team] = by_node
        return by_node

    def held_by_team(self, team: str) -> Resources:
        """Return what the team's jobs hold together."""
        held = self._totals.get(team)
        if held is None:
            held = self._totals[team] = total(self.held_by_node(team).values())
        return held

    # --- guarantee and limit ----------------------------------------------
    def is_within_guarantee(self, job: Job) -> bool:
        """Return whether the team would stay within its guarantee with the job's queued tasks."""
        limits = self._runtime.teams.get(job.spec.team)
        if limits is None:
            return False
        queued = demand_of(job.spec, job.queued_task_count)
        return (self.held_by_team(job.spec.team) + queued).fits_in(guarantee_of(limits))

    def is_limit_exhausted(self, team: str) -> bool:
        """Return whether the limit keeps some queued job of the team from starting another task."""
        limits = self._runtime.teams.get(team)
        if limits is None:
            return False
        held = self.held_by_team(team)
        return any(
            not (held + demand_of(self._replica.jobs[job_id].spec, 1)).fits_in(limit_of(limits))
            for job_id in self._replica.jobs_by_team.get(team, set()) & self._replica.queued_jobs
        )

    # --- writes in flight -------------------------------------------------
    def begin_write(self, job: Job, new: Job) -> UnansweredWrite:
        """Count a write from the job's record to the new one as in flight.

        The caller calls `finish` with the call's outcome, and clears the team's cache.
        """
        bound = self.held_by_job(job).maximum(reservation_of(new))
        return self._unanswered.begin(job.id, job.version, bound)

    def void_writes(self) -> None:
        """Stop counting the writes in flight, which were conditional on an earlier view."""
        self._unanswered.clear()

    # --- caches -----------------------------------------------------------
    def clear_cache(self) -> None:
        """Clear the cache: owners, or the jobs of any team, may have changed."""
        self._by_node.clear()
        self._totals.clear()

    def clear_cache_of(self, team: str) -> None:
        """Clear the cache of a team whose jobs or writes in flight have changed."""
        self._by_node.pop(team, None)
        self._totals.pop(team, None)
