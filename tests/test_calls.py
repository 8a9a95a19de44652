"""Calls of the core that end in a way nobody thought of."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from appledock import constants as c
from appledock.app import App
from appledock.core.cloud_calls import CloudOutcome, ListMachineTypes
from appledock.core.commands import Tick, WorkerOutcome
from appledock.core.effects import CloudCall, Effect, StoreCall, WorkerCall
from appledock.core.store.rate_limiter import Priority
from appledock.core.store_calls import GetKey, NotExecuted, RenewLease, StoreOutcome, UnknownOutcome
from tests.standins.deployment import settings
from tests.test_launches import NOW, leading


async def brackets(*_: object) -> tuple[int, bytes]:
    """An answer nested so deep that decoding it fails in a way of its own."""
    return 200, b'{"key":"ad/live/view","stamp":1,"data":' + b"[" * 50_000 + b"]" * 50_000 + b"}"


@pytest.mark.parametrize(
    "make",
    [
        lambda call_id: StoreCall(call_id, GetKey("ad/live/view"), 1.0),
        lambda call_id: CloudCall(call_id, ListMachineTypes(), 1.0),
        lambda call_id: WorkerCall(call_id, "10.0.0.9:70000", None, 1.0),
    ],
)
def test_every_call_gets_an_answer(make: Callable[[int], Effect]) -> None:
    """A call whose end was never heard left its flag set: no renewal, proof, list or order
    was sent again until a restart."""

    async def body() -> None:
        app = App(settings("n0", ["n0", "n1", "n2"]))
        app.store.calls.request = brackets  # type: ignore[assignment]
        app.cloud.client.request = brackets  # type: ignore[assignment]
        answers: list[object] = []
        app.engine.runtime.call(make, lambda reply: answers.append(reply.outcome))
        for effect in app.engine.handle([], 1.0, 0.0):
            app._execute(effect)
        for _ in range(50):
            await asyncio.sleep(0.01)
            if answers:
                break
        assert answers in (
            [UnknownOutcome()],
            [CloudOutcome.UNKNOWN],
            [WorkerOutcome.NOT_SENT],
        )

    asyncio.run(body())


def test_leases_are_renewed_whatever_fails_in_a_batch(monkeypatch: pytest.MonkeyPatch) -> None:
    """One job on which the steps failed kept all calls to the state service back: the
    controller lost its lease, and the next owner of that job did as well."""
    e = leading()
    monkeypatch.setattr(e.reconciler, "tick", lambda: 1 / 0)
    effects = e.handle([Tick()], NOW + c.LEASE_RENEWAL_INTERVAL_S, 0.0)
    requests = [x.request for x in effects if isinstance(x, StoreCall)]
    assert any(isinstance(request, RenewLease) for request in requests)


def test_calls_given_up_together_all_hear_of_it() -> None:
    e = leading()
    heard: list[StoreOutcome] = []
    e.client.limiter.requests.level = e.client.limiter.requests.rate = 0.0
    e.client.submit(GetKey("ad/a"), Priority.STEP, lambda reply: 1 / 0, 0.1)  # type: ignore[arg-type, return-value]
    e.client.submit(GetKey("ad/b"), Priority.STEP, heard.append, 0.1)
    e.handle([], NOW + 1, 0.0)
    assert heard == [NotExecuted()]
