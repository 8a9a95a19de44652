"""Effects: all outputs of the core, with one type for each kind of output.

The core performs no I/O. It returns a list of effects, which the adapters carry out in the order
of the list; `Effect` is the closed union of all types. Each call is answered by a reply with the
same `call_id`, even if the call failed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from appledock import wire
from appledock.core.cloud_calls import CloudRequest
from appledock.core.messages import Message
from appledock.core.store_calls import StoreRequest


@dataclass(slots=True)
class Response:
    """Answer to a request: HTTP status, JSON body and additional headers."""

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
    """A call to the cloud."""

    call_id: int
    request: CloudRequest
    timeout_s: float


@dataclass(slots=True)
class WorkerCall:
    """A direct call to a worker, with commands or with a request for its status."""

    call_id: int
    address: str
    """Host and port of the worker."""
    orders: wire.Orders | None
    """Commands for the worker; None to request only its status."""
    timeout_s: float


@dataclass(slots=True)
class PeerSend:
    """A message to one peer or to all peers; the message may be lost."""

    message: Message
    to: str | None = None
    """Name of the peer; None to send to all peers."""


@dataclass(slots=True)
class SetLogLevel:
    """A change of the log level of the process."""

    level: str
    """One of error, info and debug."""


Effect = Response | StoreCall | CloudCall | WorkerCall | PeerSend | SetLogLevel
