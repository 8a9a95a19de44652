"""Commands: everything that enters the core, each as one type.

The adapters turn requests, answers, messages and timers into commands; `Command` is the closed
union of them. A `request_id` names the request that a `Response` has to answer, a `call_id` the
call whose answer a reply carries.
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
    """A user submits a job; the request is idempotent by the job's id."""

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
    """A worker sent its heartbeat with status and waits for commands."""

    request_id: int
    report: wire.Report


@dataclass(slots=True)
class HealthRequest:
    """The platform asks whether this controller can take requests."""

    request_id: int


@dataclass(slots=True)
class AdminRequest:
    """A request of the administration API, already split into its parts."""

    request_id: int
    method: str
    path: tuple[str, ...]
    """the path's segments below the API's prefix"""
    body: Any = None
    """decoded JSON, not checked yet; None: the request had no body"""


# --- answers to calls -----------------------------------------------------


class WorkerOutcome(enum.StrEnum):
    """How a direct call to a worker ended."""

    OK = "ok"
    STALE = "stale"
    """refused by a newer fencing token or agent epoch"""
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"
    """no answer: the commands may have been executed, or may yet be"""


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
    """How a direct call to a worker ended, with the worker's status if it sent one."""

    call_id: int
    outcome: WorkerOutcome
    report: wire.Report | None = None


CallReply = StoreReply | CloudReply | WorkerReply

# --- peers and timers -----------------------------------------------------


@dataclass(slots=True)
class PeerMessageReceived:
    """A peer sent a message."""

    message: dict[str, Any]
    """decoded JSON; not checked, since the peer may be of another version"""


@dataclass(slots=True)
class PeerConnected:
    """The connection to a peer was opened, for the first time or again."""

    name: str


@dataclass(slots=True)
class Tick:
    """Time to look at the timers."""


UserRequest = SubmitJob | GetJobState | CancelJob
Request = UserRequest | HeartbeatReceived | HealthRequest | AdminRequest
Command = Request | CallReply | PeerMessageReceived | PeerConnected | Tick
