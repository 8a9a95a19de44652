"""Calls to the key-value store as values: one type for each request and for each outcome.

Answers that carry data are the structs of `appledock.wire`.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from appledock.wire import Committed, Conflict, Grant, Missing, Row, Rows, Watched

# --- requests -------------------------------------------------------------


@dataclass(slots=True)
class Put:
    """Write of a key; with `lease`, the store deletes the key when that lease expires."""

    key: str
    value: Any
    lease: int | None = None


@dataclass(slots=True)
class Delete:
    """Deletion of a key."""

    key: str


@dataclass(slots=True)
class Transaction:
    """A compare-and-swap over several keys: either all writes are executed, or none is."""

    conditions: dict[str, int] = field(default_factory=dict)
    """Key -> version that the key must have; 0 if the key must not exist."""
    writes: list[Put | Delete] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class GetKey:
    """Linearizable read of one key."""

    key: str


@dataclass(frozen=True, slots=True)
class ListKeys:
    """Read of one page of the keys under a prefix; `after` is the last key of the previous page."""

    prefix: str
    after: str | None
    limit: int


@dataclass(frozen=True, slots=True)
class WatchKeys:
    """Read of the changes under a prefix after a revision.

    If there is none yet, the store waits for the first change for up to `wait_ms`.
    """

    prefix: str
    after_revision: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Creation of a lease."""

    ttl_ms: int


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renewal of a lease."""

    lease: int


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End of a lease, with deletion of the keys attached to it."""

    lease: int


StoreRequest = Transaction | GetKey | ListKeys | WatchKeys | GrantLease | RenewLease | RevokeLease

# --- outcomes -------------------------------------------------------------


class NotExecutedReason(enum.StrEnum):
    """Reason why a call was not executed."""

    NOT_SENT = "not sent"
    """There was no connection, or the queue was full, or the call expired in the queue."""
    RATE_LIMITED = "too fast"
    """The store answered with status 429."""
    UNAVAILABLE = "unavailable"
    """The store answered with status 503."""


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The call was executed; the answer carries no data."""


@dataclass(frozen=True, slots=True)
class HistoryCompacted:
    """The store no longer keeps the changes that the watch asked for."""


@dataclass(frozen=True, slots=True)
class NoSuchLease:
    """The lease to which a key was to be attached does not exist: it has expired."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The store rejected the call as malformed or too large.

    It was not executed, and a retry would be rejected again.
    """


@dataclass(frozen=True, slots=True)
class NotExecuted:
    """The call was not executed and can be retried."""

    reason: NotExecutedReason = NotExecutedReason.NOT_SENT


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """No usable answer arrived: the call may have been executed, or may be executed later."""


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
