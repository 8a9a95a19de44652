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
            writes.append(
                wire.Write(
                    put=write.key,
                    value=write.value,
                    lease=msgspec.UNSET if write.lease is None else write.lease,
                )
            )
        else:
            writes.append(wire.Write(delete=write.key))
    return wire.encode(wire.Txn([wire.Condition(k, v) for k, v in plan.conditions.items()], writes))


class Store:
    """One pool for calls, one connection of its own for the watch."""

    def __init__(self, host: str, port: int) -> None:
        self.calls = Client(host, port, most=12)
        self.watch = Client(host, port, most=2)

    async def run(self, call: StoreCall) -> StoreReply:
        """Carry out a call; its outcome says whether it was executed."""
        method, path, body = request(call)
        client = self.watch if call.op == "watch" else self.calls
        try:
            status, answer = await client.request(method, path, body, call.timeout)
        except NotSent as error:
            log.debug("state service: %s", error)
            return StoreReply(call.tag, "refused")
        except NoAnswer as error:
            log.info("state service: %s: %s", call.op, error)
            return StoreReply(call.tag, "unknown")
        return StoreReply(call.tag, *classify(call, status, answer))


def classify(call: StoreCall, status: int, answer: bytes) -> tuple[str, Any]:
    """Outcome and data of an answer; a malformed one counts as unknown."""
    ok = ANSWERS.get(call.op)
    try:
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
            if b"no such lease" in answer:
                return "expired", None
            log.error(
                "state service refused %s as malformed or too large: %s", call.op, answer[:200]
            )
            return "invalid", None
        if status in (429, 503):
            log.debug("state service: %d to %s", status, call.op)
            return "refused", status
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        log.error("malformed answer of the state service to %s: %s", call.op, error)
        return "unknown", None
    log.error("state service answered %d to %s", status, call.op)
    return "unknown", None


ANSWERS: dict[str, Any] = {
    "txn": wire.Committed,
    "get": wire.Row,
    "list": wire.Rows,
    "watch": wire.Watched,
    "grant": wire.Grant,
}
"""call -> type of a good answer"""


def request(call: StoreCall) -> tuple[str, str, bytes]:
    """Method, path and body of a call."""
    args = call.args
    match call.op:
        case "txn":
            return "POST", wire.PATH_TXN, encode_txn(args[0])
        case "get":
            return "GET", wire.path_of_key(args[0]), b""
        case "list":
            return "GET", wire.path_of_list(*args), b""
        case "watch":
            return "GET", wire.path_of_watch(*args), b""
        case "grant":
            return "POST", wire.path_of_grant(), wire.encode(wire.GrantRequest(args[0]))
        case "touch":
            return "POST", wire.path_of_touch(args[0]), b""
        case "revoke":
            return "DELETE", wire.path_of_grant(args[0]), b""
    raise ValueError(call.op)
