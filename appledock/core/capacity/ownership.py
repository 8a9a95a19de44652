"""Who holds which machine: the leader's writes, from what is held to what is agreed and lent."""

from __future__ import annotations

import logging
import math
from collections import Counter
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.capacity.assignment import MachineUse, next_holdings
from appledock.capacity.lending import Lenders, lent
from appledock.capacity.ownership import Bucket, Holding, bucket_of
from appledock.capacity.settings import Pool
from appledock.core.fleet.demand import queued_demand
from appledock.core.records.capacity import HOLDINGS
from appledock.core.store.rate_limiter import Priority
from appledock.core.store_calls import (
    Committed,
    Conflict,
    NotExecuted,
    Put,
    StoreOutcome,
    Transaction,
    UnknownOutcome,
)
from appledock.rebalancing.snapshot import task_share

if TYPE_CHECKING:
    from appledock.core.capacity.partitions import PartitionManager
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class OwnershipAssigner:
    """Writes the next holders of machines, as the leader."""

    def __init__(self, engine: Controller, shares: PartitionManager) -> None:
        self.engine = engine
        self.shares = shares
        self.writing = False
        self.most_writes = engine.settings.cluster.state.txn_ops
        """records that one transaction changes; fewer where it was refused"""
        self.at_rest: tuple[int, ...] = ()
        """what the last pass was about, if it found nothing to change"""
        self._lenders: dict[str, Lenders] = {}
        """pool -> who has spare machines there, and since when"""

    def tick(self) -> None:
        """One pass, unless the write of the last one is under way."""
        if not self.writing:
            self._assign()

    def _picture(self) -> tuple[int, ...]:
        """What decides who shall hold what, as far as it may have changed."""
        engine = self.engine
        agreed, view = engine.replica.capacity.agreed_fractions, engine.replica.view
        buckets = engine.replica.capacity.buckets.values()
        return (
            len(engine.workers.table),
            len(engine.workers.deleted_machines),
            sum(bucket.version for bucket in buckets),
            agreed.version if agreed is not None else 0,
            view.version if view is not None else 0,
            len(engine.machine_types),
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
        assert self.shares.settings is not None
        if any(bucket.version > replica.revision for bucket in replica.capacity.buckets.values()):
            return
        picture = self._picture()
        unheard = any(worker.report is None for worker in self.engine.workers.table.values())
        quiet = picture == self.at_rest and not unheard and not self.shares.settings.lend
        if quiet and not self._any_leaving():
            return
        changes: dict[str, Holding | None] = {}
        for pool in self.shares.settings.pools:
            uses = self.shares.machine_uses(pool.name)
            own = self.shares.agreed_machines(pool.name, len(uses))
            wanted = self._with_loans(pool, uses, own)
            changes.update(next_holdings(uses, wanted, own))
        changes.update(dict.fromkeys(self._vanished()))
        self.at_rest = () if changes else picture
        if changes:
            self._write(changes)

    # --- loans ------------------------------------------------------------
    def _with_loans(
        self, pool: Pool, uses: list[MachineUse], own: dict[str, int]
    ) -> dict[str, int]:
        """The same with what is spare lent to those that need more, if the file allows it."""
        assert self.shares.settings is not None
        if not self.shares.settings.lend:
            return own
        need = self._need(pool, uses)
        lenders = self._lenders.setdefault(pool.name, Lenders(self.shares.settings.lend_after_s))
        return lent(own, need, lenders.ready(self.engine.now, own, need))

    def _need(self, pool: Pool, uses: list[MachineUse]) -> dict[str, int]:
        """Machines that each partition could use: those at work, and some for its queue."""
        engine = self.engine
        types = {
            worker.report.type: engine.machine_types[worker.report.type]
            for use in uses
            if (worker := engine.workers.table[use.name]).report is not None
            and worker.report.type in engine.machine_types
        }
        queued: dict[str, float] = {}
        for demand in queued_demand(engine):
            spec = demand.job.spec
            name = self.shares.partition_of(spec)
            if demand.ready and name is not None and _may_use(spec, pool):
                most = max((_fits_on(spec, kind) for kind in types.values()), default=0)
                if most:
                    queued[name] = queued.get(name, 0.0) + demand.tasks / most
        working = Counter(name for use in uses for name in use.tasks)
        return {
            name: working[name] + math.ceil(queued.get(name, 0.0) - c.EPSILON)
            for name in self.shares.agreed_fractions()
        }

    def _vanished(self) -> list[str]:
        """Machines in the records that no longer exist."""
        engine = self.engine
        settled = engine.now - engine.membership.can_act_since > c.UNHEARD_S
        return [
            machine
            for bucket in engine.replica.capacity.buckets.values()
            for machine in bucket.holdings
            if machine in engine.workers.deleted_machines
            or (
                settled
                and machine not in engine.workers.table
                and machine not in engine.replica.attempts_by_machine
            )
        ]

    def _write(self, changes: dict[str, Holding | None]) -> None:
        """As many records as one transaction takes; the others at the next pass."""
        engine = self.engine
        plan = Transaction(engine.membership.fencing_conditions())
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
            if len(wire.encode(record)) > engine.client.max_value_bytes:
                log.warning("the record of who holds which machine is full: %d", number)
                continue
            key = f"{HOLDINGS}{number}"
            plan.conditions[key] = bucket.version
            plan.writes.append(Put(key, record))
            written[number] = new
        if plan.writes:
            self._send(plan)

    def _send(self, plan: Transaction) -> None:
        self.writing = True

        def on_outcome(outcome: StoreOutcome) -> None:
            self.writing = False
            keys = [write.key for write in plan.writes]
            # Guards against a transaction that can never be taken: one with more writes than
            # the state service allows in a second, if it allows fewer than it announced.
            match outcome:
                case NotExecuted():
                    self.most_writes = max(1, len(keys) // 2)
                case Committed():
                    self.most_writes += 1
                    for write in plan.writes:
                        assert isinstance(write, Put)
                        self.engine.replica.put(write.key, write.value, outcome.revision)
                case Conflict() | UnknownOutcome():
                    # It may be carried out, now or later; what follows is conditional on what is
                    # read.
                    self.engine.reader.read_keys(keys)
                case _:
                    pass

        self.engine.client.submit(plan, Priority.STEP, on_outcome, c.STEP_PATIENCE_S)


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
