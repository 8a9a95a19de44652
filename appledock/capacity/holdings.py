"""Records of who holds which machine: in buckets, so that no record grows without bound."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any

from appledock import constants as c


@dataclass(frozen=True, slots=True)
class Holding:
    """One machine's holder."""

    partition: str
    leaving: bool = False
    """the holder starts nothing more there; when it is empty, another one gets it"""


@dataclass(slots=True)
class Bucket:
    """The machines of one record."""

    version: int = 0
    holdings: dict[str, Holding] = field(default_factory=dict)

    def encode(self) -> dict[str, Any]:
        """Names by partition, those that are being handed over apart."""
        return {
            "held": self._names(leaving=False),
            "leaving": self._names(leaving=True),
        }

    def _names(self, *, leaving: bool) -> dict[str, str]:
        names: dict[str, list[str]] = {}
        for machine, holding in sorted(self.holdings.items()):
            if holding.leaving == leaving:
                names.setdefault(holding.partition, []).append(machine)
        return {partition: " ".join(machines) for partition, machines in sorted(names.items())}


def decode(record: dict[str, Any], version: int) -> Bucket:
    """The bucket of a record; raises KeyError, TypeError or AttributeError if malformed."""
    bucket = Bucket(version)
    for field_name, leaving in (("held", False), ("leaving", True)):
        for partition, names in record[field_name].items():
            for machine in names.split():
                bucket.holdings[machine] = Holding(partition, leaving)
    return bucket


def bucket_of(machine: str) -> int:
    """The number of the record that a machine belongs to."""
    digest = hashlib.blake2b(machine.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % c.CAPACITY_BUCKETS
