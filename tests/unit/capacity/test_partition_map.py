"""Machines admit only jobs of the owning partition, and steps depend on ownership records."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from appledock import constants
from appledock.capacity.ownership import Ownership, OwnershipBucket, bucket_of
from appledock.capacity.settings import Capacity, Partition, Pool
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.machines.capacity_index import StepReservation
from appledock.core.records.capacity import OWNERSHIP_PREFIX
from appledock.core.records.membership_view import View
from appledock.core.records.versioned import Versioned
from appledock.core.store.replica import Replica
from tests.test_requests import spec

MACHINE = "vm-1"
TEAM = spec().team
SETTINGS = Capacity(
    pools=[Pool("all")],
    partitions=[
        Partition("first", teams=[TEAM], fractions={"all": 0.25}),
        Partition("rest", fractions={"all": 0.75}),
    ],
)
WORKER: Any = SimpleNamespace(id=MACHINE, report=SimpleNamespace(type="h4", zone="a", spot=False))


def partition_map(
    ownership: Ownership | None, settings: Capacity | None = SETTINGS, view_version: int = 9
) -> PartitionMap:
    """Build a partition map whose replica has one machine, `MACHINE`, with this ownership.

    The record format was raised by the write with version 8.
    """
    replica = Replica()
    replica.record_format = Versioned(constants.CAPACITY_FORMAT, 8)
    replica.view = View(3, {"n0": "x"}, "n0", version=view_version)
    if ownership is not None:
        bucket = OwnershipBucket(7, {MACHINE: ownership})
        replica.capacity.buckets[bucket_of(MACHINE)] = bucket
    index: Any = SimpleNamespace(
        machines={
            MACHINE: SimpleNamespace(admission=object()),
            "other": SimpleNamespace(admission=None),
        }
    )
    return PartitionMap(replica, index, settings)


def admits(partitions: PartitionMap) -> bool:
    """Return whether `MACHINE` admits a job of the partition `first`."""
    admission = partitions.admission_of(WORKER)
    assert admission is not None
    return admission.admits(spec())


def test_a_machine_admits_only_jobs_of_its_owner() -> None:
    assert admits(partition_map(Ownership("first")))
    assert not admits(partition_map(Ownership("rest")))


def test_a_machine_without_owner_or_being_handed_over_admits_no_job() -> None:
    assert not admits(partition_map(None))
    handed_over = partition_map(Ownership("first", is_being_handed_over=True))
    assert not admits(handed_over)
    assert handed_over.is_being_handed_over(MACHINE)


def test_a_machine_reserved_for_replicas_admits_no_array() -> None:
    partitions = partition_map(Ownership("first"))
    partitions.reserved_for_replicas["first"] = MACHINE
    assert not spec().service and not admits(partitions)


def test_without_settings_or_before_a_newer_view_every_job_is_admitted() -> None:
    reservations = [StepReservation(MACHINE, spec(), 1)]
    for partitions in (
        partition_map(Ownership("rest"), settings=None),
        partition_map(Ownership("rest"), view_version=8),
    ):
        assert not partitions.is_in_force()
        assert partitions.admission_of(WORKER) is None
        assert partitions.conditions(reservations) == {}


def test_a_step_depends_on_the_ownership_records_of_its_machines_in_pools() -> None:
    reservations = [
        StepReservation(MACHINE, spec(), 1),
        StepReservation("other", spec(), 1),
    ]
    key = f"{OWNERSHIP_PREFIX}{bucket_of(MACHINE)}"
    assert partition_map(Ownership("first")).conditions(reservations) == {key: 7}


def test_target_machines_follow_the_fractions_of_the_file_until_others_are_agreed() -> None:
    partitions = partition_map(None)
    assert partitions.target_machines("all", 8) == {"first": 2, "rest": 6}
