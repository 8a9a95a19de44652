"""Responses of the administration API."""

from __future__ import annotations

from collections.abc import Callable

from appledock import constants
from appledock.core.commands import AdminRequest
from appledock.core.effects import Response

STORE_UNAVAILABLE = "state service does not answer"


class AdminResponder:
    """Answers requests of the administration API."""

    def __init__(self, emit: Callable[[Response], None]) -> None:
        self._emit = emit

    def answer(self, request: AdminRequest, body: object, status: int = 200) -> None:
        """Answer with a JSON body; with status 503, `Retry-After` says when to try again."""
        headers = {"Retry-After": str(constants.RETRY_AFTER_S)} if status == 503 else None
        self._emit(Response(request.request_id, status, body, headers))

    def refuse(self, request: AdminRequest, status: int, error: str) -> None:
        """Answer with an error, whose text says what is wrong and what is allowed."""
        self.answer(request, {"error": error}, status)
