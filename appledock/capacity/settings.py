"""The capacity file, which enables capacity partitions: its types, checks and JSON schema."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from appledock import wire
from appledock.settings import Settings

Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^[A-Za-z0-9_.-]+$")]
MachineFractions = dict[str, dict[str, float]]
"""Partition -> pool -> fraction of the pool's machines."""

REST = "rest"
"""Name of the partition for all jobs that belong to no other partition."""


class CapacityError(Exception):
    """The file or a change of fractions is invalid; the message gives the reason in one line."""


# The docstrings of the classes below are descriptions in the published JSON schema, which is part
# of the file format.


class Pool(Struct, frozen=True, forbid_unknown_fields=True):
    """Machines that partitions share; a machine belongs to the first pool that it matches."""

    name: Name
    zones: list[str] = []
    types: list[str] = []
    spot: bool | None = None

    def matches(self, machine_type: str, zone: str, spot: bool) -> bool:
        """Return whether a machine of this type and zone, spot or on-demand, matches the pool."""
        return (
            (not self.zones or zone in self.zones)
            and (not self.types or machine_type in self.types)
            and self.spot in (None, spot)
        )


class Partition(Struct, frozen=True, forbid_unknown_fields=True):
    """Teams or job classes that together have a share of each pool."""

    name: Name
    teams: list[str] = []
    classes: list[str] = []
    controller: str | None = None
    """Preferred owner of the partition's jobs."""
    floor: Fraction = 0.0
    """Minimum fraction of each pool; a change that leaves the partition less is refused."""
    fractions: dict[str, Fraction] = msgspec.field(name="shares", default_factory=dict)
    """Pool -> fraction of its machines."""


