"""Loans: partitions that need more machines temporarily own surplus machines of others."""

from __future__ import annotations

from dataclasses import dataclass, field


def lend_surplus(
    agreed: dict[str, int], needed: dict[str, int], lenders: set[str]
) -> dict[str, int]:
    """Return how many machines each partition should own, loans included.

    All loans are recomputed at each call from the current surplus, so a lender's own need takes
    precedence over any loan. A lender keeps at least one machine, so that its next job starts at
    once.

    Args:
        agreed: Partition -> number of machines that the agreed fractions give the partition.
        needed: Partition -> number of machines that the partition could use now.
        lenders: Partitions that may lend machines.
    """
    result = dict(agreed)
    surplus = {
        name: max(0, agreed[name] - max(1, needed.get(name, 0)))
        for name in agreed
        if name in lenders
    }
    missing = {name: max(0, needed.get(name, 0) - agreed[name]) for name in agreed}
    while any(surplus.values()) and any(missing.values()):
        borrower = max(sorted(missing), key=missing.__getitem__)
        lender = max(sorted(surplus), key=surplus.__getitem__)
        result[lender] -= 1
        result[borrower] += 1
        surplus[lender] -= 1
        missing[borrower] -= 1
    return result


@dataclass
class SurplusTracker:
    """Tracks since when partitions have surplus machines, and which of them may lend some.

    A partition may lend only after it has had a surplus for `lend_after_s`. Otherwise machines
    would change their owner at every short pause of a busy partition.
    """

    lend_after_s: float
    """Time for which a partition must have had surplus machines, in seconds."""
    surplus_started_at: dict[str, float] = field(default_factory=dict)
    """Partition -> when its present surplus began."""

    def update(self, now: float, agreed: dict[str, int], needed: dict[str, int]) -> set[str]:
        """Update the surplus from the current numbers, and return the partitions that may lend."""
        for name, machines in agreed.items():
            if needed.get(name, 0) >= machines:
                self.surplus_started_at.pop(name, None)
            else:
                self.surplus_started_at.setdefault(name, now)
        return {
            name
            for name, started_at in self.surplus_started_at.items()
            if name in agreed and now - started_at >= self.lend_after_s
        }
