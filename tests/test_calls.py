"""Calls of the core that end in a way nobody thought of."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from appledock import constants as c
from appledock.app import App
from appledock.core import events as ev
from appledock.core.events import StoreCall
from appledock.core.store.rate_limiter import Priority
from tests.standins.deployment import settings
from tests.test_launches import NOW, leading


async def brackets(*_: object) -> tuple[int, bytes]:
    """An answer nested so deep that decoding it fails in a way of its own."""
    return 200, b'{"key":"ad/live/view","stamp":1,"data":' + b"[" * 50_000 + b"]" * 50_000 + b"}"


@pytest.mark.parametrize(
    "make",
    [
        lambda tag: StoreCall(tag, "get", ("ad/live/view",), 1.0),
        lambda tag: ev.CloudCall(tag, "types", (), 1.0),
        lambda tag: ev.WorkerCall(tag, "10.0.0.9:70000", None, 1.0),
    ],
)
def test_every_call_gets_an_answer(make: Callable[[int], ev.Effect]) -> None:
    """A call whose end was never heard left its flag set: no renewal, proof, list or order
    was sent again until a restart."""

    async def body() -> None:
        app = App(settings("n0", ["n0", "n1", "n2"]))
        app.store.calls.request = brackets  # type: ignore[assignment]
        app.cloud.client.request = brackets  # type: ignore[assignment]
        answers: list[str] = []
        app.engine.call(make, lambda reply: answers.append(reply.outcome))
        for effect in app.engine.handle([], 1.0, 0.0):
            app._carry_out(effect)
        for _ in range(50):
            await asyncio.sleep(0.01)
            if answers:
                break
        assert answers in (["unknown"], ["not_sent"])

    asyncio.run(body())


def test_leases_are_renewed_whatever_fails_in_a_batch(monkeypatch: pytest.MonkeyPatch) -> None:
    """One job on which the steps failed kept all calls to the state service back: the
    controller lost its lease, and the next owner of that job did as well."""
    e = leading()
    monkeypatch.setattr(e.steps, "tick", lambda: 1 / 0)
    effects = e.handle([ev.Tick()], NOW + c.TOUCH_EVERY_S, 0.0)
    assert "touch" in [x.op for x in effects if isinstance(x, StoreCall)]


def test_calls_given_up_together_all_hear_of_it() -> None:
    e = leading()
    heard: list[str] = []
    e.budget.requests.level = e.budget.requests.rate = 0.0
    e.store("get", ("ad/a",), Priority.STEP, lambda reply: 1 / 0, 0.1)  # type: ignore[arg-type, return-value]
    e.store("get", ("ad/b",), Priority.STEP, lambda reply: heard.append(reply.outcome), 0.1)
    e.handle([], NOW + 1, 0.0)
    assert heard == ["refused"]
