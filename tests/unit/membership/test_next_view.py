"""Computation of the next view, tested as a function of values."""

from __future__ import annotations

from appledock import wire
from appledock.core.membership.next_view import next_view
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.store.replica import View

MEMBERS = {"n0": "x.1", "n1": "y.1", "n2": "z.1"}


def view_after(
    old: View | None,
    members: dict[str, str] = MEMBERS,
    requests: ViewChangeRequests | None = None,
    deleted: frozenset[str] = frozenset(),
    max_bytes: int = 10_000,
) -> View:
    """Return the view that n0 writes after `old`."""
    view_requests = requests or ViewChangeRequests()
    return next_view(old, "n0", members, view_requests, deleted.__contains__, max_bytes)


def test_the_first_view_has_term_one_and_its_writer_as_leader() -> None:
    assert view_after(None, {"n0": "x.1"}) == View(1, {"n0": "x.1"}, "n0")


def test_the_leader_stays_while_it_is_the_same_incarnation() -> None:
    old = View(7, MEMBERS, "n1")
    assert (view_after(old).term, view_after(old).leader) == (8, "n1")
    assert view_after(old, {**MEMBERS, "n1": "y.2"}).leader == "n0"
    assert view_after(old, {"n0": "x.1", "n2": "z.1"}).leader == "n0"
    assert view_after(old, requests=ViewChangeRequests(take_leadership=True)).leader == "n0"


def test_a_detached_leader_is_replaced_by_the_writer() -> None:
    view = view_after(View(7, MEMBERS, "n1"), requests=ViewChangeRequests(members_to_detach={"n1"}))
    assert (view.leader, view.detached) == ("n0", {"n1": "y.1"})


def test_a_member_stays_detached_until_it_restarts_or_attaches_itself() -> None:
    old = View(7, MEMBERS, "n2", detached={"n0": "x.1", "n1": "y.1"})
    assert view_after(old).detached == old.detached
    assert view_after(old, {**MEMBERS, "n1": "y.2"}).detached == {"n0": "x.1"}
    assert view_after(old, requests=ViewChangeRequests(attach_self=True)).detached == {"n1": "y.1"}


def test_all_members_are_never_detached_at_the_same_time() -> None:
    requests = ViewChangeRequests(members_to_detach=set(MEMBERS))
    assert view_after(View(7, MEMBERS, "n1"), requests=requests).detached == {}


def test_an_override_is_removed_with_its_owner_and_with_its_machine() -> None:
    requests = ViewChangeRequests(overrides={"vm-1": "n1", "vm-2": "n2", "vm-3": "n9"})
    old = view_after(View(7, MEMBERS, "n1"), requests=requests)
    assert set(old.overrides) == {"vm-1", "vm-2"}  # n9 is not a member
    assert set(view_after(old, deleted=frozenset({"vm-1"})).overrides) == {"vm-2"}
    assert set(view_after(old, {**MEMBERS, "n2": "z.2"}).overrides) == {"vm-1"}
    detach = ViewChangeRequests(members_to_detach={"n1"})
    assert set(view_after(old, requests=detach).overrides) == {"vm-2"}


def test_overrides_that_do_not_fit_the_record_are_dropped() -> None:
    requests = ViewChangeRequests(overrides={f"vm-{number:03d}": "n1" for number in range(90)})
    view = view_after(View(7, MEMBERS, "n1"), requests=requests, max_bytes=1000)
    assert 0 < len(view.overrides) < 90
    assert len(wire.encode(view.encode())) <= 1000
