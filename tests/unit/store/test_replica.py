"""Unit tests of Replica."""

from __future__ import annotations

from appledock.core.store.keys import MEMBERS_PREFIX, SETTINGS_KEY, VIEW_KEY
from appledock.core.store.replica import Replica

MEMBER = {"incarnation": "x", "lease": 1}


def test_a_deletion_outlasts_an_older_read_until_the_watch_has_passed_it() -> None:
    replica = Replica()
    replica.put(MEMBERS_PREFIX + "n0", MEMBER, 3)
    replica.drop(MEMBERS_PREFIX + "n0", 5)
    replica.put(MEMBERS_PREFIX + "n0", MEMBER, 4)
    assert replica.members == {}
    replica.put(MEMBERS_PREFIX + "n0", MEMBER, 6)
    assert set(replica.members) == {"n0"}


def test_changes_are_noted_by_kind_and_unknown_keys_are_ignored() -> None:
    replica = Replica()
    replica.put("ad/live/later-kind/x", {"any": 1}, 2)
    assert replica.changes == type(replica.changes)()
    replica.put(VIEW_KEY, {"term": 4, "members": {"n0": "x"}, "leader": "n0"}, 3)
    assert replica.changes.view and not replica.changes.settings
    assert not replica.has_reached_view()
    replica.advance(3)
    assert replica.has_reached_view()
    replica.put(SETTINGS_KEY, {"name": 1}, 4)
    assert replica.changes.settings and replica.stored_settings.value == {"name": 1}
