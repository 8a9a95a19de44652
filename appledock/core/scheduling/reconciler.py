"""Reconciler of jobs: record what is settled and request what comes next, in one write."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.jobs.reconcile_queue import PendingReason
from appledock.core.machines.capacity_index import StepReservation
from appledock.core.machines.machine_capacity import MachineCapacity, is_allowed_on
from appledock.core.records.job import Attempt, Job
from appledock.core.scheduling import placement
from appledock.core.scheduling.placement import PlacedTasks, Sampling
from appledock.core.store.rate_limiter import Priority

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class Reconciler:
    """Moves the jobs that this controller owns."""

    def __init__(self, engine: Controller) -> None:
        self.e = engine
        self.next_later = 0.0
        self.lost_since: dict[str, float] = {}
        self.stop_requests = engine.stop_requests
        self.queue = engine.reconcile_queue
        self.settlement = engine.settlement
        self.preemption = engine.preemption
        self.writer = engine.job_writer
        self.handoff = engine.handoff
        self.pacing = engine.pacing
        self.next_queue = 0.0
        self.next_arrays = 0.0
        self.next_sweep = 0.0
        self.next_release = 0.0

    # --- timers -----------------------------------------------------------
    def tick(self) -> None:
        if not self.e.membership.can_act():
            return
        replica = self.e.replica
        for worker in self.queue.changed_workers:
            self.queue.jobs.update(replica.attempts_by_machine.get(worker, ()))
            self.settlement.on_machine_changed(worker)
        self.queue.changed_workers.clear()
        if self.e.now >= self.next_sweep:
            self.next_sweep = self.e.now + c.SWEEP_EVERY_S
            for job_id, open_job in replica.jobs.items():
                if (open_job.attempts or replica.is_cancelled(job_id)) and self.e.replica.owns_job(
                    self.e.settings.name, open_job
                ):
                    self.queue.jobs.add(job_id)
                    self.settlement.examine_all(job_id)
            self._watch_lost()
            if replica.queued_jobs:
                # Some reasons to wait end with time alone: a job handed to us may be
                # handed on only after a while, and in a quiet cluster nothing else
                # happened that would have made us look again.
                self.queue.placement_due = True
        if self.e.now >= self.next_release:
            self.next_release = self.e.now + c.RELEASE_EVERY_S
            self.e.team_record_writer.release_unused_allocations()
        if self.queue.deferred_jobs and self.e.now >= self.next_later:
            self.next_later = self.e.now + c.QUEUE_EVERY_S
            self.queue.jobs |= self.queue.deferred_jobs
            self.queue.deferred_jobs.clear()
        due, self.queue.jobs = self.queue.jobs, set()
        for job_id in sorted(due):
            job = replica.jobs.get(job_id)
            if job is None:
                self._clear(job_id)
            elif self.e.replica.owns_job(self.e.settings.name, job):
                self.handoff.on_job_owned(job)
                self._settle(job)
            else:
                self.handoff.forget(job_id)
                self.stop_requests.forget(job_id)
        if self.e.now >= self.next_queue and self.queue.placement_due:
            self.next_queue = self.e.now + c.QUEUE_EVERY_S
            self.queue.placement_due = False
            self._place_all()

    def _clear(self, job_id: str) -> None:
        self.lost_since.pop(job_id, None)
        self.stop_requests.forget(job_id)
        self.queue.forget(job_id)
        self.settlement.forget(job_id)
        self.handoff.forget(job_id)
        self.writer.forget(job_id)
        self.pacing.forget(job_id)
        self.e.queue_order.forget(job_id)

    def _watch_lost(self) -> None:
        """Stopped attempts that never showed up on their worker: a launch may
        still be under way. A new term makes it harmless."""
        for job in self.e.replica.jobs.values():
            waits = any(
                (job.cancelled or attempt.stopping) and self._unseen(job, attempt)
                for attempt in job.attempts
            )
            if not waits or not self.e.replica.owns_job(self.e.settings.name, job):
                self.lost_since.pop(job.id, None)
            elif self.e.now - self.lost_since.setdefault(job.id, self.e.now) > c.TERM_BUMP_AFTER_S:
                self.e.view_requests.new_term = True

    def _unseen(self, job: Job, attempt: Attempt) -> bool:
        if attempt.term != self.e.membership.term:
            return False
        worker = self.e.workers.table.get(attempt.machine)
        if worker is None or self.e.now - worker.reachability.last_heartbeat_at > c.SHOW_AFTER_S:
            # A silent machine would not show that it has seen a new term, which
            # costs the whole cluster; its lease or its deletion settles it.
            return False
        return any(
            (f"{job.id}/{task}", attempt.attempt_number) not in worker.tasks
            for task in attempt.tasks
        )

    # --- settling ---------------------------------------------------------
    def _settle(self, job: Job) -> None:
        if not self.writer.can_write(job):
            # Those cancelled with another one too: refused once, their end was never
            # written, since nothing else happens to them.
            if job.attempts or self.e.replica.is_cancelled(job.id):
                self.queue.deferred_jobs.add(job.id)
            return
        new = self.settlement.without_settled_attempts(job)
        over = self.writer.final_state(new or job)
        if self.stop_requests.has_any(job.id) and not over:
            stopped = self.settlement.copy_without_settled_attempts(job)
            if self.stop_requests.mark_stopping(stopped):
                self.writer.commit(job, stopped, Priority.URGENT)
                return
        if new is None or new.queued_task_count <= job.queued_task_count:
            self.queue.capacity_freed_at.pop(job.id, None)
        if new is None and not over:
            return
        self.queue.placement_due = True
        if over:
            # Other jobs can start only once this end is written.
            needed = job.id in self.e.replica.dependencies.dependents
            self.writer.commit(
                job,
                self.settlement.copy_without_settled_attempts(job),
                Priority.URGENT if needed else Priority.FINAL,
            )
        elif (
            new is not None
            and new.queued_task_count > job.queued_task_count
            and self._step_first(job.id)
        ):
            self.queue.deferred_jobs.add(job.id)
        elif self.e.now >= self.writer.written_at.get(
            job.id, -1e9
        ) + self.pacing.progress_interval_s(job):
            self.writer.commit(
                job, self.settlement.copy_without_settled_attempts(job), Priority.PROGRESS
            )
        else:
            self.queue.deferred_jobs.add(job.id)

    def _step_first(self, job_id: str) -> bool:
        """Lost tasks go again in the very write that records them as lost.

        Guards against a fleet that stumbles: recorded by themselves first, with the
        patience of lists of finished tasks, the replicas of forty machines lost at once
        took two writes each, and the first ones waited for six seconds.
        """
        return (
            self.e.now - self.queue.capacity_freed_at.setdefault(job_id, self.e.now)
            < c.STEP_FIRST_S
        )

    # --- placing ----------------------------------------------------------
    def _place_all(self) -> None:
        replica = self.e.replica
        waiting = [
            job
            for job in (
                replica.jobs[j]
                for j in replica.queued_jobs.union(
                    j
                    for j in self.queue.capacity_freed_at
                    if j in replica.jobs and j not in replica.dependencies.waiting_jobs
                )
            )
            if self.e.replica.owns_job(self.e.settings.name, job)
        ]
        # Room that running tasks free comes by and by: gathered for a moment, it is
        # taken by one job in one step, not by each in one of its own.
        arrays = (
            bool(waiting)
            and self.e.now >= self.next_arrays
            and not self.pacing.should_defer_batch_jobs()
        )
        if arrays:
            self.next_arrays = self.e.now + self.pacing.batching_window_s()
        ready = [
            job for job in waiting if self.writer.can_write(job) and (arrays or job.spec.service)
        ]
        if len(ready) < len(waiting):
            self.queue.placement_due = True
        if not ready:
            return
        self.e.capacity_index.recompute()
        self.e.rebalancer.refresh_means()
        rooms = list(self.e.capacity_index.with_free_capacity.values())
        own = [room for room in rooms if room.owner == self.e.settings.name]
        self.preemption.expire_claims()
        full = _Full()
        for job in sorted(ready, key=lambda job: (self.e.queue_order.sort_key(job), job.id)):
            if not self.writer.can_write(job):
                self.queue.placement_due = True  # a step of another one took its write back
                continue
            if full.covers(
                job.spec, self.e.replica.dependencies.inherited_rank(job)
            ) and not self.e.moves.moving(job.id):
                # Like tasks are decided as a class: nothing this large fits now.
                self.queue.pending_reasons[job.id] = PendingReason.NO_CAPACITY
                continue
            if (
                not self._place(job, rooms, own)
                and self.queue.pending_reasons.get(job.id) == PendingReason.NO_CAPACITY
            ):
                full.add(job.spec, self.e.replica.dependencies.inherited_rank(job))

    def _place(self, job: Job, rooms: list[MachineCapacity], own: list[MachineCapacity]) -> bool:
        """Request the job's next step, or hand it on; False if neither can be."""
        if self.preemption.claimed_machines:
            own = [room for room in own if self.preemption.is_available_to(room.name, job)]
        if job.spec.team not in self.e.teams:
            self.queue.pending_reasons[job.id] = PendingReason.UNKNOWN_TEAM
            return False
        rest = self.settlement.without_settled_attempts(job) or job
        count = self._step_size(job, rest)
        zones = self.zones(rest)
        if count <= 0:
            self.queue.pending_reasons[job.id] = PendingReason.TEAM_LIMIT
            return zones is not None and self._within_team(job, zones)
        if job.spec.kind == wire.GANG and rest.attempts:
            self.queue.pending_reasons[job.id] = PendingReason.GANG_UNSETTLED
            return False
        if zones is None and (job.spec.one_zone or job.spec.spread):
            self.queue.pending_reasons[job.id] = PendingReason.ZONES_UNKNOWN
            return False
        moved = self.e.moves.place_held(job, rest, zones)
        if moved:
            return self._request_step(job, rest, moved, None)
        ours = self.e.partitions.places_everywhere(job)
        if ours:
            # Its partition's machines are filled by us alone, whoever owns their workers.
            own = [
                room
                for room in rooms
                if room.admission is not None and self.preemption.is_available_to(room.name, job)
            ]
        elsewhere = self.e.rebalancer.scorer(job.spec) is None and not ours
        if job.spec.service and not job.spec.gang and zones is not None and elsewhere:
            better = self._better_elsewhere(job, rooms, own, zones)
            if better == self.e.settings.name:
                self.queue.pending_reasons[job.id] = PendingReason.PREEMPTING
                return False
            if better is not None:
                return self.hand_off(job, better)
        placed = self._find_room(job, count, rooms, own, zones or {})
        if not placed and self.preemption.claims.get(job.id):
            self.queue.pending_reasons[job.id] = PendingReason.PREEMPTING
            return False
        left = count - sum(number for _, number in placed)
        used = dict(zones or {})
        for room, number in placed:
            used[room.zone] = used.get(room.zone, 0) + number
        handoff = None
        if left and not ours:
            handoff = self.handoff.choose_target(job, rooms, left, used)
        if (
            placed
            and handoff is None
            and self.pacing.should_batch(job, rest, sum(number for _, number in placed))
        ):
            self.queue.pending_reasons[job.id] = PendingReason.BATCHING
            self.queue.placement_due = True
            for room, number in placed:
                room.release(job.spec, number)
            return False
        if not placed and handoff is None:
            handoff = self._without_room(job, count, zones)
            if handoff is None:
                return False
        self.queue.pending_reasons.pop(job.id, None)
        self.pacing.forget(job.id)
        return self._request_step(job, rest, placed, handoff)

    def _step_size(self, job: Job, rest: Job) -> int:
        """How many tasks the next step may have; 0: the team's limit allows none."""
        most = self.e.quota_allocation.admitted_tasks(job, rest)
        if job.spec.gang:
            return rest.queued_task_count if most >= rest.queued_task_count else 0
        return min(rest.queued_task_count, most, int(self.e.operator_settings["step_tasks"]))

    def _within_team(self, job: Job, zones: dict[str, int]) -> bool:
        """The team's limit lacks: its own work of lower rank makes room, here or elsewhere."""
        if job.spec.gang:
            return False
        handoff = self.preemption.preempt_for(job, 1, zones, within_team=True)
        return handoff is not None and self.hand_off(job, handoff)

    def _better_elsewhere(
        self,
        job: Job,
        rooms: list[MachineCapacity],
        own: list[MachineCapacity],
        zones: dict[str, int],
    ) -> str | None:
        """The controller with which a replica waits least for its image: a service is felt
        at once. Our own name: room is being made here. None: placed here as usual."""
        better = self.preemption.find_faster_start(job, rooms, zones)
        if better is None or better == self.e.settings.name:
            return better
        here = any(room.fits(job.spec) and is_allowed_on(job.spec, room) for room in own)
        return None if here and self.pacing.is_service_rate_limited() else better

    def _find_room(
        self,
        job: Job,
        count: int,
        rooms: list[MachineCapacity],
        own: list[MachineCapacity],
        zones: dict[str, int],
    ) -> list[PlacedTasks]:
        gang, sample = job.spec.gang, int(self.e.operator_settings["sample"])
        rng, scorer = self.e.rng, self.e.rebalancer.scorer(job.spec)
        sampling = Sampling(rng, sample, scorer)
        placed = placement.place(job.spec, count, own, sampling, zones, gang)
        if gang and not placed and self.e.membership.is_leader():
            # What fits no part is placed by the leader over all machines; the rest
            # is handed on, or leader and owner would fill the same room twice.
            sampling = Sampling(rng, scorer=scorer)
            placed = placement.place(job.spec, count, rooms, sampling, zones, gang)
        return placed

    def _without_room(self, job: Job, count: int, zones: dict[str, int] | None) -> str | None:
        """No controller has room: make some. The controller whose machines could be
        cleared, if none of ours can."""
        if job.spec.service and self.writer.withdraw_lower_priority_steps(job):
            self.queue.pending_reasons[job.id] = PendingReason.PREEMPTING
            self.queue.placement_due = True
            return None
        handoff = None
        if not job.spec.gang and zones is not None:
            handoff = self.preemption.preempt_for(job, count, zones)
        if handoff is None or self.e.partitions.places_everywhere(job):
            self.queue.pending_reasons[job.id] = PendingReason.NO_CAPACITY
            return None
        return handoff

    def _request_step(
        self, job: Job, rest: Job, placed: list[PlacedTasks], handoff: str | None
    ) -> bool:
        """Write the step: what is settled, the new attempts, and who owns the job then."""
        view = self.e.replica.view
        assert view is not None
        new = rest.copy()
        tasks = new.first_queued_tasks(sum(number for _, number in placed))
        if placed:
            # Being handed on is no beginning: jobs passed round for minutes counted as
            # begun, and their age moved them no further.
            new.last_step += 1
        for room, number in placed:
            part, tasks = tasks[:number], tasks[number:]
            new.attempts.append(
                Attempt(room.name, room.agent_epoch, new.last_step, view.term, False, set(part))
            )
        if handoff is not None:
            new.handoff_target = (handoff, view.members[handoff])
        elif (
            new.handoff_target and view.members.get(new.handoff_target[0]) != new.handoff_target[1]
        ):
            new.handoff_target = None
        if not self.e.codec.fits(self.e.codec.drop_needless_types(new)):
            # The record holds only so many attempts at a time: the rest of the
            # tasks wait until some are settled, the job is never stuck.
            for room, _ in placed:
                self.e.capacity_index.mark_changed(room.name)
            if job.spec.gang or len(placed) < 2:
                self.queue.pending_reasons[job.id] = PendingReason.RECORD_FULL
                return False
            return self._commit_part(job, new, placed)
        reserved = [StepReservation(room.name, job.spec, number) for room, number in placed]
        if self.writer.commit(job, new, self._priority(job), reserved):
            return True
        for machine, _, _ in reserved:
            self.e.capacity_index.mark_changed(machine)
        return False

    def _commit_part(self, job: Job, new: Job, placed: list[PlacedTasks]) -> bool:
        """The step with half of its machines, and half of that, until it fits."""
        new.handoff_target = job.handoff_target
        while placed and not self.e.codec.fits(new):
            drop = len(placed) - len(placed) // 2
            placed, new.attempts = placed[:-drop], new.attempts[:-drop]
        if not placed:
            self.queue.pending_reasons[job.id] = PendingReason.RECORD_FULL
            return False
        return self.writer.commit(
            job,
            new,
            self._priority(job),
            [StepReservation(room.name, job.spec, number) for room, number in placed],
        )

    @staticmethod
    def _priority(job: Job) -> Priority:
        return Priority.URGENT if job.spec.service else Priority.STEP

    def hand_off(self, job: Job, node: str) -> bool:
        """Pass a job on without placing anything."""
        view = self.e.replica.view
        assert view is not None
        new = self.settlement.copy_without_settled_attempts(job)
        new.handoff_target = (node, view.members[node])
        return self.writer.commit(job, new, self._priority(job))

    def zones(self, job: Job) -> dict[str, int] | None:
        """Unsettled tasks by zone; None if a machine's zone is not known."""
        zones: dict[str, int] = {}
        for attempt in job.attempts:
            zone = self.e.zone_of(attempt.machine)
            if zone is None:
                return None
            zones[zone] = zones.get(zone, 0) + len(attempt.tasks)
        return zones


class _Full:
    """Sizes that found no room in this pass, by what the jobs allow."""

    def __init__(self) -> None:
        self.sizes: dict[tuple[object, ...], list[tuple[float, float, float]]] = {}

    @staticmethod
    def _key(spec: wire.JobSpec, rank: int) -> tuple[object, ...]:
        return (spec.spot, spec.zone, tuple(spec.types or ()), rank, spec.service)

    def add(self, spec: wire.JobSpec, rank: int) -> None:
        if not (spec.one_zone or spec.spread):
            self.sizes.setdefault(self._key(spec, rank), []).append(
                (spec.cpus, spec.gpus, spec.memory_gb)
            )

    def covers(self, spec: wire.JobSpec, rank: int) -> bool:
        """Did a task no larger than these find no room?"""
        return not (spec.one_zone or spec.spread) and any(
            cpus <= spec.cpus and gpus <= spec.gpus and memory <= spec.memory_gb
            for cpus, gpus, memory in self.sizes.get(self._key(spec, rank), ())
        )
