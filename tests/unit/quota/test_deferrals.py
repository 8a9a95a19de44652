"""What is noticed of a limit that is left to another controller's job and not taken."""

from __future__ import annotations

import logging

import pytest

from appledock import constants
from appledock.core.quota.admission import QueuedDemand, admit_queue
from appledock.core.quota.deferrals import LimitDeferrals, PrecedingJob
from appledock.core.quota.resources import Resources

LIMIT = Resources(9.0)
TASK = Resources(2.0)
SORT_KEY = (0.0, 0.0, 0.0, 5.25)


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


@pytest.fixture
def deferrals() -> LimitDeferrals:
    return LimitDeferrals()


def observe(deferrals: LimitDeferrals, now: float, last_step: int = 0) -> None:
    other = PrecedingJob("job-1", "n1", last_step, SORT_KEY)
    deferrals.observe("red", "job-2", SORT_KEY, [other], now)


def test_a_job_that_takes_nothing_ends_the_deferral_for_a_while(
    deferrals: LimitDeferrals, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level(logging.INFO)
    end = int(constants.LIMIT_DEFERRAL_MAX_S)
    for second in range(end):
        observe(deferrals, float(second))
        assert not deferrals.serves_own_jobs_first("red", float(second))
    assert deferrals.longest_by_team(end - 1.0) == {"red": end - 1.0}
    observe(deferrals, float(end))
    (line,) = caplog.messages
    assert line.startswith("team limit left untaken: team=red job=job-1 owner=n1 key=0,0,0,5.25 ")
    assert deferrals.serves_own_jobs_first("red", end + 1.0)
    assert not deferrals.serves_own_jobs_first("blue", end + 1.0)
    assert not deferrals.serves_own_jobs_first("red", end + constants.LIMIT_DEFERRAL_MAX_S)
    assert deferrals.ended_count == 1


def test_a_wait_ends_with_a_step_of_the_other_job_or_once_it_is_not_noticed(
    deferrals: LimitDeferrals,
) -> None:
    observe(deferrals, 0.0)
    observe(deferrals, 4.0)
    observe(deferrals, 6.0, last_step=1)
    assert deferrals.longest_by_team(7.0) == {"red": 1.0}
    later = 6.0 + constants.LIMIT_DEFERRAL_GAP_MAX_S + 1.0
    assert deferrals.longest_by_team(later) == {}
    observe(deferrals, later)
    assert deferrals.longest_by_team(later) == {"red": 0.0}
