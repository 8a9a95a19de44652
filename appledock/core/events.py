"""What goes into the core (commands) and what comes out of it (effects)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from appledock import wire
from appledock.core.messages import Message

# --- commands -------------------------------------------------------------


@dataclass(slots=True)
class Submit:
    """A user submits a job."""

    ask: int
    spec: wire.JobSpec


@dataclass(slots=True)
class Poll:
    """A user asks for the state of a job."""

    ask: int
    job: str


@dataclass(slots=True)
class Cancel:
    """A user cancels a job."""

    ask: int
    job: str


@dataclass(slots=True)
class Reported:
    """A worker reports."""

    ask: int
    report: wire.Report


@dataclass(slots=True)
class Health:
    """The platform asks whether requests can be taken."""

    ask: int


@dataclass(slots=True)
class Admin:
    """A request of the administration API, already split into its parts."""

    ask: int
    method: str
    path: tuple[str, ...]
    body: Any = None


@dataclass(slots=True)
class StoreReply:
    """Answer of the state service.

    `outcome`: ok, conflict, missing, refused (not executed; the data may be the status), gone
    (watch too old), expired (no such lease), invalid, or unknown (may be executed yet).
    """

    tag: int
    outcome: str
    data: Any = None


@dataclass(slots=True)
class CloudReply:
    """`outcome`: ok, refused, full (no capacity), invalid, unknown."""

    tag: int
    outcome: str
    data: Any = None


@dataclass(slots=True)
class WorkerReply:
    """Answer to a direct call: `outcome` ok, stale (409), not_sent or unknown."""

    tag: int
    outcome: str
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


Cmd = (
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

    ask: int
    status: int
    body: Any
    headers: dict[str, str] | None = None


@dataclass(slots=True)
class StoreCall:
    """`op`: txn, get, list, watch, grant, touch, revoke."""

    tag: int
    op: str
    args: tuple[Any, ...]
    timeout: float


@dataclass(slots=True)
class CloudCall:
    """`op`: types, list, rent, delete."""

    tag: int
    op: str
    args: tuple[Any, ...] = ()
    timeout: float = 5.0


@dataclass(slots=True)
class WorkerCall:
    """A command list sent straight to a worker, or (orders None) a question."""

    tag: int
    addr: str
    orders: wire.Orders | None
    timeout: float


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


@dataclass(slots=True)
class Put:
    """Write a key."""

    key: str
    value: Any
    lease: int | None = None


@dataclass(slots=True)
class Drop:
    """Delete a key."""

    key: str


@dataclass(slots=True)
class TxnPlan:
    """One conditional transaction of the state service."""

    conditions: dict[str, int] = field(default_factory=dict)
    writes: list[Put | Drop] = field(default_factory=list)
