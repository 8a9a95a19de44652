"""Client of the key-value store, which queues calls by priority and respects the rate limits."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from appledock import constants, wire
from appledock.core.commands import StoreReply
from appledock.core.effects import StoreCall
from appledock.core.runtime import Runtime
from appledock.core.store.keys import key_kind
from appledock.core.store.rate_limiter import Priority, QueuedCall, StoreRateLimiter, TokenBucket
from appledock.core.store_calls import (
    Conflict,
    NotExecuted,
    NotExecutedReason,
    Put,
    Rejected,
    StoreOutcome,
    StoreRequest,
    Transaction,
    WatchKeys,
)

log = logging.getLogger(__name__)


class StoreClient:
    """Sends the calls that the rate limiter admits, and passes outcomes to the callbacks."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        state = runtime.settings.cluster.state
        rate_share = constants.STORE_RATE_BUDGET_SHARE / runtime.settings.cluster.size
        self.limiter = StoreRateLimiter(
            TokenBucket(state.rps * rate_share),
            TokenBucket(state.write_rps * rate_share),
            state.write_rps * rate_share,
            state.write_rps * constants.WRITE_RATE_MAX_SHARE,
        )
        self.max_value_bytes = int(state.value_kb * 1024 * constants.VALUE_FILL_SHARE)
        """Largest encoded value that is written, in bytes."""
        self.refusals: Counter[str] = Counter()
        """Reason for which the store refused calls -> number of calls, for the metrics."""
        self.conflicts: Counter[str] = Counter()
        """Kind of key -> number of failed conditions on such keys, for the metrics."""

    def submit(
        self,
        request: StoreRequest,
        priority: Priority,
        on_outcome: Callable[[StoreOutcome], None],
        expires_after_s: float = constants.QUEUE_TIMEOUT_S,
    ) -> QueuedCall | None:
        """Queue a call; `on_outcome` gets its outcome in every case.

        Returns:
            The queued call, or None if the queue is full. In the latter case `on_outcome` has been
            called with `NotExecuted` already.
        """
        writes = len(request.writes) if isinstance(request, Transaction) else 0
        now = self.runtime.now
        call = QueuedCall(
            request,
            priority,
            writes,
            constants.WATCH_TIMEOUT_S
            if isinstance(request, WatchKeys)
            else constants.STORE_TIMEOUT_S,
            on_outcome,
            now + expires_after_s,
            now,
        )
        if self.limiter.add(call):
            return call
        on_outcome(NotExecuted())
        return None

    def withdraw(self, call: QueuedCall) -> bool:
        """Remove a call from the queue and pass `NotExecuted` to its callback.

        Returns:
            Whether the call was still queued; otherwise nothing is done.
        """
        if not self.limiter.withdraw(call):
            return False
        call.on_outcome(NotExecuted())
        return True

    def flush(self) -> None:
        """Send the queued calls that the rate limits admit, and drop the expired ones."""
        due = self.limiter.take_due(self.runtime.now)
        for call in due.to_send:
            self._send(call)
        for call in due.expired:
            try:
                call.on_outcome(NotExecuted())
            except Exception:  # the callbacks of the other calls must still run
                log.exception("handling an expired call failed")

    def _send(self, call: QueuedCall) -> None:
        def on_reply(reply: StoreReply) -> None:
            self._count_outcome(call, reply.outcome)
            if not self._requeue_if_rate_limited(call, reply.outcome):
                call.on_outcome(reply.outcome)

        self.runtime.call(
            lambda call_id: StoreCall(call_id, call.request, call.timeout_s), on_reply
        )

    def _count_outcome(self, call: QueuedCall, outcome: StoreOutcome) -> None:
        match outcome:
            case Conflict():
                self.conflicts.update(key_kind(key) for key in outcome.failed)
            case NotExecuted(NotExecutedReason.RATE_LIMITED | NotExecutedReason.UNAVAILABLE):
                self.refusals[outcome.reason.value] += 1
            case Rejected():
                self.refusals["too large or malformed"] += 1
                if isinstance(call.request, Transaction):
                    self._lower_value_limit(call.request)
            case _:
                pass

    def _requeue_if_rate_limited(self, call: QueuedCall, outcome: StoreOutcome) -> bool:
        """Queue a write again that the store refused because of the rate limit.

        Returns:
            Whether the call was queued again; an expired call is not.
        """
        if outcome != NotExecuted(NotExecutedReason.RATE_LIMITED) or not call.writes:
            return False
        self.limiter.on_rate_limited()
        if self.runtime.now >= call.expires_at:
            return False
        self.limiter.requeue(call)
        return True

    def _lower_value_limit(self, transaction: Transaction) -> None:
        """Lower the size limit of values below the largest value of a rejected transaction.

        The store's actual limit is smaller than the configured one. A value that is not made
        smaller would be rejected on every retry. The limit never falls below
        `VALUE_LIMIT_MIN_BYTES`.
        """
        largest = max(
            (
                len(wire.encode(write.value))
                for write in transaction.writes
                if isinstance(write, Put)
            ),
            default=0,
        )
        limit = max(constants.VALUE_LIMIT_MIN_BYTES, int(largest * constants.VALUE_FILL_SHARE))
        if limit < self.max_value_bytes:
            log.warning("value limit lowered: rejected_bytes=%d limit_bytes=%d", largest, limit)
            self.max_value_bytes = limit
