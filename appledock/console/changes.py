"""Incremental updates of consoles: versioned rows, and the changes since a version in parts."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Mapping

import msgspec

from appledock import constants as c
from appledock.console.rows import ROW_TYPES, Changes, Row


class VersionedRows:
    """The rows of a controller, ordered by the version of their last change.

    Every change of a row has its own version, so an answer can end after any change and the next
    answer continues there. Removed rows are kept as tombstones until there are more than
    `CONSOLE_TOMBSTONES_MAX`, then all are deleted. A console whose version is older than a deleted
    tombstone gets all rows again.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.compacted_version = 0
        """highest version of a deleted tombstone; consoles with an older version get all rows"""
        self._rows: OrderedDict[str, tuple[int, Row | None]] = OrderedDict()
        """key -> version of the last change, and the row, which is None in a tombstone"""
        self._tombstone_count = 0

    def update(self, rows: Mapping[str, Row]) -> None:
        """Replace the rows with the current ones; rows that are not among them are removed."""
        for key, row in rows.items():
            previous = self._rows.get(key)
            if previous is None or previous[1] != row:
                self._tombstone_count -= previous is not None and previous[1] is None
                self._set(key, row)
        removed = [
            key for key, (_, row) in self._rows.items() if row is not None and key not in rows
        ]
        for key in removed:
            self._tombstone_count += 1
            self._set(key, None)
        if self._tombstone_count > c.CONSOLE_TOMBSTONES_MAX:
            self._compact()

    def _set(self, key: str, row: Row | None) -> None:
        self.version += 1
        self._rows[key] = (self.version, row)
        self._rows.move_to_end(key)

    def _compact(self) -> None:
        """Delete all tombstones."""
        for key in [key for key, (_, row) in self._rows.items() if row is None]:
            self.compacted_version = max(self.compacted_version, self._rows.pop(key)[0])
        self._tombstone_count = 0

    def changes_since(self, incarnation: str, version: int, limit: int) -> Changes:
        """Return at most `limit` changes after a version, the oldest first.

        The answer starts from an empty state if the version is of another incarnation or older
        than a deleted tombstone.
        """
        full = (
            incarnation != self.incarnation or not self.compacted_version <= version <= self.version
        )
        after = 0 if full else version
        newest_first = itertools.takewhile(
            lambda item: item[1][0] > after, reversed(self._rows.items())
        )
        # A console that starts from an empty state needs no tombstones.
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
    """A console's copy of the rows of a controller."""

    def __init__(self) -> None:
        self.incarnation = "-"
        self.version = 0
        self.rows: dict[str, Row] = {}

    def apply(self, changes: Changes) -> tuple[set[str], set[str]]:
        """Apply changes; return the keys of new or changed rows, and those of removed rows.

        Rows of unknown kinds are ignored.

        Raises:
            msgspec.ValidationError: a row does not have the form that this version knows; no
                change is applied.
        """
        rows = {
            key: msgspec.convert(row, ROW_TYPES[kind])
            for key, row in changes.rows.items()
            if (kind := key.partition("/")[0]) in ROW_TYPES
        }
        removed = set(self.rows) - set(rows) if changes.full else set(changes.dropped)
        for key in removed:
            self.rows.pop(key, None)
        self.rows.update(rows)
        self.incarnation, self.version = changes.incarnation, changes.version
        return set(rows), removed

    def rows_of_kind(self, kind: str) -> dict[str, Row]:
        """Return the rows of one kind by name."""
        prefix = kind + "/"
        return {
            key.removeprefix(prefix): row
            for key, row in self.rows.items()
            if key.startswith(prefix)
        }
