"""Messages between the controllers: one type for each kind.

Kinds and field names are a contract between versions: names in Python may change, the
words on the wire (`tag`, `name=`) never do. Kinds and fields that are not known are
ignored, and fields that an earlier version does not send have defaults that mean its
behaviour.
"""

from __future__ import annotations

import logging
from typing import Any

import msgspec
from msgspec import Struct, field

from appledock import wire

log = logging.getLogger(__name__)


class WorkerReported(Struct, frozen=True, tag_field="kind", tag="worker"):
    """A worker's report, and how long ago the worker was last well."""

    report: wire.Report
    well_s: float = 0.0


class AliveWorker(Struct, frozen=True, array_like=True):
    """The number of a worker's last report, and two ages.

    How long ago the report came, and how long ago the worker was last well.
    """

    worker: str
    session: int
    seq: int
    heard_s: float
    well_s: float


class WorkersAlive(Struct, frozen=True, tag_field="kind", tag="alive"):
    """Workers whose reports came and showed nothing new."""

    workers: list[AliveWorker]


class SessionLapsed(Struct, frozen=True, tag_field="kind", tag="lapsed"):
    """The worker's session, and all before it, are proven to be over."""

    worker: str
    session: int


class MachinesGone(Struct, frozen=True, tag_field="kind", tag="gone"):
    """Machines that no longer exist."""

    machines: list[str]


class StopTasks(Struct, frozen=True, tag_field="kind", tag="stop"):
    """To the owner of a job: stop these tasks of it on the machine."""

    job: str
    machine: str
    tasks: list[int]


class MachinesRented(Struct, frozen=True, tag_field="kind", tag="rented"):
    """Machines just rented; `machine_kind` is type, zone and whether spot."""

    machines: list[str]
    machine_kind: tuple[str, str, bool] = field(name="type")


class MachineCordoned(Struct, frozen=True, tag_field="kind", tag="cordon"):
    """No step may be placed on the machine, for this reason; without one, steps may."""

    worker: str
    why: str


class JobCancelled(Struct, frozen=True, tag_field="kind", tag="cancelled"):
    """A committed cancellation: the job's open record, or None if that was the job's end."""

    job: str
    version: int
    record: Any = None


class Heartbeat(Struct, frozen=True, tag_field="kind", tag="pulse"):
    """How a controller fares."""

    node: str
    served_s: float
    """since the state service last answered it"""
    writes: float = 0.0
    """writes/s that it sends to the state service"""
    reporting: float = 1.0
    """part of its workers that reported to it lately"""
    unanswered: dict[str, int] = field(name="vain", default={})
    """owner -> workers that came to it after waiting for that owner in vain"""
    pressed: bool = False
    """do services of its wait for writes?"""


class MoveOrder(Struct, frozen=True):
    """A move of one running task, as its planner asked for it."""

    planner: str
    number: int
    """of the planner's moves under this term"""
    term: int
    job: str
    task: int
    attempt: int
    source: str
    destination: str
    load: float
    """what the planner takes the destination's load for"""


class MoveRequested(Struct, frozen=True, tag_field="kind", tag="move"):
    """To the destination's owner: keep room for the task, and tell the job's owner."""

    order: MoveOrder


class MoveHeld(Struct, frozen=True, tag_field="kind", tag="move-held"):
    """To the job's owner: room is kept at the destination, the task may be stopped."""

    order: MoveOrder


class MoveEnded(Struct, frozen=True, tag_field="kind", tag="move-ended"):
    """To the planner and the destination's owner: what came of the move."""

    order: MoveOrder
    outcome: str


WorkerMessage = WorkerReported | WorkersAlive | SessionLapsed | MachinesGone
FleetMessage = MachinesRented | MachineCordoned
MoveMessage = MoveRequested | MoveHeld | MoveEnded
Message = WorkerMessage | FleetMessage | MoveMessage | StopTasks | JobCancelled | Heartbeat

KINDS: dict[str, type[Message]] = {
    str(message_type.__struct_config__.tag): message_type
    for message_type in (
        WorkerReported,
        WorkersAlive,
        SessionLapsed,
        MachinesGone,
        StopTasks,
        MachinesRented,
        MachineCordoned,
        JobCancelled,
        Heartbeat,
        MoveRequested,
        MoveHeld,
        MoveEnded,
    )
}
"""kind on the wire -> type. Converting to a type is ten times cheaper than converting to
their union, which is analysed anew by each call."""


def decode(body: Any) -> Message | None:
    """The message in a decoded JSON value; None if it is of no use to this version."""
    kind = body.get("kind") if isinstance(body, dict) else None
    message_type = KINDS.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        return None  # of a later version
    try:
        return msgspec.convert(body, message_type)
    except msgspec.ValidationError as error:
        log.warning("malformed message from a peer, kind %s: %s", kind, error)
        return None
