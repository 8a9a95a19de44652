"""Histories of machine partitions in a compressed file: one JSON line a pool, partition and moment.

Controllers keep none; the operators' side collects them. Needs requirements-console.txt.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from types import TracebackType
from typing import Any, BinaryIO

import msgspec
import zstandard
from msgspec import Struct

BLOCK_ROWS = 256
"""rows; after so many a block is closed, so that a file that ends early can be read up to there"""


class HistoryError(Exception):
    """A file cannot be read as a history; the text says why in one line."""


class HistoryRow(Struct, frozen=True):
    """What a partition owned of a pool at one moment; the fields' names are those of the file."""

    at: float
    """time of day, s"""
    version: int
    """of the agreed fractions"""
    pool: str
    partition: str
    target: int
    held: int
    lent: int
    leaving: int
    tasks: int


def summary_rows(summary: dict[str, Any], at: float) -> list[HistoryRow]:
    """The rows of one answer of the administration API."""
    return [
        HistoryRow(
            at,
            summary["version"],
            pool,
            name,
            row["target"],
            row["held"],
            row["lent"],
            len(row["leaving"]),
            row["tasks"],
        )
        for pool, state in summary["pools"].items()
        for name, row in state["partitions"].items()
    ]


class HistoryWriter:
    """Appends rows to a file; what it had before is kept."""

    def __init__(self, path: Path) -> None:
        self.file: BinaryIO = path.open("ab")
        self.pending: list[bytes] = []

    def __enter__(self) -> HistoryWriter:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.flush()
        self.file.close()

    def add(self, new: list[HistoryRow]) -> None:
        """Add the rows of one moment."""
        self.pending += [msgspec.json.encode(row) + b"\n" for row in new]
        if len(self.pending) >= BLOCK_ROWS:
            self.flush()

    def flush(self) -> None:
        """Close the present block."""
        if self.pending:
            self.file.write(zstandard.compress(b"".join(self.pending)))
            self.file.flush()
            self.pending.clear()


def read_rows(path: Path) -> Iterator[HistoryRow]:
    """The rows of a file in their order; raises HistoryError where it cannot be read on."""
    decoder = msgspec.json.Decoder(HistoryRow)
    try:
        left = path.read_bytes()
        while left:
            block = zstandard.ZstdDecompressor().decompressobj()
            text = block.decompress(left)
            if not block.eof:
                raise HistoryError(f"{path}: its last block ends early")
            left = block.unused_data
            for line in text.splitlines():
                yield decoder.decode(line)
    except (OSError, zstandard.ZstdError, msgspec.DecodeError) as error:
        raise HistoryError(f"{path}: {' '.join(str(error).split())}") from None
