"""Stored records of the partitions of machines: agreed fractions, and the owner of each machine."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from appledock import constants
from appledock.capacity.ownership import Ownership, OwnershipBucket, bucket_of, decode_bucket
from appledock.capacity.settings import MachineFractions

log = logging.getLogger(__name__)

CAPACITY_PREFIX = constants.KEY_PREFIX + "live/capacity/"
AGREED_FRACTIONS_KEY = CAPACITY_PREFIX + "agreed"
OWNERSHIP_PREFIX = CAPACITY_PREFIX + "held/"


@dataclass(frozen=True, slots=True)
class AgreedFractions:
    """The fractions of the pools' machines that operators agreed on last."""

    version: int
    request_id: str
    """of the change that set them; the same request again has no further effect"""
    fractions: MachineFractions
    previous_fractions: MachineFractions
    """those before the change"""
    stop_at: float | None
    """time of day from which tasks with checkpoints may be stopped for the change, s"""

    def encode(self) -> dict[str, Any]:
        """The stored record; its version is the store's."""
        return {
            "request": self.request_id,
            "shares": self.fractions,
            "before": self.previous_fractions,
            "stop_at": self.stop_at,
        }


def decode_agreed_fractions(record: dict[str, Any], version: int) -> AgreedFractions:
    """The fractions of a record; raises KeyError, TypeError or AttributeError if malformed."""
    return AgreedFractions(
        version, record["request"], record["shares"], record["before"], record.get("stop_at")
    )


class CapacityRecords:
    """The records under one prefix, as last read."""

    def __init__(self) -> None:
        self.agreed_fractions: AgreedFractions | None = None
        self.buckets: dict[int, OwnershipBucket] = {}
        """number -> ownership record"""
        self.changed_machines: set[str] = set()
        """machines whose owner has changed"""

    def bucket(self, number: int) -> OwnershipBucket:
        """An ownership record; empty if it was never written."""
        return self.buckets.get(number) or OwnershipBucket()

    def ownership_of(self, machine: str) -> Ownership | None:
        """The machine's owner; None if it was never assigned."""
        return self.bucket(bucket_of(machine)).owners.get(machine)

    def owned_machines(self) -> Iterator[tuple[str, Ownership]]:
        """All machines in the ownership records, with their owners."""
        for bucket in self.buckets.values():
            yield from bucket.owners.items()

    def version(self, key: str) -> int:
        """The version of a record as last read; 0: it does not exist."""
        if key == AGREED_FRACTIONS_KEY:
            return self.agreed_fractions.version if self.agreed_fractions is not None else 0
        return self.bucket(_bucket_number(key)).version

    def put(self, key: str, value: Any, version: int) -> None:
        """Take in a record as it is now.

        Malformed agreed fractions leave the known ones in place; a malformed ownership record
        counts as empty.
        """
        try:
            if key == AGREED_FRACTIONS_KEY:
                self.agreed_fractions = decode_agreed_fractions(value, version)
            else:
                self._set_bucket(_bucket_number(key), decode_bucket(value, version))
        except (AttributeError, KeyError, TypeError, ValueError):
            log.exception("malformed capacity record: key=%s", key)
            if key != AGREED_FRACTIONS_KEY:
                self._set_bucket(_bucket_number(key), OwnershipBucket(version))

    def drop(self, key: str) -> None:
        """Take in that a record was deleted."""
        if key == AGREED_FRACTIONS_KEY:
            self.agreed_fractions = None
        else:
            self._set_bucket(_bucket_number(key), OwnershipBucket())

    def _set_bucket(self, number: int, bucket: OwnershipBucket) -> None:
        old = self.bucket(number).owners
        self.buckets[number] = bucket
        for machine in old.keys() | bucket.owners.keys():
            if old.get(machine) != bucket.owners.get(machine):
                self.changed_machines.add(machine)


def _bucket_number(key: str) -> int:
    """Number of an ownership record; -1 for a key that only a later version knows."""
    text = key.removeprefix(OWNERSHIP_PREFIX)
    return int(text) if text.isdecimal() else -1
