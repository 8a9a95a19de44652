"""Pending requests of users, built without a whole controller."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any, cast

from appledock import constants, wire
from appledock.core.api.pending_requests import NO_SUCH_JOB, PendingRequests
from appledock.core.effects import Response
from appledock.core.runtime import Runtime
from appledock.core.store.reader import StoreReader
from tests.standins.deployment import settings


def build(loaded: bool = True) -> tuple[Runtime, PendingRequests]:
    runtime = Runtime(settings("n0", ["n0"]), "a", random.Random(1))
    reader = cast("StoreReader", SimpleNamespace(loaded=loaded))
    return runtime, PendingRequests(runtime, reader)


def replies(runtime: Runtime) -> list[tuple[int, Any, Any]]:
    effects = runtime.take_effects()
    assert all(isinstance(effect, Response) for effect in effects)
    return [
        (effect.status, effect.body, effect.headers)
        for effect in effects
        if isinstance(effect, Response)
    ]


def test_a_request_gets_a_single_answer() -> None:
    runtime, requests = build()
    assert requests.admit(1)
    state = wire.JobState("job-1", wire.PENDING)
    requests.answer(1, 200, state)
    requests.refuse(1, NO_SUCH_JOB)
    assert replies(runtime) == [(200, state, None)]
    assert 1 not in requests


def test_a_request_without_an_answer_is_refused_at_its_deadline() -> None:
    runtime, requests = build()
    requests.admit(1)
    runtime.now += constants.REQUEST_TIMEOUT_S - 0.01
    requests.refuse_expired()
    assert replies(runtime) == []
    runtime.now += 0.01
    requests.refuse_expired()
    error = {"error": "state service does not answer"}
    assert replies(runtime) == [(503, error, {"Retry-After": "1"})]


def test_requests_before_the_first_load_are_refused_with_a_time_to_retry() -> None:
    runtime, requests = build(loaded=False)
    assert not requests.admit(1)
    assert replies(runtime) == [(503, {"error": "starting"}, {"Retry-After": "1"})]


def test_requests_beyond_the_limit_are_refused_with_a_time_to_retry() -> None:
    runtime, requests = build()
    assert all(requests.admit(number) for number in range(constants.PENDING_REQUESTS_MAX))
    assert not requests.admit(constants.PENDING_REQUESTS_MAX)
    assert replies(runtime) == [(429, {"error": "too many requests"}, {"Retry-After": "1"})]
    assert len(requests) == constants.PENDING_REQUESTS_MAX
