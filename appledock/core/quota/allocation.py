"""Quota allocation: how a team's limit is allocated to the controllers of a view.

The jobs that a controller owns may together hold up to its allocation. A step within the
allocation therefore needs no write of the team's record, and controllers do not wait for each
other. The allocations add up to at most the limit. These rules keep jobs from ever holding more:

* Within a view, only the owner of a job changes what the job holds, and only a controller itself
  lowers its allocation. A hand-off of a job moves the job's reservation to the new owner's
  allocation in the transaction that records the hand-off.
* A record of an earlier view grants nothing. The first controller that needs it under the new
  view writes a new one, based on what all jobs hold after all commits of earlier views. No job
  can have grown in between, because that takes this record.
* A write without an answer counts as executed or as not executed, whichever leaves less, until
  the record's version has changed.
* A record that was read ahead of the watch grants nothing: an allocation that grew with a job
  handed off to this controller would otherwise be visible before the job itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from appledock import constants
from appledock.core.quota.admission import Admission, QueuedDemand, admit_queue
from appledock.core.quota.deferrals import DeferralSummary, LimitDeferrals
from appledock.core.quota.job_order import JobOrder
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


class QuotaAllocation:
    """This controller's allocations of the teams' limits, and the changes of the teams' records.

    Decisions are cached. They depend on the time (through the queue order) and on the watch's
    revision, so the engine clears the cache with every batch.
    """

    def __init__(
        self, runtime: Runtime, replica: Replica, usage: QuotaUsage, job_order: JobOrder
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._usage = usage
        self._job_order = job_order
        self._unanswered = UnansweredWrites()
        """by team: the least that is allocated here, whether the write is executed or not"""
        self._own_record_versions: dict[str, int] = {}
        """team -> version of its record that this controller wrote, based on a current record"""
        self._teams_being_written: set[str] = set()
        self._admissions: dict[str, Admission] = {}
        self._deferrals = LimitDeferrals(runtime, replica, job_order)

    @property
    def term(self) -> int:
        """Term of the newest known view; 0 before the first view."""
        return self._replica.view.term if self._replica.view else 0

    @property
    def _view(self) -> View:
        assert self._replica.view is not None
        return self._replica.view

    # --- changes that caches depend on ------------------------------------
    def on_view(self) -> None:
        """Void the writes in flight, which are conditional on the previous view; clear caches."""
        self._usage.void_writes()
        self._unanswered.clear()
        self._deferrals.clear()
        self.clear_caches()

    def clear_caches(self) -> None:
        """Clear all caches: owners, or the jobs or the record of any team, may have changed."""
        self._usage.clear_cache()
        self._admissions.clear()

    def clear_caches_of(self, team: str) -> None:
        """Clear the caches of a team whose jobs, record or writes in flight have changed."""
        self._usage.clear_cache_of(team)
        self._admissions.pop(team, None)

    def clear_admissions(self) -> None:
        """Clear the cached admissions, as time has passed or the watch has advanced."""
        self._admissions.clear()

    # --- what is allocated ------------------------------------------------
    def is_record_current(self, team: str) -> bool:
        """Return whether the watch has passed the team's record, so that all its jobs are known."""
        version = self._replica.allocation_of(team).version
        return version <= self._replica.revision or self._own_record_versions.get(team) == version

    def allocated(self, team: str) -> dict[str, Resources]:
        """Return the part of the limit that is allocated to each controller, as a new dict.

        Until the team's record is written under the current view, a controller's part is what
        its jobs hold.
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
        """Return how many more tasks the job may start now.

        `new` is the job without its settled attempts.
        """
        admitted = self._admit(job.spec.team).admitted.get(job.id, NO_RESOURCES)
        settled = reservation_of(job).excess_over(reservation_of(new))
        return (admitted + settled + self._withheld_by_unanswered_write(job)).count_tasks(job.spec)

    def _withheld_by_unanswered_write(self, job: Job) -> Resources:
        """Return what of this controller's allocation a write of the job without an answer holds.

        The job's next write is conditional on the same version of its record, so at most one of
        the two is executed, and the job may take this part again. Otherwise a write that was lost
        would hold the limit for ever: only the job's next write shows that it is void.
        """
        held_by_write = self._usage.held_by_job(job).excess_over(reservation_of(job))
        if not held_by_write.is_positive():
            return NO_RESOURCES
        team, node = job.spec.team, self._runtime.node
        allocated = self.allocated(team).get(node, NO_RESOURCES)
        held = self._usage.held_by_node(team).get(node, NO_RESOURCES)
        return allocated.excess_over(held - held_by_write) - allocated.excess_over(held)

    def releasable(self, team: str) -> Resources:
        """Return the unused allocation here that more urgent jobs of other controllers need."""
        return self._admit(team).releasable

    def _admit(self, team: str) -> Admission:
        """Return the cached admission; nothing is admitted while the record is not current."""
        admission = self._admissions.get(team)
        if admission is None:
            limits = self._runtime.teams.get(team)
            if limits is None or not self.is_record_current(team):
                return Admission({}, NO_RESOURCES)
            admission = self._admissions[team] = admit_queue(
                limit_of(limits),
                self.allocated(team),
                self._usage.held_by_node(team),
                self._runtime.node,
                self._queue(team),
                self._next_step,
            )
        return admission

    def _queue(self, team: str) -> list[QueuedDemand]:
        """Return the demand of the team's queued jobs at all controllers, the most urgent first."""
        replica = self._replica
        jobs = [
            replica.jobs[job_id]
            for job_id in replica.jobs_by_team.get(team, set()) & replica.queued_jobs
        ]
        own_jobs_first = self._deferrals.serves_own_jobs_first(team)
        # Jobs that keep failing come last, so that they do not use up the limit of the others.
        jobs.sort(
            key=lambda job: (
                job.consecutive_failures >= constants.DEPRIORITIZED_JOB_FAILURES_MIN,
                own_jobs_first and not replica.owns_job(self._runtime.node, job),
                self._job_order.sort_key(job),
                job.id,
            )
        )
        return [
            QueuedDemand(job.id, replica.job_owner(job), demand_of(job.spec, job.queued_task_count))
            for job in jobs
        ]

    def _next_step(self, job_id: str) -> Resources:
        """Return the least that the next step of a queued job takes."""
        job = self._replica.jobs[job_id]
        return demand_of(job.spec, job.queued_task_count if job.spec.gang else 1)

    # --- what is left to other controllers -----------------------------------
    def on_startable_job_not_admitted(self, job: Job) -> None:
        """Note which jobs of other controllers keep a job from starting although it has room.

        To be called for a queued job of this controller that may take nothing of its team's limit
        while a machine has room for one of its tasks.
        """
        admission = self._admit(job.spec.team)
        preceding = admission.preceding[: admission.deferred.get(job.id, 0)]
        if preceding:
            self._deferrals.observe(job, preceding)

    def deferral_summary(self) -> DeferralSummary:
        """Return for how long a part of each team's limit has been left and not taken."""
        return self._deferrals.summary()

    # --- planning ---------------------------------------------------------
    def plan(self, job: Job, new: Job, new_owner: str) -> RecordPlan:
        """Decide whether and how the team's record must change for the step from `job` to `new`.

        `new_owner` is the controller that owns the job after the step.
        """
        team, node = job.spec.team, self._runtime.node
        reserved = reservation_of(new)
        is_handed_off = new_owner != node and reserved.is_positive()
        # Compare with the recorded reservation, not with the one that an unanswered write may
        # have left: that write may have raised the allocation in the same transaction.
        if reserved.fits_in(reservation_of(job)) and not is_handed_off:
            return NoRecordChange()
        if not self.is_record_current(team):
            return StepNotPossible()
        others = self._held_by_other_jobs(job)
        if not is_handed_off and self._is_allocated(team, others + reserved):
            return NoRecordChange()
        if team in self._teams_being_written:
            return StepNotPossible()
        if is_handed_off:
            changed = move_reservation(self.allocated(team), node, new_owner, reserved, others)
        else:
            changed = self._raise_own_allocation(team, others + reserved)
        if not total(changed.values()).fits_in(limit_of(self._runtime.teams[team])):
            return StepNotPossible()
        return RecordChange(self._build_record(team, changed))

    def plan_release(self, team: str, resources: Resources) -> TeamAllocation:
        """Plan a record that takes `resources` from this controller, down to what its jobs hold."""
        allocated, node = self.allocated(team), self._runtime.node
        held = self._usage.held_by_node(team).get(node, NO_RESOURCES)
        allocated[node] = (allocated.get(node, NO_RESOURCES) - resources).maximum(held)
        return self._build_record(team, allocated)

    def _is_record_of_current_view(self, team: str) -> bool:
        return self._replica.allocation_of(team).term == self._view.term

    def _is_allocated(self, team: str, needed: Resources) -> bool:
        """Return whether the current view's record allocates what this controller's jobs need."""
        if not self._is_record_of_current_view(team):
            return False
        return needed.fits_in(self.allocated(team).get(self._runtime.node, NO_RESOURCES))

    def _held_by_other_jobs(self, job: Job) -> Resources:
        """Return what this controller's other jobs of the same team hold."""
        held = self._usage.held_by_node(job.spec.team).get(self._runtime.node, NO_RESOURCES)
        return held.excess_over(self._usage.held_by_job(job))

    def _raise_own_allocation(self, team: str, needed: Resources) -> dict[str, Resources]:
        """Return the allocations, with this controller's raised to its jobs' need after a step."""
        allocated, node, members = self.allocated(team), self._runtime.node, self._view.members
        limit = limit_of(self._runtime.teams[team])
        if not self._is_record_of_current_view(team):
            return allocate_for_new_view(allocated, node, needed, limit, members)
        held = self._usage.held_by_node(team).get(node, NO_RESOURCES)
        waiting = held + total(self._admit(team).admitted.values())
        return raise_allocation(allocated, node, needed, waiting, limit, len(members))

    def _build_record(self, team: str, allocated: dict[str, Resources]) -> TeamAllocation:
        """Build the team's record under the current view, conditional on the known version."""
        view = self._view
        parts = {
            node: ResourceShare(part.cpus, part.gpus)
            for node, part in allocated.items()
            if node in view.members and part.is_positive()
        }
        return TeamAllocation(self._replica.allocation_of(team).version, view.term, parts)

    # --- writing ----------------------------------------------------------
    def is_being_written(self, team: str) -> bool:
        """Return whether a write of the team's record is in flight."""
        return team in self._teams_being_written

    def begin_job_write(self, job: Job, new: Job, record: TeamAllocation | None) -> PendingWrite:
        """Count a write of a job's record, and of its team's if `record` is given, as in flight.

        The caller calls `finish` on the result once the write has ended.
        """
        return self._begin(job.spec.team, record, [self._usage.begin_write(job, new)])

    def begin_team_record_write(self, team: str, record: TeamAllocation) -> PendingWrite:
        """Count a write of the team's record alone as in flight; see `begin_job_write`."""
        return self._begin(team, record, [])

    def _begin(
        self, team: str, record: TeamAllocation | None, unanswered_writes: list[UnansweredWrite]
    ) -> PendingWrite:
        if record is not None:
            self._teams_being_written.add(team)
            node = self._runtime.node
            before = self.allocated(team).get(node, NO_RESOURCES)
            after = Resources(*record.shares.get(node, (0.0, 0.0)))
            unanswered_writes.append(
                self._unanswered.begin(team, record.version, before.minimum(after))
            )
        self.clear_caches_of(team)
        return PendingWrite(self, team, self.term, record is not None, unanswered_writes)

    def end_write(self, team: str, *, wrote_record: bool) -> None:
        """Clear the team's caches after a write has ended with any outcome."""
        self.clear_caches_of(team)
        if wrote_record:
            self._teams_being_written.discard(team)

    def on_record_committed(self, team: str, record: TeamAllocation, revision: int) -> None:
        """Apply a write of the team's record that this controller committed at `revision`."""
        self._own_record_versions[team] = revision
        self._replica.put(TEAMS_PREFIX + team, record.encode(), revision)
        self.clear_caches_of(team)


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write in flight that changes what a team's jobs hold, or the team's record."""

    allocation: QuotaAllocation
    team: str
    term: int
    """term of the view that the write is conditional on"""
    writes_record: bool
    unanswered_writes: list[UnansweredWrite]

    def finish(self, outcome: StoreOutcome) -> None:
        """Apply the outcome of the write; to be called once, when the call has ended."""
        self.allocation.end_write(self.team, wrote_record=self.writes_record)
        if self.allocation.term != self.term:
            return  # a new view has voided the write and cleared what was counted for it
        for write in self.unanswered_writes:
            write.finish(outcome)
