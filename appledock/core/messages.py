"""Messages between the controllers: one type for each kind.

Kinds and field names on the wire are a contract between versions. They are mapped to the names in
the code here, and only here: `tag` is the kind, `name` that of a field. Kinds and fields that this
version does not know are ignored; fields that an earlier version does not send have defaults that
stand for its behaviour.

Any message may be lost, delayed or repeated. Ages in place of moments are sent because the
controllers' clocks differ.
"""

from __future__ import annotations

import logging
from typing import Any

import msgspec
from msgspec import Struct, field

from appledock import wire

log = logging.getLogger(__name__)

# --- workers --------------------------------------------------------------


class WorkerHeartbeat(Struct, frozen=True, tag_field="kind", tag="worker"):
    """A worker's heartbeat with its status, sent on whole."""

    report: wire.Report
    healthy_age_s: float = field(name="well_s", default=0.0)
    """since the worker was last healthy"""


class UnchangedHeartbeat(Struct, frozen=True, array_like=True):
    """Number and ages of a worker's last heartbeat that showed nothing new."""

    worker: str
    agent_epoch: int
    sequence_number: int
    heartbeat_age_s: float
    """since the heartbeat was received"""
    healthy_age_s: float
    """since the worker was last healthy"""


class UnchangedHeartbeats(Struct, frozen=True, tag_field="kind", tag="alive"):
    """Heartbeats that showed nothing new, in short."""

    heartbeats: list[UnchangedHeartbeat] = field(name="workers")


class AgentEpochExpired(Struct, frozen=True, tag_field="kind", tag="lapsed"):
    """The worker's agent epoch, and all before it, are proven to have ended."""

    worker: str
    agent_epoch: int = field(name="session")


class MachinesDeleted(Struct, frozen=True, tag_field="kind", tag="gone"):
    """Machines that no longer exist."""

    machines: list[str]


# --- jobs -----------------------------------------------------------------


class StopTasks(Struct, frozen=True, tag_field="kind", tag="stop"):
    """To the owner of a job: stop these tasks of it on the machine."""

    job: str
    machine: str
    tasks: list[int]


class JobCancelled(Struct, frozen=True, tag_field="kind", tag="cancelled"):
    """A cancellation that was committed."""

    job: str
    version: int
    """of the job's record, as committed"""
    record: Any = None
    """the open job's record, encoded; None: the cancellation ended the job"""


# --- fleet ----------------------------------------------------------------


class MachinesRented(Struct, frozen=True, tag_field="kind", tag="rented"):
    """Machines that were just rented."""

    machines: list[str]
    machine_kind: tuple[str, str, bool] = field(name="type")
    """machine type, zone, and whether they are spot instances"""


class MachineCordoned(Struct, frozen=True, tag_field="kind", tag="cordon"):
    """No step may be placed on the machine, for this reason; without one, steps may again."""

    worker: str
    reason: str = field(name="why")


# --- controllers ----------------------------------------------------------


class ControllerHeartbeat(Struct, frozen=True, tag_field="kind", tag="pulse"):
    """That a controller is up, and its status."""

    node: str
    store_answer_age_s: float = field(name="served_s")
    """since the key-value store last answered it"""
    write_rate: float = field(name="writes", default=0.0)
    """writes/s that it sends to the store"""
    reporting_fraction: float = field(name="reporting", default=1.0)
    """part of its workers whose heartbeats reached it lately"""
    owner_timeouts: dict[str, int] = field(name="vain", default={})
    """owner -> workers that came to it after that owner had not answered them"""
    is_service_rate_limited: bool = field(name="pressed", default=False)
    """do steps of its services wait for the store's write rate?"""


# --- moves of running tasks -----------------------------------------------


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
    """load of the destination, as far as the planner knows"""


class MoveRequested(Struct, frozen=True, tag_field="kind", tag="move"):
    """To the destination's owner: reserve capacity for the task, and tell the job's owner."""

    order: MoveOrder


class MoveReserved(Struct, frozen=True, tag_field="kind", tag="move-held"):
    """To the job's owner: capacity is reserved at the destination, the task may be stopped."""

    order: MoveOrder


class MoveEnded(Struct, frozen=True, tag_field="kind", tag="move-ended"):
    """To the planner and the destination's owner: how the move ended."""

    order: MoveOrder
    outcome: str


WorkerMessage = WorkerHeartbeat | UnchangedHeartbeats | AgentEpochExpired | MachinesDeleted
FleetMessage = MachinesRented | MachineCordoned
MoveMessage = MoveRequested | MoveReserved | MoveEnded
Message = (
    WorkerMessage | FleetMessage | MoveMessage | StopTasks | JobCancelled | ControllerHeartbeat
)

KINDS: dict[str, type[Message]] = {
    str(message_type.__struct_config__.tag): message_type
    for message_type in (
        WorkerHeartbeat,
        UnchangedHeartbeats,
        AgentEpochExpired,
        MachinesDeleted,
        StopTasks,
        MachinesRented,
        MachineCordoned,
        JobCancelled,
        ControllerHeartbeat,
        MoveRequested,
        MoveReserved,
        MoveEnded,
    )
}
"""kind on the wire -> type. Converting to one type is ten times cheaper than converting to
their union, which msgspec analyses anew in each call."""


def decode(body: Any) -> Message | None:
    """The message in a decoded JSON value; None if this version has no use for it.

    A malformed message of a known kind is logged and ignored: a peer must never be able to end
    the process.
    """
    kind = body.get("kind") if isinstance(body, dict) else None
    message_type = KINDS.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        return None
    try:
        return msgspec.convert(body, message_type)
    except msgspec.ValidationError as error:
        log.warning("malformed message from a peer: kind=%s error=%s", kind, error)
        return None
