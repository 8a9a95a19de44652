"""Making room by stopping tasks, exactly as far as the protocol allows.

Work of a job may be stopped for a job of higher priority. The victims are
those that lose least; their records are marked first (by their jobs' owners),
then the worker is told, and the room is kept for the job it was made for.
"""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.machines.capacity_index import StepReservation
from appledock.core.machines.machine_capacity import (
    MachineCapacity,
    image_fetch_s,
    is_allowed_on,
    is_zone_open,
    max_tasks_per_zone,
)
from appledock.core.quota.resources import NO_RESOURCES, Resources, demand_of, limit_of
from appledock.core.records.job import Job

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Victim:
    """One task that could be stopped."""

    job: Job
    task: int
    lost: float
    """core seconds of work that stopping it throws away"""


@dataclass(frozen=True, slots=True)
class Option:
    """A machine that could be cleared, and what that costs in seconds."""

    cost: float
    room: MachineCapacity
    victims: list[Victim]


@dataclass(slots=True)
class Claim:
    """Capacity being made for a job."""

    machine: str
    until: float


def select_victims(
    spec: wire.JobSpec,
    room: MachineCapacity,
    victims: list[Victim],
    short: Resources = NO_RESOURCES,
) -> list[Victim] | None:
    """The cheapest victims, cheapest first, that make room for one task and free
    `short` of their team's limit; None if even all of them do not."""
    cpus, gpus, memory = room.cpus, room.gpus, room.memory_gb
    chosen: list[Victim] = []
    freed = NO_RESOURCES
    for victim in sorted(victims, key=lambda v: (v.lost, v.job.id, v.task)):
        if _enough(spec, cpus, gpus, memory) and short.fits_in(freed):
            break
        chosen.append(victim)
        cpus += victim.job.spec.cpus
        gpus += victim.job.spec.gpus
        memory += victim.job.spec.memory_gb
        freed = Resources(freed.cpus + victim.job.spec.cpus, freed.gpus + victim.job.spec.gpus)
    good = _enough(spec, cpus, gpus, memory) and short.fits_in(freed)
    return chosen if good and chosen else None


def _enough(spec: wire.JobSpec, cpus: float, gpus: float, memory: float) -> bool:
    return (
        cpus + c.EPSILON >= spec.cpus
        and gpus + c.EPSILON >= spec.gpus
        and memory + c.EPSILON >= spec.memory_gb
    )


