"""Tests of the engine, with fakes for all of its components."""

from __future__ import annotations

import inspect
import random
from collections.abc import Callable
from typing import Any
from unittest.mock import Mock

import pytest

from appledock.core.commands import GetJobState, HeartbeatReceived, Tick
from appledock.core.effects import Response
from appledock.core.engine import Engine
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.keys import FINAL_PREFIX
from appledock.core.store.replica import Replica
from tests.standins.deployment import settings
from tests.test_requests import spec


class EngineWithFakes:
    """An engine whose components are mocks, except the runtime, the replica and the queue."""

    def __init__(self) -> None:
        names = inspect.signature(Engine).parameters
        self.fakes: dict[str, Any] = {name: Mock() for name in names}
        self.runtime = Runtime(settings("n0", ["n0"]), "x", random.Random(1))
        self.replica = Replica()
        self.reconcile_queue = ReconcileQueue(placement_due=False)
        self.fakes |= {
            "runtime": self.runtime,
            "replica": self.replica,
            "reconcile_queue": self.reconcile_queue,
        }
        for name, fake in self.fakes.items():
            if isinstance(fake, Mock):
                fake.tick.__qualname__ = f"{name}.tick"
        self.engine = Engine(**self.fakes)


def raising(*_: object) -> None:
    raise RuntimeError


def test_a_request_that_fails_is_answered_and_the_rest_of_the_batch_is_handled() -> None:
    fixture = EngineWithFakes()
    fixture.fakes["user_requests"].poll.side_effect = raising
    effects = fixture.engine.handle(
        [GetJobState(4, "job-1"), HeartbeatReceived(5, Mock())], 1.0, 2.0
    )
    assert effects == [Response(4, 500, {"error": "internal error"})]
    fixture.fakes["user_requests"].pending_requests.discard.assert_called_once_with(4)
    fixture.fakes["workers"].on_heartbeat.assert_called_once()
    assert (fixture.runtime.now, fixture.runtime.wall_time) == (1.0, 2.0)


def test_a_tick_that_fails_does_not_stop_the_other_components() -> None:
    fixture = EngineWithFakes()
    fixture.fakes["membership_protocol"].tick.side_effect = raising
    fixture.engine.handle([Tick()], 1.0, 2.0)
    fixture.fakes["partitions"].tick.assert_called_once()


@pytest.mark.parametrize(
    "fail",
    [
        lambda fakes: setattr(fakes["fleet"].load_stored_catalogue, "side_effect", raising),
        lambda fakes: setattr(fakes["reconciler"].tick, "side_effect", raising),
    ],
)
def test_store_calls_are_sent_even_if_the_processing_of_changes_fails(
    fail: Callable[[dict[str, Any]], None],
) -> None:
    fixture = EngineWithFakes()
    fixture.fakes["client"].flush.__qualname__ = "client.flush"
    fail(fixture.fakes)
    fixture.engine.handle([], 1.0, 2.0)
    fixture.fakes["client"].flush.assert_called_once()


def test_a_changed_job_is_reconciled_and_the_queue_is_notified_of_met_dependencies() -> None:
    fixture = EngineWithFakes()
    fixture.replica.set_job(Job(spec(id="job-1"), 0.0, 2))
    fixture.replica.set_job(Job(spec(id="job-2", tethers=["job-1"]), 0.0, 3))
    fixture.engine.handle([], 1.0, 2.0)
    assert fixture.reconcile_queue.jobs == {"job-1", "job-2"}
    assert fixture.reconcile_queue.placement_due and not fixture.replica.changes.jobs
    fixture.fakes["queue_order"].on_dependencies_met.assert_not_called()
    fixture.replica.put(FINAL_PREFIX + "job-1", {"state": "done"}, 4)
    fixture.engine.handle([], 1.5, 2.5)
    fixture.fakes["queue_order"].on_dependencies_met.assert_called_once_with("job-2")
