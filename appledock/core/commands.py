"""Commands: all inputs of the core, with one type for each kind of input.

The adapters convert requests, answers, messages and timers to commands; `Command` is the closed
union of all types. A `request_id` identifies the request that a `Response` has to answer, a
`call_id` the call to which a reply belongs.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from appledock import wire
from appledock.core.cloud_calls import CloudOutcome
from appledock.core.store_calls import StoreOutcome

# --- requests -------------------------------------------------------------


@dataclass(slots=True)
class SubmitJob:
    """A user submits a job; the job's id serves as the idempotency key."""

    request_id: int
    spec: wire.JobSpec


@dataclass(slots=True)
class GetJobState:
    """A user asks for the state of a job."""

    request_id: int
    job_id: str


@dataclass(slots=True)
class CancelJob:
    """A user cancels a job."""

    request_id: int
    job_id: str


@dataclass(slots=True)
class HeartbeatReceived:
    """A worker sent its heartbeat with its status and waits for commands."""

    request_id: int
    report: wire.Report


@dataclass(slots=True)
class HealthRequest:
    """The platform asks whether this controller can serve requests."""

    request_id: int


@dataclass(slots=True)
class AdminRequest:
    """A request to the administration API, split into its parts."""

    request_id: int
    method: str
    path: tuple[str, ...]
    """Segments of the path after the prefix of the API."""
    body: Any = None
    """Decoded JSON, not validated yet; None if the request had no body."""


# --- answers to calls -----------------------------------------------------


class WorkerOutcome(enum.StrEnum):
    """Outcome of a direct call to a worker."""

    OK = "ok"
    STALE = "stale"
    """The worker refused the call, because it knows a newer fencing token or agent epoch."""
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    """No usable answer arrived: the commands may have been executed, or may be executed later."""


@dataclass(slots=True)
class StoreReply:
    """Outcome of a call to the key-value store."""

    call_id: int
    outcome: StoreOutcome


@dataclass(slots=True)
class CloudReply:
    """Outcome of a call to the cloud, with the data of the answer if there are any."""

    call_id: int
    outcome: CloudOutcome
    data: Any = None


@dataclass(slots=True)
class WorkerReply:
    """Outcome of a direct call to a worker, with the worker's status if it sent one."""

    call_id: int
    outcome: WorkerOutcome
    report: wire.Report | None = None


CallReply = StoreReply | CloudReply | WorkerReply

# --- peers and timers -----------------------------------------------------


@dataclass(slots=True)
class PeerMessageReceived:
    """A peer sent a message."""

    message: dict[str, Any]
    """Decoded JSON, not validated: the peer may run another version."""


@dataclass(slots=True)
class PeerConnected:
    """The connection to a peer was opened or reopened."""

    name: str


@dataclass(slots=True)
class Tick:
    """Periodic command on which the core runs the timers that are due."""


UserRequest = SubmitJob | GetJobState | CancelJob
Request = UserRequest | HeartbeatReceived | HealthRequest | AdminRequest
Command = Request | CallReply | PeerMessageReceived | PeerConnected | Tick
