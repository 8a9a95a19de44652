"""Preemption: stopping running tasks so that a job of higher priority can start.

The stop of a victim is requested from the owner of its job, which commits it to the job's record
before the worker is commanded. Until the victims have ended, a claim reserves the machine for
the preempting job.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from appledock import constants
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.machines.machine_capacity import (
    MachineCapacity,
    image_fetch_s,
    is_allowed_on,
    is_zone_open,
    max_tasks_per_zone,
)
from appledock.core.operator_settings import OperatorSettings
from appledock.core.quota.resources import NO_RESOURCES, Resources, demand_of, limit_of
from appledock.core.quota.usage import QuotaUsage
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.victim_selection import (
    PreemptionOption,
    Victim,
    is_preemptible,
    preemption_cost_s,
    running_tasks,
    select_victims,
)
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers

log = logging.getLogger(__name__)


class StopRequester(Protocol):
    """Sends requests to stop tasks to the owners of their jobs."""

    def send_to_owner(self, job: Job, machine: str, tasks: set[int]) -> None:
        """Ask the job's owner to stop these tasks of the job on the machine."""


@dataclass(frozen=True, slots=True)
class Claim:
    """Reservation of a machine on which tasks are being stopped for a job."""

    machine: str
    expires_at: float
    """end of the reservation, on the monotonic clock"""


class StartCandidate(NamedTuple):
    """A machine with free capacity for a task; candidates are compared as tuples, lower first."""

    fetch_s: float
    """seconds that the machine takes to fetch the task's image"""
    is_peer_owned: bool
    """True if another controller owns the machine"""
    machine: str
    owner: str


