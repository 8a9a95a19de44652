"""Who is a controller of the cluster: the membership view and the members' own records.

A view is replaced by one compare-and-swap at a time, each with a higher term. Its owners are
derived from it alone, so that all controllers that know a view agree on them.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from typing import Any, NamedTuple


class ControllerInstance(NamedTuple):
    """One process of a controller: a restarted node has another incarnation."""

    node: str
    incarnation: str


@dataclass(slots=True)
class View:
    """Members of the cluster; the term is the fencing token that workers compare."""

    term: int
    members: dict[str, str]
    """node -> incarnation"""
    leader: str
    overrides: dict[str, ControllerInstance] = field(default_factory=dict)
    """worker -> its owner, set where the worker cannot reach its derived owner"""
    detached: dict[str, str] = field(default_factory=dict)
    """node -> incarnation of members that workers cannot reach: they own nothing"""
    version: int = 0
    """of the key that stores the view"""

    @classmethod
    def decode(cls, value: Any, version: int) -> View:
        """The view in a stored record; raises KeyError, TypeError, ValueError if malformed."""
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
        """The record as stored."""
        return {
            "term": self.term,
            "members": self.members,
            "leader": self.leader,
            "overrides": {worker: list(owner) for worker, owner in self.overrides.items()},
            "detached": self.detached,
        }

    def has_member(self, node: str, incarnation: str) -> bool:
        """Is this process of the node a member?"""
        return self.members.get(node) == incarnation

    def attached_members(self) -> list[str]:
        """The members that own workers and jobs: those not detached, or all if none is left."""
        return [
            node
            for node, incarnation in self.members.items()
            if self.detached.get(node) != incarnation
        ] or list(self.members)

    def owner_of(self, name: str) -> str:
        """Owner of a worker (or, without hand-off, of a job)."""
        override = self.overrides.get(name)
        if override and self.has_member(*override):
            return override.node
        return self.derived_owner(name)

    def derived_owner(self, name: str) -> str:
        """Owner by rendezvous hashing: losing a member moves only what that member owned."""
        return max(
            self.attached_members(),
            key=lambda node: hashlib.blake2b(f"{node} {name}".encode(), digest_size=8).digest(),
        )


@dataclass(frozen=True, slots=True)
class Member:
    """A controller's own record; the store deletes it when the controller's lease expires."""

    incarnation: str
    lease: int
    version: int
    """of the key that stores the record"""
    record_format: int = 1
    """newest format of records that it reads and writes; members that say none: 1"""

    @classmethod
    def decode(cls, value: Any, version: int) -> Member:
        """The member in a stored record; raises KeyError, TypeError, ValueError if malformed."""
        return cls(value["incarnation"], value["lease"], version, int(value.get("format", 1)))
