"""Client of the cloud's API: typed calls that share one backoff."""

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
    """Result of a call that did not succeed."""

    outcome: CloudOutcome
    """any outcome except `OK`"""


class CloudClient:
    """Sends calls to the cloud; each result is the decoded answer or a `CloudFailure`.

    Callers must call `back_off` after each failure, unless it concerns only their own request,
    and must send no call before `paused_until`.
    """

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self.paused_until = 0.0
        """end of the backoff, which applies to all calls"""

    def list_machine_types(
        self, on_result: Callable[[wire.MachineTypes | CloudFailure], None]
    ) -> None:
        """Request the machine types that the cloud offers."""
        self._submit(ListMachineTypes(), on_result)

    def list_machines(
        self, after: str | None, on_result: Callable[[wire.MachineList | CloudFailure], None]
    ) -> None:
        """Request the page of the machine list that follows the machine `after`.

        The first page is requested if `after` is None.
        """
        self._submit(ListMachines(after, constants.MACHINE_LIST_LIMIT), on_result)

    def rent(
        self, request: wire.Rent, on_result: Callable[[wire.MachineIds | CloudFailure], None]
    ) -> None:
        """Request a rental; the cloud executes requests with the same name only once."""
        self._submit(RentMachines(request), on_result)

    def delete(self, machines: list[str], on_result: Callable[[CloudFailure | None], None]) -> None:
        """Request a deletion; the result is None if the cloud has confirmed it."""
        self._submit(DeleteMachines(machines), on_result)

    def back_off(self) -> None:
        """Pause all calls after a refusal or failure.

        Jitter keeps the controllers from repeating their calls at the same time.
        """
        self.paused_until = self._runtime.now + constants.CLOUD_PAUSE_S + self._runtime.rng.random()

    def _submit(self, request: CloudRequest, on_result: Callable[[Any], None]) -> None:
        """Emit a call; the adapter decodes the answer into the type that belongs to the request."""

        def on_reply(reply: CloudReply) -> None:
            is_ok = reply.outcome is CloudOutcome.OK
            on_result(reply.data if is_ok else CloudFailure(reply.outcome))

        self._runtime.call(
            lambda call_id: CloudCall(call_id, request, constants.CLOUD_TIMEOUT_S), on_reply
        )
