"""Stop requests, tested with a runtime, a replica and a writer that only withdraws."""

from __future__ import annotations

import random
from typing import cast

from appledock.core.effects import PeerSend
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.jobs.writer import JobWriter
from appledock.core.messages import StopTasks
from appledock.core.records.job import Attempt, HandoffTarget, Job
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from tests.test_requests import settings, spec


class WithdrawingWriter:
    """Stand-in for the job writer that records which jobs' writes were withdrawn."""

    def __init__(self) -> None:
        self.withdrawn: list[str] = []

    def withdraw(self, job_id: str) -> bool:
        self.withdrawn.append(job_id)
        return True


def build_stop_requests() -> tuple[StopRequests, Runtime, WithdrawingWriter, ReconcileQueue]:
    runtime = Runtime(settings("n0", ["n0", "n1"]), "x", random.Random(1))
    replica = Replica()
    replica.view = View(1, {"n0": "x", "n1": "y"}, "n0")
    writer, queue = WithdrawingWriter(), ReconcileQueue()
    return StopRequests(runtime, replica, cast(JobWriter, writer), queue), runtime, writer, queue


def job_owned_by(owner: HandoffTarget) -> Job:
    job = Job(spec(crates=3), 0.0, 2, handoff_target=owner)
    job.attempts.append(Attempt("vm-1", 1, 1, 5, False, {0, 1, 2}))
    return job


def test_a_request_withdraws_the_queued_write_and_splits_the_attempt() -> None:
    requests, _, writer, queue = build_stop_requests()
    job = job_owned_by(HandoffTarget("n0", "x"))
    requests.send_to_owner(job, "vm-1", {1})
    assert writer.withdrawn == [job.id] and job.id in queue.jobs and requests.has_pending(job.id)
    assert requests.mark_stopping(job) and not requests.has_pending(job.id)
    assert [(a.stopping, sorted(a.tasks)) for a in job.attempts] == [(False, [0, 2]), (True, [1])]
    requests.add(job.id, "vm-1", {1})
    assert not requests.mark_stopping(job)  # the attempt is stopping already


def test_a_request_for_a_job_of_another_controller_goes_to_its_owner() -> None:
    requests, runtime, writer, _ = build_stop_requests()
    job = job_owned_by(HandoffTarget("n1", "y"))
    requests.send_to_owner(job, "vm-1", {2, 0})
    assert runtime.take_effects() == [PeerSend(StopTasks(job.id, "vm-1", [0, 2]), "n1")]
    assert not requests.has_pending(job.id) and writer.withdrawn == []
