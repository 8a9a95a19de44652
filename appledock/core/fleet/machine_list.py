"""Reader of the cloud's machine list, page by page."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from appledock import constants, wire
from appledock.core.fleet.cloud import CloudClient, CloudFailure
from appledock.core.runtime import Runtime


@dataclass(slots=True)
class ListingInProgress:
    """A machine list of which some pages have been read."""

    started_at: float
    machines: dict[str, wire.Machine] = field(default_factory=dict)
    """machine -> its row"""
    last_machine: str | None = None
    """the last machine read, after which the next page begins"""
    next_page_at: float = 0.0
    is_call_in_flight: bool = False


class MachineListReader:
    """Reads the machine list at intervals, within a fixed share of the cloud's rate limit.

    The pauses between pages and the retry of a refused page ensure that the list is completed.
    Eight pages without a pause are more calls than a cloud with a limit of two a second accepts,
    and when the listing was restarted after each refusal, a list of 4,000 machines was never read
    to its end.
    """

    def __init__(
        self,
        runtime: Runtime,
        cloud: CloudClient,
        on_complete: Callable[[dict[str, wire.Machine]], None],
    ) -> None:
        """Initialize the reader; `on_complete` is called with each complete list."""
        self._runtime = runtime
        self._cloud = cloud
        self._on_complete = on_complete
        self._next_listing_at = 0.0
        self._listing: ListingInProgress | None = None

    def refresh(self) -> None:
        """Read the next page if it is due."""
        now = self._runtime.now
        listing = self._listing
        if listing is None:
            if now < self._next_listing_at:
                return
            listing = self._listing = ListingInProgress(now)
        if not listing.is_call_in_flight and now >= listing.next_page_at:
            self._read_page(listing)

    def restart(self) -> None:
        """Discard the pages read so far, and start a new listing at the next `refresh`."""
        self._listing = None
        self._next_listing_at = self._runtime.now

    def _read_page(self, listing: ListingInProgress) -> None:
        listing.is_call_in_flight = True
        self._cloud.list_machines(listing.last_machine, lambda page: self._on_page(listing, page))

    def _on_page(self, listing: ListingInProgress, page: wire.MachineList | CloudFailure) -> None:
        now = self._runtime.now
        if listing is not self._listing:
            return  # reply for a listing that was discarded by `restart`
        listing.is_call_in_flight = False
        if isinstance(page, CloudFailure):
            self._cloud.back_off()
            if now - listing.started_at > constants.MACHINE_LIST_TIMEOUT_S:
                self._end_listing()
            return
        listing.machines.update((machine.id, machine) for machine in page.machines)
        if page.more and page.machines:
            listing.last_machine = page.machines[-1].id
            listing.next_page_at = now + self._page_pause_s()
            return
        self._end_listing()
        self._on_complete(listing.machines)

    def _page_pause_s(self) -> float:
        """Return the pause between two pages, which leaves calls for rentals and deletions."""
        return 1.0 / (self._runtime.settings.cluster.cloud.rps * constants.MACHINE_LIST_CALLS_SHARE)

    def _end_listing(self) -> None:
        self._listing = None
        self._next_listing_at = self._runtime.now + constants.MACHINE_LIST_INTERVAL_S
