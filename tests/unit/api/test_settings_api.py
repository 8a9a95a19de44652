"""Operators' settings, built from collaborators."""

from __future__ import annotations

import random
from typing import Any

import pytest

from appledock import constants
from appledock.core.api.admin_responses import AdminResponder
from appledock.core.api.settings_api import SettingsApi
from appledock.core.commands import AdminRequest, StoreReply
from appledock.core.effects import Response, StoreCall
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.operator_settings import OperatorSettings
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import SETTINGS_KEY
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Committed, Conflict, GetKey, Put, Transaction, UnknownOutcome
from tests.standins.deployment import settings


class Parts:
    """A settings API without a controller."""

    def __init__(self) -> None:
        self.runtime = Runtime(settings("n0", ["n0"]), "x", random.Random(1))
        self.runtime.now = 100.0
        self.client = StoreClient(self.runtime)
        self.replica = Replica()
        self.reader = StoreReader(self.runtime, self.client, self.replica, on_loaded=lambda: None)
        self.operator_settings = OperatorSettings()
        self.reconcile_queue = ReconcileQueue(placement_due=False)
        self.api = SettingsApi(
            self.client,
            self.replica,
            self.reader,
            self.operator_settings,
            self.reconcile_queue,
            AdminResponder(self.runtime.emit),
        )

    def change(self, body: Any) -> list[Any]:
        """The effects of a request."""
        self.api.change(AdminRequest(1, "PATCH", ("settings",), body))
        self.client.flush()
        return self.runtime.take_effects()


@pytest.mark.parametrize(
    ("body", "error"),
    [
        (None, "settings: an object is needed"),
        ({"settings": {}, "version": True}, "version: an integer is needed"),
        ({"settings": {"sample": 0}}, "sample: allowed are 1 to 1000 machines"),
    ],
)
def test_a_malformed_change_is_refused_without_a_write(body: Any, error: str) -> None:
    assert Parts().change(body) == [Response(1, 400, {"error": error}, None)]


def test_a_committed_change_takes_effect_here_at_once() -> None:
    parts = Parts()
    (call,) = parts.change({"settings": {"sample": 7}})
    assert isinstance(call, StoreCall)
    assert call.request == Transaction({SETTINGS_KEY: 0}, [Put(SETTINGS_KEY, {"sample": 7})])
    parts.runtime.resolve(StoreReply(call.call_id, Committed(3)))
    (response,) = parts.runtime.take_effects()
    assert response == Response(1, 200, parts.api.read(), None)
    assert parts.api.read()["version"] == 3 and parts.operator_settings["sample"] == 7
    assert parts.reconcile_queue.placement_due


def test_a_change_made_meanwhile_is_a_conflict_and_the_settings_are_read_again() -> None:
    parts = Parts()
    (call,) = parts.change({"settings": {"sample": 7}, "version": 2})
    parts.runtime.resolve(StoreReply(call.call_id, Conflict([SETTINGS_KEY], 5)))
    parts.client.flush()
    response, read = sorted(
        parts.runtime.take_effects(), key=lambda effect: isinstance(effect, StoreCall)
    )
    assert response == Response(1, 409, {"error": "the settings were changed meanwhile"}, None)
    assert read.request == GetKey(SETTINGS_KEY) and not parts.reconcile_queue.placement_due


def test_an_unknown_outcome_is_answered_with_when_to_try_again() -> None:
    parts = Parts()
    (call,) = parts.change({"settings": {"sample": 7}})
    parts.runtime.resolve(StoreReply(call.call_id, UnknownOutcome()))
    (response,) = parts.runtime.take_effects()
    assert response.status == 503
    assert response.headers == {"Retry-After": str(constants.RETRY_AFTER_S)}
