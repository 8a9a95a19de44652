"""Stored records of capacity partitions: agreed fractions, and the partition of each machine."""

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
    """The fractions of each pool's machines that the operators agreed on last."""

    version: int
    """Version of the key that stores the record."""
    request_id: str
    """Id of the request that set the fractions; the same request has no effect a second time."""
    fractions: MachineFractions
    previous_fractions: MachineFractions
    """Fractions before the last change."""
    stop_wall_time: float | None
    """Time of day from which tasks with checkpoints may be stopped for the change, in seconds."""

    def encode(self) -> dict[str, Any]:
        """Encode the record for the store, which holds the version itself."""
        return {
            "request": self.request_id,
            "shares": self.fractions,
            "before": self.previous_fractions,
            "stop_at": self.stop_wall_time,
        }


def decode_agreed_fractions(record: dict[str, Any], version: int) -> AgreedFractions:
    """Decode a stored record.

    Raises:
        KeyError, TypeError or AttributeError: the record is malformed.
    """
    return AgreedFractions(
        version, record["request"], record["shares"], record["before"], record.get("stop_at")
    )


class CapacityRecords:
    """The records under `CAPACITY_PREFIX` as last read."""

    def __init__(self) -> None:
        self.agreed_fractions: AgreedFractions | None = None
        self.buckets: dict[int, OwnershipBucket] = {}
        """Number of a bucket -> its ownership record."""
        self.changed_machines: set[str] = set()
        """Machines whose ownership has changed; the engine empties the set."""

    def bucket(self, number: int) -> OwnershipBucket:
        """Return an ownership record, which is empty if it was never written."""
        return self.buckets.get(number) or OwnershipBucket()

    def ownership_of(self, machine: str) -> Ownership | None:
        """Return which partition owns a machine, or None if the machine was never assigned."""
        return self.bucket(bucket_of(machine)).owners.get(machine)

    def owned_machines(self) -> Iterator[tuple[str, Ownership]]:
        """Iterate over all machines in the ownership records, with their ownership."""
        for bucket in self.buckets.values():
            yield from bucket.owners.items()

    def version(self, key: str) -> int:
        """Return the version of a record as last read, or 0 if the record does not exist."""
        if key == AGREED_FRACTIONS_KEY:
            return self.agreed_fractions.version if self.agreed_fractions is not None else 0
        return self.bucket(_bucket_number(key)).version

    def put(self, key: str, value: Any, version: int) -> None:
        """Store the current value of a record.

        If agreed fractions are malformed, the previous ones are kept. A malformed ownership record
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
        """Remove a record that was deleted from the store."""
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
    """Return the number of an ownership record; -1 for a key that only later versions know."""
    text = key.removeprefix(OWNERSHIP_PREFIX)
    return int(text) if text.isdecimal() else -1
