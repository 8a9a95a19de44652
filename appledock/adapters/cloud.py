"""Cloud adapter: sends calls over HTTP and classifies the answers."""

from __future__ import annotations

import logging
from typing import NamedTuple, assert_never

import msgspec

from appledock import wire
from appledock.core.cloud_calls import (
    CloudOutcome,
    CloudRequest,
    DeleteMachines,
    ListMachines,
    ListMachineTypes,
    RentMachines,
)
from appledock.core.commands import CloudReply
from appledock.core.effects import CloudCall
from appledock.net.http import Client, NoAnswer, NotSent

log = logging.getLogger(__name__)

DecodedAnswer = wire.MachineTypes | wire.MachineList | wire.MachineIds | None
"""decoded answer to a call that succeeded; None if it has no content"""


class HttpRequest(NamedTuple):
    """An HTTP request of a call."""

    method: str
    path: str
    body: bytes = b""


class Cloud:
    """A pool of connections to the cloud API."""

    def __init__(self, host: str, port: int) -> None:
        self.client = Client(host, port, max_connections=4)

    async def run(self, call: CloudCall) -> CloudReply:
        """Execute a call and return its reply; the outcome says whether the call was executed."""
        try:
            status, answer = await self.client.request(*build_request(call.request), call.timeout_s)
        except NotSent as error:
            log.info("cloud call not sent: operation=%s error=%s", operation(call.request), error)
            return CloudReply(call.call_id, CloudOutcome.REFUSED)
        except NoAnswer as error:
            log.info("cloud call unanswered: operation=%s error=%s", operation(call.request), error)
            return CloudReply(call.call_id, CloudOutcome.UNKNOWN)
        return classify(call, status, answer)


def classify(call: CloudCall, status: int, answer: bytes) -> CloudReply:
    """Return the reply for an answer; a malformed answer gives an unknown outcome."""
    if status != 200:
        return CloudReply(call.call_id, _failure(call.request, status, answer))
    try:
        return CloudReply(call.call_id, CloudOutcome.OK, _decode(call.request, answer))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        log.error("cloud answer malformed: operation=%s error=%s", operation(call.request), error)
        return CloudReply(call.call_id, CloudOutcome.UNKNOWN)


def _decode(request: CloudRequest, answer: bytes) -> DecodedAnswer:
    """Return the decoded answer; raise DecodeError or UnicodeDecodeError if it is malformed."""
    match request:
        case ListMachineTypes():
            return msgspec.json.decode(answer, type=wire.MachineTypes)
        case ListMachines():
            return msgspec.json.decode(answer, type=wire.MachineList)
        case RentMachines():
            return msgspec.json.decode(answer, type=wire.MachineIds)
        case DeleteMachines():
            return None
        case _:
            assert_never(request)


def _failure(request: CloudRequest, status: int, answer: bytes) -> CloudOutcome:
    """Return the outcome of a call that was answered with a status other than 200."""
    name = operation(request)
    match status:
        case 503 if isinstance(request, RentMachines) and b"no capacity" in answer:
            return CloudOutcome.NO_CAPACITY
        case 429 | 503:
            log.info("cloud call refused: operation=%s status=%d", name, status)
            return CloudOutcome.REFUSED
        case _:
            log.error(
                "cloud call failed: operation=%s status=%d answer=%s", name, status, answer[:200]
            )
            return CloudOutcome.INVALID if status == 400 else CloudOutcome.UNKNOWN


OPERATIONS: dict[type[CloudRequest], str] = {
    ListMachineTypes: "types",
    ListMachines: "list",
    RentMachines: "rent",
    DeleteMachines: "delete",
}
"""request type -> name in log lines and metrics"""


def operation(request: CloudRequest) -> str:
    """Return the short name of a request for log lines and metrics."""
    return OPERATIONS[type(request)]


def build_request(request: CloudRequest) -> HttpRequest:
    """Return the HTTP request of a call."""
    match request:
        case ListMachineTypes():
            return HttpRequest("GET", wire.PATH_MACHINE_TYPES)
        case ListMachines():
            return HttpRequest("GET", wire.path_of_machines(request.after, request.limit))
        case RentMachines():
            return HttpRequest("POST", wire.PATH_MACHINES, wire.encode(request.rental))
        case DeleteMachines():
            return HttpRequest(
                "POST", wire.PATH_DELETE_MACHINES, wire.encode(wire.MachineIds(request.machines))
            )
        case _:
            assert_never(request)
