"""Calls to the cloud: all of them pause together after one was refused or failed."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.cloud_calls import CloudRequest
from appledock.core.commands import CloudReply
from appledock.core.effects import CloudCall

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class CloudCalls:
    """Sends calls to the cloud and keeps the pause after trouble."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.paused_until = 0.0

    def call(self, request: CloudRequest, done: Callable[[CloudReply], None]) -> None:
        """Emit a call; `done` gets its outcome."""
        self.engine.call(lambda call_id: CloudCall(call_id, request, c.CLOUD_TIMEOUT_S), done)

    def back_off(self) -> None:
        """429 or outage: pause, with jitter against a herd."""
        self.paused_until = self.engine.now + c.CLOUD_PAUSE_S + self.engine.rng.random()
