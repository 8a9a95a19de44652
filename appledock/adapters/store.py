"""State service: carries calls out and classifies the answers."""

from __future__ import annotations

import logging
from typing import Any

import msgspec

from appledock import wire
from appledock.core.events import Put, StoreCall, StoreReply, TxnPlan
from appledock.net.http import Client, NoAnswer, NotSent

log = logging.getLogger(__name__)


def encode_txn(plan: TxnPlan) -> bytes:
    """A transaction in the state service's words."""
    writes = []
    for write in plan.writes:
        if isinstance(write, Put):
            writes.append(wire.Write(put=write.key, value=write.value,
                                     lease=msgspec.UNSET if write.lease is None else write.lease))
        else:
            writes.append(wire.Write(delete=write.key))
    return wire.encode(wire.Txn([wire.Condition(k, v) for k, v in plan.conditions.items()],
                                writes))


class Store:
    """One pool for calls, one connection of its own for the watch."""

    def __init__(self, host: str, port: int) -> None:
        self.calls = Client(host, port, most=12)
        self.watch = Client(host, port, most=2)

    async def run(self, call: StoreCall) -> StoreReply:
        try:
            outcome, data = await self._run(call)
        except NotSent as error:
            log.debug("state service: %s", error)
            outcome, data = "refused", None
        except NoAnswer as error:
            log.info("state service: %s: %s", call.op, error)
            outcome, data = "unknown", None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            log.error("malformed answer of the state service to %s: %s", call.op, error)
            outcome, data = "unknown", None
        return StoreReply(call.tag, outcome, data)

    async def _run(self, call: StoreCall) -> tuple[str, Any]:
        method, path, body, ok = self._request(call)
        client = self.watch if call.op == "watch" else self.calls
        status, answer = await client.request(method, path, body, call.timeout)
        if status == 200:
            return "ok", msgspec.json.decode(answer, type=ok) if ok else None
        if status == 404:
            data = None
            if call.op == "get":
                data = msgspec.json.decode(answer, type=wire.Missing)
            return "missing", data
        if status == 409:
            return "conflict", msgspec.json.decode(answer, type=wire.Conflict)
        if status == 410:
            return "gone", None
        if status == 400:
            log.error("state service refused %s %s: %s", call.op, path, answer[:200])
            return "invalid", None
        if status in (429, 503):
            log.debug("state service: %d to %s", status, call.op)
            return "refused", None
        log.error("state service answered %d to %s", status, call.op)
        return "unknown", None

    @staticmethod
    def _request(call: StoreCall) -> tuple[str, str, bytes, Any]:
        args = call.args
        match call.op:
            case "txn":
                return "POST", "/txn", encode_txn(args[0]), wire.Committed
            case "get":
                return "GET", wire.path_of_key(args[0]), b"", wire.Row
            case "list":
                return "GET", wire.path_of_list(*args), b"", wire.Rows
            case "watch":
                return "GET", wire.path_of_watch(*args), b"", wire.Watched
            case "grant":
                return "POST", wire.path_of_grant(), wire.encode(
                    wire.GrantRequest(args[0])), wire.Grant
            case "touch":
                return "POST", wire.path_of_touch(args[0]), b"", None
            case "revoke":
                return "DELETE", wire.path_of_grant(args[0]), b"", None
        raise ValueError(call.op)
