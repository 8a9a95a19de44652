"""Assigns machines to partitions: writes ownership records, as the leader.

Each pass brings the recorded owners closer to the agreed fractions, adjusted for loans.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from appledock import constants, wire
from appledock.capacity.assignment import MachineUse, next_owners
from appledock.capacity.lending import SurplusTracker, lend_surplus
from appledock.capacity.ownership import Ownership, OwnershipBucket, bucket_of
from appledock.capacity.settings import Capacity, Pool
from appledock.core.capacity.machine_usage import MachineUsage
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.fleet.model import JobDemand
from appledock.core.membership.membership import Membership
from appledock.core.records.capacity import OWNERSHIP_PREFIX
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    Committed,
    Conflict,
    NotExecuted,
    Put,
    StoreOutcome,
    Transaction,
    UnknownOutcome,
)
from appledock.core.workers import Workers
from appledock.rebalancing.snapshot import task_share

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class AssignmentInputs:
    """Counts and versions that change when the result of a pass may change.

    `OwnershipAssigner._depends_on_other_state` covers what they do not show.
    """

    workers: int
    deleted_machines: int
    bucket_versions: int
    """Sum of the versions of all ownership records; no version ever decreases."""
    agreed_version: int
    view_version: int
    machine_types: int


class OwnershipAssigner:
    """Writes the next owners of machines; used only by the leader."""

    def __init__(  # noqa: PLR0913 -- a pass reads everything that an owner depends on
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        membership: Membership,
        workers: Workers,
        machine_types: Mapping[str, wire.MachineType],
        partitions: PartitionMap,
        usage: MachineUsage,
        queued_demand: Callable[[], Sequence[JobDemand]],
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._reader = reader
        self._membership = membership
        self._workers = workers
        self._machine_types = machine_types
        self._partitions = partitions
        self._usage = usage
        self._queued_demand = queued_demand
        self._is_writing = False
        self._max_records = runtime.settings.cluster.state.txn_ops
        """Maximum number of records in one transaction.

        After a transaction that was not executed, it is half of that transaction's number of
        writes; each committed transaction raises it by one.
        """
        self._inputs_without_changes: AssignmentInputs | None = None
        """Inputs of the last pass if it changed no owner, else None."""
        self._surplus_trackers: dict[str, SurplusTracker] = {}
        """Pool -> how long each partition has had surplus machines there."""

    def tick(self) -> None:
        """Run one pass, unless the write of the last pass is still under way."""
        settings = self._partitions.settings
        if settings is not None and not self._is_writing:
            self._assign(settings)

    def _assign(self, settings: Capacity) -> None:
        """Compute and write the next owners.

        The pass waits until the replica has reached the revision of each ownership record. The
        replica then includes every task that was started before the owner of its machine changed.
        """
        records = self._replica.capacity
        if any(bucket.version > self._replica.revision for bucket in records.buckets.values()):
            return
        inputs = self._inputs()
        if inputs == self._inputs_without_changes and not self._depends_on_other_state(settings):
            return
        changes: dict[str, Ownership | None] = {}
        for pool in settings.pools:
            uses = self._usage.of_pool(pool.name)
            agreed = self._partitions.target_machines(pool.name, len(uses))
            target = self._with_loans(settings, pool, uses, agreed)
            changes.update(next_owners(uses, target, agreed))
        changes.update(dict.fromkeys(self._removed_machines()))
        self._inputs_without_changes = None if changes else inputs
        if changes:
            self._write(changes)

    def _inputs(self) -> AssignmentInputs:
        records, view = self._replica.capacity, self._replica.view
        agreed = records.agreed_fractions
        return AssignmentInputs(
            workers=len(self._workers.table),
            deleted_machines=len(self._workers.deleted_machines),
            bucket_versions=sum(bucket.version for bucket in records.buckets.values()),
            agreed_version=agreed.version if agreed is not None else 0,
            view_version=view.version if view is not None else 0,
            machine_types=len(self._machine_types),
        )

    def _depends_on_other_state(self, settings: Capacity) -> bool:
        """Return whether a pass may change owners though its `AssignmentInputs` are the same.

        This is so if machines may be lent, if some worker has sent no heartbeat yet, or if a
        machine is being handed over.
        """
        return (
            settings.lend
            or any(worker.report is None for worker in self._workers.table.values())
            or any(
                ownership.is_being_handed_over
                for _, ownership in self._replica.capacity.owned_machines()
            )
        )

    def _removed_machines(self) -> list[str]:
        """Return the machines in the ownership records that no longer exist."""
        workers = self._workers
        # A controller that has only just become able to act has not received all heartbeats yet.
        acting_s = self._runtime.now - self._membership.can_act_since
        are_workers_known = acting_s > constants.FIRST_HEARTBEAT_TIMEOUT_S
        return [
            machine
            for machine, _ in self._replica.capacity.owned_machines()
            if machine in workers.deleted_machines
            or (
                are_workers_known
                and machine not in workers.table
                and machine not in self._replica.attempts_by_machine
            )
        ]

    # --- loans ------------------------------------------------------------
    def _with_loans(
        self, settings: Capacity, pool: Pool, uses: list[MachineUse], agreed: dict[str, int]
    ) -> dict[str, int]:
        """Return the agreed numbers of machines, adjusted for loans if the file allows them."""
        if not settings.lend:
            return agreed
        needed = self._needed_machines(pool, uses)
        tracker = self._surplus_trackers.setdefault(
            pool.name, SurplusTracker(settings.lend_after_s)
        )
        return lend_surplus(agreed, needed, tracker.update(self._runtime.now, agreed, needed))

    def _needed_machines(self, pool: Pool, uses: list[MachineUse]) -> dict[str, int]:
        """Return, by partition, how many machines the partition could use now.

        These are the machines with tasks of the partition, and as many empty machines as its queued
        tasks fill.
        """
        machine_types = self._machine_types_of(uses)
        queued: dict[str, float] = {}
        for demand in self._queued_demand():
            spec = demand.job.spec
            name = self._partitions.partition_of(spec)
            if demand.is_ready and name is not None and _may_use(spec, pool):
                slots = max(
                    (_count_slots(spec, machine_type) for machine_type in machine_types), default=0
                )
                if slots:
                    queued[name] = queued.get(name, 0.0) + demand.tasks / slots
        in_use = Counter(name for use in uses for name in use.task_counts)
        return {
            name: in_use[name] + math.ceil(queued.get(name, 0.0) - constants.EPSILON)
            for name in self._partitions.agreed_fractions()
        }

    def _machine_types_of(self, uses: list[MachineUse]) -> list[wire.MachineType]:
        reports = [self._workers.table[use.name].report for use in uses]
        names = {report.type for report in reports if report is not None}
        return [self._machine_types[name] for name in names if name in self._machine_types]

    # --- writing ----------------------------------------------------------
    def _write(self, changes: dict[str, Ownership | None]) -> None:
        """Write as many records as fit in one transaction; the next pass writes the others."""
        transaction = Transaction(self._membership.fencing_conditions())
        max_records = min(self._runtime.settings.cluster.state.txn_ops, self._max_records)
        for number in sorted({bucket_of(machine) for machine in changes}):
            if len(transaction.writes) >= max_records:
                break
            bucket = self._replica.capacity.bucket(number)
            record = _changed_bucket(bucket, number, changes).encode()
            if len(wire.encode(record)) > self._client.max_value_bytes:
                log.warning("ownership record full: bucket=%d", number)
                continue
            key = f"{OWNERSHIP_PREFIX}{number}"
            transaction.conditions[key] = bucket.version
            transaction.writes.append(Put(key, record))
        if transaction.writes:
            self._submit(transaction)

    def _submit(self, transaction: Transaction) -> None:
        self._is_writing = True

        def on_outcome(outcome: StoreOutcome) -> None:
            self._is_writing = False
            self._on_outcome(transaction, outcome)

        self._client.submit(transaction, Priority.STEP, on_outcome, constants.STEP_QUEUE_TIMEOUT_S)

    def _on_outcome(self, transaction: Transaction, outcome: StoreOutcome) -> None:
        match outcome:
            case NotExecuted():
                # If the store admits fewer writes a second than its settings say, a transaction
                # with more writes than that would never be executed.
                self._max_records = max(1, len(transaction.writes) // 2)
            case Committed():
                self._max_records += 1
                for write in transaction.writes:
                    assert isinstance(write, Put)
                    self._replica.put(write.key, write.value, outcome.revision)
            case Conflict() | UnknownOutcome():
                # A write with an unknown outcome may be executed now or later. The next write is
                # conditional on the versions that are read here.
                self._reader.read_keys([write.key for write in transaction.writes])
            case _:
                pass


def _changed_bucket(
    bucket: OwnershipBucket, number: int, changes: dict[str, Ownership | None]
) -> OwnershipBucket:
    """Return a copy of the bucket with the changes to its machines; None removes a machine."""
    owners = dict(bucket.owners)
    for machine, ownership in changes.items():
        if bucket_of(machine) != number:
            continue
        if ownership is None:
            owners.pop(machine, None)
        else:
            owners[machine] = ownership
    return OwnershipBucket(bucket.version, owners)


def _count_slots(spec: wire.JobSpec, machine_type: wire.MachineType) -> int:
    """Return how many tasks of the job an empty machine of this type can run."""
    fraction = task_share(spec, machine_type)
    return int((1 + constants.EPSILON) / fraction) if fraction > 0 else 1


def _may_use(spec: wire.JobSpec, pool: Pool) -> bool:
    """Return whether the job's constraints allow machines of the pool."""
    return (
        (spec.zone is None or not pool.zones or spec.zone in pool.zones)
        and (spec.types is None or not pool.types or bool(set(spec.types) & set(pool.types)))
        and (spec.spot or pool.spot is not True)
    )
