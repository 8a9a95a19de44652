"""The file that enables capacity shares: read, checked, and published as a JSON schema."""

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
"""partition -> pool -> its share"""

REST = "rest"
"""name of the partition of all that is in no other one"""


class CapacityError(Exception):
    """The file or a change cannot be used; the text says why in one line."""


class Pool(Struct, frozen=True, forbid_unknown_fields=True):
    """Machines that are divided; a machine is in the first pool that it fits."""

    name: Name
    zones: list[str] = []
    types: list[str] = []
    spot: bool | None = None

    def has(self, machine_type: str, zone: str, spot: bool) -> bool:
        """Is a machine of this kind in the pool?"""
        return (
            (not self.zones or zone in self.zones)
            and (not self.types or machine_type in self.types)
            and self.spot in (None, spot)
        )


class Partition(Struct, frozen=True, forbid_unknown_fields=True):
    """Teams or classes that have shares of pools together."""

    name: Name
    teams: list[str] = []
    classes: list[str] = []
    controller: str | None = None
    """owns the partition's jobs while it is there"""
    floor: Fraction = 0.0
    """no change may leave it a smaller share of any pool"""
    fractions: dict[str, Fraction] = msgspec.field(name="shares", default_factory=dict)
    """pool -> fraction of its machines"""


class Capacity(Struct, frozen=True, forbid_unknown_fields=True):
    """All that the file says."""

    pools: Annotated[list[Pool], Meta(min_length=1, max_length=16)]
    partitions: Annotated[list[Partition], Meta(min_length=1, max_length=16)]
    assign_every_s: Seconds = 1.0
    """pause between two passes over who holds which machine"""
    lend: bool = False
    """may machines that a partition does not need be used by others meanwhile?"""
    lend_after_s: Seconds = 15.0
    """time for which a machine must have been spare before it is lent"""
    give_back_s: Seconds = 30.0
    """time after which tasks that save are stopped on machines that their lender needs"""
    moves_in_flight: Annotated[int, Meta(ge=0, le=1000)] = 2
    """replicas that are moved off machines to be handed over, at a time"""

    def partition_of(self, spec: wire.JobSpec) -> str | None:
        """The partition of a job: by its class, by its team, or `rest`; None without one."""
        for partition in self.partitions:
            if spec.job_class in partition.classes:
                return partition.name
        for partition in self.partitions:
            if spec.team in partition.teams:
                return partition.name
        return REST if any(partition.name == REST for partition in self.partitions) else None

    def pool_of(self, machine_type: str, zone: str, spot: bool) -> str | None:
        """The pool of a machine of this kind."""
        for pool in self.pools:
            if pool.has(machine_type, zone, spot):
                return pool.name
        return None

    def partition(self, name: str) -> Partition:
        """The partition of this name."""
        return next(row for row in self.partitions if row.name == name)

    def configured_fractions(self) -> MachineFractions:
        """The shares that hold until they are changed."""
        return {row.name: dict(row.fractions) for row in self.partitions}


def schema() -> dict[str, Any]:
    """The JSON schema of the file, made from the types."""
    return msgspec.json.schema(Capacity)


def parse(raw: bytes, settings: Settings) -> Capacity:
    """Check the bytes of a file against its types and the platform's settings."""
    try:
        capacity = msgspec.convert(tomllib.loads(raw.decode()), Capacity)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise CapacityError(" ".join(str(error).split())) from None
    _check_names(capacity, settings)
    check_fractions(capacity, capacity.configured_fractions())
    return capacity


def load(path: str | Path, settings: Settings) -> Capacity:
    """Read and check a file."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise CapacityError(f"cannot read: {error.strerror}") from None
    return parse(raw, settings)


def _check_names(capacity: Capacity, settings: Settings) -> None:
    cluster = settings.cluster
    nodes = {settings.name, *(peer.name for peer in settings.peers)}
    _unique("pool", [pool.name for pool in capacity.pools])
    _unique("partition", [partition.name for partition in capacity.partitions])
    _unique("class", [name for row in capacity.partitions for name in row.classes])
    _unique("team", [name for row in capacity.partitions for name in row.teams])
    for place, pool in enumerate(capacity.pools):
        _known(f"$.pools[{place}].zones", "zone", pool.zones, cluster.zones)
    classes = {row.job_class for row in cluster.objectives if row.job_class}
    for place, partition in enumerate(capacity.partitions):
        where = f"$.partitions[{place}]"
        _known(f"{where}.teams", "team", partition.teams, {team.name for team in cluster.teams})
        if classes:
            _known(f"{where}.classes", "class", partition.classes, classes)
        if partition.controller is not None:
            _known(f"{where}.controller", "controller", [partition.controller], nodes)
        if partition.name != REST and not (partition.teams or partition.classes):
            raise CapacityError(f"teams or classes are needed - at `{where}`")
    if math.fsum(partition.floor for partition in capacity.partitions) > 1 + 1e-9:
        raise CapacityError("the floors together are above the whole - at `$.partitions`")


def _known(where: str, kind: str, names: Iterable[str], known: Iterable[str]) -> None:
    listed = sorted(known)
    for name in names:
        if name not in listed:
            text = f"unknown {kind} {name!r}; known are {', '.join(listed) or 'none'}"
            raise CapacityError(f"{text} - at `{where}`")


def _unique(kind: str, names: list[str]) -> None:
    for name in names:
        if names.count(name) > 1:
            raise CapacityError(f"{kind} {name!r} is named {names.count(name)} times")


def check_fractions(capacity: Capacity, shares: MachineFractions) -> None:
    """Check shares, of the file or of a change, or raise CapacityError with the field."""
    pools = {pool.name for pool in capacity.pools}
    partitions = {partition.name: partition for partition in capacity.partitions}
    for name, by_pool in shares.items():
        _known("$.shares", "partition", [name], partitions)
        _known(f"$.shares.{name}", "pool", by_pool, pools)
        for pool, share in by_pool.items():
            where = f"$.shares.{name}.{pool}"
            if isinstance(share, bool) or not isinstance(share, int | float):
                raise CapacityError(f"a number is needed - at `{where}`")
            if not 0 <= share <= 1:
                raise CapacityError(f"allowed are 0 to 1 - at `{where}`")
    for pool in sorted(pools):
        _check_pool(pool, partitions, shares)


def _check_pool(pool: str, partitions: dict[str, Partition], shares: MachineFractions) -> None:
    total = math.fsum(shares.get(name, {}).get(pool, 0.0) for name in partitions)
    if abs(total - 1) > 1e-6:
        raise CapacityError(f"the shares of pool {pool!r} add up to {total:g}, not to 1")
    for name, partition in partitions.items():
        share = shares.get(name, {}).get(pool, 0.0)
        if share < partition.floor - 1e-9:
            text = f"{share:g} is below its floor of {partition.floor:g}"
            raise CapacityError(f"{text} - at `$.shares.{name}.{pool}`")
