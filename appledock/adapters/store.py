"""State service: carries calls out and classifies the answers."""

from __future__ import annotations

import logging
from typing import assert_never

import msgspec

from appledock import wire
from appledock.core.events import StoreCall, StoreReply
from appledock.core.store_calls import (
    Acknowledged,
    Committed,
    Conflict,
    GetKey,
    Grant,
    GrantLease,
    HistoryCompacted,
    ListKeys,
    Missing,
    NoSuchLease,
    NotExecuted,
    NotExecutedReason,
    Put,
    Rejected,
    RenewLease,
    RevokeLease,
    Row,
    Rows,
    StoreOutcome,
    StoreRequest,
    Transaction,
    UnknownOutcome,
    Watched,
    WatchKeys,
)
from appledock.net.http import Client, NoAnswer, NotSent

log = logging.getLogger(__name__)


def encode_txn(plan: Transaction) -> bytes:
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
        client = self.watch if isinstance(call.request, WatchKeys) else self.calls
        try:
            status, answer = await client.request(method, path, body, call.timeout_s)
        except NotSent as error:
            log.debug("state service: %s", error)
            return StoreReply(call.call_id, NotExecuted())
        except NoAnswer as error:
            log.info("state service: %s: %s", operation(call.request), error)
            return StoreReply(call.call_id, UnknownOutcome())
        return StoreReply(call.call_id, classify(call, status, answer))


def classify(call: StoreCall, status: int, answer: bytes) -> StoreOutcome:
    """The outcome that an answer shows; a malformed answer counts as an unknown outcome."""
    name = operation(call.request)
    try:
        return _outcome(call.request, status, answer)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        log.error("malformed answer of the state service to %s: %s", name, error)
        return UnknownOutcome()


def _outcome(store_request: StoreRequest, status: int, answer: bytes) -> StoreOutcome:
    """As `classify`; raises DecodeError or UnicodeDecodeError if the answer is malformed."""
    match status:
        case 200:
            answer_type = ANSWER_TYPES.get(type(store_request))
            return msgspec.json.decode(answer, type=answer_type) if answer_type else Acknowledged()
        case 404 if isinstance(store_request, GetKey):
            return msgspec.json.decode(answer, type=Missing)
        case 404:
            return Missing()
        case 409:
            return msgspec.json.decode(answer, type=Conflict)
        case 410:
            return HistoryCompacted()
        case _:
            return _failure(operation(store_request), status, answer)


def _failure(name: str, status: int, answer: bytes) -> StoreOutcome:
    """The outcome of a call that the store could not or would not execute."""
    match status:
        case 400 if b"no such lease" in answer:
            return NoSuchLease()
        case 400:
            log.error("state service refused %s as malformed or too large: %s", name, answer[:200])
            return Rejected()
        case 429:
            log.debug("state service: %d to %s", status, name)
            return NotExecuted(NotExecutedReason.RATE_LIMITED)
        case 503:
            log.debug("state service: %d to %s", status, name)
            return NotExecuted(NotExecutedReason.UNAVAILABLE)
        case _:
            log.error("state service answered %d to %s", status, name)
            return UnknownOutcome()


ANSWER_TYPES: dict[type[StoreRequest], type[Committed | Row | Rows | Watched | Grant]] = {
    Transaction: Committed,
    GetKey: Row,
    ListKeys: Rows,
    WatchKeys: Watched,
    GrantLease: Grant,
}
"""request -> type of the answer with status 200; the others are acknowledged without one"""

OPERATIONS: dict[type[StoreRequest], str] = {
    Transaction: "txn",
    GetKey: "get",
    ListKeys: "list",
    WatchKeys: "watch",
    GrantLease: "grant",
    RenewLease: "touch",
    RevokeLease: "revoke",
}


def operation(store_request: StoreRequest) -> str:
    """Short name of a request, for log lines and metrics."""
    return OPERATIONS[type(store_request)]


def request(call: StoreCall) -> tuple[str, str, bytes]:
    """Method, path and body of a call."""
    match call.request:
        case Transaction():
            return "POST", wire.PATH_TXN, encode_txn(call.request)
        case GetKey(key):
            return "GET", wire.path_of_key(key), b""
        case ListKeys(prefix, after, limit):
            return "GET", wire.path_of_list(prefix, after, limit), b""
        case WatchKeys(prefix, after_revision, wait_ms):
            return "GET", wire.path_of_watch(prefix, after_revision, wait_ms), b""
        case GrantLease(ttl_ms):
            return "POST", wire.path_of_grant(), wire.encode(wire.GrantRequest(ttl_ms))
        case RenewLease(lease):
            return "POST", wire.path_of_touch(lease), b""
        case RevokeLease(lease):
            return "DELETE", wire.path_of_grant(lease), b""
        case _:
            assert_never(call.request)
