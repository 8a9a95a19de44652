"""Client of the cloud: typed calls, and one backoff for all of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from appledock import constants, wire
from appledock.core.cloud_calls import (
    CloudOutcome,
    CloudRequest,
    DeleteMachines,
    ListMachines,
    ListMachineTypes,
    RentMachines,
)
from appledock.core.commands import CloudReply
from appledock.core.effects import CloudCall
from appledock.core.runtime import Runtime


@dataclass(frozen=True, slots=True)
class CloudFailure:
    """A call that did not succeed."""

    outcome: CloudOutcome
    """never `OK`"""


class CloudClient:
    """Sends calls to the cloud; the result is what the cloud answered, or a `CloudFailure`.

    Callers end each failure that is not about their request alone with `back_off`, and send
    nothing before `paused_until`.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self.paused_until = 0.0
        """end of the backoff"""

    def list_machine_types(
        self, on_result: Callable[[wire.MachineTypes | CloudFailure], None]
    ) -> None:
        """Read what the cloud offers."""
        self._submit(ListMachineTypes(), on_result)

    def list_machines(
        self, after: str | None, on_result: Callable[[wire.MachineList | CloudFailure], None]
    ) -> None:
        """Read one page of the machine list, from behind the machine `after`."""
        self._submit(ListMachines(after, constants.MACHINE_LIST_LIMIT), on_result)

    def rent(
        self, request: wire.Rent, on_result: Callable[[wire.Rented | CloudFailure], None]
    ) -> None:
        """Rent machines; repeated under the same name, the request is executed once."""
        self._submit(RentMachines(request), on_result)

    def delete(self, machines: list[str], on_result: Callable[[CloudFailure | None], None]) -> None:
        """Delete machines; None: the cloud has confirmed it."""
        self._submit(DeleteMachines(machines), on_result)

    def back_off(self) -> None:
        """Pause all calls after a refusal or failure, with jitter: controllers spread out."""
        self.paused_until = self._runtime.now + constants.CLOUD_PAUSE_S + self._runtime.rng.random()

    def _submit(self, request: CloudRequest, on_result: Callable[[Any], None]) -> None:
        """Emit a call; the adapter decodes its answer as the type that belongs to the request."""

        def on_reply(reply: CloudReply) -> None:
            is_ok = reply.outcome is CloudOutcome.OK
            on_result(reply.data if is_ok else CloudFailure(reply.outcome))

        self._runtime.call(
            lambda call_id: CloudCall(call_id, request, constants.CLOUD_TIMEOUT_S), on_reply
        )
