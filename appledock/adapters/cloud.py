"""Cloud: sends calls over HTTP and classifies the answers."""

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
"""what a call that succeeded brings; None: nothing more than that"""


class HttpRequest(NamedTuple):
    """A call as it goes onto the wire."""

    method: str
    path: str
    body: bytes = b""


class Cloud:
    """Connections to the cloud's interface."""

    def __init__(self, host: str, port: int) -> None:
        self.client = Client(host, port, max_connections=4)

    async def run(self, call: CloudCall) -> CloudReply:
        """Carry out a call; its outcome says whether it was executed."""
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
    """The reply that an answer stands for; a malformed one counts as an unknown outcome."""
    if status != 200:
        return CloudReply(call.call_id, _failure(call.request, status, answer))
    try:
        return CloudReply(call.call_id, CloudOutcome.OK, _decode(call.request, answer))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        log.error("cloud answer malformed: operation=%s error=%s", operation(call.request), error)
        return CloudReply(call.call_id, CloudOutcome.UNKNOWN)


def _decode(request: CloudRequest, answer: bytes) -> DecodedAnswer:
    """Decode the answer; raises DecodeError or UnicodeDecodeError if it is malformed."""
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
    """The outcome of a call that the cloud could not or would not execute."""
    name = operation(request)
    match status:
        case 503 if isinstance(request, RentMachines) and b"no capacity" in answer:
            return CloudOutcome.NO_CAPACITY
        case 429 | 503:
            log.info("cloud call refused: operation=%s status=%d", name, status)
            return CloudOutcome.REFUSED
        case _:
            log.error("cloud call failed: operation=%s status=%d: %s", name, status, answer[:200])
            return CloudOutcome.INVALID if status == 400 else CloudOutcome.UNKNOWN


OPERATIONS: dict[type[CloudRequest], str] = {
    ListMachineTypes: "types",
    ListMachines: "list",
    RentMachines: "rent",
    DeleteMachines: "delete",
}
"""request -> its name in log lines and metrics"""


def operation(request: CloudRequest) -> str:
    """Short name of a request, for log lines and metrics."""
    return OPERATIONS[type(request)]


def build_request(request: CloudRequest) -> HttpRequest:
    """The call as an HTTP request."""
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
