"""Final records: what stays of a job that has ended."""

from __future__ import annotations

from typing import Any, NamedTuple


class FinalRecord(NamedTuple):
    """How and when a job has ended; it never changes."""

    state: str
    """`done` or `withdrawn` (cancelled)."""
    ended_wall_time: float | None = None
    """Time of day at which the record was written, in seconds; None if the record was written by
    a version that did not store it, or if only the state is known."""

    def encode(self) -> dict[str, Any]:
        """Encode the record for the store."""
        record: dict[str, Any] = {"state": self.state}
        if self.ended_wall_time is not None:
            record["at"] = self.ended_wall_time
        return record


def decode_final_record(value: dict[str, Any]) -> FinalRecord:
    """Decode a stored record.

    Raises:
        ValueError, KeyError or TypeError: the record is malformed.
    """
    ended = value.get("at")
    return FinalRecord(value["state"], None if ended is None else float(ended))
