"""The compact form of a record keeps what the plain one does, in less room."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from appledock import wire
from appledock.core.records import attempt_groups as compact
from appledock.core.records.intervals import IntervalSet
from appledock.core.records.job import Attempt, Job, decode_job
from tests.test_requests import spec

MACHINES = st.one_of(
    st.integers(0, 400).map(lambda n: f"vm-{n:06d}"),
    st.sampled_from(["vm-7", "vm-07", "odd", "x9y", "a b", "vm-1234567890123"]),
)
ATTEMPT = st.tuples(
    MACHINES,
    st.integers(1, 3),
    st.integers(1, 3),
    st.integers(1, 3),
    st.booleans(),
    st.sets(st.integers(0, 300), min_size=1, max_size=9),
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(ATTEMPT, max_size=12), st.sets(st.integers(0, 300), max_size=200))
def test_a_record_read_again_is_the_same(rows: list[compact.AttemptRow], done: set[int]) -> None:
    job = Job(
        spec(crates=301),
        12.5,
        7,
        3,
        IntervalSet(sorted(done)),
        [Attempt(*row) for row in rows],
        True,
        13.25,
        ("n1", "x.1"),
        2,
    )

    def key(attempt: Attempt) -> tuple[object, ...]:
        return (
            attempt.machine,
            attempt.agent_epoch,
            attempt.attempt_number,
            attempt.term,
            attempt.stopping,
            sorted(attempt.tasks),
        )

    for format_ in (1, 2):
        again = decode_job(json.loads(wire.encode(job.encode(format_))), 7)
        assert sorted(map(key, again.attempts)) == sorted(map(key, job.attempts))
        assert list(again.completed_tasks) == sorted(done)
        assert (
            again.spec,
            again.submitted_wall_time,
            again.last_step,
            again.cancelled,
            again.cancelled_wall_time,
            again.handoff_target,
            again.consecutive_failures,
        ) == (job.spec, 12.5, 3, True, 13.25, ("n1", "x.1"), 2)


def test_the_largest_arrays_run_in_parallel_in_a_value_of_two_kilobytes() -> None:
    """240 tasks, two to a machine, half of the machines with one finished task."""
    attempts = []
    for number in range(120):
        tasks = {2 * number, 2 * number + 1} if number % 2 else {2 * number + 1}
        attempts.append(
            Attempt(f"vm-{number * 7 % 900:06d}", 1, 1 + number // 50, 41, False, tasks)
        )
    job = Job(
        spec(crates=240, tethers=[f"job-{number:06d}" for number in range(5, 9)]),
        1e9,
        7,
        3,
        IntervalSet(range(0, 240, 4)),
        attempts,
    )
    assert len(wire.encode(job.encode(1))) > 4000
    assert len(wire.encode(job.encode(2))) < 0.85 * 2048


@pytest.mark.parametrize(
    "groups",
    [
        [[1, 1, 1, 0, "vm-", 6, ""]],
        [[1, 1, 1, 0, "vm-", 6, "A"]],
        [[1, 1, 1, 0, "vm-", 6, "1-5"]],
        [[1, 1, 1]],
        [7],
        [[1, 1, 1, 0, "vm-", "six", "1"]],
    ],
)
def test_malformed_groups_are_no_record(groups: list[object]) -> None:
    with pytest.raises((ValueError, TypeError)):
        compact.unpack_attempts(groups)  # type: ignore[arg-type]
