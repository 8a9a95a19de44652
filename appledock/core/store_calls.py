"""Calls to the key-value store as values: one type for each request and for each outcome.

`GET`-like answers carry the structs of `appledock.wire`, whose fields have the names used here.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from appledock.wire import Committed, Conflict, Grant, Missing, Row, Rows, Watched

# --- requests -------------------------------------------------------------


@dataclass(slots=True)
class Put:
    """Write a key; with `lease` it disappears when that lease expires."""

    key: str
    value: Any
    lease: int | None = None


@dataclass(slots=True)
class Delete:
    """Delete a key."""

    key: str


@dataclass(slots=True)
class Transaction:
    """A compare-and-swap over several keys: all writes are executed, or none is."""

    conditions: dict[str, int] = field(default_factory=dict)
    """key -> version that it must have; 0: it must not exist"""
    writes: list[Put | Delete] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class GetKey:
    """Linearizable read of one key."""

    key: str


@dataclass(frozen=True, slots=True)
class ListKeys:
    """One page of the keys under a prefix, from behind the key `after`."""

    prefix: str
    after: str | None
    limit: int


@dataclass(frozen=True, slots=True)
class WatchKeys:
    """Changes under a prefix after a revision; waits up to `wait_ms` for the first one."""

    prefix: str
    after_revision: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class GrantLease:
    """A new lease."""

    ttl_ms: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renewal of a lease."""

    lease: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End of a lease, and of the keys attached to it."""

    lease: int


StoreRequest = Transaction | GetKey | ListKeys | WatchKeys | GrantLease | RenewLease | RevokeLease

# --- outcomes -------------------------------------------------------------


class NotExecutedReason(enum.StrEnum):
    """Why a call was not executed."""

    NOT_SENT = "not sent"
    """it found no connection, or no place in the queue of calls, or waited there too long"""
    RATE_LIMITED = "too fast"
    """status 429"""
    UNAVAILABLE = "unavailable"
    """status 503"""


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Executed, and there is nothing more to say."""


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The watch asked for changes that the store no longer keeps."""


@dataclass(frozen=True, slots=True)
class NoSuchLease:
    """The lease that a write was to be attached to has expired."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The store took the call for malformed or too large; it is never executed."""


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The call was not executed and can be made again."""

    reason: NotExecutedReason = NotExecutedReason.NOT_SENT


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """No answer: the call may have been executed, or may yet be."""


StoreOutcome = (
    Committed
    | Conflict
    | Row
    | Rows
    | Watched
    | Grant
    | Missing
    | Acknowledged
    | HistoryCompacted
    | NoSuchLease
    | Rejected
    | NotExecuted
    | UnknownOutcome
)

__all__ = [
    "Acknowledged",
    "Committed",
    "Conflict",
    "Delete",
    "GetKey",
    "Grant",
    "GrantLease",
    "HistoryCompacted",
    "ListKeys",
    "Missing",
    "NoSuchLease",
    "NotExecuted",
    "NotExecutedReason",
    "Put",
    "Rejected",
    "RenewLease",
    "RevokeLease",
    "Row",
    "Rows",
    "StoreOutcome",
    "StoreRequest",
    "Transaction",
    "UnknownOutcome",
    "WatchKeys",
    "Watched",
]
