"""How a team's quota is divided among the controllers that own its jobs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple


class ResourceShare(NamedTuple):
    """What the jobs that one controller owns may hold together."""

    cpus: float
    gpus: float


@dataclass(slots=True)
class TeamAllocation:
    """Division of one team's quota under one membership view."""

    version: int = 0
    """of the key that stores the record"""
    term: int = 0
    """of the view under which it was divided; 0: of none, so it is divided anew"""
    shares: dict[str, ResourceShare] = field(default_factory=dict)
    """node -> what the jobs that it owns may hold"""

    @classmethod
    def decode(cls, value: Any, version: int) -> TeamAllocation:
        """The allocation in a stored record; a record of another form has the term 0.

        Raises TypeError, ValueError, IndexError or AttributeError if it is malformed.
        """
        return cls(
            version,
            int(value.get("term", 0)),
            {
                node: ResourceShare(float(share[0]), float(share[1]))
                for node, share in value.get("shares", {}).items()
            },
        )

    def encode(self) -> dict[str, Any]:
        """The record as stored."""
        return {
            "term": self.term,
            "shares": {
                node: [round(cpus, 6), round(gpus, 6)] for node, (cpus, gpus) in self.shares.items()
            },
        }
