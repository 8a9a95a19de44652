"""Scale out: sends and retries rental requests, and broadcasts rented machines to the peers."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from appledock import constants, wire
from appledock.core.cloud_calls import CloudOutcome
from appledock.core.effects import PeerSend
from appledock.core.fleet.cloud import CloudClient, CloudFailure
from appledock.core.fleet.inventory import MachineInventory
from appledock.core.fleet.model import MachineKind, ScaleOutRequest
from appledock.core.fleet.offers import InstanceOffers
from appledock.core.membership.membership import Membership
from appledock.core.messages import MachinesRented
from appledock.core.runtime import Runtime

log = logging.getLogger(__name__)


class ScaleOut:
    """Rents machines; the cloud executes each request once, even if it is sent several times."""

    def __init__(
        self,
        runtime: Runtime,
        membership: Membership,
        cloud: CloudClient,
        inventory: MachineInventory,
        offers: InstanceOffers,
        on_no_capacity: Callable[[], None],
    ) -> None:
        """Initialize with no requests.

        `on_no_capacity` is called when the cloud has no capacity for the requested kind, so that
        another kind can be requested.
        """
        self._runtime = runtime
        self._membership = membership
        self._cloud = cloud
        self._inventory = inventory
        self._offers = offers
        self._on_no_capacity = on_no_capacity
        self.requests: list[ScaleOutRequest] = []
        """requests without a final answer"""
        self._last_request_number = 0

    def rent(self, kind: MachineKind, count: int) -> None:
        """Send a new rental request.

        No controller may ever use the name of a request for another request, so the name consists
        of the term, the incarnation and a counter.
        """
        membership = self._membership
        self._last_request_number += 1
        name = f"r-{membership.term}-{membership.incarnation}-{self._last_request_number}"
        request = ScaleOutRequest(name, kind, count)
        self.requests.append(request)
        self._send(request)

    def retry(self) -> None:
        """Repeat the requests whose outcome is unknown and whose retry delay has passed."""
        now = self._runtime.now
        for request in self.requests:
            if now >= request.next_attempt_at:
                self._send(request)

    def announce(self, machines: list[str], kind: MachineKind, peer: str | None = None) -> None:
        """Send rented machines to one peer, or to all peers if `peer` is None.

        Each peer needs to know them since it may become leader.
        """
        self._runtime.emit(PeerSend(MachinesRented(machines, kind), peer))

    def _send(self, request: ScaleOutRequest) -> None:
        request.next_attempt_at = math.inf  # no retry while a reply is awaited
        request.attempts += 1
        rental = wire.Rent(request.name, *request.kind, count=request.count)
        self._cloud.rent(rental, lambda result: self._on_result(request, result))

    def _on_result(self, request: ScaleOutRequest, result: wire.MachineIds | CloudFailure) -> None:
        if not isinstance(result, CloudFailure):
            self.requests.remove(request)
            self._on_rented(request, list(result.machines))
        elif (
            result.outcome is CloudOutcome.UNKNOWN
            and request.attempts < constants.RENTAL_ATTEMPTS_MAX
        ):
            request.next_attempt_at = (
                self._runtime.now + constants.CLOUD_PAUSE_S + self._runtime.rng.random()
            )
        else:
            self.requests.remove(request)
            self._on_failure(request, result)

    def _on_rented(self, request: ScaleOutRequest, machines: list[str]) -> None:
        log.info("machines rented: kind=%s machines=%s", tuple(request.kind), machines)
        self._inventory.add_rented(machines, request.kind)
        self.announce(machines, request.kind)
        if len(machines) < request.count:
            self._offers.mark_unavailable(request.kind)

    def _on_failure(self, request: ScaleOutRequest, failure: CloudFailure) -> None:
        if failure.outcome is CloudOutcome.NO_CAPACITY:
            log.info("cloud has no capacity: kind=%s", tuple(request.kind))
            self._offers.mark_unavailable(request.kind)
            self._on_no_capacity()
        else:
            self._cloud.back_off()
