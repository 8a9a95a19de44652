"""History of capacity partitions in a compressed file.

The file has one JSON line for each pool and partition at each sampling time, in zstd frames of
several lines. Controllers keep no history; the command-line tool of operators collects it. The
module needs the packages of requirements-console.txt.
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
"""Number of rows after which a block is written; a truncated file can be read up to its last whole
block."""


class HistoryError(Exception):
    """A file cannot be read as a history; the message gives the reason in one line."""


class HistoryRow(Struct, frozen=True):
    """Machines and tasks of one partition in one pool at one time.

    The field names are those of the file.
    """

    at: float
    """Time of day, in seconds since the epoch."""
    version: int
    """Version of the agreed fractions."""
    pool: str
    partition: str
    target: int
    held: int
    lent: int
    leaving: int
    tasks: int


def summary_rows(summary: dict[str, Any], at: float) -> list[HistoryRow]:
    """Return the rows for one answer of the administration API (`GET capacity`)."""
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
    """Appends rows to a file, whose present content is kept."""

    def __init__(self, path: Path) -> None:
        self.file: BinaryIO = path.open("ab")
        self.pending: list[bytes] = []

    def __enter__(self) -> HistoryWriter:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.flush()
        self.file.close()

    def add(self, rows: list[HistoryRow]) -> None:
        """Add the rows of one sampling time."""
        self.pending += [msgspec.json.encode(row) + b"\n" for row in rows]
        if len(self.pending) >= BLOCK_ROWS:
            self.flush()

    def flush(self) -> None:
        """Compress the pending rows as one block, and write the block to the file."""
        if self.pending:
            self.file.write(zstandard.compress(b"".join(self.pending)))
            self.file.flush()
            self.pending.clear()


def read_rows(path: Path) -> Iterator[HistoryRow]:
    """Yield the rows of a file in their order.

    Raises:
        HistoryError: The rest of the file cannot be read.
    """
    decoder = msgspec.json.Decoder(HistoryRow)
    try:
        remaining = path.read_bytes()
        while remaining:
            decompressor = zstandard.ZstdDecompressor().decompressobj()
            text = decompressor.decompress(remaining)
            if not decompressor.eof:
                raise HistoryError(f"{path}: its last block ends early")
            remaining = decompressor.unused_data
            for line in text.splitlines():
                yield decoder.decode(line)
    except (OSError, zstandard.ZstdError, msgspec.DecodeError) as error:
        raise HistoryError(f"{path}: {' '.join(str(error).split())}") from None
