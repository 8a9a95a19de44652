"""Loans: surplus machines of one partition are used by others that need more, for a while."""

from __future__ import annotations

from dataclasses import dataclass, field


def lend_surplus(
    agreed: dict[str, int], needed: dict[str, int], lenders: set[str]
) -> dict[str, int]:
    """Partition -> machines that it shall own, loans included.

    `agreed`: machines by the agreed fractions; `needed`: machines that it could use now. Loans are
    made anew each time from what is surplus, so a lender in need comes before any loan. A lender
    keeps at least one machine, so that its next job starts at once.
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
    """Which partitions may lend: those with surplus machines for long enough.

    Otherwise machines would change owner with every short pause of a busy partition.
    """

    lend_after_s: float
    """how long machines must have been surplus"""
    surplus_started_at: dict[str, float] = field(default_factory=dict)
    """partition -> since when it has surplus machines"""

    def update(self, now: float, agreed: dict[str, int], needed: dict[str, int]) -> set[str]:
        """Take in the present numbers, and return the partitions that may lend."""
        for name, machines in agreed.items():
            if needed.get(name, 0) >= machines:
                self.surplus_started_at.pop(name, None)
            else:
                self.surplus_started_at.setdefault(name, now)
        return {
            name
            for name, since in self.surplus_started_at.items()
            if name in agreed and now - since >= self.lend_after_s
        }
