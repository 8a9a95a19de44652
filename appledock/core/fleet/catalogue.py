"""The machine types: read from the cloud, kept in the state service."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

import msgspec

from appledock import constants as c
from appledock import wire
from appledock.core.cloud_calls import CloudOutcome, ListMachineTypes
from appledock.core.commands import CloudReply
from appledock.core.fleet.cloud import CloudCalls
from appledock.core.store.keys import CATALOGUE
from appledock.core.store.rate_limiter import Priority
from appledock.core.store_calls import Committed, Put, StoreOutcome, Transaction

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class Catalogue:
    """Keeps `engine.machine_types` up to date."""

    def __init__(self, engine: Controller, cloud: CloudCalls) -> None:
        self.engine = engine
        self.cloud = cloud
        self.next_read = 0.0
        self.reading = False
        self.read_version = -1

    def load_stored(self) -> None:
        """Take over the types that any controller has seen last.

        So an outage of the cloud does not keep a restarted controller from deciding.
        """
        catalogue = self.engine.replica.catalogue
        if catalogue.version == self.read_version:
            return
        self.read_version = catalogue.version
        try:
            types = _stored_types(catalogue.value)
        except msgspec.ValidationError as error:
            log.error("malformed catalogue: %s", error)
            return
        for machine_type in types:
            self.engine.machine_types.setdefault(machine_type.name, machine_type)
        self.engine.capacity_index.mark_all_changed()

    def refresh(self) -> None:
        """Read the types from the cloud if it is time to."""
        if self.engine.now >= self.next_read and not self.reading:
            self.reading = True
            self.cloud.call(ListMachineTypes(), self._on_types)

    def _on_types(self, reply: CloudReply) -> None:
        engine = self.engine
        self.reading = False
        self.next_read = engine.now + c.TYPES_EVERY_S
        if reply.outcome is not CloudOutcome.OK:
            self.next_read = engine.now + c.TYPES_RETRY_S + engine.rng.random()
            self.cloud.back_off()
            return
        engine.machine_types.clear()
        engine.machine_types.update((offered.name, offered) for offered in reply.data.types)
        engine.capacity_index.mark_all_changed()
        engine.reconcile_queue.placement_due = True
        if engine.membership.is_leader() and self._differs_from_stored():
            self._store()

    def _differs_from_stored(self) -> bool:
        """Has anything but the prices changed, which move all the time?"""
        try:
            stored = _stored_types(self.engine.replica.catalogue.value)
        except msgspec.ValidationError:
            return True
        return _without_prices(stored) != _without_prices(self.engine.machine_types.values())

    def _store(self) -> None:
        engine = self.engine
        version = engine.replica.catalogue.version
        value = {"types": [msgspec.to_builtins(kind) for kind in engine.machine_types.values()]}
        if len(wire.encode(value)) > engine.client.max_value_bytes:
            return

        def on_outcome(outcome: StoreOutcome) -> None:
            if isinstance(outcome, Committed):
                engine.replica.put(CATALOGUE, value, outcome.revision)
            else:
                self.next_read = min(self.next_read, engine.now + c.CATALOGUE_RETRY_S)

        engine.client.submit(
            Transaction({CATALOGUE: version}, [Put(CATALOGUE, value)]),
            Priority.PROGRESS,
            on_outcome,
        )


def _stored_types(rows: list[Any]) -> list[wire.MachineType]:
    """The types of a stored catalogue; raises ValidationError if malformed."""
    return [msgspec.convert(row, wire.MachineType) for row in rows]


def _without_prices(types: Iterable[wire.MachineType]) -> list[tuple[object, ...]]:
    return sorted(
        (kind.name, kind.cpus, kind.gpus, kind.memory_gb, kind.boot_s, tuple(kind.zones))
        for kind in types
    )
