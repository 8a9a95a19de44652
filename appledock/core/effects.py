"""Effects: everything that the core asks of its surroundings, each as one type.

The core performs no I/O. It returns effects in the order in which the adapters have to carry them
out; `Effect` is the closed union of them. Each call is answered by a reply with its `call_id`, also
if it failed.
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
    """The answer to a request, as HTTP status, JSON body and further headers."""

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
    """Commands sent straight to a worker, or a request for its status."""

    call_id: int
    address: str
    """host and port"""
    orders: wire.Orders | None
    """None: only its status is asked for"""
    timeout_s: float


@dataclass(slots=True)
class PeerSend:
    """A message to one peer, or to all; it may be lost."""

    message: Message
    to: str | None = None
    """None: to all"""


@dataclass(slots=True)
class SetLogLevel:
    """Change the level of the process's log."""

    level: str
    """error, info or debug"""


Effect = Response | StoreCall | CloudCall | WorkerCall | PeerSend | SetLogLevel
