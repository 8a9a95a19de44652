"""Ownership records: the owners of machines, in hash buckets that bound the size of a record."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from appledock import constants


@dataclass(frozen=True, slots=True)
class Ownership:
    """The partition that owns a machine, and whether it keeps the machine."""

    partition: str
    is_being_handed_over: bool = False
    """Whether the machine is being drained: it gets no new tasks, and another owner once empty."""
    is_lent: bool = False
    """Whether the machine is beyond the owner's agreed number.

    It is returned to its lender when the lender needs it.
    """

    def with_handover_started(self) -> Ownership:
        """Return this ownership with the machine being handed over."""
        return Ownership(self.partition, True, self.is_lent)


class Section(NamedTuple):
    """State that all machines in one section of an ownership record share."""

    is_being_handed_over: bool
    is_lent: bool


SECTIONS = {
    "held": Section(is_being_handed_over=False, is_lent=False),
    "leaving": Section(is_being_handed_over=True, is_lent=False),
    "lent": Section(is_being_handed_over=False, is_lent=True),
    "returning": Section(is_being_handed_over=True, is_lent=True),
}
"""Name of a section in the stored record -> state of the machines in it."""


@dataclass(slots=True)
class OwnershipBucket:
    """The machines of one ownership record, with their owners."""

    version: int = 0
    """Version of the record's key; 0 if the record was never written."""
    owners: dict[str, Ownership] = field(default_factory=dict)
    """Machine -> its owner."""

    def encode(self) -> dict[str, Any]:
        """Encode the bucket for the store: machine names by section and partition.

        Empty sections are left out.
        """
        sections = {name: self._machine_names(section) for name, section in SECTIONS.items()}
        return {name: names for name, names in sections.items() if names}

    def _machine_names(self, section: Section) -> dict[str, str]:
        names: dict[str, list[str]] = {}
        for machine, ownership in sorted(self.owners.items()):
            if (ownership.is_being_handed_over, ownership.is_lent) == section:
                names.setdefault(ownership.partition, []).append(machine)
        return {partition: " ".join(machines) for partition, machines in sorted(names.items())}


def decode_bucket(record: dict[str, Any], version: int) -> OwnershipBucket:
    """Decode a stored record.

    Raises:
        TypeError or AttributeError: The record is malformed.
    """
    bucket = OwnershipBucket(version)
    for name, section in SECTIONS.items():
        for partition, machines in record.get(name, {}).items():
            for machine in machines.split():
                bucket.owners[machine] = Ownership(partition, *section)
    return bucket


def bucket_of(machine: str) -> int:
    """Return the number of the ownership record that holds a machine."""
    digest = hashlib.blake2b(machine.encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") % constants.CAPACITY_BUCKETS
