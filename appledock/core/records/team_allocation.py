"""Division of a team's quota among the controllers that own the team's jobs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple


class ResourceShare(NamedTuple):
    """Limit on the resources that a team's jobs with the same owner may hold together."""

    cpus: float
    gpus: float


@dataclass(slots=True)
class TeamAllocation:
    """Allocation of one team's quota to the controllers under one membership view."""

    version: int = 0
    """Version of the key that stores the record."""
    term: int = 0
    """Term of the view for which the quota was divided; 0 if it must be divided again."""
    shares: dict[str, ResourceShare] = field(default_factory=dict)
    """Node -> its share of the quota."""

    @classmethod
    def decode(cls, value: Any, version: int) -> TeamAllocation:
        """Decode a stored record; a record in another form, without a term, gets term 0.

        Raises:
            TypeError, ValueError, IndexError or AttributeError: the record is malformed.
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
        """Encode the record for the store."""
        return {
            "term": self.term,
            "shares": {
                node: [round(cpus, 6), round(gpus, 6)] for node, (cpus, gpus) in self.shares.items()
            },
        }
