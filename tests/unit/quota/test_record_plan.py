"""Pure functions that plan a change of a team's record."""

from __future__ import annotations

from appledock.core.quota.record_plan import (
    allocate_for_new_view,
    move_reservation,
    raise_allocation,
)
from appledock.core.quota.resources import Resources, total

LIMIT = Resources(24.0)


def test_a_handed_off_reservation_moves_to_the_new_owners_allocation() -> None:
    allocated = {"n0": Resources(10.0), "n1": Resources(14.0)}
    changed = move_reservation(allocated, "n0", "n1", Resources(4.0), Resources(5.0))
    assert changed == {"n0": Resources(6.0), "n1": Resources(18.0)}


def test_a_hand_off_leaves_what_the_other_jobs_hold() -> None:
    allocated = {"n0": Resources(6.0)}
    changed = move_reservation(allocated, "n0", "n1", Resources(4.0), Resources(5.0))
    assert changed == {"n0": Resources(5.0), "n1": Resources(4.0)}


def test_a_raise_covers_the_step_and_stays_inside_the_limit() -> None:
    allocated = {"n0": Resources(2.0), "n1": Resources(8.0)}
    changed = raise_allocation(allocated, "n0", Resources(6.0), Resources(30.0), LIMIT, 2)
    assert Resources(6.0).fits_in(changed["n0"])
    assert changed["n1"] == Resources(8.0)
    assert total(changed.values()).fits_in(LIMIT)


def test_a_new_view_gives_every_member_more_than_its_jobs_hold() -> None:
    changed = allocate_for_new_view(
        {"n1": Resources(8.0)}, "n0", Resources(2.0), LIMIT, {"n0", "n1", "n2"}
    )
    assert changed["n0"].cpus > 2.0 and changed["n1"].cpus > 8.0 and changed["n2"].cpus > 0.0
    assert total(changed.values()).fits_in(LIMIT)
