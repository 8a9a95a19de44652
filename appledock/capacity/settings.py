"""The file that enables partitions of machines: read, checked, published as a JSON schema."""

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
"""partition -> pool -> fraction of the pool's machines"""

REST = "rest"
"""name of the partition of all that is in no other one"""


class CapacityError(Exception):
    """The file or a change cannot be used; the text says why in one line."""


# The class docstrings below are descriptions in the published JSON schema: part of the file format.


class Pool(Struct, frozen=True, forbid_unknown_fields=True):
    """Machines that are divided; a machine is in the first pool that it fits."""

    name: Name
    zones: list[str] = []
    types: list[str] = []
    spot: bool | None = None

    def matches(self, machine_type: str, zone: str, spot: bool) -> bool:
        """Does the pool take machines of this type, zone and price model?"""
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
    """preferred owner of the partition's jobs"""
    floor: Fraction = 0.0
    """least fraction of any pool that a change may leave it"""
    fractions: dict[str, Fraction] = msgspec.field(name="shares", default_factory=dict)
    """pool -> fraction of its machines"""


class Capacity(Struct, frozen=True, forbid_unknown_fields=True):
    """All that the file says."""

    pools: Annotated[list[Pool], Meta(min_length=1, max_length=16)]
    partitions: Annotated[list[Partition], Meta(min_length=1, max_length=16)]
    assign_every_s: Seconds = 1.0
    """interval between two passes over the owners of machines"""
    lend: bool = False
    """may surplus machines be lent to other partitions?"""
    lend_after_s: Seconds = 15.0
    """time for which machines must have been surplus before they are lent"""
    give_back_s: Seconds = 30.0
    """time after which tasks with checkpoints are stopped on machines that their lender needs"""
    moves_in_flight: Annotated[int, Meta(ge=0, le=1000)] = 2
    """most moves of replicas off machines being handed over, at a time"""

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
            if pool.matches(machine_type, zone, spot):
                return pool.name
        return None

    def partition(self, name: str) -> Partition:
        """The partition of this name."""
        return next(row for row in self.partitions if row.name == name)

    def configured_fractions(self) -> MachineFractions:
        """The fractions that are agreed until operators change them."""
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


def check_fractions(capacity: Capacity, fractions: MachineFractions) -> None:
    """Check fractions, of the file or of a change; raises CapacityError, naming the field."""
    pools = {pool.name for pool in capacity.pools}
    partitions = {partition.name: partition for partition in capacity.partitions}
    for name, by_pool in fractions.items():
        _known("$.shares", "partition", [name], partitions)
        _known(f"$.shares.{name}", "pool", by_pool, pools)
        for pool, fraction in by_pool.items():
            where = f"$.shares.{name}.{pool}"
            if isinstance(fraction, bool) or not isinstance(fraction, int | float):
                raise CapacityError(f"a number is needed - at `{where}`")
            if not 0 <= fraction <= 1:
                raise CapacityError(f"allowed are 0 to 1 - at `{where}`")
    for pool in sorted(pools):
        _check_pool(pool, partitions, fractions)


def _check_pool(pool: str, partitions: dict[str, Partition], fractions: MachineFractions) -> None:
    total = math.fsum(fractions.get(name, {}).get(pool, 0.0) for name in partitions)
    if abs(total - 1) > 1e-6:
        raise CapacityError(f"the shares of pool {pool!r} add up to {total:g}, not to 1")
    for name, partition in partitions.items():
        fraction = fractions.get(name, {}).get(pool, 0.0)
        if fraction < partition.floor - 1e-9:
            text = f"{fraction:g} is below its floor of {partition.floor:g}"
            raise CapacityError(f"{text} - at `$.shares.{name}.{pool}`")
