"""Bounds of conditional writes whose outcome is not known."""

from __future__ import annotations

from appledock.core.quota.resources import Resources
from appledock.core.quota.unanswered import UnansweredWrites
from appledock.core.store_calls import Committed, Conflict, UnknownOutcome


def test_a_bound_holds_while_the_outcome_is_unknown_and_the_version_is_the_same() -> None:
    writes = UnansweredWrites()
    writes.begin("job-1", 7, Resources(4.0)).finish(UnknownOutcome())
    assert writes.bound("job-1", 7) == Resources(4.0)
    assert writes.bound("job-1", 8) is None
    assert writes.bound("job-1", 7) is None  # dropped at version 8: versions only increase


def test_a_bound_ends_with_a_known_outcome() -> None:
    writes = UnansweredWrites()
    for outcome in (Committed(8), Conflict([])):
        write = writes.begin("job-1", 7, Resources(4.0))
        assert writes.bound("job-1", 7) == Resources(4.0)
        write.finish(outcome)
        assert writes.bound("job-1", 7) is None


def test_a_write_that_failed_leaves_the_bound_of_an_earlier_unanswered_one() -> None:
    writes = UnansweredWrites()
    writes.begin("job-1", 7, Resources(4.0)).finish(UnknownOutcome())
    writes.begin("job-1", 7, Resources(6.0)).finish(Conflict([]))
    assert writes.bound("job-1", 7) == Resources(4.0)


def test_a_committed_write_voids_the_earlier_unanswered_one() -> None:
    writes = UnansweredWrites()
    writes.begin("job-1", 7, Resources(4.0)).finish(UnknownOutcome())
    writes.begin("job-1", 7, Resources(6.0)).finish(Committed(8))
    assert writes.bound("job-1", 7) is None
