"""Lending: machines that a partition does not need go to those that need more, for a while."""

from __future__ import annotations

from dataclasses import dataclass, field


def lend_surplus(target: dict[str, int], need: dict[str, int], lenders: set[str]) -> dict[str, int]:
    """The numbers of machines with loans in them.

    `need`: machines that each partition could use now. Whoever needs its own machines has them:
    loans are made anew each time from what is spare, so a lender in need comes before any loan.
    A lender keeps at least one machine, so that its next job starts at once.
    """
    result = dict(target)
    spare = {
        name: max(0, target[name] - max(1, need.get(name, 0))) for name in target if name in lenders
    }
    lacks = {name: max(0, need.get(name, 0) - target[name]) for name in target}
    while any(spare.values()) and any(lacks.values()):
        borrower = max(sorted(lacks), key=lacks.__getitem__)
        lender = max(sorted(spare), key=spare.__getitem__)
        result[lender] -= 1
        result[borrower] += 1
        spare[lender] -= 1
        lacks[borrower] -= 1
    return result


@dataclass
class Lenders:
    """Who may lend: only what was spare for a while.

    Guards against machines that change hands with every short pause of a busy partition.
    """

    after_s: float
    spare_since: dict[str, float] = field(default_factory=dict)

    def ready(self, now: float, target: dict[str, int], need: dict[str, int]) -> set[str]:
        """Partitions whose spare machines have been spare for long enough."""
        for name, machines in target.items():
            if need.get(name, 0) >= machines:
                self.spare_since.pop(name, None)
            else:
                self.spare_since.setdefault(name, now)
        return {
            name
            for name, since in self.spare_since.items()
            if name in target and now - since >= self.after_s
        }
