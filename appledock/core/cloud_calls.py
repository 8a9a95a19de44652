"""Calls to the cloud as values: one type for each request, and the outcomes of calls."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from appledock import wire


@dataclass(frozen=True, slots=True)
class ListMachineTypes:
    """Read of the machine types that the cloud offers."""


@dataclass(frozen=True, slots=True)
class ListMachines:
    """Read of one page of the list of machines.

    `after` is the last machine of the previous page; None asks for the first page.
    """

    after: str | None
    limit: int


@dataclass(frozen=True, slots=True)
class RentMachines:
    """Scale-out request.

    The cloud uses the name of the request as an idempotency key, so no name is used twice.
    """

    rental: wire.Rent


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    """Scale-in request; the cloud ignores names of unknown machines."""

    machines: list[str]


CloudRequest = ListMachineTypes | ListMachines | RentMachines | DeleteMachines


class CloudOutcome(enum.StrEnum):
    """Outcome of a call to the cloud."""

    OK = "ok"
    REFUSED = "refused"
    """The call was not executed and can be retried."""
    NO_CAPACITY = "full"
    """The cloud has no machines of this kind to rent at present."""
    INVALID = "invalid"
    """The cloud rejected the request: it was not executed, and a retry would be rejected again."""
    UNKNOWN = "unknown"
    """No usable answer arrived: the call may have been executed, or may be executed later."""
