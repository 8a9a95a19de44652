"""Settings file that enables rebalancing: types, validation and JSON schema."""

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
    """The settings file is unusable; the message gives the reason in one line."""


class ClassWeights(Struct, frozen=True, forbid_unknown_fields=True):
    """Weights for placing and moving tasks of a job class; at least one must be positive."""

    name: Name
    spread: Weight = 0.0
    """Weight of an even load over the machines, in total and of the job's team."""
    locality: Weight = 0.0
    """Weight of a short distance to the data sets that the class or its team reads."""
    image: Weight = 0.0
    """Weight of a short wait for an image that the machine does not have yet."""
    packing: Weight = 0.0
    """Weight of tight packing, which leaves other machines empty, so that they can be returned."""
    speed: Weight = 0.0
    """Weight of machines on which tasks run faster than the mean of their class."""

    def has_positive_weight(self) -> bool:
        """Return whether any weight is positive."""
        return any((self.spread, self.locality, self.image, self.packing, self.speed))


class DataSet(Struct, frozen=True, forbid_unknown_fields=True):
    """A data set: the machines, types or zones that hold it, and its readers."""

    name: Name
    machines: list[Name] = []
    types: list[Name] = []
    zones: list[Name] = []
    classes: list[Name] = []
    """Job classes whose jobs read the data set."""
    teams: list[Name] = []
    """Teams whose jobs read the data set."""


class Moves(Struct, frozen=True, forbid_unknown_fields=True):
    """When running tasks are moved, and how many at a time."""

    enabled: bool = True
    every_s: Seconds = 5.0
    """Interval between two planning passes (s)."""
    smooth_s: Seconds = 15.0
    """Time constant of the smoothed load (s)."""
    trigger: Ratio = 1.25
    """Dead band: ratio of a load to the mean up to which no task is moved to spread load."""
    min_gain: Annotated[float, Meta(gt=0, le=10)] = 0.2
    """Minimum gain of a move, for each core of the task."""
    payback_s: Seconds = 120.0
    """Time within which the gain of a move must outweigh the work that it loses (s)."""
    in_flight: Annotated[int, Meta(ge=1, le=1000)] = 2
    """Maximum number of moves under way at a time that one controller has requested."""
    cooldown_s: Seconds = 60.0
    """Time after a move for which the job is not moved again (s)."""
    replicas_down: Annotated[int, Meta(ge=1, le=1000)] = 1
    """Maximum number of replicas of a service that moves may take down at a time."""
    fetch_s: Annotated[float, Meta(ge=0, le=3600)] = 5.0
    """Maximum time that a moved task may wait for its image (s)."""
    use_empty: bool = True
    """Whether tasks may move to empty machines, which could be returned otherwise."""


class Rebalancing(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of rebalancing."""

    bound: Ratio = 1.5
    """Limit of the ratio of a team's load on one machine to its mean load.

    Data locality counts, and moves add tasks, only up to this limit. A single task of the team may
    exceed it.
    """
    moves: Moves = msgspec.field(default_factory=Moves)
    classes: list[ClassWeights] = []
    datasets: list[DataSet] = []
    extra_classes: list[Name] = []
    """Job classes that the platform's objectives do not name."""

    def weights(self, job_class: str) -> ClassWeights | None:
        """Return the weights of a job class, or None if the default score applies to it."""
        return next((row for row in self.classes if row.name == job_class), None)


def schema() -> dict[str, Any]:
    """Return the JSON schema of the settings file, derived from the types."""
    return msgspec.json.schema(Rebalancing)


def parse(raw: bytes, cluster: Cluster) -> Rebalancing:
    """Parse the content of a file, and check it against the types and the platform's settings.

    Raises:
        RebalancingError: The content is invalid.
    """
    try:
        rebalancing = msgspec.convert(tomllib.loads(raw.decode()), Rebalancing)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, UnicodeDecodeError) as error:
        raise RebalancingError(" ".join(str(error).split())) from None
    _check_names(rebalancing, cluster)
    _check_values(rebalancing)
    return rebalancing


def load(path: str | Path, cluster: Cluster) -> Rebalancing:
    """Read and check a file.

    Raises:
        RebalancingError: The file cannot be read, or its content is invalid.
    """
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
    for index, weights in enumerate(rebalancing.classes):
        _check_known(f"$.classes[{index}].name", "class", [weights.name], classes)
    for index, data in enumerate(rebalancing.datasets):
        field_path = f"$.datasets[{index}]"
        _check_known(f"{field_path}.classes", "class", data.classes, classes)
        _check_known(f"{field_path}.teams", "team", data.teams, teams)
        _check_known(f"{field_path}.zones", "zone", data.zones, zones)
    _check_unique("$.classes", [row.name for row in rebalancing.classes])
    _check_unique("$.datasets", [row.name for row in rebalancing.datasets])


def _check_known(field_path: str, kind: str, names: Iterable[str], known: set[str]) -> None:
    """Check that all names are known; `field_path` is the path of the field in the file."""
    for name in names:
        if name not in known:
            listed = ", ".join(sorted(known)) or "none"
            raise RebalancingError(
                f"unknown {kind} {name!r}; known are {listed} - at `{field_path}`"
            )


def _check_unique(field_path: str, names: list[str]) -> None:
    """Check that no name is repeated."""
    for name, count in Counter(names).items():
        if count > 1:
            raise RebalancingError(f"{name!r} is named {count} times - at `{field_path}`")


def _check_values(rebalancing: Rebalancing) -> None:
    for index, weights in enumerate(rebalancing.classes):
        if not weights.has_positive_weight():
            raise RebalancingError(f"all weights are 0 - at `$.classes[{index}]`")
    for index, data in enumerate(rebalancing.datasets):
        field_path = f"$.datasets[{index}]"
        if not (data.machines or data.types or data.zones):
            raise RebalancingError(f"machines, types or zones are needed - at `{field_path}`")
        if not (data.classes or data.teams):
            raise RebalancingError(f"classes or teams that read it are needed - at `{field_path}`")
    if rebalancing.moves.trigger > rebalancing.bound:
        raise RebalancingError(
            "larger than `$.bound`: it would be passed first - at `$.moves.trigger`"
        )
