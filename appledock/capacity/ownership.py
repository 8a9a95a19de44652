"""Ownership records: the owners of machines, in hash buckets so that each record stays bounded."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from appledock import constants


@dataclass(frozen=True, slots=True)
class Ownership:
    """The partition that owns a machine, and whether it keeps it."""

    partition: str
    is_being_handed_over: bool = False
    """no step of the owner uses it any more; once it is empty, it gets another owner"""
    is_lent: bool = False
    """it is beyond the owner's agreed number: its lender gets it back when in need"""

    def with_handover_started(self) -> Ownership:
        """The same machine, being handed over."""
        return Ownership(self.partition, True, self.is_lent)


class Section(NamedTuple):
    """What the machines of one section of a record have in common."""

    is_being_handed_over: bool
    is_lent: bool


SECTIONS = {
    "held": Section(is_being_handed_over=False, is_lent=False),
    "leaving": Section(is_being_handed_over=True, is_lent=False),
    "lent": Section(is_being_handed_over=False, is_lent=True),
    "returning": Section(is_being_handed_over=True, is_lent=True),
}
"""name of a section in the stored record -> its machines"""


@dataclass(slots=True)
class OwnershipBucket:
    """The machines of one record."""

    version: int = 0
    """of its key; 0: it was never written"""
    owners: dict[str, Ownership] = field(default_factory=dict)
    """machine -> its owner"""

    def encode(self) -> dict[str, Any]:
        """The stored record: machine names by section and partition; empty sections left out."""
        sections = {name: self._names(section) for name, section in SECTIONS.items()}
        return {name: names for name, names in sections.items() if names}

    def _names(self, section: Section) -> dict[str, str]:
        names: dict[str, list[str]] = {}
        for machine, ownership in sorted(self.owners.items()):
            if (ownership.is_being_handed_over, ownership.is_lent) == section:
                names.setdefault(ownership.partition, []).append(machine)
        return {partition: " ".join(machines) for partition, machines in sorted(names.items())}


def decode_bucket(record: dict[str, Any], version: int) -> OwnershipBucket:
    """The bucket of a stored record; raises TypeError or AttributeError if malformed."""
    bucket = OwnershipBucket(version)
    for name, section in SECTIONS.items():
        for partition, machines in record.get(name, {}).items():
            for machine in machines.split():
                bucket.owners[machine] = Ownership(partition, *section)
    return bucket


def bucket_of(machine: str) -> int:
    """Number of the record that a machine belongs to."""
    digest = hashlib.blake2b(machine.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % constants.CAPACITY_BUCKETS
