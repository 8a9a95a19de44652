"""The rows that the console shows, as controllers send them: short, and one type each."""

from __future__ import annotations

from msgspec import Struct


class ClusterRow(Struct, frozen=True, array_like=True):
    """The cluster as the controller that was asked sees it."""

    node: str
    jobs: int
    queued_tasks: int
    mean_load: float
    moves: str
    """`on`, `paused`, `dry run` or `off`"""
    moves_done: int


class ControllerRow(Struct, frozen=True, array_like=True):
    """A controller of the cluster."""

    role: str
    """`leader`, `member`, `detached` or `not in the view`"""
    reached: bool
    """does the one that was asked hear it?"""
    workers: int


class TeamRow(Struct, frozen=True, array_like=True):
    """What a team has committed."""

    cpus: float
    cpus_max: float
    most: float
    """its largest share of one machine"""
    machine: str
    within: bool
    """is that within its bound?"""


class PartitionRow(Struct, frozen=True, array_like=True):
    """What a partition has of a pool; its name is partition.pool."""

    target: int
    held: int
    leaving: int
    """machines that it is to hand over once they are empty"""
    tasks: int
    controller: str


class WorkerRow(Struct, frozen=True, array_like=True):
    """A worker and its load."""

    owner: str
    load: float
    teams: str
    note: str
    """why it takes no steps, or why nothing moves off it"""


class MoveRow(Struct, frozen=True, array_like=True):
    """A move that the controller that was asked has asked for."""

    source: str
    destination: str
    state: str


Row = ClusterRow | ControllerRow | TeamRow | PartitionRow | WorkerRow | MoveRow

TYPES: dict[str, type[Row]] = {
    "cluster": ClusterRow,
    "controller": ControllerRow,
    "team": TeamRow,
    "partition": PartitionRow,
    "worker": WorkerRow,
    "move": MoveRow,
}
"""first part of a row's key -> its type; the rest of the key is its name"""


class Changes(Struct, frozen=True):
    """What has changed since a version that the console knows."""

    incarnation: str
    """of the controller: another one's versions mean nothing here"""
    version: int
    full: bool
    """from the beginning: rows known before are to be dropped"""
    rows: dict[str, list[object]]
    dropped: list[str]
    more: bool
    """more has changed than fits into one answer"""
