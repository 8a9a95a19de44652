"""Reads the cloud's machine list, page by page."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from appledock import constants, wire
from appledock.core.fleet.cloud import CloudClient, CloudFailure
from appledock.core.runtime import Runtime


@dataclass(slots=True)
class ListReading:
    """A machine list that is being read."""

    began_at: float
    found: dict[str, wire.Machine] = field(default_factory=dict)
    last_read: str | None = None
    """the last machine read so far"""
    next_page_at: float = 0.0
    is_call_in_flight: bool = False


class MachineListReader:
    """Reads the list from time to time, at a fixed part of the cloud's rate limit.

    Guards against a list that is never complete: eight pages without a pause are more calls
    than a cloud of two a second takes, and begun anew after each refusal, the list of 4,000
    machines was never read to its end.
    """

    def __init__(
        self,
        runtime: Runtime,
        cloud: CloudClient,
        on_complete: Callable[[dict[str, wire.Machine]], None],
    ) -> None:
        """Build it; `on_complete` is called with each complete list."""
        self._runtime = runtime
        self._cloud = cloud
        self._on_complete = on_complete
        self._next_reading_at = 0.0
        self._reading: ListReading | None = None

    def refresh(self) -> None:
        """Read the next page if it is due."""
        now = self._runtime.now
        reading = self._reading
        if reading is None:
            if now < self._next_reading_at:
                return
            reading = self._reading = ListReading(now)
        if not reading.is_call_in_flight and now >= reading.next_page_at:
            self._read_page(reading)

    def restart(self) -> None:
        """Drop what was read so far, and begin anew at once."""
        self._reading = None
        self._next_reading_at = self._runtime.now

    def _read_page(self, reading: ListReading) -> None:
        reading.is_call_in_flight = True
        self._cloud.list_machines(reading.last_read, lambda page: self._on_page(reading, page))

    def _on_page(self, reading: ListReading, page: wire.MachineList | CloudFailure) -> None:
        now = self._runtime.now
        if reading is not self._reading:
            return  # restarted meanwhile
        reading.is_call_in_flight = False
        if isinstance(page, CloudFailure):
            self._cloud.back_off()
            if now - reading.began_at > constants.MACHINE_LIST_TIMEOUT_S:
                self._end_reading()
            return
        reading.found.update((machine.id, machine) for machine in page.machines)
        if page.more and page.machines:
            reading.last_read = page.machines[-1].id
            reading.next_page_at = now + self._page_pause_s()
            return
        self._end_reading()
        self._on_complete(reading.found)

    def _page_pause_s(self) -> float:
        """Pause between two pages, which leaves rate for renting and deleting."""
        return 1.0 / (self._runtime.settings.cluster.cloud.rps * constants.MACHINE_LIST_CALLS_SHARE)

    def _end_reading(self) -> None:
        self._reading = None
        self._next_reading_at = self._runtime.now + constants.MACHINE_LIST_INTERVAL_S
