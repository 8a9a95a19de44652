"""Messages between the controllers: one type for each kind of message.

Kinds and field names on the wire are a contract between versions. This module is the only place
that maps them to the names in the code: `tag` is the kind of a message, `name` the name of a field.
Unknown kinds and unknown fields are ignored. A field that an earlier version does not send has a
default that corresponds to that version's behaviour.

Any message may be lost, delayed or repeated. Messages carry ages instead of timestamps, because
the controllers' clocks differ.
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
    """A worker's complete heartbeat with its status, forwarded to the peers."""

    report: wire.Report
    healthy_age_s: float = field(name="well_s", default=0.0)
    """Seconds since the worker was last healthy."""


class UnchangedHeartbeat(Struct, frozen=True, array_like=True):
    """Sequence number and ages of a worker's last heartbeat, whose status had not changed."""

    worker: str
    agent_epoch: int
    sequence_number: int
    heartbeat_age_s: float
    """Seconds since the heartbeat was received."""
    healthy_age_s: float
    """Seconds since the worker was last healthy."""


class UnchangedHeartbeats(Struct, frozen=True, tag_field="kind", tag="alive"):
    """Summary of the heartbeats whose status had not changed."""

    heartbeats: list[UnchangedHeartbeat] = field(name="workers")


class AgentEpochExpired(Struct, frozen=True, tag_field="kind", tag="lapsed"):
    """A proof that the worker's agent epoch and all earlier ones have ended."""

    worker: str
    agent_epoch: int = field(name="session")


class MachinesDeleted(Struct, frozen=True, tag_field="kind", tag="gone"):
    """Notification that machines no longer exist."""

    machines: list[str]


# --- jobs -----------------------------------------------------------------


class StopTasks(Struct, frozen=True, tag_field="kind", tag="stop"):
    """A request to the owner of a job to stop these tasks of the job on the machine."""

    job: str
    machine: str
    tasks: list[int]


class JobCancelled(Struct, frozen=True, tag_field="kind", tag="cancelled"):
    """Notification that the cancellation of a job was committed."""

    job: str
    version: int
    """Version of the job's record as committed."""
    record: Any = None
    """Encoded record of the open job; None if the cancellation ended the job."""


# --- fleet ----------------------------------------------------------------


class MachinesRented(Struct, frozen=True, tag_field="kind", tag="rented"):
    """Notification that machines were rented."""

    machines: list[str]
    machine_kind: tuple[str, str, bool] = field(name="type")
    """Machine type, zone, and whether the machines are spot instances."""


class MachineCordonChanged(Struct, frozen=True, tag_field="kind", tag="cordon"):
    """Notification that a machine was cordoned or uncordoned.

    No step places tasks on a cordoned machine.
    """

    worker: str
    reason: str = field(name="why")
    """Reason of the cordon; empty if the machine was uncordoned."""


# --- controllers ----------------------------------------------------------


class ControllerHeartbeat(Struct, frozen=True, tag_field="kind", tag="pulse"):
    """Heartbeat of a controller with its status."""

    node: str
    """Name of the sending controller."""
    store_answer_age_s: float = field(name="served_s")
    """Seconds since the key-value store last answered the controller."""
    write_rate: float = field(name="writes", default=0.0)
    """Writes per second that the controller sends to the store."""
    reporting_fraction: float = field(name="reporting", default=1.0)
    """Fraction of the controller's workers whose heartbeats reached it recently."""
    owner_timeouts: dict[str, int] = field(name="vain", default={})
    """Owner -> number of workers that contacted the sender after a timeout at that owner."""
    is_service_rate_limited: bool = field(name="pressed", default=False)
    """Whether steps of services wait for the write rate limit at the controller."""


# --- moves of running tasks -----------------------------------------------


class MoveOrder(Struct, frozen=True):
    """A move of one running task, as the controller that planned the move requested it."""

    planner: str
    """Name of the controller that planned the move."""
    number: int
    """Number of the move among those that the planner requested under this term."""
    term: int
    job: str
    task: int
    attempt: int
    source: str
    """Machine on which the task runs."""
    destination: str
    """Machine to which the task is to be moved."""
    load: float
    """Load of the destination according to the planner."""


class MoveRequested(Struct, frozen=True, tag_field="kind", tag="move"):
    """A request to the destination's owner to reserve capacity and to notify the job's owner."""

    order: MoveOrder


class MoveReserved(Struct, frozen=True, tag_field="kind", tag="move-held"):
    """Notification to the job's owner that capacity is reserved, so the task may be stopped."""

    order: MoveOrder


class MoveEnded(Struct, frozen=True, tag_field="kind", tag="move-ended"):
    """Notification to the planner and the destination's owner of how the move ended."""

    order: MoveOrder
    outcome: str


WorkerMessage = WorkerHeartbeat | UnchangedHeartbeats | AgentEpochExpired | MachinesDeleted
FleetMessage = MachinesRented | MachineCordonChanged
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
        MachineCordonChanged,
        JobCancelled,
        ControllerHeartbeat,
        MoveRequested,
        MoveReserved,
        MoveEnded,
    )
}
"""Kind on the wire -> message type. Conversion to a single type is ten times cheaper than to the
union of all types, because msgspec analyses the union again in each call."""


def decode(body: Any) -> Message | None:
    """Convert a decoded JSON value to a message; return None for an unknown kind.

    A malformed message of a known kind is logged, and None is returned as well: no message of a
    peer may end the process.
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
