"""Reads the state service into the replica: one listing, then a watch, and keys afresh."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.store.keys import LIVE
from appledock.core.store.rate_limiter import Priority
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

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class StateReader:
    """Keeps this controller's picture of the state service up to date."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.loaded = False
        self.loading = False
        self.next_load = 0.0
        self.watching = False
        self.next_watch = 0.0

    def tick(self) -> None:
        """Load everything, and watch for changes."""
        now = self.engine.now
        if not self.loaded and not self.loading and now >= self.next_load:
            self._load()
        if self.loaded and not self.watching and now >= self.next_watch:
            self._watch()

    # --- single keys ------------------------------------------------------
    def read_keys(
        self,
        keys: list[str],
        then: Callable[[], None] | None = None,
        failed: Callable[[], None] | None = None,
    ) -> None:
        """Read keys afresh into the replica, one after the other, then go on.

        `failed` if one cannot be read. The order matters: a job's open record is read before
        its final one. Read at the same time, a job that ends in between shows in neither.
        """
        if not keys:
            if then is not None:
                then()
            return
        key, rest = keys[0], keys[1:]

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Row():
                    self.engine.replica.put(key, outcome.value, outcome.version)
                case Missing():
                    self.engine.replica.drop(key, outcome.revision)
                case _:
                    if failed is not None:
                        failed()
                    return
            self.read_keys(rest, then, failed)

        self.engine.client.submit(GetKey(key), Priority.USER, on_outcome)

    # --- everything -------------------------------------------------------
    def _load(self) -> None:
        """Read everything live, then follow it from the first page's revision."""
        self.loading = True
        self._load_page(None, [], None)

    def _load_page(self, after: str | None, rows: list[wire.Row], first: int | None) -> None:
        """Read the page after a key; `first` is the revision of the first one."""

        def on_outcome(page: StoreOutcome) -> None:
            if not isinstance(page, Rows):
                self.loading = False
                self.next_load = self.engine.now + c.RETRY_MIN_S + self.engine.rng.random() * 0.3
                return
            rows.extend(page.items)
            began = page.revision if first is None else first
            if page.more and page.items:
                self._load_page(page.items[-1].key, rows, began)
            else:
                self._loaded(rows, began)

        self.engine.client.submit(ListKeys(LIVE, after, c.LIST_LIMIT), Priority.LEASE, on_outcome)

    def _loaded(self, rows: list[wire.Row], revision: int) -> None:
        self.engine.replica.load(rows, revision)
        self.loading, self.loaded = False, True
        self.next_watch = self.engine.now
        log.info("loaded %d records at revision %d", len(rows), revision)
        self.engine.membership_protocol.tick()

    def _watch(self) -> None:
        """Wait for changes after the revision that is known."""
        replica = self.engine.replica
        self.watching = True

        def on_outcome(outcome: StoreOutcome) -> None:
            self.watching = False
            self.next_watch = self.engine.now + c.FOLLOW_PAUSE_S
            match outcome:
                case Watched():
                    for event in outcome.events:
                        if event.put is not None:
                            replica.put(event.put, event.value, event.version)
                        elif event.delete is not None:
                            replica.drop(event.delete, event.version)
                    replica.advance(outcome.revision)
                case HistoryCompacted():
                    log.warning("watch history compacted, reading everything again")
                    self.loaded = False
                case _:
                    self.next_watch = (
                        self.engine.now + c.RETRY_MIN_S + self.engine.rng.random() * 0.2
                    )

        self.engine.client.submit(
            WatchKeys(c.KEY_ROOT, replica.revision, c.FOLLOW_BLOCK_MS), Priority.VIEW, on_outcome
        )
