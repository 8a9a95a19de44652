"""Pending requests of users: limited in number, each with a deadline and a single answer."""

from __future__ import annotations

from dataclasses import dataclass

from appledock import constants, wire
from appledock.core.effects import Response
from appledock.core.runtime import Runtime
from appledock.core.store.reader import StoreReader


@dataclass(frozen=True, slots=True)
class Refusal:
    """An error answer; its status and text are part of the protocol."""

    status: int
    text: str


STARTING = Refusal(503, "starting")
TOO_MANY_REQUESTS = Refusal(429, "too many requests")
STORE_UNAVAILABLE = Refusal(503, "state service does not answer")
NO_SUCH_JOB = Refusal(404, "no such job")


class PendingRequests:
    """The requests of users that have not been answered yet, by request id."""

    def __init__(self, runtime: Runtime, reader: StoreReader) -> None:
        self._runtime = runtime
        self._reader = reader
        self._deadlines: dict[int, float] = {}
        """Request id -> time on the steady clock at which the request is refused."""

    def __len__(self) -> int:
        return len(self._deadlines)

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._deadlines

    def admit(self, request_id: int) -> bool:
        """Add a request and return true, or refuse it and return false.

        Requests are refused until the replica is loaded, and while `PENDING_REQUESTS_MAX` others
        are pending.
        """
        self._deadlines[request_id] = self._runtime.now + constants.REQUEST_TIMEOUT_S
        if not self._reader.loaded:
            self.refuse(request_id, STARTING)
            return False
        if len(self._deadlines) > constants.PENDING_REQUESTS_MAX:
            self.refuse(request_id, TOO_MANY_REQUESTS)
            return False
        return True

    def answer(self, request_id: int, status: int, state: wire.JobState) -> None:
        """Answer with a job's state; no effect if the request has already been answered."""
        self._reply(request_id, status, state)

    def refuse(self, request_id: int, refusal: Refusal) -> None:
        """Answer with an error; no effect if the request has already been answered."""
        self._reply(request_id, refusal.status, {"error": refusal.text})

    def discard(self, request_id: int) -> None:
        """Remove a request that the caller answers itself."""
        self._deadlines.pop(request_id, None)

    def refuse_expired(self) -> None:
        """Refuse the requests whose deadline has passed."""
        now = self._runtime.now
        for request_id in [key for key, at in self._deadlines.items() if at <= now]:
            self.refuse(request_id, STORE_UNAVAILABLE)

    def _reply(self, request_id: int, status: int, body: wire.JobState | dict[str, str]) -> None:
        if self._deadlines.pop(request_id, None) is None:
            return
        is_retryable = status in (429, 503)
        headers = {"Retry-After": str(constants.RETRY_AFTER_S)} if is_retryable else None
        self._runtime.emit(Response(request_id, status, body, headers))
