"""Quota allocation: how a team's limit is allocated to the controllers of a view.

The jobs that a controller owns may hold up to its allocation together, so a step inside the
allocation needs no write of the team's record, and controllers do not wait for each other. The
allocations add up to at most the limit. Why jobs never hold more than it:

* Under one view only its owner changes what a job holds, and only a controller itself lowers its
  allocation. A hand-off of a job moves the job's reservation to the new owner's allocation in the
  transaction that records the hand-off.
* A record of an earlier view allows nothing. Whoever first needs it under the new view writes it
  anew, from what all jobs hold after everything committed under earlier views. Nothing can have
  grown meanwhile: that takes this record.
* A write without an answer counts as executed and as not executed, whichever leaves less, until
  the record's version has moved on.
* A record that was read ahead of the watch allows nothing: an allocation that grew with a job
  handed to this controller would be visible before the job.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from appledock import constants
from appledock.core.quota.admission import Admission, QueuedDemand, admit_queue
from appledock.core.quota.record_plan import (
    NoRecordChange,
    RecordChange,
    RecordPlan,
    StepNotPossible,
    allocate_for_new_view,
    move_reservation,
    raise_allocation,
)
from appledock.core.quota.resources import (
    NO_RESOURCES,
    Resources,
    demand_of,
    limit_of,
    reservation_of,
    total,
)
from appledock.core.quota.unanswered import UnansweredWrite, UnansweredWrites
from appledock.core.quota.usage import QuotaUsage
from appledock.core.records.job import Job
from appledock.core.records.membership_view import View
from appledock.core.records.team_allocation import ResourceShare, TeamAllocation
from appledock.core.runtime import Runtime
from appledock.core.store.keys import TEAMS_PREFIX
from appledock.core.store.replica import Replica
from appledock.core.store_calls import StoreOutcome


class JobOrder(Protocol):
    """The order in which queued jobs are served."""

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Sort key: the most urgent job has the smallest one."""


