"""Settlement of attempts, tested with a replica and a verdict function."""

from __future__ import annotations

from appledock.core.jobs.settlement import Settlement
from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job
from appledock.core.store.replica import Replica
from tests.test_requests import spec


class VerdictStandIn:
    """Stand-in that returns verdicts by task and records the calls and the reported failures."""

    def __init__(self) -> None:
        self.by_task: dict[int, AttemptVerdict] = {}
        self.calls: list[tuple[str, int]] = []
        self.failed: list[tuple[str, str]] = []

    def verdict(self, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        self.calls.append((attempt.machine, task))
        return self.by_task.get(task)

    def on_task_failed(self, machine: str, job_id: str) -> None:
        self.failed.append((machine, job_id))


def build_settlement() -> tuple[Settlement, VerdictStandIn, Job]:
    replica, verdicts = Replica(), VerdictStandIn()
    job = Job(spec(crates=4), 0.0, 2, last_step=1)
    job.attempts = [
        Attempt("vm-1", 1, 1, 5, False, {0, 1}),
        Attempt("vm-2", 1, 1, 5, False, {2}),
    ]
    replica.set_job(job)
    return Settlement(replica, verdicts.verdict, verdicts.on_task_failed), verdicts, job


def test_only_attempts_on_changed_machines_are_examined() -> None:
    settlement, verdicts, job = build_settlement()
    assert settlement.without_settled_attempts(job) is None and verdicts.calls == []
    settlement.on_machine_changed("vm-2")
    assert settlement.without_settled_attempts(job) is None
    assert verdicts.calls == [("vm-2", 2)]
    settlement.examine_all(job.id)
    settlement.without_settled_attempts(job)
    assert sorted(verdicts.calls[1:]) == [("vm-1", 0), ("vm-1", 1), ("vm-2", 2)]


def test_each_verdict_counts_once_until_the_record_shows_it() -> None:
    settlement, verdicts, job = build_settlement()
    verdicts.by_task = {0: AttemptVerdict.DONE, 1: AttemptVerdict.SETTLED, 2: AttemptVerdict.FAILED}
    settlement.examine_all(job.id)
    settled = settlement.without_settled_attempts(job)
    assert settled is not None and settled.attempts == []
    assert list(settled.completed_tasks) == [0] and settled.consecutive_failures == 1
    settlement.examine_all(job.id)
    assert settlement.without_settled_attempts(job) is settled
    assert verdicts.failed == [("vm-2", job.id)]
    recorded = settled.copy()
    recorded.version = 3
    assert settlement.without_settled_attempts(recorded) is None
