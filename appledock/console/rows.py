"""The rows that the console shows, as controllers send them.

There is one type for each kind of row. Rows are encoded as arrays, without field names, to be
short.
"""

from __future__ import annotations

from msgspec import Struct


class ClusterRow(Struct, frozen=True, array_like=True):
    """The state of the cluster as the answering controller knows it."""

    node: str
    """name of the answering controller"""
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
    reachable: bool
    """whether the answering controller receives its heartbeats"""
    workers: int


class TeamRow(Struct, frozen=True, array_like=True):
    """The resources that a team holds, and its largest share of one machine."""

    cpus: float
    cpus_max: float
    max_machine_share: float
    """largest load that the team has committed on one machine, as a share of the machine"""
    machine: str
    """the machine with that share"""
    within_bound: bool
    """whether that share is within the team's bound on one machine"""


class PartitionRow(Struct, frozen=True, array_like=True):
    """The machines of a partition in one pool; the name of the row is `partition.pool`."""

    target: int
    held: int
    leaving: int
    """number of machines that change to another partition once they are empty"""
    tasks: int
    controller: str


class WorkerRow(Struct, frozen=True, array_like=True):
    """A worker and its load."""

    owner: str
    load: float
    teams: str
    note: str
    """why no steps are placed on the worker, or why no tasks are moved away from it"""


class MoveRow(Struct, frozen=True, array_like=True):
    """A move of a running task that the answering controller has requested."""

    source: str
    destination: str
    state: str


Row = ClusterRow | ControllerRow | TeamRow | PartitionRow | WorkerRow | MoveRow

ROW_TYPES: dict[str, type[Row]] = {
    "cluster": ClusterRow,
    "controller": ControllerRow,
    "team": TeamRow,
    "partition": PartitionRow,
    "worker": WorkerRow,
    "move": MoveRow,
}
"""kind of row -> its type; the key of a row is `kind/name`"""


class Changes(Struct, frozen=True):
    """The changes after the version that a console has."""

    incarnation: str
    """incarnation of the answering controller; versions of other incarnations are unrelated"""
    version: int
    """version that the console has once it has applied these changes"""
    full: bool
    """whether the changes start from an empty state: the console drops its previous rows"""
    rows: dict[str, list[object]]
    """new and changed rows by key"""
    dropped: list[str]
    """keys of removed rows"""
    more: bool
    """whether there are further changes, which did not fit into this answer"""
