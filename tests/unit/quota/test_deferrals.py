"""What is noticed of a limit that is left to another controller's job and not taken."""

from __future__ import annotations

import logging
import random

import pytest

from appledock import constants
from appledock.core.quota.admission import QueuedDemand, admit_queue
from appledock.core.quota.deferrals import LimitDeferrals
from appledock.core.quota.resources import Resources
from appledock.core.records.job import HandoffTarget, Job
from appledock.core.runtime import Runtime
from appledock.core.store.keys import VIEW_KEY
from appledock.core.store.replica import Replica
from tests.standins.deployment import settings
from tests.test_requests import spec

LIMIT = Resources(9.0)
TASK = Resources(2.0)


def waiting(number: int, owner: str, tasks: int) -> QueuedDemand:
    return QueuedDemand(f"job-{number}", owner, Resources(2.0 * tasks))


def one_task(_job_id: str) -> Resources:
    return TASK


def test_a_job_is_deferred_only_if_it_could_start_without_those_before_it() -> None:
    queue = [waiting(1, "n1", 3), waiting(2, "n0", 1), waiting(3, "n1", 9), waiting(4, "n0", 1)]
    admission = admit_queue(LIMIT, {}, {}, "n0", queue, one_task)
    assert admission.admitted["job-2"] == TASK
    assert admission.preceding == ("job-1",)  # one core is left to job-3: too little for a task
    assert admission.deferred == {"job-4": 1}


def test_a_job_that_the_limit_itself_keeps_waiting_is_not_deferred() -> None:
    held = {"n1": Resources(8.0)}
    queue = [waiting(1, "n1", 4), waiting(2, "n0", 4)]
    assert admit_queue(LIMIT, held, held, "n0", queue, one_task).deferred == {}
    assert admit_queue(LIMIT, {}, {}, "n0", queue, lambda _: Resources(10.0)).deferred == {}


def test_a_gang_for_which_the_limit_is_collected_is_not_passed() -> None:
    """It cannot take what is left to it before its last task fits as well."""
    held = {"n1": Resources(4.0)}
    queue = [waiting(1, "n1", 4), waiting(2, "n0", 1)]

    def next_step(job_id: str) -> Resources:
        return Resources(8.0) if job_id == "job-1" else TASK

    admission = admit_queue(LIMIT, held, held, "n0", queue, next_step)
    assert (admission.preceding, admission.deferred) == ((), {})
    assert not TASK.fits_in(admission.admitted["job-2"])


class SameOrder:
    """Queue order with one key for all jobs."""

    def sort_key(self, job: Job) -> tuple[float, ...]:
        return (0.0, 0.0, 0.0, 5.25)


class Observed:
    """Deferrals of n0, whose job-2 of team red is preceded by job-1 of n1."""

    def __init__(self) -> None:
        self.runtime = Runtime(settings("n0", ["n0", "n1"]), "a", random.Random(1))
        self.replica = Replica()
        members = {"n0": "a", "n1": "b"}
        self.replica.put(VIEW_KEY, {"term": 1, "members": members, "leader": "n0"}, 1)
        self.deferrals = LimitDeferrals(self.runtime, self.replica, SameOrder())
        self.own = self.add_job("job-2", "n0", "a")
        self.add_job("job-1", "n1", "b")

    def add_job(self, job_id: str, owner: str, incarnation: str) -> Job:
        job = Job(spec(id=job_id), 0.0, 2, handoff_target=HandoffTarget(owner, incarnation))
        self.replica.set_job(job)
        return job

    def look(self, now: float) -> None:
        """A placement pass at that time: job-2 could start if job-1 took nothing."""
        self.runtime.now = now
        self.deferrals.observe(self.own, ["job-1"])

    def longest_s(self, now: float) -> dict[str, float]:
        self.runtime.now = now
        return self.deferrals.summary()["longest_s"]


def test_a_job_that_takes_nothing_ends_the_deferral_for_a_while(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    observed = Observed()
    deferrals = observed.deferrals
    end = int(constants.LIMIT_DEFERRAL_MAX_S)
    for second in range(end):
        observed.look(float(second))
        assert not deferrals.serves_own_jobs_first("red")
    assert observed.longest_s(end - 1.0) == {"red": end - 1.0}
    observed.look(float(end))
    (line,) = caplog.messages
    assert line.startswith("team limit left untaken: team=red job=job-1 owner=n1 key=0,0,0,5.25 ")
    assert deferrals.serves_own_jobs_first("red")
    assert not deferrals.serves_own_jobs_first("blue")
    assert deferrals.summary()["ended"] == 1
    observed.runtime.now = end + constants.LIMIT_DEFERRAL_MAX_S
    assert not deferrals.serves_own_jobs_first("red")


def test_a_wait_ends_with_a_step_of_the_other_job_or_once_it_is_not_noticed() -> None:
    observed = Observed()
    observed.look(0.0)
    observed.look(4.0)
    stepped = observed.replica.jobs["job-1"].copy()
    stepped.version, stepped.last_step = 3, 1
    observed.replica.set_job(stepped)
    observed.look(6.0)
    assert observed.longest_s(7.0) == {"red": 1.0}
    later = 6.0 + constants.LIMIT_DEFERRAL_GAP_MAX_S + 1.0
    assert observed.longest_s(later) == {}
    observed.look(later)
    assert observed.longest_s(later) == {"red": 0.0}
