"""Unit tests of StoreReader with a real replica and store client, but without a controller."""

from __future__ import annotations

import random

from appledock import wire
from appledock.core.commands import StoreReply
from appledock.core.effects import StoreCall
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX, MEMBERS_PREFIX
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    GetKey,
    HistoryCompacted,
    ListKeys,
    Missing,
    NotExecuted,
    Row,
    Rows,
    StoreOutcome,
    WatchKeys,
)
from tests.test_requests import settings

MEMBER = {"incarnation": "x", "lease": 1}


class ReaderFixture:
    def __init__(self) -> None:
        self.runtime = Runtime(settings("n0", ["n0", "n1", "n2"]), "x", random.Random(1))
        self.runtime.now = 100.0
        self.client = StoreClient(self.runtime)
        self.replica = Replica()
        self.loaded_count = 0
        self.reader = StoreReader(self.runtime, self.client, self.replica, self._on_loaded)

    def _on_loaded(self) -> None:
        self.loaded_count += 1

    def calls(self) -> list[StoreCall]:
        self.client.flush()
        return [call for call in self.runtime.take_effects() if isinstance(call, StoreCall)]

    def answer(self, call: StoreCall, outcome: StoreOutcome) -> None:
        self.runtime.resolve(StoreReply(call.call_id, outcome))


def test_the_watch_continues_from_the_first_page_of_the_listing() -> None:
    fixture = ReaderFixture()
    fixture.reader.tick()
    [first] = fixture.calls()
    assert isinstance(first.request, ListKeys) and first.request.after is None
    fixture.answer(first, Rows([wire.Row(MEMBERS_PREFIX + "n0", MEMBER, 3)], 7, True))
    [second] = fixture.calls()
    assert isinstance(second.request, ListKeys) and second.request.after == MEMBERS_PREFIX + "n0"
    assert fixture.loaded_count == 0 and not fixture.reader.loaded
    fixture.answer(second, Rows([wire.Row(MEMBERS_PREFIX + "n1", MEMBER, 9)], 11, False))
    assert fixture.loaded_count == 1 and set(fixture.replica.members) == {"n0", "n1"}
    fixture.reader.tick()
    [watch] = fixture.calls()
    assert isinstance(watch.request, WatchKeys) and watch.request.after_revision == 7


def test_a_compacted_history_is_followed_by_a_new_listing() -> None:
    fixture = ReaderFixture()
    fixture.reader.loaded = True
    fixture.reader.tick()
    [watch] = fixture.calls()
    fixture.answer(watch, HistoryCompacted())
    assert not fixture.reader.loaded
    fixture.reader.tick()
    [listing] = fixture.calls()
    assert isinstance(listing.request, ListKeys)


def test_keys_are_read_one_after_the_other_up_to_the_first_failure() -> None:
    fixture = ReaderFixture()
    events: list[str] = []
    keys = [JOBS_PREFIX + "job-1", FINAL_PREFIX + "job-1"]
    fixture.reader.read_keys(keys, lambda: events.append("read"), lambda: events.append("failure"))
    [first] = fixture.calls()
    assert first.request == GetKey(JOBS_PREFIX + "job-1")
    fixture.answer(first, Missing())
    [second] = fixture.calls()
    assert second.request == GetKey(FINAL_PREFIX + "job-1") and events == []
    fixture.answer(second, Row(FINAL_PREFIX + "job-1", {"state": wire.DONE}, 5))
    assert events == ["read"] and fixture.replica.final_states == {"job-1": wire.DONE}
    fixture.reader.read_keys(keys, lambda: events.append("read"), lambda: events.append("failure"))
    [third] = fixture.calls()
    fixture.answer(third, NotExecuted())
    assert fixture.calls() == [] and events == ["read", "failure"]
