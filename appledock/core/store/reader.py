"""Reads the key-value store into the replica with a full listing, a watch and single reads."""

from __future__ import annotations

import logging
from collections.abc import Callable

from appledock import constants, wire
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import LIVE_PREFIX
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    GetKey,
    HistoryCompacted,
    ListKeys,
    Missing,
    Row,
    Rows,
    StoreOutcome,
    Watched,
    WatchKeys,
)

log = logging.getLogger(__name__)


class StoreReader:
    """Keeps the replica up to date, and reads single keys on request."""

    def __init__(
        self,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        on_loaded: Callable[[], None],
    ) -> None:
        """Create a reader; `on_loaded` is called after each full listing."""
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._on_loaded = on_loaded
        self.loaded = False
        """Whether the full listing is complete; the watch then continues from its revision."""
        self.watching = False
        """Whether a call of the watch is in progress."""
        self._is_loading = False
        self._next_load_at = 0.0
        self._next_watch_at = 0.0

    def tick(self) -> None:
        """Start the full listing or the next call of the watch when it is due."""
        now = self._runtime.now
        if not self.loaded and not self._is_loading and now >= self._next_load_at:
            self._is_loading = True
            self._load_page(None, [], None)
        if self.loaded and not self.watching and now >= self._next_watch_at:
            self._watch()

    # --- single keys ------------------------------------------------------
    def read_keys(
        self,
        keys: list[str],
        on_read: Callable[[], None] | None = None,
        on_failure: Callable[[], None] | None = None,
    ) -> None:
        """Read keys into the replica one after the other, then call `on_read`.

        If a key cannot be read, the remaining keys are not read, and `on_failure` is called
        instead. The order matters: callers read a job's open record before its final record. With
        concurrent reads, a job that ends between them could appear in neither.
        """
        if not keys:
            if on_read is not None:
                on_read()
            return
        key, rest = keys[0], keys[1:]

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Row():
                    self._replica.put(key, outcome.value, outcome.version)
                case Missing():
                    self._replica.drop(key, outcome.revision)
                case _:
                    if on_failure is not None:
                        on_failure()
                    return
            self.read_keys(rest, on_read, on_failure)

        self._client.submit(GetKey(key), Priority.USER, on_outcome)

    # --- full listing and watch -------------------------------------------
    def _load_page(
        self, after: str | None, rows: list[wire.Row], first_revision: int | None
    ) -> None:
        """Request the page of keys that follow the key `after`.

        `first_revision` is the revision of the first page. The watch continues from that revision,
        so that changes between two pages are not lost.
        """

        def on_outcome(page: StoreOutcome) -> None:
            if not isinstance(page, Rows):
                self._is_loading = False
                self._next_load_at = (
                    self._runtime.now
                    + constants.RETRY_DELAY_MIN_S
                    + self._runtime.rng.random() * 0.3
                )
                return
            rows.extend(page.items)
            revision = page.revision if first_revision is None else first_revision
            if page.more and page.items:
                self._load_page(page.items[-1].key, rows, revision)
            else:
                self._finish_loading(rows, revision)

        self._client.submit(
            ListKeys(LIVE_PREFIX, after, constants.STORE_LIST_LIMIT), Priority.LEASE, on_outcome
        )

    def _finish_loading(self, rows: list[wire.Row], revision: int) -> None:
        self._replica.load(rows, revision)
        self._is_loading, self.loaded = False, True
        self._next_watch_at = self._runtime.now
        log.info("replica loaded: records=%d revision=%d", len(rows), revision)
        self._on_loaded()

    def _watch(self) -> None:
        """Request the changes after the revision that the replica has reached."""
        replica = self._replica
        self.watching = True

        def on_outcome(outcome: StoreOutcome) -> None:
            self.watching = False
            self._next_watch_at = self._runtime.now + constants.WATCH_DELAY_S
            match outcome:
                case Watched():
                    for event in outcome.events:
                        if event.put is not None:
                            replica.put(event.put, event.value, event.version)
                        elif event.delete is not None:
                            replica.drop(event.delete, event.version)
                    replica.advance(outcome.revision)
                case HistoryCompacted():
                    log.warning(
                        "watch history compacted, listing again: revision=%d", replica.revision
                    )
                    self.loaded = False
                case _:
                    self._next_watch_at = (
                        self._runtime.now
                        + constants.RETRY_DELAY_MIN_S
                        + self._runtime.rng.random() * 0.2
                    )

        self._client.submit(
            WatchKeys(constants.KEY_PREFIX, replica.revision, constants.WATCH_BLOCK_MS),
            Priority.VIEW,
            on_outcome,
        )
