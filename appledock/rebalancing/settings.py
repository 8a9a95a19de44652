"""The file that enables rebalancing: read, checked, and published as a JSON schema."""

from __future__ import annotations

import tomllib
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from appledock.settings import Cluster

Weight = Annotated[float, Meta(ge=0, le=1000)]
Ratio = Annotated[float, Meta(ge=1, le=100)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Name = Annotated[str, Meta(min_length=1, max_length=100, pattern=r"^\S+$")]


class RebalancingError(Exception):
    """The file cannot be used; the text says why in one line."""


class ClassWeights(Struct, frozen=True, forbid_unknown_fields=True):
    """What counts when a task of the class is placed or moved; all zero is an error."""

    name: Name
    spread: Weight = 0.0
    """even load of machines, and of the team over the machines"""
    locality: Weight = 0.0
    """closeness to the data sets that the class or its team reads"""
    image: Weight = 0.0
    """the wait for an image that the machine does not have"""
    packing: Weight = 0.0
    """a tight fit: machines stay empty, and can be returned"""
    speed: Weight = 0.0
    """machines on which tasks took less than their estimates"""

    def has_positive_weight(self) -> bool:
        """Does anything count?"""
        return any((self.spread, self.locality, self.image, self.packing, self.speed))


class DataSet(Struct, frozen=True, forbid_unknown_fields=True):
    """Data, where it lies, and who reads it."""

    name: Name
    machines: list[Name] = []
    types: list[Name] = []
    zones: list[Name] = []
    classes: list[Name] = []
    teams: list[Name] = []


class Moves(Struct, frozen=True, forbid_unknown_fields=True):
    """When running tasks are moved, and how many at a time."""

    enabled: bool = True
    every_s: Seconds = 5.0
    """pause between two passes of the planner"""
    smooth_s: Seconds = 15.0
    """time constant of the load that the planner trusts"""
    trigger: Ratio = 1.25
    """dead band: load over the mean below which nothing is moved off a machine"""
    min_gain: Annotated[float, Meta(gt=0, le=10)] = 0.2
    """least gain of a move, for each core of the task"""
    payback_s: Seconds = 120.0
    """time within which a move's gain must outweigh the work that it loses"""
    in_flight: Annotated[int, Meta(ge=1, le=1000)] = 2
    """moves under way at a time that one controller has asked for"""
    cooldown_s: Seconds = 60.0
    """a job that was moved is left alone for so long"""
    replicas_down: Annotated[int, Meta(ge=1, le=1000)] = 1
    """replicas of a service that moves may take down at a time"""
    fetch_s: Annotated[float, Meta(ge=0, le=3600)] = 5.0
    """longest wait for an image that a moved task may have"""
    use_empty: bool = True
    """may tasks be moved to machines that are empty, and could be returned?"""


class Rebalancing(Struct, frozen=True, forbid_unknown_fields=True):
    """All that the file says."""

    bound: Ratio = 1.5
    """a team's load on one machine over its mean: closeness counts only up to it"""
    moves: Moves = msgspec.field(default_factory=Moves)
    classes: list[ClassWeights] = []
    datasets: list[DataSet] = []
    extra_classes: list[Name] = []
    """classes that the platform's objectives do not name"""

    def weights(self, job_class: str) -> ClassWeights | None:
        """The weights of a class; None: it is placed as without rebalancing."""
        return next((row for row in self.classes if row.name == job_class), None)


def schema() -> dict[str, Any]:
    """The JSON schema of the file, made from the types."""
    return msgspec.json.schema(Rebalancing)


def parse(raw: bytes, cluster: Cluster) -> Rebalancing:
    """Check the bytes of a file against its types and the platform's settings."""
    try:
        rebalancing = msgspec.convert(tomllib.loads(raw.decode()), Rebalancing)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise RebalancingError(" ".join(str(error).split())) from None
    _check_names(rebalancing, cluster)
    _check_values(rebalancing)
    return rebalancing


def load(path: str | Path, cluster: Cluster) -> Rebalancing:
    """Read and check a file."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise RebalancingError(f"cannot read: {error.strerror}") from None
    return parse(raw, cluster)


def _check_names(rebalancing: Rebalancing, cluster: Cluster) -> None:
    classes = {row.job_class for row in cluster.objectives if row.job_class}
    classes.update(rebalancing.extra_classes)
    teams = {team.name for team in cluster.teams}
    zones = set(cluster.zones)
    for place, weights in enumerate(rebalancing.classes):
        _known(f"$.classes[{place}].name", "class", [weights.name], classes)
    for place, data in enumerate(rebalancing.datasets):
        where = f"$.datasets[{place}]"
        _known(f"{where}.classes", "class", data.classes, classes)
        _known(f"{where}.teams", "team", data.teams, teams)
        _known(f"{where}.zones", "zone", data.zones, zones)
    _unique("$.classes", [row.name for row in rebalancing.classes])
    _unique("$.datasets", [row.name for row in rebalancing.datasets])


def _known(where: str, kind: str, names: Iterable[str], known: set[str]) -> None:
    for name in names:
        if name not in known:
            listed = ", ".join(sorted(known)) or "none"
            raise RebalancingError(f"unknown {kind} {name!r}; known are {listed} - at `{where}`")


def _unique(where: str, names: list[str]) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise RebalancingError(f"{name!r} is named {count} times - at `{where}`")


def _check_values(rebalancing: Rebalancing) -> None:
    for place, weights in enumerate(rebalancing.classes):
        if not weights.has_positive_weight():
            raise RebalancingError(f"all weights are 0 - at `$.classes[{place}]`")
    for place, data in enumerate(rebalancing.datasets):
        where = f"$.datasets[{place}]"
        if not (data.machines or data.types or data.zones):
            raise RebalancingError(f"machines, types or zones are needed - at `{where}`")
        if not (data.classes or data.teams):
            raise RebalancingError(f"classes or teams that read it are needed - at `{where}`")
    if rebalancing.moves.trigger > rebalancing.bound:
        raise RebalancingError(
            "larger than `$.bound`: it would be passed first - at `$.moves.trigger`"
        )
