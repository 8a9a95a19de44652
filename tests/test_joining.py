"""Joining while the state service stops answering."""

from __future__ import annotations

from appledock import wire
from appledock.core.commands import Command, StoreReply, Tick
from appledock.core.effects import StoreCall
from appledock.core.store.keys import VIEW_KEY
from appledock.core.store_calls import (
    Acknowledged,
    GetKey,
    GrantLease,
    NotExecuted,
    NotExecutedReason,
    RenewLease,
    Transaction,
)
from tests.test_requests import engine


def test_a_conflict_followed_by_a_refusal_does_not_end_the_joining() -> None:
    """The read that follows a conflict was refused, and the controller never tried again:
    it stayed without authority until somebody restarted it."""
    e = engine()
    e.reader.watching = True
    now, conflicts, refused = 100.0, 0, 0
    for _ in range(400):
        now += 0.05
        replies: list[Command] = [Tick()]
        effects = e.handle(replies, now, 0.0)
        while effects:
            replies = []
            for call in (x for x in effects if isinstance(x, StoreCall)):
                if isinstance(call.request, GrantLease):
                    replies.append(StoreReply(call.call_id, wire.Grant(7)))
                elif isinstance(call.request, Transaction) and not conflicts:
                    conflicts += 1  # another controller joined a moment before
                    replies.append(StoreReply(call.call_id, wire.Conflict([VIEW_KEY], 5)))
                elif isinstance(call.request, Transaction):
                    replies.append(StoreReply(call.call_id, wire.Committed(6)))
                elif conflicts and not refused:
                    refused += 1  # an outage begins between the two
                    replies.append(
                        StoreReply(call.call_id, NotExecuted(NotExecutedReason.UNAVAILABLE))
                    )
                elif isinstance(call.request, GetKey):
                    replies.append(StoreReply(call.call_id, wire.Missing(4)))
                elif isinstance(call.request, RenewLease):
                    replies.append(StoreReply(call.call_id, Acknowledged()))
            effects = e.handle(replies, now, 0.0) if replies else []
    assert (conflicts, refused) == (1, 1)
    assert e.membership.is_joined()
