"""Operators' settings, built without a whole controller."""

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


class SettingsFixture:
    """A settings API and the components that it uses."""

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
        """Request a change and return the effects."""
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
    assert SettingsFixture().change(body) == [Response(1, 400, {"error": error}, None)]


def test_a_committed_change_takes_effect_on_this_controller_at_once() -> None:
    fixture = SettingsFixture()
    (call,) = fixture.change({"settings": {"sample": 7}})
    assert isinstance(call, StoreCall)
    assert call.request == Transaction({SETTINGS_KEY: 0}, [Put(SETTINGS_KEY, {"sample": 7})])
    fixture.runtime.resolve(StoreReply(call.call_id, Committed(3)))
    (response,) = fixture.runtime.take_effects()
    assert response == Response(1, 200, fixture.api.read(), None)
    assert fixture.api.read()["version"] == 3 and fixture.operator_settings["sample"] == 7
    assert fixture.reconcile_queue.placement_due


def test_a_concurrent_change_is_a_conflict_after_which_the_settings_are_read_again() -> None:
    fixture = SettingsFixture()
    (call,) = fixture.change({"settings": {"sample": 7}, "version": 2})
    fixture.runtime.resolve(StoreReply(call.call_id, Conflict([SETTINGS_KEY], 5)))
    fixture.client.flush()
    response, read = sorted(
        fixture.runtime.take_effects(), key=lambda effect: isinstance(effect, StoreCall)
    )
    assert response == Response(1, 409, {"error": "the settings were changed meanwhile"}, None)
    assert read.request == GetKey(SETTINGS_KEY) and not fixture.reconcile_queue.placement_due


def test_an_unknown_outcome_is_answered_with_a_time_to_retry() -> None:
    fixture = SettingsFixture()
    (call,) = fixture.change({"settings": {"sample": 7}})
    fixture.runtime.resolve(StoreReply(call.call_id, UnknownOutcome()))
    (response,) = fixture.runtime.take_effects()
    assert response.status == 503
    assert response.headers == {"Retry-After": str(constants.RETRY_AFTER_S)}
