"""Interval sets against plain Python sets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from appledock.core.records.intervals import IntervalSet


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(0, 40)))
def test_behaves_like_a_set(numbers: list[int]) -> None:
    intervals, plain = IntervalSet(numbers), set(numbers)
    assert list(intervals) == sorted(plain)
    assert len(intervals) == len(plain)
    assert all((n in intervals) == (n in plain) for n in range(42))
    missing = [n for low, high in intervals.gaps(45) for n in range(low, high + 1)]
    assert missing == sorted(set(range(45)) - plain)
    assert list(IntervalSet.parse(str(intervals))) == sorted(plain)


@pytest.mark.parametrize("text", ["3-1", "5,4", "1-3,3", "x"])
def test_malformed_text_is_refused(text: str) -> None:
    with pytest.raises(ValueError):
        IntervalSet.parse(text)
