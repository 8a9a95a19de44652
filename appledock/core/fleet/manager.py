"""The fleet as the rest of the core sees it: its timers, its messages, its parts."""

from __future__ import annotations

from collections.abc import Container
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.fleet.catalogue import Catalogue
from appledock.core.fleet.cloud import CloudCalls
from appledock.core.fleet.cordons import Cordons
from appledock.core.fleet.demand import queued_demand
from appledock.core.fleet.headroom import Headroom
from appledock.core.fleet.machines import Machines
from appledock.core.fleet.model import BootingMachine, Demand, MachineKind
from appledock.core.fleet.offers import Offers
from appledock.core.fleet.planning import Planner
from appledock.core.fleet.rental import Rental
from appledock.core.fleet.returns import Returns
from appledock.core.messages import FleetMessage, MachineCordoned, MachinesRented
from appledock.core.records.job import Job

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class Fleet:
    """Rents, watches and returns machines."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.cloud = CloudCalls(engine)
        self.catalogue = Catalogue(engine, self.cloud)
        self.offers = Offers(engine)
        self.machines = Machines(engine, self.cloud, self._on_failed)
        self.rental = Rental(engine, self.cloud, self.machines, self.offers, self._replan)
        self.planner = Planner(engine, self.machines, self.offers, self.rental)
        self.cordons = Cordons(engine)
        self.headroom = Headroom(engine)
        self.returns = Returns(engine, self.cloud, self.machines, self.cordons, self.headroom)
        self.next_plan = 0.0
        self.next_drain = 0.0
        self.led_since: float | None = None
        """when this controller began to lead, None while it does not"""

    # --- timers -----------------------------------------------------------
    def tick(self) -> None:
        """Do what is due; all but drains is the leader's."""
        now = self.engine.now
        if not self.engine.reader.loaded:
            return
        if self.engine.membership.can_act() and now >= self.next_drain:
            self.next_drain = now + c.FLEET_EVERY_S
            self.cordons.drain(self._returning_as_leader())
        leader = self._follow_leadership()
        if now < self.cloud.paused_until:
            return
        if leader or not self.engine.machine_types:
            self.catalogue.refresh()
        if not leader:
            return
        self.machines.refresh()
        self.rental.retry()
        if now >= self.next_plan and self.engine.machine_types:
            self.next_plan = now + c.FLEET_EVERY_S
            self.engine.capacity_index.recompute()
            demand = self._demand()
            self._plan(demand)
            self._return(demand)

    def _follow_leadership(self) -> bool:
        """Do we lead? When that begins, what is known of the machines may be old."""
        if not self.engine.membership.is_leader():
            self.led_since = None
            return False
        if self.led_since is None:
            now = self.engine.now
            self.led_since = now
            self.machines.read_anew()
            # The peers send their pictures first: a machine not heard of yet is
            # neither late nor missing.
            self.next_plan = now + c.LEADER_PAUSE_S
            self.returns.returning.clear()
        return True

    def _returning_as_leader(self) -> Container[str]:
        """Machines that we, as the leader, return."""
        return self.returns.returning if self.led_since is not None else ()

    def _demand(self) -> list[Demand]:
        return queued_demand(self.engine)

    def _plan(self, demand: list[Demand]) -> None:
        self.planner.plan(demand, self.returns.returning)

    def _return(self, demand: list[Demand]) -> None:
        self.returns.review(demand, self.led_since)

    def _replan(self) -> None:
        self.next_plan = self.engine.now

    def _on_failed(self, names: list[str]) -> None:
        self.returns.on_failed(names)

    # --- from the rest of the core ----------------------------------------
    def read_catalogue(self) -> None:
        """Take over the machine types that the state service keeps, if they are new."""
        self.catalogue.load_stored()

    def note(self, job: Job) -> None:
        """A record changed: arrivals of services tell what headroom they need."""
        self.headroom.note(job)

    def booting(self) -> dict[str, BootingMachine]:
        """Machines paid for whose workers have not reported."""
        return self.machines.booting()

    def zone_of(self, machine: str) -> str | None:
        """The zone of a listed machine."""
        row = self.machines.listed.get(machine)
        return row.zone if row is not None else None

    def deleted(self, names: list[str]) -> None:
        """The cloud has confirmed the deletion of these machines."""
        self.returns.deleted(names)

    def task_failed(self, machine: str, job: str) -> None:
        """A task of the job has failed on the machine."""
        self.cordons.task_failed(machine, job)

    def operate(self, name: str, action: str) -> None:
        """Cordon, release or drain a machine, as an operator asked."""
        self.cordons.operate(name, action)

    # --- from peers -------------------------------------------------------
    def on_peer(self, message: FleetMessage) -> None:
        """What a peer tells of machines."""
        match message:
            case MachinesRented():
                self.machines.add_rented(message.machines, MachineKind(*message.machine_kind))
            case MachineCordoned():
                self.cordons.set(message.worker, message.reason)

    def on_peer_connected(self, name: str) -> None:
        """A link opened: the peer may lead soon and must know our rentals."""
        self.cordons.announce_all(name, self._returning_as_leader())
        for kind, machines in self.machines.rentals_by_kind().items():
            self.rental.announce(machines, kind, name)
