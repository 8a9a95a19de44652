"""Attaches capacity shares: who holds which machine is written, and steps are conditional on it.

Why a machine never works for two partitions at once:

* A step that uses a machine of a pool is conditional on the record that says who holds it, as it
  was when the step was placed, and is placed only for the holder's jobs.
* The holder is first written as leaving. Steps that were placed before then fail. Once the watch
  has passed that write, all that was ever started there is in the picture, and the machine is given
  to another partition only when none of it is unsettled.
* Before shares are in force, steps have no such condition. They are in force under views that came
  after the format of records was raised, which every node of the cluster must read; steps of
  controllers that do not know that yet are conditional on an earlier view, and fail.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from appledock import constants as c
from appledock import wire
from appledock.capacity.apportion import apportion
from appledock.capacity.assignment import MachineUse
from appledock.capacity.ownership import bucket_of
from appledock.capacity.settings import Capacity, Shares
from appledock.core.capacity.drains import MachineDrainer
from appledock.core.capacity.ownership import OwnershipAssigner
from appledock.core.machines.capacity_index import StepReservation
from appledock.core.records.capacity import HOLDINGS
from appledock.core.records.job import Attempt, Job
from appledock.core.workers import Worker

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Gate:
    """Whose jobs a machine takes."""

    shares: PartitionManager
    partition: str | None
    """None: nobody's, at present"""
    replicas_only: bool = False
    """room is kept there for replicas of machines that change hands"""

    def admits(self, spec: wire.JobSpec) -> bool:
        """May a step of the job use the machine?"""
        return (
            self.partition is not None
            and self.shares.partition_of(spec) == self.partition
            and (spec.service or not self.replicas_only)
        )


