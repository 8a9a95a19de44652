"""The view that follows a view, as a function of values."""

from __future__ import annotations

from appledock import wire
from appledock.core.membership.next_view import next_view
from appledock.core.membership.view_requests import ViewChangeRequests
from appledock.core.store.replica import View

MEMBERS = {"n0": "x.1", "n1": "y.1", "n2": "z.1"}


def after(
    old: View | None,
    members: dict[str, str] = MEMBERS,
    requests: ViewChangeRequests | None = None,
    deleted: frozenset[str] = frozenset(),
    max_bytes: int = 10_000,
) -> View:
    """The view that n0 writes."""
    pending = requests or ViewChangeRequests()
    return next_view(old, "n0", members, pending, deleted.__contains__, max_bytes)


def test_the_first_view_has_term_one_and_its_writer_as_leader() -> None:
    assert after(None, {"n0": "x.1"}) == View(1, {"n0": "x.1"}, "n0")


def test_the_leader_stays_while_it_is_the_same_incarnation() -> None:
    old = View(7, MEMBERS, "n1")
    assert (after(old).term, after(old).leader) == (8, "n1")
    assert after(old, {**MEMBERS, "n1": "y.2"}).leader == "n0"
    assert after(old, {"n0": "x.1", "n2": "z.1"}).leader == "n0"
    assert after(old, requests=ViewChangeRequests(take_leadership=True)).leader == "n0"


def test_a_detached_leader_is_replaced_by_the_writer() -> None:
    view = after(View(7, MEMBERS, "n1"), requests=ViewChangeRequests(members_to_detach={"n1"}))
    assert (view.leader, view.detached) == ("n0", {"n1": "y.1"})


def test_a_detached_member_stays_so_until_it_restarts_or_attaches_itself() -> None:
    old = View(7, MEMBERS, "n2", detached={"n0": "x.1", "n1": "y.1"})
    assert after(old).detached == old.detached
    assert after(old, {**MEMBERS, "n1": "y.2"}).detached == {"n0": "x.1"}
    assert after(old, requests=ViewChangeRequests(attach_self=True)).detached == {"n1": "y.1"}


def test_never_are_all_members_detached() -> None:
    requests = ViewChangeRequests(members_to_detach=set(MEMBERS))
    assert after(View(7, MEMBERS, "n1"), requests=requests).detached == {}


def test_an_override_ends_with_its_owner_and_with_its_machine() -> None:
    requests = ViewChangeRequests(overrides={"vm-1": "n1", "vm-2": "n2", "vm-3": "n9"})
    old = after(View(7, MEMBERS, "n1"), requests=requests)
    assert set(old.overrides) == {"vm-1", "vm-2"}  # n9 is no member
    assert set(after(old, deleted=frozenset({"vm-1"})).overrides) == {"vm-2"}
    assert set(after(old, {**MEMBERS, "n2": "z.2"}).overrides) == {"vm-1"}
    detach = ViewChangeRequests(members_to_detach={"n1"})
    assert set(after(old, requests=detach).overrides) == {"vm-2"}


def test_overrides_that_do_not_fit_the_record_are_dropped() -> None:
    requests = ViewChangeRequests(overrides={f"vm-{number:03d}": "n1" for number in range(90)})
    view = after(View(7, MEMBERS, "n1"), requests=requests, max_bytes=1000)
    assert 0 < len(view.overrides) < 90
    assert len(wire.encode(view.encode())) <= 1000
