"""Client of the key-value store: queues calls by priority and keeps to the rate limit."""

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
    """Sends calls as the rate limiter admits them and passes each outcome to its caller."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        state = runtime.settings.cluster.state
        share = constants.STORE_RATE_BUDGET_SHARE / runtime.settings.cluster.size
        self.limiter = StoreRateLimiter(
            TokenBucket(state.rps * share),
            TokenBucket(state.write_rps * share),
            state.write_rps * share,
            state.write_rps * constants.WRITE_RATE_MAX_SHARE,
        )
        self.max_value_bytes = int(state.value_kb * 1024 * constants.VALUE_FILL_SHARE)
        """largest value that is written"""
        self.refusals: Counter[str] = Counter()
        """why calls were refused -> how often, for the metrics"""
        self.conflicts: Counter[str] = Counter()
        """kind of key -> transactions that failed on it, for the metrics"""

    def submit(
        self,
        request: StoreRequest,
        priority: Priority,
        on_outcome: Callable[[StoreOutcome], None],
        expires_after_s: float = constants.QUEUE_TIMEOUT_S,
    ) -> QueuedCall | None:
        """Queue a call; `on_outcome` is called in any case.

        None: the queue is full, and `on_outcome` has been told so.
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
        """Take a call back that still waits; its caller gets `NotExecuted`."""
        if not self.limiter.withdraw(call):
            return False
        call.on_outcome(NotExecuted())
        return True

    def flush(self) -> None:
        """Send the calls that the rate limit admits, and end those that waited too long."""
        due = self.limiter.take_due(self.runtime.now)
        for call in due.to_send:
            self._send(call)
        for call in due.expired:
            try:
                call.on_outcome(NotExecuted())
            except Exception:
                log.exception("handling an expired call failed")  # the others still get theirs

    def _send(self, call: QueuedCall) -> None:
        def on_reply(reply: StoreReply) -> None:
            self._count(call, reply.outcome)
            if not self._retried(call, reply.outcome):
                call.on_outcome(reply.outcome)

        self.runtime.call(
            lambda call_id: StoreCall(call_id, call.request, call.timeout_s), on_reply
        )

    def _count(self, call: QueuedCall, outcome: StoreOutcome) -> None:
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

    def _retried(self, call: QueuedCall, outcome: StoreOutcome) -> bool:
        """Queue a write once more that met the rate limit: it was not executed."""
        if outcome != NotExecuted(NotExecutedReason.RATE_LIMITED) or not call.writes:
            return False
        self.limiter.on_rate_limited()
        if self.runtime.now >= call.expires_at:
            return False
        self.limiter.requeue(call)
        return True

    def _lower_value_limit(self, transaction: Transaction) -> None:
        """Keep values below the largest one rejected, down to a floor, from now on.

        It met a limit that nobody announced. Sent again as it is, it would be rejected for ever.
        """
        largest = max(
            (
                len(wire.encode(write.value))
                for write in transaction.writes
                if isinstance(write, Put)
            ),
            default=0,
        )
        bound = max(constants.VALUE_LIMIT_MIN_BYTES, int(largest * constants.VALUE_FILL_SHARE))
        if bound < self.max_value_bytes:
            log.warning("value limit lowered: rejected_bytes=%d limit_bytes=%d", largest, bound)
            self.max_value_bytes = bound