class QuotaAllocation:
    """This controller's allocations of the teams' limits, and the changes of the teams' records.

    Decisions are cached; they depend on the time (the queue order) and on the watch's revision,
    so the engine clears them with every batch.
    """

    def __init__(
        self, runtime: Runtime, replica: Replica, usage: QuotaUsage, job_order: JobOrder
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._usage = usage
        self._job_order = job_order
        self._unanswered = UnansweredWrites()
        """by team: the least that is allocated to us if its write is executed or if it is not"""
        self._own_versions: dict[str, int] = {}
        """team -> version that we wrote ourselves, on a record that was current"""
        self._teams_being_written: set[str] = set()
        self._admissions: dict[str, Admission] = {}

    @property
    def term(self) -> int:
        """Number of the newest view known, 0 before the first."""
        return self._replica.view.term if self._replica.view else 0

    @property
    def _view(self) -> View:
        assert self._replica.view is not None
        return self._replica.view

    # --- changes that caches depend on ------------------------------------
    def on_view(self) -> None:
        """A newer view is known: writes under way were conditional on the former one, so void."""
        self._usage.void_writes()
        self._unanswered.clear()
        self.clear_caches()

    def clear_caches(self) -> None:
        """Owners, or jobs or records of any team, may have changed."""
        self._usage.clear_cache()
        self._admissions.clear()

    def clear_caches_of(self, team: str) -> None:
        """The team's jobs, its record or a write under way for it have changed."""
        self._usage.clear_cache_of(team)
        self._admissions.pop(team, None)

    def clear_admissions(self) -> None:
        """Time has passed, or the watch has advanced."""
        self._admissions.clear()

    # --- what is allocated ------------------------------------------------
    def is_current(self, team: str) -> bool:
        """Has the watch passed the team's record, so that no job it speaks of is missing?"""
        version = self._replica.allocation_of(team).version
        return version <= self._replica.revision or self._own_versions.get(team) == version

    def allocated(self, team: str) -> dict[str, Resources]:
        """Controller -> what of the limit is allocated to it; a new dict.

        Under a view for which the record is not written yet: what its jobs hold.
        """
        record = self._replica.allocation_of(team)
        if record.term != self._view.term:
            return dict(self._usage.held_by_node(team))
        allocated = {node: Resources(*part) for node, part in record.shares.items()}
        bound = self._unanswered.bound(team, record.version)
        if bound is not None:
            node = self._runtime.node
            allocated[node] = allocated.get(node, NO_RESOURCES).minimum(bound)
        return allocated

    def admitted_tasks(self, job: Job, new: Job) -> int:
        """How many more tasks the job may start now; `new` is without its settled ones."""
        admitted = self._admit(job.spec.team).admitted.get(job.id, NO_RESOURCES)
        settled = reservation_of(job).excess_over(reservation_of(new))
        return (admitted + settled).count_tasks(job.spec)

    def releasable(self, team: str) -> Resources:
        """What more urgent jobs of other controllers need of our unused allocation."""
        return self._admit(team).releasable

    def _admit(self, team: str) -> Admission:
        admission = self._admissions.get(team)
        if admission is None:
            limits = self._runtime.teams.get(team)
            if limits is None or not self.is_current(team):
                return Admission({}, NO_RESOURCES)
            admission = self._admissions[team] = admit_queue(
                limit_of(limits),
                self.allocated(team),
                self._usage.held_by_node(team),
                self._runtime.node,
                self._queue(team),
            )
        return admission

    def _queue(self, team: str) -> list[QueuedDemand]:
        """The team's queued jobs of all controllers, the most urgent first."""
        replica = self._replica
        jobs = [
            replica.jobs[job_id]
            for job_id in replica.jobs_by_team.get(team, set()) & replica.queued_jobs
        ]
        # Guards against a job that fails everywhere and keeps the limit from the others.
        jobs.sort(
            key=lambda job: (
                job.consecutive_failures >= constants.DEPRIORITIZED_JOB_FAILURES_MIN,
                self._job_order.sort_key(job),
                job.id,
            )
        )
        return [
            QueuedDemand(job.id, replica.job_owner(job), demand_of(job.spec, job.queued_task_count))
            for job in jobs
        ]

    # --- planning ---------------------------------------------------------
    def plan(self, job: Job, new: Job, new_owner: str) -> RecordPlan:
        """Decide whether the team's record must change with the step from `job` to `new`.

        `new_owner` is the controller that owns the job after the step.
        """
        team, node = job.spec.team, self._runtime.node
        reserved = reservation_of(new)
        is_handed_off = new_owner != node and reserved.is_positive()
        # Compared with what is recorded, not with what an unanswered write may have made of it:
        # that write may have brought its own allocation along.
        if reserved.fits_in(reservation_of(job)) and not is_handed_off:
            return NoRecordChange()
        if not self.is_current(team):
            return StepNotPossible()
        others = self._held_by_other_jobs(job)
        if not is_handed_off and self._is_allocated(team, others + reserved):
            return NoRecordChange()
        if team in self._teams_being_written:
            return StepNotPossible()
        if is_handed_off:
            changed = move_reservation(self.allocated(team), node, new_owner, reserved, others)
        else:
            changed = self._raised(team, others + reserved)
        if not total(changed.values()).fits_in(limit_of(self._runtime.teams[team])):
            return StepNotPossible()
        return RecordChange(self._record(team, changed))

    def plan_release(self, team: str, resources: Resources) -> TeamAllocation:
        """The team's record with so much less for us, but no less than our jobs hold."""
        allocated, node = self.allocated(team), self._runtime.node
        held = self._usage.held_by_node(team).get(node, NO_RESOURCES)
        allocated[node] = (allocated.get(node, NO_RESOURCES) - resources).maximum(held)
        return self._record(team, allocated)

    def _is_of_present_view(self, team: str) -> bool:
        return self._replica.allocation_of(team).term == self._view.term

    def _is_allocated(self, team: str, needed: Resources) -> bool:
        """Does our allocation, by a record of the present view, cover what our jobs need?"""
        if not self._is_of_present_view(team):
            return False
        return needed.fits_in(self.allocated(team).get(self._runtime.node, NO_RESOURCES))

    def _held_by_other_jobs(self, job: Job) -> Resources:
        """What our jobs of the same team hold without this one."""
        held = self._usage.held_by_node(job.spec.team).get(self._runtime.node, NO_RESOURCES)
        return held.excess_over(self._usage.held_by_job(job))

    def _raised(self, team: str, needed: Resources) -> dict[str, Resources]:
        """The allocations with ours raised to what our jobs need after a step."""
        allocated, node, members = self.allocated(team), self._runtime.node, self._view.members
        limit = limit_of(self._runtime.teams[team])
        if not self._is_of_present_view(team):
            return allocate_for_new_view(allocated, node, needed, limit, members)
        held = self._usage.held_by_node(team).get(node, NO_RESOURCES)
        waiting = held + total(self._admit(team).admitted.values())
        return raise_allocation(allocated, node, needed, waiting, limit, len(members))

    def _record(self, team: str, allocated: dict[str, Resources]) -> TeamAllocation:
        """The team's record under the present view, conditional on the version known."""
        view = self._view
        parts = {
            node: ResourceShare(part.cpus, part.gpus)
            for node, part in allocated.items()
            if node in view.members and part.is_positive()
        }
        return TeamAllocation(self._replica.allocation_of(team).version, view.term, parts)

    # --- writing ----------------------------------------------------------
    def is_being_written(self, team: str) -> bool:
        """Is a write of the team's record under way?"""
        return team in self._teams_being_written

    def begin_job_write(self, job: Job, new: Job, record: TeamAllocation | None) -> PendingWrite:
        """A write of a job's record is sent, and of its team's if `record` is given."""
        return self._begin(job.spec.team, record, [self._usage.begin_write(job, new)])

    def begin_team_record_write(self, team: str, record: TeamAllocation) -> PendingWrite:
        """A write of the team's record alone is sent."""
        return self._begin(team, record, [])

    def _begin(
        self, team: str, record: TeamAllocation | None, records: list[UnansweredWrite]
    ) -> PendingWrite:
        if record is not None:
            self._teams_being_written.add(team)
            node = self._runtime.node
            before = self.allocated(team).get(node, NO_RESOURCES)
            after = Resources(*record.shares.get(node, (0.0, 0.0)))
            records.append(self._unanswered.begin(team, record.version, before.minimum(after)))
        self.clear_caches_of(team)
        return PendingWrite(self, team, self.term, record is not None, records)

    def end_write(self, team: str, *, wrote_record: bool) -> None:
        """A write under way has ended, whatever its outcome."""
        self.clear_caches_of(team)
        if wrote_record:
            self._teams_being_written.discard(team)

    def on_record_committed(self, team: str, record: TeamAllocation, revision: int) -> None:
        """Our write of the team's record was executed at the revision."""
        self._own_versions[team] = revision
        self._replica.put(TEAMS_PREFIX + team, record.encode(), revision)
        self.clear_caches_of(team)


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write under way that changes what a team's jobs hold, or the team's record."""

    allocation: QuotaAllocation
    team: str
    term: int
    """of the view that the write is conditional on"""
    writes_record: bool
    records: list[UnansweredWrite]

    def finish(self, outcome: StoreOutcome) -> None:
        """Count what the call's outcome leaves; to be called once, when the call has ended."""
        self.allocation.end_write(self.team, wrote_record=self.writes_record)
        if self.allocation.term != self.term:
            return  # void by a new view, which has dropped what was counted for the write
        for record in self.records:
            record.finish(outcome)
