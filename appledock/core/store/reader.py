"""Reads the state service into the replica: one listing, then a watch, and keys afresh."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.events import StoreReply
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import LIVE

if TYPE_CHECKING:
    from appledock.core.engine import Engine

log = logging.getLogger(__name__)


class StateReader:
    """Keeps this controller's picture of the state service up to date."""

    def __init__(self, engine: Engine) -> None:
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

        def done(reply: StoreReply) -> None:
            if reply.outcome == "ok":
                self.engine.replica.put(key, reply.data.value, reply.data.version)
            elif reply.outcome == "missing":
                self.engine.replica.drop(key, reply.data.revision)
            else:
                if failed is not None:
                    failed()
                return
            self.read_keys(rest, then, failed)

        self.engine.store("get", (key,), Priority.USER, done)

    # --- everything -------------------------------------------------------
    def _load(self) -> None:
        """Read everything live, then follow it from the first page's revision."""
        self.loading = True
        self._load_page(None, [], None)

    def _load_page(self, after: str | None, rows: list[wire.Row], first: int | None) -> None:
        """Read the page after a key; `first` is the revision of the first one."""

        def done(reply: StoreReply) -> None:
            if reply.outcome != "ok":
                self.loading = False
                self.next_load = self.engine.now + c.RETRY_MIN_S + self.engine.rng.random() * 0.3
                return
            page = reply.data
            rows.extend(page.items)
            began = page.revision if first is None else first
            if page.more and page.items:
                self._load_page(page.items[-1].key, rows, began)
            else:
                self._loaded(rows, began)

        self.engine.store("list", (LIVE, after, c.LIST_LIMIT), Priority.LEASE, done)

    def _loaded(self, rows: list[wire.Row], revision: int) -> None:
        self.engine.replica.load(rows, revision)
        self.loading, self.loaded = False, True
        self.next_watch = self.engine.now
        log.info("loaded %d records at revision %d", len(rows), revision)
        self.engine.membership.tick()

    def _watch(self) -> None:
        """Wait for changes after the revision that is known."""
        replica = self.engine.replica
        self.watching = True

        def done(reply: StoreReply) -> None:
            self.watching = False
            self.next_watch = self.engine.now + c.FOLLOW_PAUSE_S
            if reply.outcome == "ok":
                for event in reply.data.events:
                    if event.put is not None:
                        replica.put(event.put, event.value, event.version)
                    elif event.delete is not None:
                        replica.drop(event.delete, event.version)
                replica.advance(reply.data.revision)
            elif reply.outcome == "gone":
                log.warning("watch too old; reading everything again")
                self.loaded = False
            else:
                self.next_watch = self.engine.now + c.RETRY_MIN_S + self.engine.rng.random() * 0.2

        self.engine.store(
            "watch", (c.KEY_ROOT, replica.revision, c.FOLLOW_BLOCK_MS), Priority.VIEW, done
        )
