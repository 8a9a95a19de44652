"""Unit tests of the queue order."""

from __future__ import annotations

import random

from appledock import constants
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.objectives import ServiceLevelObjectives
from appledock.core.scheduling.queue_order import AGEING_PRECEDENCE, GuaranteeClass, QueueOrder
from appledock.core.store.keys import FINAL_PREFIX
from appledock.core.store.replica import Replica
from appledock.settings import Objective
from tests.test_requests import settings, spec


class GuaranteedQuota:
    """Quota in which all jobs except the named ones are within the guarantee."""

    def __init__(self, *beyond: str) -> None:
        self.beyond = beyond

    def is_within_guarantee(self, job: Job) -> bool:
        return job.id not in self.beyond


def queue_order(quota: GuaranteedQuota, *objectives: Objective) -> QueueOrder:
    runtime = Runtime(settings("n0", ["n0"]), "x", random.Random(1))
    runtime.wall_time = 1000.0
    return QueueOrder(runtime, Replica(), quota, ServiceLevelObjectives(objectives))


def job(name: str, submitted: float = 1000.0, **changes: object) -> Job:
    return Job(spec(id=name, sail_s=None, **changes), submitted)


def test_guarantee_comes_before_rank_and_rank_before_age() -> None:
    order = queue_order(GuaranteedQuota("job-2", "job-3"))
    low = job("job-1", rank="best_effort")
    urgent = job("job-2", rank="urgent")
    older = job("job-3", submitted=990.0, rank="standard")
    queue = sorted([older, urgent, low], key=order.sort_key)
    assert [queued.id for queued in queue] == ["job-1", "job-2", "job-3"]


def test_a_job_that_waits_too_long_comes_first_in_its_rank_and_later_before_all() -> None:
    order = queue_order(GuaranteedQuota())
    ageing = order.sort_key(job("job-1", submitted=1000.0 - constants.AGEING_THRESHOLD_S - 1))
    assert (
        ageing.guarantee is GuaranteeClass.WITHIN_GUARANTEE
        and ageing.missed_limits == AGEING_PRECEDENCE
    )
    overdue = order.sort_key(
        job("job-2", 1000.0 - constants.OVERDUE_THRESHOLD_S - 1, rank="best_effort")
    )
    assert overdue.guarantee is GuaranteeClass.OVERDUE
    assert overdue < ageing < order.sort_key(job("job-3", rank="standard"))


def test_jobs_that_can_meet_more_of_their_limits_come_first_then_those_with_less_work() -> None:
    finished = [Objective("finished", within_s=limit_s) for limit_s in (20.0, 40.0)]
    order = queue_order(GuaranteedQuota(), *finished)
    small, large = job("job-1", eta_s=5.0, crates=2), job("job-2", eta_s=5.0, crates=9)
    late, too_late = job("job-3", eta_s=30.0, crates=1), job("job-4", eta_s=90.0, crates=1)
    keys = [order.sort_key(queued) for queued in (small, large, late, too_late)]
    assert keys == sorted(keys)
    assert [key.missed_limits for key in keys] == [0, 0, 1, 2]
    assert keys[3].tie_break == too_late.submitted_wall_time  # by age, since no limit can be met


def order_with_dependent(*final_records: dict[str, object]) -> tuple[QueueOrder, Job]:
    """An order that has seen the ends of a job's dependencies, and that job."""
    order = queue_order(GuaranteedQuota())
    needs = [f"job-{number}" for number in range(10, 10 + len(final_records))]
    dependent = job("job-1", submitted=900.0, tethers=needs)
    dependent.version = 5
    order._replica.set_job(dependent)
    for number, record in zip(needs, final_records, strict=True):
        order._replica.put(FINAL_PREFIX + number, record, 6)
    order.on_dependencies_met("job-1")
    return order, dependent


def test_a_job_waits_since_the_recorded_end_of_its_last_dependency() -> None:
    """Not since this process has seen it: another one would have seen it at another time."""
    order, dependent = order_with_dependent(
        {"state": "done", "at": 950.25}, {"state": "done", "at": 940.0}
    )
    assert order.waiting_since(dependent) == 950.25
    order, dependent = order_with_dependent({"state": "done", "at": 880.0})
    assert order.waiting_since(dependent) == dependent.submitted_wall_time


def test_without_a_recorded_end_a_job_waits_since_this_controller_saw_it() -> None:
    order, dependent = order_with_dependent({"state": "done", "at": 950.0}, {"state": "done"})
    assert order.waiting_since(dependent) == 1000.0
