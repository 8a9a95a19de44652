"""Membership of the cluster's controllers: the membership view and the members' own records.

Each change of the view is one compare-and-swap that writes a view with a higher term. The owners of
workers and jobs are derived from the view alone, so that all controllers that know the same view
agree on them.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any, NamedTuple


class ControllerInstance(NamedTuple):
    """One process of a controller; a restarted controller has another incarnation."""

    node: str
    incarnation: str


@dataclass(slots=True)
class View:
    """Members of the cluster; workers compare the term as a fencing token."""

    term: int
    members: dict[str, str]
    """Node -> incarnation."""
    leader: str
    overrides: dict[str, ControllerInstance] = field(default_factory=dict)
    """Worker -> its owner, for workers that cannot reach their derived owner."""
    detached: dict[str, str] = field(default_factory=dict)
    """Node -> incarnation of members that own nothing, because workers cannot reach them."""
    version: int = 0
    """Version of the key that stores the view."""

    @classmethod
    def decode(cls, value: Any, version: int) -> View:
        """Decode a stored record.

        Raises:
            KeyError, TypeError or ValueError: the record is malformed.
        """
        return cls(
            int(value["term"]),
            dict(value["members"]),
            value["leader"],
            {
                worker: ControllerInstance(owner[0], owner[1])
                for worker, owner in value.get("overrides", {}).items()
            },
            dict(value.get("detached", {})),
            version,
        )

    def encode(self) -> dict[str, Any]:
        """Encode the record for the store."""
        return {
            "term": self.term,
            "members": self.members,
            "leader": self.leader,
            "overrides": {worker: list(owner) for worker, owner in self.overrides.items()},
            "detached": self.detached,
        }

    def has_member(self, node: str, incarnation: str) -> bool:
        """Return whether this process of the node is a member."""
        return self.members.get(node) == incarnation

    def attached_members(self) -> list[str]:
        """Return the members that own workers and jobs.

        These are the members that are not detached, or all members if every one is detached.
        """
        return [
            node
            for node, incarnation in self.members.items()
            if self.detached.get(node) != incarnation
        ] or list(self.members)

    def owner_of(self, name: str) -> str:
        """Return the owner of a worker, or of a job that was not handed off."""
        override = self.overrides.get(name)
        if override and self.has_member(*override):
            return override.node
        return self.derived_owner(name)

    def derived_owner(self, name: str) -> str:
        """Return the owner by rendezvous hashing.

        If a member is lost, only the workers and jobs that it owned get another owner.
        """
        return max(
            self.attached_members(),
            key=lambda node: hashlib.blake2b(f"{node} {name}".encode(), digest_size=8).digest(),
        )


@dataclass(frozen=True, slots=True)
class Member:
    """A member's own record, which the store deletes when the member's lease expires."""

    incarnation: str
    lease: int
    version: int
    """Version of the key that stores the record."""
    record_format: int = 1
    """Newest format of records that the member reads and writes; 1 if its record has none."""

    @classmethod
    def decode(cls, value: Any, version: int) -> Member:
        """Decode a stored record.

        Raises:
            KeyError, TypeError or ValueError: the record is malformed.
        """
        return cls(value["incarnation"], value["lease"], version, int(value.get("format", 1)))
