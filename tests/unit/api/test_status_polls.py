"""Status polls, built without a whole controller."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import cast

from appledock.core.api.job_records import JobRecordReader
from appledock.core.api.job_states import JobStates
from appledock.core.api.pending_requests import NO_SUCH_JOB, PendingRequests
from appledock.core.api.status_polls import StatusPoll, StatusPolls
from appledock.core.commands import StoreReply
from appledock.core.effects import Response, StoreCall
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Committed, StoreOutcome, Transaction
from appledock.core.workers import Workers
from tests.standins.deployment import settings
from tests.test_requests import spec


class StatusPollsFixture:
    """Status polls and the components that they use."""

    def __init__(self) -> None:
        self.runtime = Runtime(settings("n0", ["n0"]), "a", random.Random(1))
        self.runtime.now = 100.0
        self.replica = Replica()
        self.client = StoreClient(self.runtime)
        reader = cast("StoreReader", SimpleNamespace(loaded=True))
        workers = cast("Workers", SimpleNamespace(table={}))
        self.requests = PendingRequests(self.runtime, reader)
        self.polls = StatusPolls(
            self.runtime,
            self.client,
            self.replica,
            self.requests,
            JobRecordReader(self.replica, reader),
            JobStates(self.replica, workers),
        )

    def poll(self, request_id: int, job_id: str) -> None:
        self.requests.admit(request_id)
        self.polls.add(
            StatusPoll(request_id, job_id, lambda: self.requests.refuse(request_id, NO_SUCH_JOB))
        )

    def calls(self) -> list[StoreCall]:
        self.polls.tick()
        self.client.flush()
        return [effect for effect in self.runtime.take_effects() if isinstance(effect, StoreCall)]

    def replies(self, call: StoreCall, outcome: StoreOutcome) -> dict[int, int]:
        """Deliver the call's outcome; return the status of each answered request by its id."""
        self.runtime.resolve(StoreReply(call.call_id, outcome))
        replies = [effect for effect in self.runtime.take_effects() if isinstance(effect, Response)]
        return {reply.request_id: reply.status for reply in replies}


def test_all_waiting_polls_are_confirmed_by_one_transaction_without_writes() -> None:
    fixture = StatusPollsFixture()
    fixture.replica.set_job(Job(spec(id="job-1"), 0.0, 7))
    fixture.poll(1, "job-1")
    fixture.poll(2, "job-2")
    (call,) = fixture.calls()
    conditions = {JOBS_PREFIX + "job-1": 7, JOBS_PREFIX + "job-2": 0, FINAL_PREFIX + "job-2": 0}
    assert call.request == Transaction(conditions, [])
    assert fixture.replies(call, Committed(9)) == {1: 200, 2: 404}


def test_a_final_state_is_answered_without_a_read() -> None:
    fixture = StatusPollsFixture()
    fixture.replica.put(FINAL_PREFIX + "job-1", {"state": "done"}, 3)
    fixture.poll(1, "job-1")
    assert [type(effect) for effect in fixture.runtime.take_effects()] == [Response]
    assert fixture.calls() == []
