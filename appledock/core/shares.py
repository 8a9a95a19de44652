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
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from appledock import constants as c
from appledock import wire
from appledock.capacity.apportion import apportion
from appledock.capacity.assignment import MachineUse, next_holdings
from appledock.capacity.holdings import Bucket, Holding, bucket_of
from appledock.capacity.lending import Lenders, lent
from appledock.capacity.settings import Capacity, Pool, Shares
from appledock.core.budget import Priority
from appledock.core.capacity_records import HOLDINGS
from appledock.core.events import Put, StoreReply, TxnPlan
from appledock.core.fleet.demand import queued_demand
from appledock.core.jobs import Attempt, Job
from appledock.core.rooms import Entry
from appledock.core.workers import Worker
from appledock.rebalancing.picture import task_share
from appledock.rebalancing.planner import Proposal

if TYPE_CHECKING:
    from appledock.core.engine import Engine

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Gate:
    """Whose jobs a machine takes."""

    shares: CapacityShares
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


class CapacityShares:
    """Off without settings: then no machine has a gate, and nothing is written."""

    def __init__(self, engine: Engine, settings: Capacity | None) -> None:
        self.engine = engine
        self.settings = settings
        self.enabled = settings is not None
        self.next_pass = 0.0
        self.writing = False
        self.most_writes = engine.settings.cluster.state.txn_ops
        """records that one transaction changes; fewer where it was refused"""
        self.seen: dict[str, tuple[str, float]] = {}
        """member -> its incarnation, and since when it is in the view"""
        self.handed = 0.0
        """when jobs were last looked at for one to be handed to its partition's controller"""
        self.at_rest: tuple[int, ...] = ()
        """what the last pass was about, if it found nothing to change"""
        self._lenders: dict[str, Lenders] = {}
        """pool -> who has spare machines there, and since when"""
        self._returning: dict[str, float] = {}
        """machine that is given back to its lender -> since when"""
        self._partitions: dict[tuple[str, str], str | None] = {}
        self._gates: dict[tuple[str | None, bool], Gate] = {}
        self.kept: dict[str, str] = {}
        """partition whose machines change hands with replicas on them -> its machine on which
        room is kept for those"""

    # --- whose is what ----------------------------------------------------
    def partition_of(self, spec: wire.JobSpec) -> str | None:
        """The partition of a job; None without one."""
        if self.settings is None:
            return None
        key = (spec.job_class, spec.team)
        if key not in self._partitions:
            self._partitions[key] = self.settings.partition_of(spec)
        return self._partitions[key]

    def in_force(self) -> bool:
        """Do all controllers keep to the shares, and did nobody start anything else since?"""
        replica = self.engine.replica
        return (
            self.enabled
            and replica.format[1] >= c.CAPACITY_FORMAT
            and replica.view is not None
            and replica.view.version > replica.format[0]
        )

    def pool_of(self, worker: Worker) -> str | None:
        """The pool that a machine is in; None if it is in none, or not known well enough."""
        report = worker.report
        if self.settings is None or report is None:
            return None
        return self.settings.pool_of(report.type, report.zone, report.spot)

    def gate(self, worker: Worker) -> Gate | None:
        """Whose jobs the machine takes; None: anybody's."""
        if not self.in_force() or self.pool_of(worker) is None:
            return None
        holding = self.engine.replica.capacity.holding(worker.id)
        partition = holding.partition if holding is not None and not holding.leaving else None
        key = (partition, worker.id in self.kept.values())
        gate = self._gates.get(key)
        if gate is None:
            gate = self._gates[key] = Gate(self, *key)
        return gate

    def conditions(self, reserved: Iterable[Entry]) -> dict[str, int]:
        """What a step that uses these machines is conditional on: who holds them."""
        if not self.in_force():
            return {}
        result = {}
        for machine, _, _ in reserved:
            room = self.engine.rooms.table.get(machine)
            if room is not None and room.gate is not None:
                number = bucket_of(machine)
                result[f"{HOLDINGS}{number}"] = self.engine.replica.capacity.bucket(number).version
        return result

    def targets(self) -> Shares:
        """The shares agreed at present."""
        assert self.settings is not None
        agreed = self.engine.replica.capacity.agreed
        return agreed.shares if agreed is not None else self.settings.shares()

    # --- preferred controllers --------------------------------------------
    def preferred(self, job: Job) -> str | None:
        """The controller that should own the job, if it is there and has been for a while."""
        if self.settings is None or not self.in_force():
            return None
        name = self.partition_of(job.spec)
        node = self.settings.partition(name).controller if name is not None else None
        view = self.engine.replica.view
        if node is None or view is None or node not in view.attached():
            return None
        if node == self.engine.settings.name:
            return node
        incarnation, since = self.seen.get(node, ("", self.engine.now))
        steady = self.engine.now - since >= c.PREFERRED_STEADY_S
        known = view.members.get(node) == incarnation
        return node if known and steady and self.engine.heartbeats.reached(node) else None

    def _hand_over(self) -> None:
        """Hand a job of ours to its partition's controller; one after the other.

        Guards against a burst of writes when a controller is back.
        """
        engine = self.engine
        if engine.now - self.handed < c.PREFERRED_HAND_EVERY_S or engine.steps.pacing.crowded():
            return
        self.handed = engine.now
        for job in engine.replica.jobs.values():
            node = self.preferred(job)
            if (
                node not in (None, engine.settings.name)
                and engine.owns_job(job)
                and not engine.replica.withdrawn(job.id)
                and not engine.moves.rests(job.id)
                and engine.steps.writer.ready(job)
            ):
                assert node is not None
                engine.steps.hand_over(job, node)
                return

    def places_everywhere(self, job: Job) -> bool:
        """Is it ours by preference?

        Then its partition's machines are filled by us alone, whoever owns their workers.
        """
        return self.preferred(job) == self.engine.settings.name

    # --- passes -----------------------------------------------------------
    def tick(self) -> None:
        """Look at who holds what, if it is time to."""
        engine, settings = self.engine, self.settings
        if settings is None or not engine.membership.acting():
            return
        self._note_members()
        self._hand_over()
        if engine.now < self.next_pass:
            return
        self.next_pass = engine.now + settings.assign_every_s
        if not self.in_force():
            if engine.replica.format[1] >= c.CAPACITY_FORMAT and engine.membership.leader():
                # Steps of before are void under a view that comes after the format.
                engine.membership.want_term = True
            return
        self._stop_savers()
        self._keep_room()
        if engine.membership.leader() and not self.writing:
            self._assign()
            self._stop_borrowers()
            self._move_replicas(settings.moves_in_flight)

    def _note_members(self) -> None:
        view = self.engine.replica.view
        assert view is not None
        for node, incarnation in view.members.items():
            if self.seen.get(node, ("", 0.0))[0] != incarnation:
                self.seen[node] = (incarnation, self.engine.now)
        for node in self.seen.keys() - view.members.keys():
            del self.seen[node]

    # --- who holds what ---------------------------------------------------
    def uses(self, pool: str) -> list[MachineUse]:
        """The machines of a pool, as far as they are heard of."""
        engine = self.engine
        result = []
        for name, worker in sorted(engine.workers.table.items()):
            if self.pool_of(worker) == pool and name not in engine.workers.gone:
                tasks: Counter[str] = Counter()
                cost = 0.0
                for job_id, attempts in engine.replica.by_machine.get(name, {}).items():
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
                key = (f"{spec.id}/{task}", attempt.number)
                ran = self.engine.now - worker.since.get(key, self.engine.now)
                longest = max(longest, spec.estimate_s - ran, c.TASK_LEAVES_S)
        return longest

    def _picture(self) -> tuple[int, ...]:
        """What decides who shall hold what, as far as it may have changed."""
        engine = self.engine
        agreed, view = engine.replica.capacity.agreed, engine.replica.view
        buckets = engine.replica.capacity.buckets.values()
        return (
            len(engine.workers.table),
            len(engine.workers.gone),
            sum(bucket.version for bucket in buckets),
            agreed.version if agreed is not None else 0,
            view.version if view is not None else 0,
            len(engine.types),
        )

    def _any_leaving(self) -> bool:
        return any(
            holding.leaving
            for bucket in self.engine.replica.capacity.buckets.values()
            for holding in bucket.holdings.values()
        )

    def _assign(self) -> None:
        """Write the next holdings; only from a picture that shows all that was started."""
        replica = self.engine.replica
        assert self.settings is not None
        if any(bucket.version > replica.revision for bucket in replica.capacity.buckets.values()):
            return
        picture = self._picture()
        unheard = any(worker.report is None for worker in self.engine.workers.table.values())
        quiet = picture == self.at_rest and not unheard and not self.settings.lend
        if quiet and not self._any_leaving():
            return
        changes: dict[str, Holding | None] = {}
        for pool in self.settings.pools:
            uses = self.uses(pool.name)
            own = self.agreed_machines(pool.name, len(uses))
            wanted = self._with_loans(pool, uses, own)
            changes.update(next_holdings(uses, wanted, own))
        changes.update(dict.fromkeys(self._vanished()))
        self.at_rest = () if changes else picture
        if changes:
            self._write(changes)

    def agreed_machines(self, pool: str, machines: int) -> dict[str, int]:
        """How many machines of a pool each partition shall have by what is agreed."""
        shares = self.targets()
        return apportion(machines, {name: shares[name].get(pool, 0.0) for name in shares})

    # --- loans ------------------------------------------------------------
    def _with_loans(
        self, pool: Pool, uses: list[MachineUse], own: dict[str, int]
    ) -> dict[str, int]:
        """The same with what is spare lent to those that need more, if the file allows it."""
        assert self.settings is not None
        if not self.settings.lend:
            return own
        need = self._need(pool, uses)
        lenders = self._lenders.setdefault(pool.name, Lenders(self.settings.lend_after_s))
        return lent(own, need, lenders.ready(self.engine.now, own, need))

    def _need(self, pool: Pool, uses: list[MachineUse]) -> dict[str, int]:
        """Machines that each partition could use: those at work, and some for its queue."""
        engine = self.engine
        types = {
            worker.report.type: engine.types[worker.report.type]
            for use in uses
            if (worker := engine.workers.table[use.name]).report is not None
            and worker.report.type in engine.types
        }
        queued: dict[str, float] = {}
        for demand in queued_demand(engine):
            spec = demand.job.spec
            name = self.partition_of(spec)
            if demand.ready and name is not None and _may_use(spec, pool):
                most = max((_fits_on(spec, kind) for kind in types.values()), default=0)
                if most:
                    queued[name] = queued.get(name, 0.0) + demand.tasks / most
        working = Counter(name for use in uses for name in use.tasks)
        return {
            name: working[name] + math.ceil(queued.get(name, 0.0) - c.EPSILON)
            for name in self.targets()
        }

    def _stop_borrowers(self) -> None:
        """Tasks that save go on elsewhere when their lender has waited for its machine."""
        engine = self.engine
        assert self.settings is not None
        buckets = engine.replica.capacity.buckets.values()
        returning = {
            machine
            for bucket in buckets
            for machine, holding in bucket.holdings.items()
            if holding.leaving and holding.lent
        }
        self._returning = {
            machine: self._returning.get(machine, engine.now) for machine in returning
        }
        for machine, since in self._returning.items():
            if engine.now - since >= self.settings.give_back_s:
                for job_id, tasks in self._savers(machine).items():
                    engine.steps.ask_to_stop(engine.replica.jobs[job_id], machine, tasks)

    def _savers(self, machine: str) -> dict[str, set[int]]:
        """Job -> its tasks on the machine that save, and that nobody has told to stop."""
        result = {}
        for job_id, attempts in self.engine.replica.by_machine.get(machine, {}).items():
            spec = self.engine.replica.jobs[job_id].spec
            tasks = {task for x in attempts if not x.stopping for task in x.tasks}
            if tasks and spec.checkpoint_s > 0 and not spec.gang:
                result[job_id] = tasks
        return result

    def _vanished(self) -> list[str]:
        """Machines in the records that no longer exist."""
        engine = self.engine
        settled = engine.now - engine.membership.acting_since > c.UNHEARD_S
        return [
            machine
            for bucket in engine.replica.capacity.buckets.values()
            for machine in bucket.holdings
            if machine in engine.workers.gone
            or (
                settled
                and machine not in engine.workers.table
                and machine not in engine.replica.by_machine
            )
        ]

    def _write(self, changes: dict[str, Holding | None]) -> None:
        """As many records as one transaction takes; the others at the next pass."""
        engine = self.engine
        plan = TxnPlan(engine.membership.conditions())
        written: dict[int, Bucket] = {}
        for number in sorted({bucket_of(machine) for machine in changes}):
            if len(plan.writes) >= min(engine.settings.cluster.state.txn_ops, self.most_writes):
                break
            bucket = engine.replica.capacity.bucket(number)
            new = Bucket(bucket.version, dict(bucket.holdings))
            for machine, holding in changes.items():
                if bucket_of(machine) == number:
                    _apply(new, machine, holding)
            record = new.encode()
            if len(wire.encode(record)) > engine.value_bytes:
                log.warning("the record of who holds which machine is full: %d", number)
                continue
            key = f"{HOLDINGS}{number}"
            plan.conditions[key] = bucket.version
            plan.writes.append(Put(key, record))
            written[number] = new
        if plan.writes:
            self._send(plan)

    def _send(self, plan: TxnPlan) -> None:
        self.writing = True

        def done(reply: StoreReply) -> None:
            self.writing = False
            keys = [write.key for write in plan.writes]
            # Guards against a transaction that can never be taken: one with more writes than
            # the state service allows in a second, if it allows fewer than it announced.
            if reply.outcome == "refused":
                self.most_writes = max(1, len(keys) // 2)
            elif reply.outcome == "ok":
                self.most_writes += 1
            if reply.outcome == "ok":
                for write in plan.writes:
                    assert isinstance(write, Put)
                    self.engine.replica.put(write.key, write.value, reply.data.revision)
            elif reply.outcome in ("conflict", "unknown"):
                # It may be carried out, now or later; what follows is conditional on what is read.
                self.engine.reader.read_keys(keys)

        self.engine.store("txn", (plan,), Priority.STEP, done, c.STEP_PATIENCE_S)

    # --- drains -----------------------------------------------------------
    def leaving(self, machine: str) -> bool:
        """Is the machine being emptied to be handed over?"""
        holding = self.engine.replica.capacity.holding(machine)
        return self.in_force() and holding is not None and holding.leaving

    def drains(self, spec: wire.JobSpec, machine: str) -> bool:
        """Is a task of the job to be moved off the machine?

        Replicas only: what ends by itself is waited for.
        """
        return spec.service and not spec.gang and self.leaving(machine)

    def _keep_room(self) -> None:
        """Keep a machine of each partition whose replicas have to move for replicas alone.

        Guards against changes that are never over: the partition's arrays took whatever became
        free on its other machines, and the replicas stayed where they were.
        """
        before = dict(self.kept)
        holders = {
            machine: holding
            for bucket in self.engine.replica.capacity.buckets.values()
            for machine, holding in bucket.holdings.items()
        }
        moving = {x.partition for m, x in holders.items() if x.leaving and self._replicas_on(m)}
        self.kept = {
            partition: machine
            for partition in sorted(moving)
            if (machine := self._kept_for(partition, holders)) is not None
        }
        for machine in set(before.values()) ^ set(self.kept.values()):
            self.engine.rooms.touch(machine)

    def _replicas_on(self, machine: str) -> bool:
        replica = self.engine.replica
        return any(
            replica.jobs[job].spec.service and not replica.withdrawn(job)
            for job in replica.by_machine.get(machine, {})
        )

    def _kept_for(self, partition: str, holders: dict[str, Holding]) -> str | None:
        """The machine of before while replicas may find room there, else that with least to end."""
        own = [
            machine
            for machine, holding in holders.items()
            if holding.partition == partition
            and not holding.leaving
            and self._may_gain_room(machine)
        ]
        known = self.kept.get(partition)
        if known in own:
            return known
        by_machine = self.engine.replica.by_machine
        return min(own, key=lambda m: (len(by_machine.get(m, {})), m), default=None)

    def _may_gain_room(self, machine: str) -> bool:
        """Is anything free on it, or will be when arrays end?"""
        replica = self.engine.replica
        return machine in self.engine.rooms.open or any(
            not replica.jobs[job].spec.service for job in replica.by_machine.get(machine, {})
        )

    def _move_replicas(self, most: int) -> None:
        """Move replicas off machines that are being handed over, to the holder's other ones."""
        engine = self.engine
        engine.rooms.refresh()
        for bucket in engine.replica.capacity.buckets.values():
            for machine, holding in bucket.holdings.items():
                if not holding.leaving:
                    continue
                for proposal in self._proposals(machine):
                    if len(engine.moves.planned) >= most:
                        return
                    engine.moves.request(proposal)

    def _proposals(self, machine: str) -> list[Proposal]:
        """At most one move for each job with a replica on the machine."""
        engine = self.engine
        worker = engine.workers.table.get(machine)
        result: list[Proposal] = []
        for job_id, attempts in engine.replica.by_machine.get(machine, {}).items():
            job = engine.replica.jobs[job_id]
            if (
                worker is None
                or not self.drains(job.spec, machine)
                or engine.replica.withdrawn(job_id)
                or job.queued
                or engine.moves.rests(job_id)
                or not engine.moves.hears(engine.replica.job_owner(job))
            ):
                continue
            attempt = next((x for x in attempts if not x.stopping and x.tasks), None)
            destination = self._destination(job.spec)
            if attempt is not None and destination is not None:
                name, load = destination
                task = min(attempt.tasks)
                result.append(Proposal(job_id, task, attempt.number, machine, name, 0.0, load))
        return result

    def _destination(self, spec: wire.JobSpec) -> tuple[str, float] | None:
        """The machine of the job's partition that has most room, and its load."""
        best = max(
            (
                room
                for room in self.engine.rooms.open.values()
                if room.gate is not None
                and room.load is not None
                and room.fits(spec)
                and self.engine.rooms.may_hold(room, spec)
            ),
            key=lambda room: (room.cpus, room.machine),
            default=None,
        )
        if best is None or best.load is None:
            return None
        return best.machine, best.load.total

    def _stop_savers(self) -> None:
        """Past the deadline that a change names, tasks that save go on elsewhere."""
        engine, agreed = self.engine, self.engine.replica.capacity.agreed
        if agreed is None or agreed.stop_at is None or engine.wall < agreed.stop_at:
            return
        for bucket in engine.replica.capacity.buckets.values():
            for machine, holding in bucket.holdings.items():
                if not holding.leaving:
                    continue
                for job_id, tasks in self._savers(machine).items():
                    if engine.owns_job(engine.replica.jobs[job_id]):
                        engine.steps.stop(job_id, machine, tasks)

    # --- operators --------------------------------------------------------
    def summary(self) -> dict[str, Any]:
        """Targets, holdings, use and drains, for the administration API."""
        if self.settings is None:
            return {"enabled": False}
        replica = self.engine.replica
        agreed = replica.capacity.agreed
        return {
            "enabled": True,
            "in_force": self.in_force(),
            "version": agreed.version if agreed is not None else 0,
            "request": agreed.request if agreed is not None else None,
            "shares": self.targets(),
            "pools": {pool.name: self._pool(pool.name) for pool in self.settings.pools},
        }

    def _pool(self, pool: str) -> dict[str, Any]:
        uses = self.uses(pool)
        shares = self.targets()
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


def _fits_on(spec: wire.JobSpec, machine_type: wire.MachineType) -> int:
    """How many tasks of the job an empty machine takes."""
    share = task_share(spec, machine_type)
    return int((1 + c.EPSILON) / share) if share > 0 else 1


def _may_use(spec: wire.JobSpec, pool: Pool) -> bool:
    """Could a task of the job run in the pool?"""
    return (
        (spec.zone is None or not pool.zones or spec.zone in pool.zones)
        and (spec.types is None or not pool.types or bool(set(spec.types) & set(pool.types)))
        and (spec.spot or pool.spot is not True)
    )


def _apply(bucket: Bucket, machine: str, holding: Holding | None) -> None:
    if holding is None:
        bucket.holdings.pop(machine, None)
    else:
        bucket.holdings[machine] = holding
