"""Records of who holds which machine: in buckets, so that no record grows without bound."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any

from appledock import constants as c


@dataclass(frozen=True, slots=True)
class Ownership:
    """One machine's holder."""

    partition: str
    is_being_handed_over: bool = False
    """the holder starts nothing more there; when it is empty, another one gets it"""
    is_lent: bool = False
    """it is one more than the holder's share: its lender has it back when in need"""

    def handed_over(self) -> Ownership:
        """The same, being left."""
        return Ownership(self.partition, True, self.is_lent)


SECTIONS = {
    "held": (False, False),
    "leaving": (True, False),
    "lent": (False, True),
    "returning": (True, True),
}
"""part of a record -> whether its machines are being left, and whether they are lent"""


@dataclass(slots=True)
class OwnershipBucket:
    """The machines of one record."""

    version: int = 0
    owners: dict[str, Ownership] = field(default_factory=dict)

    def encode(self) -> dict[str, Any]:
        """Names by section and partition; sections without any are left out."""
        sections = {name: self._names(*flags) for name, flags in SECTIONS.items()}
        return {name: names for name, names in sections.items() if names}

    def _names(self, is_being_handed_over: bool, is_lent: bool) -> dict[str, str]:
        names: dict[str, list[str]] = {}
        for machine, ownership in sorted(self.owners.items()):
            if (ownership.is_being_handed_over, ownership.is_lent) == (
                is_being_handed_over,
                is_lent,
            ):
                names.setdefault(ownership.partition, []).append(machine)
        return {partition: " ".join(machines) for partition, machines in sorted(names.items())}


def decode_bucket(record: dict[str, Any], version: int) -> OwnershipBucket:
    """The bucket of a record; raises TypeError or AttributeError if malformed."""
    bucket = OwnershipBucket(version)
    for section, (is_being_handed_over, is_lent) in SECTIONS.items():
        for partition, names in record.get(section, {}).items():
            for machine in names.split():
                bucket.owners[machine] = Ownership(partition, is_being_handed_over, is_lent)
    return bucket


def bucket_of(machine: str) -> int:
    """The number of the record that a machine belongs to."""
    digest = hashlib.blake2b(machine.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % c.CAPACITY_BUCKETS
