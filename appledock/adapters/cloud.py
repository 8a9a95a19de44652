"""Cloud: carries calls out and classifies the answers."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from appledock import wire
from appledock.core.events import CloudCall, CloudOutcome, CloudReply
from appledock.net.http import Client, NoAnswer, NotSent

log = logging.getLogger(__name__)


class Cloud:
    """The cloud's interface."""

    def __init__(self, host: str, port: int) -> None:
        self.client = Client(host, port, most=4)

    async def run(self, call: CloudCall) -> CloudReply:
        """Carry out a call; its outcome says whether it was executed."""
        method, path, body = request(call)
        try:
            status, answer = await self.client.request(method, path, body, call.timeout_s)
        except NotSent as error:
            log.info("cloud: %s", error)
            return CloudReply(call.call_id, CloudOutcome.REFUSED)
        except NoAnswer as error:
            log.info("cloud: %s: %s", call.op, error)
            return CloudReply(call.call_id, CloudOutcome.UNKNOWN)
        return CloudReply(call.call_id, *classify(call, status, answer))


def classify(call: CloudCall, status: int, answer: bytes) -> tuple[CloudOutcome, Any]:
    """Outcome and data of an answer; a malformed one counts as unknown."""
    ok = ANSWERS.get(call.op)
    if status == 200:
        try:
            return CloudOutcome.OK, msgspec.json.decode(answer, type=ok) if ok else None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.error("malformed answer of the cloud to %s: %s", call.op, error)
            return CloudOutcome.UNKNOWN, None
    if status == 503 and call.op == "rent" and b"no capacity" in answer:
        return CloudOutcome.NO_CAPACITY, None
    if status in (429, 503):
        log.info("cloud: %d to %s", status, call.op)
        return CloudOutcome.REFUSED, None
    log.error("cloud answered %d to %s: %s", status, call.op, answer[:200])
    return CloudOutcome.INVALID if status == 400 else CloudOutcome.UNKNOWN, None


ANSWERS: dict[str, Any] = {
    "types": wire.MachineTypes,
    "list": wire.MachineList,
    "rent": wire.Rented,
}
"""call -> type of a good answer"""


def request(call: CloudCall) -> tuple[str, str, bytes]:
    """Method, path and body of a call."""
    match call.op:
        case "types":
            return "GET", wire.PATH_TYPES, b""
        case "list":
            return "GET", wire.path_of_machines(*call.args), b""
        case "rent":
            return "POST", wire.PATH_MACHINES, wire.encode(call.args[0])
        case "delete":
            return "POST", wire.PATH_DELETE, wire.encode(wire.Rented(call.args[0]))
    raise ValueError(call.op)
