"""Decides which controller the console polls, when, and for how many rows.

One controller is polled until it fails; polling then continues with the next one. Delays between
requests keep the average traffic within a limit in bytes per second.
"""

from __future__ import annotations

from dataclasses import dataclass

from appledock import constants as c


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """The next request for changes."""

    address: str
    """address of the controller, as HOST:PORT"""
    send_at: float
    """earliest time to send it, on the steady clock"""
    max_rows: int
    """limit of the rows in the answer"""


class RequestPlanner:
    """Plans the requests of a console; does no I/O and is told the outcome of each request."""

    def __init__(self, addresses: list[str], bytes_per_s: float) -> None:
        if not addresses:
            raise ValueError("no controller is named")
        self.addresses = list(addresses)
        self.bytes_per_s = bytes_per_s
        self.address_index = 0
        """index of the controller that is polled, in `addresses`"""
        self.next_send_at = 0.0
        self.failures: dict[str, str] = {}
        """address of a controller that failed since the last answer -> reason"""
        self.bytes_per_row = float(c.CONSOLE_ROW_BYTES)
        """estimated size of a row, a moving average over the last answers"""

    @property
    def address(self) -> str:
        """The address of the controller that is polled."""
        return self.addresses[self.address_index]

    def next_request(self) -> PlannedRequest:
        """Return the next request, limited to the rows that the link carries in the target time."""
        fitting_rows = (
            c.CONSOLE_RESPONSE_TARGET_S * self.bytes_per_s - c.CONSOLE_HEADERS_BYTES
        ) / self.bytes_per_row
        return PlannedRequest(
            self.address, self.next_send_at, max(1, min(c.CONSOLE_ROWS_MAX, int(fitting_rows)))
        )

    def on_response(self, now: float, size: int, rows: int, more: bool) -> None:
        """Schedule the next request after a response with this number of bytes and rows."""
        self.failures.clear()
        size += c.CONSOLE_HEADERS_BYTES
        if rows:
            measured = max(1.0, (size - c.CONSOLE_HEADERS_BYTES) / rows)
            self.bytes_per_row += (measured - self.bytes_per_row) / 2
        # The next request waits until the average rate, with this response, is within the limit.
        pacing_delay = size / self.bytes_per_s
        self.next_send_at = now + (
            pacing_delay if more else max(pacing_delay, c.CONSOLE_POLL_INTERVAL_S)
        )

    def on_failure(self, now: float, reason: str) -> None:
        """Fail over to the next controller; wait before that if all controllers have failed."""
        self.failures[self.address] = reason
        self.address_index = (self.address_index + 1) % len(self.addresses)
        all_failed = len(self.failures) >= len(self.addresses)
        self.next_send_at = now + (c.CONSOLE_RETRY_DELAY_S if all_failed else 0.0)

    def describe_failures(self) -> str:
        """Return the controllers that failed since the last answer, with reasons; empty if none."""
        return "; ".join(f"{address}: {reason}" for address, reason in self.failures.items())
