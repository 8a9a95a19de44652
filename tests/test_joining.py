"""Joining while the state service stops answering."""

from __future__ import annotations

from appledock import wire
from appledock.core import events as ev
from appledock.core.store.replica import VIEW
from tests.test_requests import engine


def test_a_conflict_followed_by_a_refusal_does_not_end_the_joining() -> None:
    """The read that follows a conflict was refused, and the controller never tried again:
    it stayed without authority until somebody restarted it."""
    e = engine()
    e.reader.watching = True
    now, conflicts, refused = 100.0, 0, 0
    for _ in range(400):
        now += 0.05
        replies: list[ev.Cmd] = [ev.Tick()]
        effects = e.handle(replies, now, 0.0)
        while effects:
            replies = []
            for call in (x for x in effects if isinstance(x, ev.StoreCall)):
                if call.op == "grant":
                    replies.append(ev.StoreReply(call.tag, "ok", wire.Grant(7)))
                elif call.op == "txn" and not conflicts:
                    conflicts += 1  # another controller joined a moment before
                    replies.append(ev.StoreReply(call.tag, "conflict", wire.Conflict([VIEW], 5)))
                elif call.op == "txn":
                    replies.append(ev.StoreReply(call.tag, "ok", wire.Committed(6)))
                elif conflicts and not refused:
                    refused += 1  # an outage begins between the two
                    replies.append(ev.StoreReply(call.tag, "refused", 503))
                elif call.op == "get":
                    replies.append(ev.StoreReply(call.tag, "missing", wire.Missing(4)))
                elif call.op == "touch":
                    replies.append(ev.StoreReply(call.tag, "ok"))
            effects = e.handle(replies, now, 0.0) if replies else []
    assert (conflicts, refused) == (1, 1)
    assert e.membership.joined