class PartitionManager:
    """Off without settings: then no machine has a gate, and nothing is written."""

    def __init__(self, engine: Controller, settings: Capacity | None) -> None:
        self.engine = engine
        self.settings = settings
        self.holders = OwnershipAssigner(engine, self)
        self.drains = MachineDrainer(engine, self)
        self.enabled = settings is not None
        self.next_pass = 0.0
        self.seen: dict[str, tuple[str, float]] = {}
        """member -> its incarnation, and since when it is in the view"""
        self.handed = 0.0
        """when jobs were last looked at for one to be handed to its partition's controller"""
        self._partitions: dict[tuple[str, str], str | None] = {}
        self._gates: dict[tuple[str | None, bool], Gate] = {}

    # --- whose is what ----------------------------------------------------
    def partition_of(self, spec: wire.JobSpec) -> str | None:
        """The partition of a job; None without one."""
        if self.settings is None:
            return None
        key = (spec.job_class, spec.team)
        if key not in self._partitions:
            self._partitions[key] = self.settings.partition_of(spec)
        return self._partitions[key]

    def is_in_force(self) -> bool:
        """Do all controllers keep to the shares, and did nobody start anything else since?"""
        replica = self.engine.replica
        return (
            self.enabled
            and replica.record_format.value >= c.CAPACITY_FORMAT
            and replica.view is not None
            and replica.view.version > replica.record_format.version
        )

    def pool_of(self, worker: Worker) -> str | None:
        """The pool that a machine is in; None if it is in none, or not known well enough."""
        report = worker.report
        if self.settings is None or report is None:
            return None
        return self.settings.pool_of(report.type, report.zone, report.spot)

    def admission_of(self, worker: Worker) -> Gate | None:
        """Whose jobs the machine takes; None: anybody's."""
        if not self.is_in_force() or self.pool_of(worker) is None:
            return None
        holding = self.engine.replica.capacity.holding(worker.id)
        partition = holding.partition if holding is not None and not holding.leaving else None
        key = (partition, worker.id in self.drains.kept.values())
        gate = self._gates.get(key)
        if gate is None:
            gate = self._gates[key] = Gate(self, *key)
        return gate

    def conditions(self, reserved: Iterable[StepReservation]) -> dict[str, int]:
        """What a step that uses these machines is conditional on: who holds them."""
        if not self.is_in_force():
            return {}
        result = {}
        for machine, _, _ in reserved:
            room = self.engine.capacity_index.machines.get(machine)
            if room is not None and room.admission is not None:
                number = bucket_of(machine)
                result[f"{HOLDINGS}{number}"] = self.engine.replica.capacity.bucket(number).version
        return result

    def agreed_fractions(self) -> Shares:
        """The shares agreed at present."""
        assert self.settings is not None
        agreed = self.engine.replica.capacity.agreed_fractions
        return agreed.shares if agreed is not None else self.settings.shares()

    # --- preferred controllers --------------------------------------------
    def preferred_owner(self, job: Job) -> str | None:
        """The controller that should own the job, if it is there and has been for a while."""
        if self.settings is None or not self.is_in_force():
            return None
        name = self.partition_of(job.spec)
        node = self.settings.partition(name).controller if name is not None else None
        view = self.engine.replica.view
        if node is None or view is None or node not in view.attached_members():
            return None
        if node == self.engine.settings.name:
            return node
        incarnation, since = self.seen.get(node, ("", self.engine.now))
        steady = self.engine.now - since >= c.PREFERRED_STEADY_S
        known = view.members.get(node) == incarnation
        return node if known and steady and self.engine.heartbeats.is_reachable(node) else None

    def _hand_over(self) -> None:
        """Hand a job of ours to its partition's controller; one after the other.

        Guards against a burst of writes when a controller is back.
        """
        engine = self.engine
        if (
            engine.now - self.handed < c.PREFERRED_HAND_EVERY_S
            or engine.pacing.is_step_rate_limited()
        ):
            return
        self.handed = engine.now
        for job in engine.replica.jobs.values():
            node = self.preferred_owner(job)
            if (
                node not in (None, engine.settings.name)
                and engine.replica.owns_job(engine.settings.name, job)
                and not engine.replica.is_cancelled(job.id)
                and not engine.moves.is_cooling_down(job.id)
                and engine.job_writer.can_write(job)
            ):
                assert node is not None
                engine.step_writer.hand_off(job, node)
                return

    def places_everywhere(self, job: Job) -> bool:
        """Is it ours by preference?

        Then its partition's machines are filled by us alone, whoever owns their workers.
        """
        return self.preferred_owner(job) == self.engine.settings.name

    # --- passes -----------------------------------------------------------
    def tick(self) -> None:
        """Look at who holds what, if it is time to."""
        engine, settings = self.engine, self.settings
        if settings is None or not engine.membership.can_act():
            return
        self._note_members()
        self._hand_over()
        if engine.now < self.next_pass:
            return
        self.next_pass = engine.now + settings.assign_every_s
        if not self.is_in_force():
            if (
                engine.replica.record_format.value >= c.CAPACITY_FORMAT
                and engine.membership.is_leader()
            ):
                # Steps of before are void under a view that comes after the format.
                engine.view_requests.new_term = True
            return
        self.drains.tick()
        if engine.membership.is_leader():
            self.holders.tick()
            self.drains.lead(settings.moves_in_flight)

    def _note_members(self) -> None:
        view = self.engine.replica.view
        assert view is not None
        for node, incarnation in view.members.items():
            if self.seen.get(node, ("", 0.0))[0] != incarnation:
                self.seen[node] = (incarnation, self.engine.now)
        for node in self.seen.keys() - view.members.keys():
            del self.seen[node]

    # --- machines ---------------------------------------------------------
    def machine_uses(self, pool: str) -> list[MachineUse]:
        """The machines of a pool, as far as they are heard of."""
        engine = self.engine
        result = []
        for name, worker in sorted(engine.workers.table.items()):
            if self.pool_of(worker) == pool and name not in engine.workers.deleted_machines:
                tasks: Counter[str] = Counter()
                cost = 0.0
                for job_id, attempts in engine.replica.attempts_by_machine.get(name, {}).items():
                    spec = engine.replica.jobs[job_id].spec
                    count = sum(len(attempt.tasks) for attempt in attempts)
                    tasks[self.partition_of(spec) or ""] += count
                    cost = max(cost, self.left_s(spec, worker, attempts))
                result.append(
                    MachineUse(name, engine.replica.capacity.holding(name), dict(tasks), cost)
                )
        return result

    def left_s(self, spec: wire.JobSpec, worker: Worker, attempts: list[Attempt]) -> float:
        """How long the attempts may still take to leave the machine, by the estimates."""
        if spec.service:
            return c.REPLICA_LEAVES_S
        longest = 0.0
        for attempt in attempts:
            for task in attempt.tasks:
                key = (f"{spec.id}/{task}", attempt.attempt_number)
                ran = self.engine.now - worker.status.running_since.get(key, self.engine.now)
                longest = max(longest, spec.estimate_s - ran, c.TASK_LEAVES_S)
        return longest

    def agreed_machines(self, pool: str, machines: int) -> dict[str, int]:
        """How many machines of a pool each partition shall have by what is agreed."""
        shares = self.agreed_fractions()
        return apportion(machines, {name: shares[name].get(pool, 0.0) for name in shares})

    def is_being_handed_over(self, machine: str) -> bool:
        """Is the machine being emptied to be handed over?"""
        holding = self.engine.replica.capacity.holding(machine)
        return self.is_in_force() and holding is not None and holding.leaving

    def must_move_off(self, spec: wire.JobSpec, machine: str) -> bool:
        """Is a task of the job to be moved off the machine?

        Replicas only: what ends by itself is waited for.
        """
        return spec.service and not spec.gang and self.is_being_handed_over(machine)

    # --- operators --------------------------------------------------------
    def summary(self) -> dict[str, Any]:
        """Targets, holdings, use and drains, for the administration API."""
        if self.settings is None:
            return {"enabled": False}
        replica = self.engine.replica
        agreed = replica.capacity.agreed_fractions
        return {
            "enabled": True,
            "in_force": self.is_in_force(),
            "version": agreed.version if agreed is not None else 0,
            "request": agreed.request if agreed is not None else None,
            "shares": self.agreed_fractions(),
            "pools": {pool.name: self._pool(pool.name) for pool in self.settings.pools},
        }

    def _pool(self, pool: str) -> dict[str, Any]:
        uses = self.machine_uses(pool)
        shares = self.agreed_fractions()
        target = self.agreed_machines(pool, len(uses))
        rows = {}
        for name in shares:
            held = [u for u in uses if u.holding is not None and u.holding.partition == name]
            rows[name] = {
                "target": target[name],
                "held": sum(not u.holding.leaving for u in held if u.holding is not None),
                "lent": sum(u.holding.lent for u in held if u.holding is not None),
                "leaving": [
                    {"machine": u.name, "tasks": sum(u.tasks.values()), "left_s": round(u.cost, 1)}
                    for u in held
                    if u.holding is not None and u.holding.leaving
                ],
                "tasks": sum(u.tasks.get(name, 0) for u in uses),
                "controller": self.settings.partition(name).controller if self.settings else None,
            }
        return {
            "machines": len(uses),
            "unassigned": sum(u.holding is None for u in uses),
            "partitions": rows,
        }
