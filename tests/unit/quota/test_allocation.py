"""Quota allocation, tested with a runtime, a replica and a first-come queue order."""

from __future__ import annotations

import random

import pytest

from appledock.core.quota.allocation import QuotaAllocation
from appledock.core.quota.record_plan import NoRecordChange, RecordChange, StepNotPossible
from appledock.core.quota.usage import QuotaUsage
from appledock.core.records.job import Attempt, HandoffTarget, Job
from appledock.core.runtime import Runtime
from appledock.core.store.keys import TEAMS_PREFIX, VIEW_KEY
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Committed, UnknownOutcome
from tests.standins.deployment import settings
from tests.test_requests import spec


class FirstComeOrder:
    """Queue order by time of submission."""

    def sort_key(self, job: Job) -> tuple[float, ...]:
        return (job.submitted_wall_time,)


@pytest.fixture
def replica() -> Replica:
    """A replica with 18 CPUs of the team's limit of 24 allocated to two controllers."""
    replica = Replica()
    replica.put(VIEW_KEY, {"term": 1, "members": {"n0": "a", "n1": "b"}, "leader": "n0"}, 1)
    replica.put(TEAMS_PREFIX + "red", {"term": 1, "shares": {"n0": [6, 0], "n1": [12, 0]}}, 2)
    replica.advance(2)
    return replica


@pytest.fixture
def allocation(replica: Replica) -> QuotaAllocation:
    runtime = Runtime(settings("n0", ["n0", "n1"]), "a", random.Random(1))
    return QuotaAllocation(runtime, replica, QuotaUsage(runtime, replica), FirstComeOrder())


def add_job(replica: Replica, number: int, tasks: int) -> Job:
    """A queued job of n0 whose tasks need one CPU."""
    job = Job(
        spec(id=f"job-{number}", crates=tasks),
        float(number),
        version=2,
        handoff_target=HandoffTarget("n0", "a"),
    )
    replica.set_job(job)
    return job


def started(job: Job, tasks: int) -> Job:
    new = job.copy()
    new.attempts.append(Attempt("vm-1", 1, 1, 1, False, set(range(tasks))))
    return new


def test_a_step_inside_the_allocation_changes_no_record(
    replica: Replica, allocation: QuotaAllocation
) -> None:
    job = add_job(replica, 1, 20)
    assert allocation.plan(job, started(job, 6), "n0") == NoRecordChange()


def test_a_step_beyond_the_allocation_raises_it_from_the_unallocated_rest(
    replica: Replica, allocation: QuotaAllocation
) -> None:
    job = add_job(replica, 1, 20)
    assert allocation.admitted_tasks(job, job) == 12
    change = allocation.plan(job, started(job, 9), "n0")
    assert isinstance(change, RecordChange)
    assert change.record.version == 2
    assert 9.0 <= change.record.shares["n0"][0] <= 12.0
    assert change.record.shares["n1"] == (12.0, 0.0)
    assert allocation.plan(job, started(job, 13), "n0") == StepNotPossible()


def test_only_one_write_of_a_teams_record_is_under_way_at_a_time(
    replica: Replica, allocation: QuotaAllocation
) -> None:
    job = add_job(replica, 1, 20)
    change = allocation.plan(job, started(job, 9), "n0")
    assert isinstance(change, RecordChange)
    write = allocation.begin_team_record_write("red", change.record)
    assert allocation.plan(job, started(job, 9), "n0") == StepNotPossible()
    write.finish(Committed(3))
    allocation.on_record_committed("red", change.record, 3)
    assert allocation.plan(job, started(job, 9), "n0") == NoRecordChange()


def test_a_job_may_take_again_what_a_write_of_it_without_an_answer_holds(
    replica: Replica, allocation: QuotaAllocation
) -> None:
    """Of the two writes, conditional on one version, at most one is executed."""
    replica.put(TEAMS_PREFIX + "red", {"term": 1, "shares": {"n0": [6, 0], "n1": [18, 0]}}, 3)
    replica.advance(3)
    job, other = add_job(replica, 1, 6), add_job(replica, 2, 6)
    allocation.begin_job_write(job, started(job, 6), None).finish(UnknownOutcome())
    assert allocation.admitted_tasks(job, job) == 6
    assert allocation.plan(job, started(job, 6), "n0") == NoRecordChange()
    assert allocation.admitted_tasks(other, other) == 0


def test_a_lost_raise_of_the_allocation_does_not_count_twice(
    replica: Replica, allocation: QuotaAllocation
) -> None:
    """The write would have raised the allocation from 6 to 12, all that n1 has left over."""
    job = add_job(replica, 1, 20)
    new = started(job, 12)
    change = allocation.plan(job, new, "n0")
    assert isinstance(change, RecordChange)
    allocation.begin_job_write(job, new, change.record).finish(UnknownOutcome())
    tasks = allocation.admitted_tasks(job, job)
    assert tasks == 12
    assert isinstance(allocation.plan(job, started(job, tasks), "n0"), RecordChange)
