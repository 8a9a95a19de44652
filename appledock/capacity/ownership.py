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
    lent: bool = False
    """it is one more than the holder's share: its lender has it back when in need"""

    def left(self) -> Holding:
        """The same, being left."""
        return Holding(self.partition, True, self.lent)


SECTIONS = {
    "held": (False, False),
    "leaving": (True, False),
    "lent": (False, True),
    "returning": (True, True),
}
"""part of a record -> whether its machines are being left, and whether they are lent"""


@dataclass(slots=True)
class Bucket:
    """The machines of one record."""

    version: int = 0
    holdings: dict[str, Holding] = field(default_factory=dict)

    def encode(self) -> dict[str, Any]:
        """Names by section and partition; sections without any are left out."""
        sections = {name: self._names(*flags) for name, flags in SECTIONS.items()}
        return {name: names for name, names in sections.items() if names}

    def _names(self, leaving: bool, lent: bool) -> dict[str, str]:
        names: dict[str, list[str]] = {}
        for machine, holding in sorted(self.holdings.items()):
            if (holding.leaving, holding.lent) == (leaving, lent):
                names.setdefault(holding.partition, []).append(machine)
        return {partition: " ".join(machines) for partition, machines in sorted(names.items())}


def decode(record: dict[str, Any], version: int) -> Bucket:
    """The bucket of a record; raises TypeError or AttributeError if malformed."""
    bucket = Bucket(version)
    for section, (leaving, lent) in SECTIONS.items():
        for partition, names in record.get(section, {}).items():
            for machine in names.split():
                bucket.holdings[machine] = Holding(partition, leaving, lent)
    return bucket


def bucket_of(machine: str) -> int:
    """The number of the record that a machine belongs to."""
    digest = hashlib.blake2b(machine.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % c.CAPACITY_BUCKETS
