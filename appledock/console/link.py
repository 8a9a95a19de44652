"""Whom the console asks, and when: one controller after the other, within a rate of bytes."""

from __future__ import annotations

from dataclasses import dataclass

from appledock import constants as c


@dataclass(frozen=True, slots=True)
class Ask:
    """The next request: to whom, when, and how many rows at most."""

    address: str
    at: float
    rows: int


class Link:
    """Decides on requests; has no I/O and is told what came of each."""

    def __init__(self, addresses: list[str], bytes_per_s: float) -> None:
        if not addresses:
            raise ValueError("no controller is named")
        self.addresses = list(addresses)
        self.bytes_per_s = bytes_per_s
        self.place = 0
        self.next_at = 0.0
        self.failures: dict[str, str] = {}
        """controllers tried in vain since the last answer -> why"""
        self.row_bytes = float(c.CONSOLE_ROW_BYTES)
        """what a row takes, by the last answers"""

    @property
    def address(self) -> str:
        """The controller that is asked."""
        return self.addresses[self.place]

    def ask(self) -> Ask:
        """The next request."""
        fits = (
            c.CONSOLE_RESPONSE_TARGET_S * self.bytes_per_s - c.CONSOLE_HEADERS_BYTES
        ) / self.row_bytes
        return Ask(self.address, self.next_at, max(1, min(c.CONSOLE_ROWS_MAX, int(fits))))

    def answered(self, now: float, size: int, rows: int, more: bool) -> None:
        """An answer of so many bytes and rows came."""
        self.failures.clear()
        size += c.CONSOLE_HEADERS_BYTES
        if rows:
            measured = max(1.0, (size - c.CONSOLE_HEADERS_BYTES) / rows)
            self.row_bytes += (measured - self.row_bytes) / 2
        # The link is left idle until the answer's bytes are paid for.
        paid = size / self.bytes_per_s
        self.next_at = now + (paid if more else max(paid, c.CONSOLE_POLL_INTERVAL_S))

    def failed(self, now: float, reason: str) -> None:
        """No use came of asking; the next controller is asked, after a pause once round."""
        self.failures[self.address] = reason
        self.place = (self.place + 1) % len(self.addresses)
        once_round = len(self.failures) >= len(self.addresses)
        self.next_at = now + (c.CONSOLE_RETRY_DELAY_S if once_round else 0.0)

    def trouble(self) -> str:
        """Which controllers were tried in vain since the last answer; empty if none."""
        return "; ".join(f"{address}: {reason}" for address, reason in self.failures.items())