class Preemption:
    """Selects victims, requests their stops, and manages the claims of the preempting jobs.

    `is_preferred_owner` returns whether only this controller places on the machines of a job's
    partition, whichever controllers own them.
    """

    def __init__(  # noqa: PLR0913 -- victims depend on records, workers, capacity and quota
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        capacity_index: CapacityIndex,
        quota_usage: QuotaUsage,
        operator_settings: OperatorSettings,
        reconcile_queue: ReconcileQueue,
        stop_requests: StopRequester,
        is_preferred_owner: Callable[[Job], bool],
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._capacity_index = capacity_index
        self._quota_usage = quota_usage
        self._operator_settings = operator_settings
        self._reconcile_queue = reconcile_queue
        self._stop_requests = stop_requests
        self._is_preferred_owner = is_preferred_owner
        self.claims: dict[str, list[Claim]] = {}
        """preempting job -> its claims"""
        self.claimed_machines: dict[str, str] = {}
        """machine -> job that claims it; rebuilt by `expire_claims`"""

    # --- claims -----------------------------------------------------------
    def expire_claims(self) -> None:
        """Drop claims that have expired or whose job has no more tasks to start.

        Otherwise a machine would stay empty for a job that was placed elsewhere.
        """
        for job_id in list(self.claims):
            job = self._replica.jobs.get(job_id)
            unexpired = [
                claim for claim in self.claims[job_id] if claim.expires_at > self._runtime.now
            ]
            if unexpired and job is not None and self._has_tasks_to_start(job):
                self.claims[job_id] = unexpired
            else:
                del self.claims[job_id]
        self.claimed_machines = {
            claim.machine: job_id for job_id, claims in self.claims.items() for claim in claims
        }

    def _has_tasks_to_start(self, job: Job) -> bool:
        return job.queued_task_count > 0 or job.id in self._reconcile_queue.loss_noticed_at

    def is_available_to(self, machine: str, job: Job) -> bool:
        """Return whether no other job claims the machine."""
        return self.claimed_machines.get(machine, job.id) == job.id

    def release_claims(self, job_id: str, reservations: Iterable[StepReservation]) -> None:
        """Drop the job's claims on the machines of a committed step."""
        machines = {reservation.machine for reservation in reservations}
        remaining = [
            claim for claim in self.claims.get(job_id, ()) if claim.machine not in machines
        ]
        if remaining:
            self.claims[job_id] = remaining
        else:
            self.claims.pop(job_id, None)

    # --- options ----------------------------------------------------------
    def preemptible_tasks(self, job: Job, machine: MachineCapacity) -> list[Victim]:
        """Return the tasks on the machine that may be stopped for the job."""
        worker = self._workers.table.get(machine.name)
        if worker is None:
            return []
        jobs, inherited_rank = self._replica.jobs, self._replica.dependencies.inherited_rank
        attempts_here = self._replica.attempts_by_machine.get(machine.name, {})
        victims: list[Victim] = []
        for job_id, attempts in attempts_here.items():
            other = jobs[job_id]
            if is_preemptible(other, inherited_rank(other), job):
                victims += running_tasks(
                    other, attempts, machine.agent_epoch, worker, self._runtime.now
                )
        return victims

    def _find_options(
        self, job: Job, tasks_by_zone: dict[str, int], *, within_team: bool
    ) -> list[PreemptionOption]:
        """Return sampled machines with enough victims for one task of the job, cheapest first."""
        spec = job.spec
        weight = self._operator_settings["lost_work_weight"]
        quota_deficit = self._quota_deficit(job) if within_team else NO_RESOURCES
        options: list[PreemptionOption] = []
        for machine in self._candidate_machines(job, tasks_by_zone):
            victims = self.preemptible_tasks(job, machine)
            if within_team:
                victims = [victim for victim in victims if victim.job.spec.team == spec.team]
            selected = select_victims(spec, machine, victims, quota_deficit)
            if selected is not None:
                cost_s = preemption_cost_s(spec, machine, selected, weight)
                options.append(PreemptionOption(cost_s, machine, selected))
        return sorted(options, key=lambda option: (option.cost_s, option.machine.name))

    def _candidate_machines(self, job: Job, tasks_by_zone: dict[str, int]) -> list[MachineCapacity]:
        """Return sampled machines that meet the job's constraints and that no job claims."""
        spec = job.spec
        zone_limit = max_tasks_per_zone(spec)
        used_zones = {zone for zone, count in tasks_by_zone.items() if count}
        claimed = self.claimed_machines
        own_claims = {claim.machine for claim in self.claims.get(job.id, ())}
        return [
            machine
            for machine in self._sample_machines(spec.image)
            if is_allowed_on(spec, machine)
            and tasks_by_zone.get(machine.zone, 0) < zone_limit
            and not (spec.one_zone and used_zones and machine.zone not in used_zones)
            and claimed.get(machine.name, job.id) == job.id
            and machine.name not in own_claims
        ]

    def _sample_machines(self, image: str) -> list[MachineCapacity]:
        """Return all machines, or a random sample of `PREEMPTION_SAMPLE_SIZE` if there are more.

        Up to half of the sample is drawn from machines that have the image, because fetching a
        large image takes longer than booting a machine.
        """
        machines = list(self._capacity_index.machines.values())
        if len(machines) <= constants.PREEMPTION_SAMPLE_SIZE:
            return machines
        rng = self._runtime.rng
        with_image = sorted(self._capacity_index.machines_by_image.get(image, ()))
        half = constants.PREEMPTION_SAMPLE_SIZE // 2
        names = set(with_image if len(with_image) <= half else rng.sample(with_image, half))
        others = rng.sample(machines, constants.PREEMPTION_SAMPLE_SIZE - len(names))
        return [self._capacity_index.machines[name] for name in sorted(names)] + [
            machine for machine in others if machine.name not in names
        ]

    def _quota_deficit(self, job: Job) -> Resources:
        """Return by how much one more task of the job would exceed the team's limit."""
        limit = limit_of(self._runtime.teams[job.spec.team])
        held = self._quota_usage.held_by_team(job.spec.team)
        return (held + demand_of(job.spec, 1)).excess_over(limit)

    # --- preemption -------------------------------------------------------
    def preempt_for(
        self, job: Job, tasks: int, tasks_by_zone: dict[str, int], within_team: bool = False
    ) -> str | None:
        """Request the stops of victims for up to `tasks` tasks of the job.

        Only machines on which this controller places the job are used.

        Args:
            job: the preempting job
            tasks: number of its tasks that found no capacity
            tasks_by_zone: zone -> number of the job's unsettled tasks
            within_team: stop only tasks of the job's team, because its limit is exhausted

        Returns:
            The controller to hand the job off to if only machines of other controllers have
            enough victims; None otherwise.
        """
        tasks -= len(self.claims.get(job.id, ()))
        if tasks <= 0:
            return None
        options = self._find_options(job, tasks_by_zone, within_team=within_team)
        is_preferred_owner = self._is_preferred_owner(job)
        node = self._runtime.node
        own_options = [
            option for option in options if is_preferred_owner or option.machine.owner == node
        ]
        if not own_options:
            return options[0].machine.owner if options else None
        if job.spec.one_zone or job.spec.spread:
            # One task at a time, since each start changes which zones are open to the next task.
            tasks = 1
        for option in own_options[:tasks]:
            self._preempt(job, option)
        return None

    def find_owner_with_faster_start(
        self, job: Job, machines: list[MachineCapacity], tasks_by_zone: dict[str, int]
    ) -> str | None:
        """Return the controller with which a task starts sooner than on free capacity here.

        This is another controller if fetching the image takes less time on one of its machines,
        with or without preemption. It is this controller if preemption on one of its own
        machines is faster; the stops of the victims are then requested.

        Returns:
            The controller's name; None to place the job as usual.
        """
        if self.claims.get(job.id):
            return None
        node = self._runtime.node
        free, own_fetch_s = self._find_best_free_machine(job, machines, tasks_by_zone)
        if free is None or free.fetch_s > constants.PREEMPTION_MARGIN_S:
            options = self._find_options(job, tasks_by_zone, within_team=False)
            if options and (
                free is None or options[0].cost_s + constants.PREEMPTION_MARGIN_S < free.fetch_s
            ):
                if options[0].machine.owner == node:
                    self._preempt(job, options[0])
                return options[0].machine.owner
        if (
            free is not None
            and free.owner != node
            and free.fetch_s + constants.PREEMPTION_MARGIN_S < own_fetch_s
        ):
            return free.owner
        return None

    def _find_best_free_machine(
        self, job: Job, machines: list[MachineCapacity], tasks_by_zone: dict[str, int]
    ) -> tuple[StartCandidate | None, float]:
        """Return the machine with capacity on which a task of the job starts soonest.

        The second value is the shortest image fetch time (s) on this controller's machines; inf
        if none of them has capacity.
        """
        spec, node = job.spec, self._runtime.node
        best: tuple[float, bool, str, str] | None = None
        own_fetch_s = math.inf
        for machine in machines:
            if (
                machine.fits(spec)
                and is_allowed_on(spec, machine)
                and is_zone_open(spec, machine.zone, tasks_by_zone)
                and self.is_available_to(machine.name, job)
            ):
                fetch_s, is_peer_owned = image_fetch_s(spec, machine), machine.owner != node
                if not is_peer_owned:
                    own_fetch_s = min(own_fetch_s, fetch_s)
                candidate = (fetch_s, is_peer_owned, machine.name, machine.owner)
                if best is None or candidate < best:
                    best = candidate
        return (StartCandidate(*best) if best is not None else None), own_fetch_s

    def _preempt(self, job: Job, option: PreemptionOption) -> None:
        """Claim the option's machine for the job and request the stops of its victims."""
        machine = option.machine.name
        log.info(
            "preemption requested: job=%s machine=%s victims=%s",
            job.id,
            machine,
            [f"{victim.job.id}/{victim.task}" for victim in option.victims],
        )
        expires_at = self._runtime.now + constants.PREEMPTION_RESERVATION_S
        self.claims.setdefault(job.id, []).append(Claim(machine, expires_at))
        self.claimed_machines[machine] = job.id
        for victim in option.victims:
            self._stop_requests.send_to_owner(victim.job, machine, {victim.task})