class Capacity(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of capacity partitions."""

    pools: Annotated[list[Pool], Meta(min_length=1, max_length=16)]
    partitions: Annotated[list[Partition], Meta(min_length=1, max_length=16)]
    assign_every_s: Seconds = 1.0
    """Interval between two passes over the owners of machines."""
    lend: bool = False
    """Whether surplus machines may be lent to other partitions."""
    lend_after_s: Seconds = 15.0
    """Time for which a partition must have had surplus machines before they are lent."""
    give_back_s: Seconds = 30.0
    """Time after which tasks with checkpoints are stopped on machines that their lender needs."""
    moves_in_flight: Annotated[int, Meta(ge=0, le=1000)] = 2
    """Number of moves under way at which no more replicas are moved off machines being drained."""

    def partition_of(self, spec: wire.JobSpec) -> str | None:
        """Return the partition of a job by its class, else by its team, else `rest`.

        The result is None if the file has no partition `rest`.
        """
        for partition in self.partitions:
            if spec.job_class in partition.classes:
                return partition.name
        for partition in self.partitions:
            if spec.team in partition.teams:
                return partition.name
        return REST if any(partition.name == REST for partition in self.partitions) else None

    def pool_of(self, machine_type: str, zone: str, spot: bool) -> str | None:
        """Return the first pool that a machine of this kind matches, or None."""
        for pool in self.pools:
            if pool.matches(machine_type, zone, spot):
                return pool.name
        return None

    def partition(self, name: str) -> Partition:
        """Return the partition with this name."""
        return next(partition for partition in self.partitions if partition.name == name)

    def configured_fractions(self) -> MachineFractions:
        """Return the fractions of the file, which apply until operators change them."""
        return {partition.name: dict(partition.fractions) for partition in self.partitions}


def schema() -> dict[str, Any]:
    """Return the JSON schema of the file, generated from the types."""
    return msgspec.json.schema(Capacity)


def parse(raw: bytes, settings: Settings) -> Capacity:
    """Parse the content of a file, and check it against the types and the platform's settings.

    Raises:
        CapacityError: The content is invalid.
    """
    try:
        capacity = msgspec.convert(tomllib.loads(raw.decode()), Capacity)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise CapacityError(" ".join(str(error).split())) from None
    _check_names(capacity, settings)
    check_fractions(capacity, capacity.configured_fractions())
    return capacity


def load(path: str | Path, settings: Settings) -> Capacity:
    """Read and check a file.

    Raises:
        CapacityError: The file cannot be read, or its content is invalid.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise CapacityError(f"cannot read: {error.strerror}") from None
    return parse(raw, settings)


def _check_names(capacity: Capacity, settings: Settings) -> None:
    cluster = settings.cluster
    nodes = {settings.name, *(peer.name for peer in settings.peers)}
    _check_unique("pool", [pool.name for pool in capacity.pools])
    _check_unique("partition", [partition.name for partition in capacity.partitions])
    _check_unique(
        "class", [name for partition in capacity.partitions for name in partition.classes]
    )
    _check_unique("team", [name for partition in capacity.partitions for name in partition.teams])
    for index, pool in enumerate(capacity.pools):
        _check_known(f"$.pools[{index}].zones", "zone", pool.zones, cluster.zones)
    classes = {objective.job_class for objective in cluster.objectives if objective.job_class}
    for index, partition in enumerate(capacity.partitions):
        field_path = f"$.partitions[{index}]"
        _check_known(
            f"{field_path}.teams", "team", partition.teams, {team.name for team in cluster.teams}
        )
        if classes:
            _check_known(f"{field_path}.classes", "class", partition.classes, classes)
        if partition.controller is not None:
            _check_known(f"{field_path}.controller", "controller", [partition.controller], nodes)
        if partition.name != REST and not (partition.teams or partition.classes):
            raise CapacityError(f"teams or classes are needed - at `{field_path}`")
    if math.fsum(partition.floor for partition in capacity.partitions) > 1 + 1e-9:
        raise CapacityError("the floors together are above the whole - at `$.partitions`")


def _check_known(field_path: str, kind: str, names: Iterable[str], known: Iterable[str]) -> None:
    """Check that all names are known; `field_path` is the path of the field in the file."""
    listed = sorted(known)
    for name in names:
        if name not in listed:
            text = f"unknown {kind} {name!r}; known are {', '.join(listed) or 'none'}"
            raise CapacityError(f"{text} - at `{field_path}`")


def _check_unique(kind: str, names: list[str]) -> None:
    """Check that no name is repeated."""
    for name in names:
        if names.count(name) > 1:
            raise CapacityError(f"{kind} {name!r} is named {names.count(name)} times")


def check_fractions(capacity: Capacity, fractions: MachineFractions) -> None:
    """Check the fractions of the file or of a change.

    Raises:
        CapacityError: A fraction is invalid; the message names its field.
    """
    pools = {pool.name for pool in capacity.pools}
    partitions = {partition.name: partition for partition in capacity.partitions}
    for name, by_pool in fractions.items():
        _check_known("$.shares", "partition", [name], partitions)
        _check_known(f"$.shares.{name}", "pool", by_pool, pools)
        for pool, fraction in by_pool.items():
            field_path = f"$.shares.{name}.{pool}"
            if isinstance(fraction, bool) or not isinstance(fraction, int | float):
                raise CapacityError(f"a number is needed - at `{field_path}`")
            if not 0 <= fraction <= 1:
                raise CapacityError(f"allowed are 0 to 1 - at `{field_path}`")
    for pool in sorted(pools):
        _check_pool_fractions(pool, partitions, fractions)


def _check_pool_fractions(
    pool: str, partitions: dict[str, Partition], fractions: MachineFractions
) -> None:
    total = math.fsum(fractions.get(name, {}).get(pool, 0.0) for name in partitions)
    if abs(total - 1) > 1e-6:
        raise CapacityError(f"the shares of pool {pool!r} add up to {total:g}, not to 1")
    for name, partition in partitions.items():
        fraction = fractions.get(name, {}).get(pool, 0.0)
        if fraction < partition.floor - 1e-9:
            text = f"{fraction:g} is below its floor of {partition.floor:g}"
            raise CapacityError(f"{text} - at `$.shares.{name}.{pool}`")
