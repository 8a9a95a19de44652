"""Rows with versions: what has changed since a version, in parts of a bounded size."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from appledock import constants as c
from appledock.console.rows import TYPES, Changes, Row


class RowChanges:
    """The rows of a controller, in the order in which they changed last.

    Every change of a row has a version of its own, so an answer may end anywhere and the next
    one goes on there. Dropped rows stay for a while as changes to nothing; a console that knows
    only what was before them begins anew.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.floor = 0
        """changes up to this version are not known one by one any more"""
        self._rows: OrderedDict[str, tuple[int, Row | None]] = OrderedDict()
        self._dropped = 0

    def update(self, rows: Mapping[str, Row]) -> None:
        """Take the rows as they are now; those that are missing are dropped."""
        for key, row in rows.items():
            known = self._rows.get(key)
            if known is None or known[1] != row:
                self._dropped -= known is not None and known[1] is None
                self._set(key, row)
        gone = [key for key, (_, row) in self._rows.items() if row is not None and key not in rows]
        for key in gone:
            self._dropped += 1
            self._set(key, None)
        if self._dropped > c.CONSOLE_TOMBSTONES_MAX:
            self._forget_dropped()

    def _set(self, key: str, row: Row | None) -> None:
        self.version += 1
        self._rows[key] = (self.version, row)
        self._rows.move_to_end(key)

    def _forget_dropped(self) -> None:
        for key in [key for key, (_, row) in self._rows.items() if row is None]:
            self.floor = max(self.floor, self._rows.pop(key)[0])
        self._dropped = 0

    def since(self, incarnation: str, version: int, limit: int) -> Changes:
        """Up to `limit` changes after a version, the oldest first."""
        full = incarnation != self.incarnation or not self.floor <= version <= self.version
        after = 0 if full else version
        newest_first = itertools.takewhile(
            lambda item: item[1][0] > after, reversed(self._rows.items())
        )
        # After a start, rows that are gone again are of no use.
        changed = [item for item in newest_first if not (after == 0 and item[1][1] is None)]
        changed.reverse()
        sent = changed[:limit]
        more = len(changed) > limit
        return Changes(
            self.incarnation,
            sent[-1][1][0] if more else self.version,
            full,
            {key: msgspec.to_builtins(row) for key, (_, row) in sent if row is not None},
            [key for key, (_, row) in sent if row is None],
            more,
        )


class Mirror:
    """The rows as a console knows them."""

    def __init__(self) -> None:
        self.incarnation = "-"
        self.version = 0
        self.rows: dict[str, Row] = {}

    def apply(self, changes: Changes) -> tuple[set[str], set[str]]:
        """Take changes in; the keys that are new or other, and those that are gone.

        Raises msgspec.ValidationError for rows of a form that this version does not know.
        """
        rows = {
            key: msgspec.convert(row, TYPES[kind])
            for key, row in changes.rows.items()
            if (kind := key.partition("/")[0]) in TYPES
        }
        gone = set(self.rows) - set(rows) if changes.full else set(changes.dropped)
        for key in gone:
            self.rows.pop(key, None)
        self.rows.update(rows)
        self.incarnation, self.version = changes.incarnation, changes.version
        return set(rows), gone

    def of(self, kind: str) -> dict[str, Row]:
        """The rows of one kind by name."""
        prefix = kind + "/"
        return {
            key.removeprefix(prefix): row
            for key, row in self.rows.items()
            if key.startswith(prefix)
        }
