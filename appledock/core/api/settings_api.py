"""Operators' settings: reads, and changes with conditional transactions.

Other controllers apply a change as soon as their watch of the store delivers it.
"""

from __future__ import annotations

from typing import Any

from appledock import constants
from appledock.core.api.admin_responses import STORE_UNAVAILABLE, AdminResponder
from appledock.core.commands import AdminRequest
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.operator_settings import (
    DECLARATIONS,
    InvalidSettingError,
    OperatorSettings,
    validate,
)
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import SETTINGS_KEY
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Committed, Conflict, Put, StoreOutcome, Transaction


class MalformedChangeError(ValueError):
    """A malformed request for a change; the message names the field and what it must contain."""


class SettingsApi:
    """Reads and changes the operators' settings."""

    def __init__(
        self,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        operator_settings: OperatorSettings,
        reconcile_queue: ReconcileQueue,
        responder: AdminResponder,
    ) -> None:
        self._client = client
        self._replica = replica
        self._reader = reader
        self._operator_settings = operator_settings
        self._reconcile_queue = reconcile_queue
        self._responder = responder

    def read(self) -> dict[str, object]:
        """Return the values, defaults, ranges, units and descriptions of all settings."""
        return {
            "version": self._replica.stored_settings.version,
            "settings": {
                name: {
                    "value": self._operator_settings[name],
                    "default": declaration.default,
                    "least": declaration.minimum,
                    "most": declaration.maximum,
                    "unit": declaration.unit,
                    "reason": declaration.description,
                }
                for name, declaration in sorted(DECLARATIONS.items())
            },
        }

    def change(self, request: AdminRequest) -> None:
        """Apply `{"settings": {name: value or null}, "version": n}`, and answer with all settings.

        Null resets a setting to its default. The version is optional, and by default the one in
        this controller's replica. If the store has another version by then, the status is 409.
        """
        try:
            changed, version = self._parse_change(request.body)
        except (MalformedChangeError, InvalidSettingError) as error:
            self._responder.refuse(request, 400, str(error))
            return

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Committed():
                    self._on_committed(changed, outcome.revision)
                    self._responder.answer(request, self.read())
                case Conflict():
                    self._reader.read_keys([SETTINGS_KEY])
                    self._responder.refuse(request, 409, "the settings were changed meanwhile")
                case _:
                    self._responder.refuse(request, 503, STORE_UNAVAILABLE)

        self._client.submit(
            Transaction({SETTINGS_KEY: version}, [Put(SETTINGS_KEY, changed)]),
            Priority.USER,
            on_outcome,
            constants.REQUEST_TIMEOUT_S,
        )

    def _parse_change(self, body: Any) -> tuple[dict[str, Any], int]:
        """Return all settings as they are to be stored, and the version that they replace.

        Raises:
            MalformedChangeError: the request does not have the form of a change.
            InvalidSettingError: a setting is unknown or its value is not allowed.
        """
        if not isinstance(body, dict) or not isinstance(body.get("settings"), dict):
            raise MalformedChangeError("settings: an object is needed")
        stored = self._replica.stored_settings
        version = body.get("version", stored.version)
        if isinstance(version, bool) or not isinstance(version, int):
            raise MalformedChangeError("version: an integer is needed")
        changed = dict(stored.value)
        for name, value in body["settings"].items():
            if value is None and name in DECLARATIONS:
                changed.pop(name, None)
            else:
                changed[name] = validate(name, value)
        return changed, version

    def _on_committed(self, changed: dict[str, Any], revision: int) -> None:
        """Apply a committed change at once; the watch delivers it a second time."""
        self._replica.put(SETTINGS_KEY, changed, revision)
        self._operator_settings.apply(self._replica.stored_settings.value)
        self._reconcile_queue.placement_due = True