class Preemption:
    """Claims on machines and the victims that clear them."""

    def __init__(self, engine: Controller) -> None:
        self.e = engine
        self.claims: dict[str, list[Claim]] = {}
        """job -> machines being cleared for it"""
        self.claimed_machines: dict[str, str] = {}
        """machine -> job that it is being cleared for"""

    def expire_claims(self) -> None:
        """Claims end: the room must not stay empty if the job went elsewhere."""
        now = self.e.now
        for job_id in list(self.claims):
            job = self.e.replica.jobs.get(job_id)
            left = [claim for claim in self.claims[job_id] if claim.until > now]
            if (
                left
                and job is not None
                and (
                    job.queued_task_count > 0 or job_id in self.e.reconcile_queue.capacity_freed_at
                )
            ):
                self.claims[job_id] = left
            else:
                del self.claims[job_id]
        self.claimed_machines = {
            claim.machine: job_id for job_id, claims in self.claims.items() for claim in claims
        }

    def is_available_to(self, machine: str, job: Job) -> bool:
        """Is the machine not being cleared for another job?"""
        return self.claimed_machines.get(machine, job.id) == job.id

    def release_claims(self, job_id: str, reserved: list[StepReservation]) -> None:
        """A step was committed: its machines need no claim any more."""
        machines = {machine for machine, _, _ in reserved}
        left = [claim for claim in self.claims.get(job_id, ()) if claim.machine not in machines]
        if left:
            self.claims[job_id] = left
        else:
            self.claims.pop(job_id, None)

    def preemptible_tasks(self, job: Job, room: MachineCapacity) -> list[Victim]:
        """Tasks on the machine that may be stopped for the job."""
        worker = self.e.workers.table.get(room.name)
        result: list[Victim] = []
        if worker is None:
            return result
        for other_id, attempts in self.e.replica.attempts_by_machine.get(room.name, {}).items():
            other = self.e.replica.jobs[other_id]
            # A job that others need is spared as they are, but stops nobody for their sake:
            # wide early stages with the rank of the last one had 600 tasks stopped and
            # started again on one day, and the writes that this took were what lacked.
            if (
                self.e.replica.dependencies.inherited_rank(other) >= job.spec.rank
                or other.cancelled
                or other.spec.gang
            ):
                continue
            for attempt in attempts:
                if attempt.stopping or attempt.agent_epoch != room.agent_epoch:
                    continue
                for task in attempt.tasks:
                    key = (f"{other_id}/{task}", attempt.attempt_number)
                    shown = worker.tasks.get(key)
                    if shown is not None and shown.state == wire.EXITED:
                        continue  # over, and only not recorded yet
                    ran = self.e.now - worker.status.running_since.get(key, self.e.now)
                    if other.spec.checkpoint_s > 0:
                        ran = min(ran, other.spec.save_s)
                    result.append(Victim(other, task, ran * max(other.spec.cpus, 0.1)))
        return result

    def _options(self, job: Job, zones: dict[str, int], within_team: bool) -> list[Option]:
        """Machines of a sample that could be cleared for a task of the job, the
        cheapest first."""
        spec = job.spec
        cap = max_tasks_per_zone(spec)
        used = {zone for zone, number in zones.items() if number}
        short = self._short(job) if within_team else NO_RESOURCES
        result = []
        rooms = list(self.e.capacity_index.machines.values())
        if len(rooms) > c.CLEAR_SAMPLE:
            # Half of the sample among those that have the image, if there are any: an
            # image of 5 GB takes longer than a boot.
            held = sorted(self.e.capacity_index.machines_by_image.get(spec.image, ()))
            half = c.CLEAR_SAMPLE // 2
            names = set(held if len(held) <= half else self.e.rng.sample(held, half))
            rest = self.e.rng.sample(rooms, c.CLEAR_SAMPLE - len(names))
            rooms = [self.e.capacity_index.machines[name] for name in sorted(names)] + [
                room for room in rest if room.name not in names
            ]
        for room in rooms:
            if (
                not is_allowed_on(spec, room)
                or zones.get(room.zone, 0) >= cap
                or (spec.one_zone and used and room.zone not in used)
                or not self.is_available_to(room.name, job)
                or any(x.machine == room.name for x in self.claims.get(job.id, ()))
            ):
                continue
            victims = self.preemptible_tasks(job, room)
            if within_team:
                victims = [v for v in victims if v.job.spec.team == spec.team]
            chosen = select_victims(spec, room, victims, short)
            if chosen is not None:
                cost = image_fetch_s(spec, room) + self.e.operator_settings[
                    "lost_work_weight"
                ] * sum(victim.lost for victim in chosen) / max(spec.cpus, 0.1)
                result.append(Option(cost, room, chosen))
        return sorted(result, key=lambda option: (option.cost, option.room.name))

    def _short(self, job: Job) -> Resources:
        """What the team's limit lacks for one more task of the job."""
        limits = self.e.teams[job.spec.team]
        held = self.e.quota_usage.held_by_team(job.spec.team)
        return (held + demand_of(job.spec, 1)).above(limit_of(limits))

    def preempt_for(
        self, job: Job, count: int, zones: dict[str, int], within_team: bool = False
    ) -> str | None:
        """Clear machines of ours for up to `count` tasks; else name the controller
        whose machines could be cleared. `within_team`: the team's limit is what
        lacks, so only its own work makes way."""
        count -= len(self.claims.get(job.id, ()))
        if count <= 0:
            return None
        options = self._options(job, zones, within_team)
        ours = self.e.partitions.places_everywhere(job)
        me = self.e.settings.name
        own = [option for option in options if ours or option.room.owner == me]
        if not own:
            return options[0].room.owner if options else None
        if job.spec.one_zone or job.spec.spread:
            count = 1
        for option in own[:count]:
            self._clear(job, option)
        return None

    def find_faster_start(
        self, job: Job, rooms: list[MachineCapacity], zones: dict[str, int]
    ) -> str | None:
        """Where a task of the job would wait least for its image, if that is not
        on a free machine of ours: another controller's name, or our own when a
        machine of ours is being cleared. None: place it as usual."""
        if self.claims.get(job.id):
            return None
        spec, me = job.spec, self.e.settings.name
        free: tuple[float, bool, str, str] | None = None
        own = math.inf
        for room in rooms:
            if (
                room.fits(spec)
                and is_allowed_on(spec, room)
                and is_zone_open(spec, room.zone, zones)
                and self.is_available_to(room.name, job)
            ):
                wait, foreign = image_fetch_s(spec, room), room.owner != me
                if not foreign:
                    own = min(own, wait)
                row = (wait, foreign, room.name, room.owner)
                if free is None or row < free:
                    free = row
        if free is None or free[0] > c.PREEMPT_MARGIN_S:
            options = self._options(job, zones, False)
            if options and (free is None or options[0].cost + c.PREEMPT_MARGIN_S < free[0]):
                option = options[0]
                if option.room.owner != me:
                    return option.room.owner
                self._clear(job, option)
                return me
        if free is not None and free[0] + c.PREEMPT_MARGIN_S < own and free[3] != me:
            return free[3]
        return None

    def _clear(self, job: Job, option: Option) -> None:
        machine = option.room.name
        log.info(
            "%s clears %s of %s",
            job.id,
            machine,
            [f"{victim.job.id}/{victim.task}" for victim in option.victims],
        )
        self.claims.setdefault(job.id, []).append(Claim(machine, self.e.now + c.CLAIM_S))
        self.claimed_machines[machine] = job.id
        for victim in option.victims:
            self._stop(victim, machine)

    def _stop(self, victim: Victim, machine: str) -> None:
        self.e.stop_requests.send_to_owner(victim.job, machine, {victim.task})
