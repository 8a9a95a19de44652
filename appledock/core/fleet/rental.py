"""Rental requests: sent, repeated until answered, and told to the peers."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.cloud_calls import CloudOutcome, RentMachines
from appledock.core.commands import CloudReply
from appledock.core.effects import PeerSend
from appledock.core.fleet.cloud import CloudCalls
from appledock.core.fleet.machines import Machines
from appledock.core.fleet.model import MachineKind, RentRequest
from appledock.core.fleet.offers import Offers
from appledock.core.messages import MachinesRented

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class Rental:
    """Rents machines and keeps the requests under way."""

    def __init__(
        self,
        engine: Controller,
        cloud: CloudCalls,
        machines: Machines,
        offers: Offers,
        replan: Callable[[], None],
    ) -> None:
        self.engine = engine
        self.cloud = cloud
        self.machines = machines
        self.offers = offers
        self.replan = replan
        """called when the cloud had nothing to offer: another kind may do"""
        self.requests: list[RentRequest] = []
        self.counter = 0

    def rent(self, kind: MachineKind, count: int) -> None:
        """Begin a new request."""
        member = self.engine.membership
        self.counter += 1
        # Never used twice, by nobody: term, incarnation and a counter.
        name = f"r-{member.term}-{member.incarnation}-{self.counter}"
        request = RentRequest(name, kind, count)
        self.requests.append(request)
        self._send(request)

    def retry(self) -> None:
        """Repeat the requests whose outcome is unknown."""
        for request in self.requests:
            if self.engine.now >= request.next_try:
                self._send(request)

    def _send(self, request: RentRequest) -> None:
        request.next_try = math.inf  # not while it waits for its answer
        request.tries += 1
        body = wire.Rent(request.name, *request.kind, count=request.count)
        self.cloud.call(RentMachines(body), lambda reply: self._on_reply(request, reply))

    def _on_reply(self, request: RentRequest, reply: CloudReply) -> None:
        if reply.outcome is CloudOutcome.UNKNOWN and request.tries < c.RENT_TRIES:
            request.next_try = self.engine.now + c.CLOUD_PAUSE_S + self.engine.rng.random()
            return
        self.requests.remove(request)
        if reply.outcome is CloudOutcome.OK:
            self._on_rented(request, list(reply.data.machines))
        elif reply.outcome is CloudOutcome.NO_CAPACITY:
            log.info("no capacity for %s", tuple(request.kind))
            self.offers.refuse(request.kind)
            self.replan()
        else:
            self.cloud.back_off()

    def _on_rented(self, request: RentRequest, names: list[str]) -> None:
        log.info("rented %s: %s", tuple(request.kind), names)
        self.machines.add_rented(names, request.kind)
        self.announce(names, request.kind)
        if len(names) < request.count:
            self.offers.refuse(request.kind)

    def announce(self, names: list[str], kind: MachineKind, to: str | None = None) -> None:
        """Tell one peer, or all, what was rented: each may lead soon."""
        self.engine.emit(PeerSend(MachinesRented(names, kind), to))
