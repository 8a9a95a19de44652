"""Key-value store: sends calls over HTTP and classifies the answers."""

from __future__ import annotations

import logging
from typing import NamedTuple, assert_never

import msgspec

from appledock import wire
from appledock.core.commands import StoreReply
from appledock.core.effects import StoreCall
from appledock.core.store_calls import (
    Acknowledged,
    Committed,
    Conflict,
    Delete,
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


class HttpRequest(NamedTuple):
    """A call as it goes onto the wire."""

    method: str
    path: str
    body: bytes = b""


def encode_transaction(transaction: Transaction) -> bytes:
    """A transaction as the protocol writes it."""
    conditions = [wire.Condition(key, version) for key, version in transaction.conditions.items()]
    return wire.encode(wire.Txn(conditions, [_encode_write(w) for w in transaction.writes]))


def _encode_write(write: Put | Delete) -> wire.Write:
    if isinstance(write, Delete):
        return wire.Write(delete=write.key)
    lease = msgspec.UNSET if write.lease is None else write.lease
    return wire.Write(put=write.key, value=write.value, lease=lease)


class Store:
    """One pool of connections for calls, and one for the watch, which waits long for answers."""

    def __init__(self, host: str, port: int) -> None:
        self.calls = Client(host, port, max_connections=12)
        self.watch = Client(host, port, max_connections=2)

    async def run(self, call: StoreCall) -> StoreReply:
        """Carry out a call; its outcome says whether it was executed."""
        request = build_request(call.request)
        client = self.watch if isinstance(call.request, WatchKeys) else self.calls
        try:
            status, answer = await client.request(*request, call.timeout_s)
        except NotSent as error:
            log.debug("store call not sent: operation=%s error=%s", operation(call.request), error)
            return StoreReply(call.call_id, NotExecuted())
        except NoAnswer as error:
            log.info("store call unanswered: operation=%s error=%s", operation(call.request), error)
            return StoreReply(call.call_id, UnknownOutcome())
        return StoreReply(call.call_id, classify(call, status, answer))


def classify(call: StoreCall, status: int, answer: bytes) -> StoreOutcome:
    """The outcome that an answer shows; a malformed answer counts as an unknown outcome."""
    name = operation(call.request)
    try:
        return _outcome(call.request, status, answer)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        log.error("store answer malformed: operation=%s error=%s", name, error)
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
            log.error(
                "store call rejected as malformed or too large: operation=%s answer=%s",
                name,
                answer[:200],
            )
            return Rejected()
        case 429:
            log.debug("store call not executed: operation=%s status=%d", name, status)
            return NotExecuted(NotExecutedReason.RATE_LIMITED)
        case 503:
            log.debug("store call not executed: operation=%s status=%d", name, status)
            return NotExecuted(NotExecutedReason.UNAVAILABLE)
        case _:
            log.error("store answer unexpected: operation=%s status=%d", name, status)
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
"""request -> its name in log lines and metrics"""


def operation(store_request: StoreRequest) -> str:
    """Short name of a request, for log lines and metrics."""
    return OPERATIONS[type(store_request)]


def build_request(store_request: StoreRequest) -> HttpRequest:
    """The call as an HTTP request."""
    match store_request:
        case Transaction():
            return HttpRequest("POST", wire.PATH_TRANSACTION, encode_transaction(store_request))
        case GetKey(key):
            return HttpRequest("GET", wire.path_of_key(key))
        case ListKeys(prefix, after, limit):
            return HttpRequest("GET", wire.path_of_list(prefix, after, limit))
        case WatchKeys(prefix, after_revision, wait_ms):
            return HttpRequest("GET", wire.path_of_watch(prefix, after_revision, wait_ms))
        case GrantLease(ttl_ms):
            body = wire.encode(wire.GrantRequest(ttl_ms))
            return HttpRequest("POST", wire.path_of_lease(), body)
        case RenewLease(lease):
            return HttpRequest("POST", wire.path_of_lease_renewal(lease))
        case RevokeLease(lease):
            return HttpRequest("DELETE", wire.path_of_lease(lease))
        case _:
            assert_never(store_request)
