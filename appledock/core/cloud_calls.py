"""Calls to the cloud as values: one type for each request, and how calls end."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from appledock import wire


@dataclass(frozen=True, slots=True)
class ListMachineTypes:
    """Read which machine types the cloud offers."""


@dataclass(frozen=True, slots=True)
class ListMachines:
    """Read one page of the machines that exist, from behind the machine `after`."""

    after: str | None
    limit: int


@dataclass(frozen=True, slots=True)
class RentMachines:
    """Scale out; idempotent by the name of the request, which must never be reused."""

    rental: wire.Rent


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    """Scale in; names that the cloud does not know are ignored."""

    machines: list[str]


CloudRequest = ListMachineTypes | ListMachines | RentMachines | DeleteMachines


class CloudOutcome(enum.StrEnum):
    """How a call to the cloud ended."""

    OK = "ok"
    REFUSED = "refused"
    """not executed; it can be made again"""
    NO_CAPACITY = "full"
    INVALID = "invalid"
    """never executed"""
    UNKNOWN = "unknown"
    """no answer: it may have been executed, or may yet be"""
