"""Cloud: carries calls out and classifies the answers."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from appledock import wire
from appledock.core.events import CloudCall, CloudReply
from appledock.net.http import Client, NoAnswer, NotSent

log = logging.getLogger(__name__)


class Cloud:
    """The cloud's interface."""

    def __init__(self, host: str, port: int) -> None:
        self.client = Client(host, port, most=4)

    async def run(self, call: CloudCall) -> CloudReply:
        try:
            outcome, data = await self._run(call)
        except NotSent as error:
            log.info("cloud: %s", error)
            outcome, data = "refused", None
        except NoAnswer as error:
            log.info("cloud: %s: %s", call.op, error)
            outcome, data = "unknown", None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.error("malformed answer of the cloud to %s: %s", call.op, error)
            outcome, data = "unknown", None
        return CloudReply(call.tag, outcome, data)

    async def _run(self, call: CloudCall) -> tuple[str, Any]:
        method, path, body, ok = self._request(call)
        status, answer = await self.client.request(method, path, body, call.timeout)
        if status == 200:
            return "ok", msgspec.json.decode(answer, type=ok) if ok else None
        if status == 503 and call.op == "rent" and b"no capacity" in answer:
            return "full", None
        if status in (429, 503):
            log.info("cloud: %d to %s", status, call.op)
            return "refused", None
        log.error("cloud answered %d to %s: %s", status, call.op, answer[:200])
        return "invalid" if status == 400 else "unknown", None

    @staticmethod
    def _request(call: CloudCall) -> tuple[str, str, bytes, Any]:
        match call.op:
            case "types":
                return "GET", wire.PATH_TYPES, b"", wire.MachineTypes
            case "list":
                return "GET", wire.path_of_machines(*call.args), b"", wire.MachineList
            case "rent":
                return "POST", wire.PATH_MACHINES, wire.encode(call.args[0]), wire.Rented
            case "delete":
                return "POST", wire.PATH_DELETE, wire.encode(
                    wire.Rented(call.args[0])), None
        raise ValueError(call.op)
