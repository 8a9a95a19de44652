"""What goes into the core (commands) and what comes out of it (effects)."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from appledock import wire
from appledock.core.messages import Message
from appledock.core.store_calls import StoreOutcome, StoreRequest


class CloudOutcome(enum.StrEnum):
    """How a call to the cloud ended."""

    OK = "ok"
    REFUSED = "refused"
    """not executed; it can be made again"""
    NO_CAPACITY = "full"
    INVALID = "invalid"
    """never executed"""
    UNKNOWN = "unknown"
    """no answer: it may have been executed, or may yet be"""


class WorkerOutcome(enum.StrEnum):
    """How a direct call to a worker ended."""

    OK = "ok"
    STALE = "stale"
    """refused by a newer fencing token or agent epoch"""
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    """no answer: the commands may have been executed, or may yet be"""


# --- commands -------------------------------------------------------------


@dataclass(slots=True)
class Submit:
    """A user submits a job."""

    request_id: int
    spec: wire.JobSpec


@dataclass(slots=True)
class Poll:
    """A user asks for the state of a job."""

    request_id: int
    job: str


@dataclass(slots=True)
class Cancel:
    """A user cancels a job."""

    request_id: int
    job: str


@dataclass(slots=True)
class Reported:
    """A worker reports."""

    request_id: int
    report: wire.Report


@dataclass(slots=True)
class Health:
    """The platform asks whether requests can be taken."""

    request_id: int


@dataclass(slots=True)
class Admin:
    """A request of the administration API, already split into its parts."""

    request_id: int
    method: str
    path: tuple[str, ...]
    body: Any = None


@dataclass(slots=True)
class StoreReply:
    """How a call to the key-value store ended."""

    call_id: int
    outcome: StoreOutcome


@dataclass(slots=True)
class CloudReply:
    """How a call to the cloud ended, with its answer if there is one."""

    call_id: int
    outcome: CloudOutcome
    data: Any = None


@dataclass(slots=True)
class WorkerReply:
    """How a direct call to a worker ended, with its report if it sent one."""

    call_id: int
    outcome: WorkerOutcome
    report: wire.Report | None = None


@dataclass(slots=True)
class PeerMessage:
    """What a peer sent, as decoded JSON: it may be of another version."""

    message: dict[str, Any]


@dataclass(slots=True)
class PeerOpened:
    """A link to a peer (re)opened."""

    name: str


@dataclass(slots=True)
class Tick:
    """Time to look at the timers."""


Command = (
    Submit
    | Poll
    | Cancel
    | Reported
    | Health
    | Admin
    | StoreReply
    | CloudReply
    | WorkerReply
    | PeerMessage
    | PeerOpened
    | Tick
)

# --- effects --------------------------------------------------------------


@dataclass(slots=True)
class Reply:
    """The answer to a request."""

    request_id: int
    status: int
    body: Any
    headers: dict[str, str] | None = None


@dataclass(slots=True)
class StoreCall:
    """A call to the key-value store."""

    call_id: int
    request: StoreRequest
    timeout_s: float


@dataclass(slots=True)
class CloudCall:
    """`op`: types, list, rent, delete."""

    call_id: int
    op: str
    args: tuple[Any, ...] = ()
    timeout_s: float = 5.0


@dataclass(slots=True)
class WorkerCall:
    """A command list sent straight to a worker, or (orders None) a question."""

    call_id: int
    addr: str
    orders: wire.Orders | None
    timeout_s: float


@dataclass(slots=True)
class PeerSend:
    """To one peer, or to all."""

    message: Message
    to: str | None = None


@dataclass(slots=True)
class SetLogLevel:
    """Log more or less from now on."""

    level: str


Effect = Reply | StoreCall | CloudCall | WorkerCall | PeerSend | SetLogLevel
