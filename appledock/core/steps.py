"""Steps of jobs: record what is settled and request what comes next, in one write."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from appledock import constants as c
from appledock import wire
from appledock.core import placement, quota
from appledock.core.budget import Priority
from appledock.core.events import Drop, Put, StoreReply, TxnPlan
from appledock.core.jobs import Attempt, Job
from appledock.core.placement import Room
from appledock.core.preemption import Preemption
from appledock.core.replica import FINAL, JOBS, TEAMS

if TYPE_CHECKING:
    from appledock.core.engine import Engine

log = logging.getLogger(__name__)

class Steps:
    """Moves the jobs that this controller owns."""

    def __init__(self, engine: Engine) -> None:
        self.e = engine
        self.changed_workers: set[str] = set()
        self.dirty: set[str] = set()
        self.busy: set[str] = set()
        self.busy_teams: set[str] = set()
        self.reserved: dict[str, list[tuple[str, wire.JobSpec, int]]] = {}
        """job -> machine, size and number of tasks in a step under way"""
        self.retry_at: dict[str, float] = {}
        self.written_at: dict[str, float] = {}
        self.lost_since: dict[str, float] = {}
        self.stops: dict[str, dict[str, set[int]]] = {}
        """job -> machine -> tasks that are to be stopped there"""
        self.blocked: dict[str, str] = {}
        """job -> why its queued tasks wait, for the administration API"""
        self.preemption = Preemption(engine)
        self.next_queue = 0.0
        self.next_sweep = 0.0

    def worker_changed(self, worker: str) -> None:
        self.changed_workers.add(worker)

    # --- timers -----------------------------------------------------------
    def tick(self) -> None:
        if not self.e.membership.acting():
            return
        replica = self.e.replica
        for worker in self.changed_workers:
            self.dirty |= replica.by_machine.get(worker, set())
        self.changed_workers.clear()
        if self.e.now >= self.next_sweep:
            self.next_sweep = self.e.now + 1.0
            self.dirty.update(j for j, job in replica.jobs.items() if self.e.owns_job(job))
            self._watch_lost()
        due, self.dirty = self.dirty, set()
        for job_id in sorted(due):
            job = replica.jobs.get(job_id)
            if job is None:
                self._clear(job_id)
            elif self.e.owns_job(job):
                self._settle(job)
        if self.e.now >= self.next_queue and self.e.queue_dirty:
            self.next_queue = self.e.now + c.QUEUE_EVERY_S
            self.e.queue_dirty = False
            self._place_all()

    def _clear(self, job_id: str) -> None:
        tables: tuple[dict[str, Any], ...] = (
            self.retry_at, self.written_at, self.lost_since, self.blocked, self.stops)
        for table in tables:
            table.pop(job_id, None)

    def _ready(self, job: Job) -> bool:
        return (job.id not in self.busy and job.spec.team not in self.busy_teams
                and self.e.now >= self.retry_at.get(job.id, 0.0))

    def _watch_lost(self) -> None:
        """Stopped attempts that never showed up on their worker: a launch may
        still be under way. A new term makes it harmless."""
        for job in self.e.replica.jobs.values():
            waits = any((job.cancelled or attempt.stopping)
                        and self._unseen(job, attempt) for attempt in job.attempts)
            if not waits or not self.e.owns_job(job):
                self.lost_since.pop(job.id, None)
            elif self.e.now - self.lost_since.setdefault(
                    job.id, self.e.now) > c.TERM_BUMP_AFTER_S:
                self.e.membership.want_term = True

    def _unseen(self, job: Job, attempt: Attempt) -> bool:
        if attempt.term != self.e.membership.term:
            return False
        worker = self.e.workers.table.get(attempt.machine)
        return worker is None or any(
            (f"{job.id}/{task}", attempt.number) not in worker.tasks for task in attempt.tasks)

    # --- stopping ---------------------------------------------------------
    def stop(self, job_id: str, machine: str, tasks: set[int]) -> None:
        """Stop tasks of a job on a machine: committed first, then halted.

        Wishes wait while the job has a write under way; dropping them would
        leave machines half cleared.
        """
        self.stops.setdefault(job_id, {}).setdefault(machine, set()).update(tasks)
        self.dirty.add(job_id)

    def _apply_stops(self, job: Job) -> bool:
        """Mark what is to be stopped in this copy of the record."""
        changed = False
        for machine, tasks in self.stops.pop(job.id, {}).items():
            for attempt in list(job.attempts):
                hit = attempt.tasks & tasks
                if attempt.machine != machine or attempt.stopping or not hit:
                    continue
                changed = True
                if hit == attempt.tasks:
                    attempt.stopping = True
                else:
                    attempt.tasks -= hit
                    job.attempts.append(Attempt(machine, attempt.session, attempt.number,
                                                attempt.term, True, hit))
        return changed

    # --- settling ---------------------------------------------------------
    def apply_evidence(self, job: Job) -> Job | None:
        """A copy of the job without its settled attempts; None if none is settled."""
        verdicts: list[tuple[int, int, str]] = []
        for index, attempt in enumerate(job.attempts):
            for task in attempt.tasks:
                verdict = self.e.workers.verdict(job, attempt, task)
                if verdict is not None:
                    verdicts.append((index, task, verdict))
        if not verdicts:
            return None
        new = job.copy()
        for index, task, verdict in verdicts:
            attempt = new.attempts[index]
            attempt.tasks.discard(task)
            if verdict == "done":
                new.done.add(task)
                new.failures = 0
            elif verdict == "error":
                new.failures += 1
                self.e.fleet.task_failed(attempt.machine, job.id)
        new.attempts = [attempt for attempt in new.attempts if attempt.tasks]
        return new

    def _settle(self, job: Job) -> None:
        if not self._ready(job):
            if job.attempts or job.cancelled:
                self.dirty.add(job.id)
            return
        new = self.apply_evidence(job)
        over = self._over(new or job)
        if job.id in self.stops and not over:
            stopped = new or job.copy()
            if self._apply_stops(stopped):
                self._commit(job, stopped, Priority.URGENT)
                return
        if new is None and not over:
            return
        self.e.queue_dirty = True
        if over:
            self._commit(job, new or job.copy(), Priority.FINAL)
        elif self.e.now >= self.written_at.get(job.id, -1e9) + c.PROGRESS_EVERY_S:
            assert new is not None
            self._commit(job, new, Priority.PROGRESS)
        else:
            self.dirty.add(job.id)

    @staticmethod
    def _over(job: Job) -> str | None:
        if job.cancelled:
            return wire.CANCELLED if not job.attempts else None
        if not job.spec.service and len(job.done) == job.spec.tasks:
            return wire.DONE
        return None

    # --- placing ----------------------------------------------------------
    def urgency(self, job: Job) -> tuple[float, ...]:
        """Classes first: guarantee, rank, then slack and age inside the class."""
        limits = self.e.teams.get(job.spec.team)
        record = self.e.replica.team(job.spec.team)
        inside = limits is not None and quota.within_guarantee(
            job.spec, limits, record, job.open_tasks + job.queued)
        if job.spec.deadline_s is None:
            return (0 if inside else 1, -job.spec.rank, 0, job.submitted)
        # More asked than can be done: first the class of jobs that can still meet
        # their deadline, then a multiple of it that an aim names, then the rest;
        # inside a class what is nearest to being finished.
        elapsed = self.e.wall + job.spec.estimate_s - job.submitted
        hope = sum(elapsed > job.spec.deadline_s * times for times in self.e.deadline_times)
        left = (job.spec.tasks - len(job.done)) * max(job.spec.estimate_s, 1.0)
        return (0 if inside else 1, -job.spec.rank, hope, left * max(job.spec.cpus, 0.1))

    def _place_all(self) -> None:
        replica = self.e.replica
        waiting = [job for job in replica.jobs.values()
                   if job.queued > 0 and self.e.owns_job(job)]
        if not waiting:
            return
        rooms = self.e.rooms()
        own = [room for room in rooms if room.owner == self.e.settings.name]
        self.preemption.refresh()
        full: set[tuple[object, ...]] = set()
        crowded = self.e.budget.waiting(Priority.STEP) > c.CROWDED
        for job in sorted(waiting, key=self.urgency):
            if not self._ready(job) or (crowded and not job.spec.service and self.e.now
                                        < self.written_at.get(job.id, -1e9) + c.GATHER_S):
                self.e.queue_dirty = True
                continue
            spec = job.spec
            like = (spec.cpus, spec.gpus, spec.memory_gb, spec.spot, spec.zone,
                    tuple(spec.types or ()), spec.one_zone, spec.spread)
            if like in full and not (spec.one_zone or spec.spread):
                # Like tasks are decided as a class: none of this size fits now.
                self.blocked[job.id] = "no room"
                continue
            if not self._place(job, rooms, own) and self.blocked.get(job.id) == "no room":
                full.add(like)

    def _place(self, job: Job, rooms: list[Room], own: list[Room]) -> bool:
        """Request the job's next step, or hand it on; False if neither can be."""
        own = [room for room in own if self.preemption.free_for(room.machine, job)]
        limits = self.e.teams.get(job.spec.team)
        if limits is None:
            self.blocked[job.id] = "unknown team"
            return False
        new = self.apply_evidence(job) or job.copy()
        record = self.e.replica.team(job.spec.team)
        most = quota.allowed(job.spec, limits, record, new.open_tasks)
        most -= quota.reserved_above(job, self.e.replica.jobs.values())
        gang = job.spec.gang
        count = min(new.queued, most, new.queued if gang else int(self.e.admin["step_tasks"]))
        if count <= 0 or (gang and count < new.queued):
            self.blocked[job.id] = "team limit"
            zones = self._zones(new)
            if gang or zones is None:
                return False
            handoff = self.preemption.make_room(job, rooms, 1, zones, within_team=True)
            return handoff is not None and self._hand_over(job, handoff)
        if job.spec.kind == wire.GANG and new.attempts:
            self.blocked[job.id] = "rest of the gang is not settled"
            return False
        zones = self._zones(new)
        if zones is None and (job.spec.one_zone or job.spec.spread):
            self.blocked[job.id] = "machines of its running tasks unknown"
            return False
        if job.spec.service and not gang and zones is not None:
            # A service is felt at once: wait for the image as little as can be.
            better = self.preemption.better(job, rooms, zones)
            if better == self.e.settings.name:
                self.blocked[job.id] = "room is being made"
                return False
            if better is not None:
                return self._hand_over(job, better)
        placed = placement.place(job.spec, count, own, self.e.rng, zones or {}, gang,
                                 int(self.e.admin["sample"]))
        if gang and not placed and self.e.membership.leader():
            # What fits no part is placed by the leader over all machines; the rest
            # is handed on, or leader and owner would fill the same room twice.
            placed = placement.place(job.spec, count, rooms, self.e.rng, zones or {}, gang)
        if not placed and self.preemption.claims.get(job.id):
            self.blocked[job.id] = "room is being made"
            return False
        left = count - sum(number for _, number in placed)
        handoff = self._hand_off(job, rooms, left, gang) if left else None
        if not placed and handoff is None:
            if not gang and zones is not None:
                handoff = self.preemption.make_room(job, rooms, count, zones)
            if handoff is None:
                self.blocked[job.id] = "no room"
                return False
        self.blocked.pop(job.id, None)
        tasks = new.queued_tasks(count - left)
        new.steps += 1
        view = self.e.replica.view
        assert view is not None
        for room, number in placed:
            part, tasks = tasks[:number], tasks[number:]
            new.attempts.append(Attempt(room.machine, room.session, new.steps, view.term,
                                        False, set(part)))
        if handoff is not None:
            new.handoff = (handoff, view.members[handoff])
        elif new.handoff and view.members.get(new.handoff[0]) != new.handoff[1]:
            new.handoff = None
        if len(wire.encode(new.encode())) > self.e.value_bytes:
            self.blocked[job.id] = "record full"
            return False
        reserved = [(room.machine, job.spec, number) for room, number in placed]
        return self._commit(job, new, self._priority(job), reserved)

    @staticmethod
    def _priority(job: Job) -> Priority:
        return Priority.URGENT if job.spec.service else Priority.STEP

    def _hand_over(self, job: Job, node: str) -> bool:
        """Pass a job on without placing anything."""
        view = self.e.replica.view
        assert view is not None
        new = job.copy()
        new.handoff = (node, view.members[node])
        return self._commit(job, new, self._priority(job))

    def _zones(self, job: Job) -> dict[str, int] | None:
        """Unsettled tasks by zone; None if a machine's zone is not known."""
        zones: dict[str, int] = {}
        for attempt in job.attempts:
            zone = self.e.zone_of(attempt.machine)
            if zone is None:
                return None
            zones[zone] = zones.get(zone, 0) + len(attempt.tasks)
        return zones

    def _hand_off(self, job: Job, rooms: list[Room], left: int, gang: bool) -> str | None:
        """The controller whose workers report most room for the rest."""
        view = self.e.replica.view
        assert view is not None
        best: dict[str, int] = {}
        for room in rooms:
            if (room.owner != self.e.settings.name and room.owner in view.members
                    and placement.allowed_on(job.spec, room)):
                fit = room.count(job.spec)
                if fit:
                    best[room.owner] = best.get(room.owner, 0) + fit
        if gang:
            whole = {node: fit for node, fit in best.items() if fit >= left}
            if whole:
                return max(sorted(whole), key=whole.__getitem__)
            everywhere = sum(room.count(job.spec) for room in rooms
                             if placement.allowed_on(job.spec, room))
            if everywhere >= left and view.leader != self.e.settings.name:
                return view.leader
            return None
        if not best:
            return None
        return max(sorted(best), key=best.__getitem__)

    # --- writing ----------------------------------------------------------
    def _commit(self, job: Job, new: Job, priority: Priority,
                reserved: list[tuple[str, wire.JobSpec, int]] | None = None) -> bool:
        """Completion, next step and the team's charge in one conditional write."""
        plan = TxnPlan(self.e.membership.conditions())
        plan.conditions[JOBS + job.id] = job.version
        over = self._over(new)
        if over:
            plan.writes += [Drop(JOBS + job.id), Put(FINAL + job.id, {"state": over})]
        else:
            plan.writes.append(Put(JOBS + job.id, new.encode()))
        team, charge = job.spec.team, quota.charge(new)
        record = self.e.replica.team(team)
        charges: dict[str, list[float]] | None = None
        if job.attempts or new.attempts:
            # Also when the charge looks unchanged: an old copy of the team's record
            # that happens to show the new charge would let the real one go wrong.
            plan.conditions[TEAMS + team] = record.version
        if record.jobs.get(job.id) != charge:
            charges = {k: v for k, v in record.jobs.items() if k != job.id}
            if charge is not None:
                charges[job.id] = charge
            plan.conditions[TEAMS + team] = record.version
            plan.writes.append(Put(TEAMS + team, {"jobs": charges}))
            if len(wire.encode({"jobs": charges})) > self.e.value_bytes and charge is not None:
                self.blocked[job.id] = "team record full"
                return False
            self.busy_teams.add(team)
        self.busy.add(job.id)
        if reserved:
            self.reserved[job.id] = reserved

        def done(reply: StoreReply) -> None:
            self.busy.discard(job.id)
            self.busy_teams.discard(team)
            self.reserved.pop(job.id, None)
            self.e.queue_dirty = True
            self.dirty.add(job.id)
            if reply.outcome == "ok":
                revision = reply.data.revision
                self.written_at[job.id] = self.e.now
                self.preemption.placed(job.id, reserved or [])
                if reserved:
                    log.info("%s step %d: %s%s", job.id, new.steps, ", ".join(
                        f"{count} on {machine}" for machine, _, count in reserved),
                        f", rest to {new.handoff[0]}" if new.handoff != job.handoff
                        and new.handoff else "")
                if over:
                    self.e.replica.put(FINAL + job.id, {"state": over}, revision)
                    self.e.replica.drop(JOBS + job.id, revision)
                    self.e.note_final(job, over)
                else:
                    new.version = revision
                    self.e.replica.set_job(new)
                    self._back_off(job, new)
                if charges is not None:
                    self.e.replica.put(TEAMS + team, {"jobs": charges}, revision)
                return
            pause = c.RETRY_MIN_S + self.e.rng.random() * (c.RETRY_MAX_S - c.RETRY_MIN_S)
            if reply.outcome == "conflict":
                pause = c.RETRY_MIN_S * self.e.rng.random()
                self.e.read_keys(reply.data.failed)
            elif reply.outcome == "unknown":
                # It may be applied, now or later: read before acting on either.
                self.e.read_keys([JOBS + job.id, TEAMS + team])
            self.retry_at[job.id] = self.e.now + pause

        return self.e.store("txn", (plan,), priority, done)

    def _back_off(self, job: Job, new: Job) -> None:
        """A job that fails everywhere waits longer and longer."""
        if new.failures > job.failures:
            pause = min(c.ERROR_BACKOFF_MAX_S,
                        c.ERROR_BACKOFF_S * 2 ** min(10, max(0, new.failures - 2)))
            if new.failures >= 2:
                self.retry_at[job.id] = self.e.now + pause
