"""A stored value together with the version of its key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


@dataclass(frozen=True, slots=True)
class Versioned(Generic[ValueT]):
    """A value as last read from the key-value store."""

    value: ValueT
    version: int = 0
    """Version of the key, for a compare-and-swap; 0 if the key was never read or was deleted."""
