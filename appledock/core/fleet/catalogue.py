"""Catalogue of machine types, read from the cloud and kept in the key-value store."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from appledock import constants, wire
from appledock.core.fleet.cloud import CloudClient, CloudFailure
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.runtime import Runtime
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import CATALOGUE_KEY
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Committed, Put, StoreOutcome, Transaction

log = logging.getLogger(__name__)


class MachineTypeCatalogue:
    """Updates the machine types that all parts of the controller read.

    The leader stores them, so that a controller that restarts during an outage of the cloud can
    place tasks.
    """

    def __init__(  # noqa: PLR0913 -- it connects the cloud, the store and the types in memory
        self,
        *,
        runtime: Runtime,
        client: StoreClient,
        replica: Replica,
        capacity_index: CapacityIndex,
        machine_types: dict[str, wire.MachineType],
        cloud: CloudClient,
        is_leader: Callable[[], bool],
        reconcile_queue: ReconcileQueue,
    ) -> None:
        self._runtime = runtime
        self._client = client
        self._replica = replica
        self._capacity_index = capacity_index
        self._machine_types = machine_types
        self._cloud = cloud
        self._is_leader = is_leader
        self._reconcile_queue = reconcile_queue
        self._next_read_at = 0.0
        self._is_reading = False
        self._loaded_version = -1

    def load_stored(self) -> None:
        """Add the stored types if they have changed; types read from the cloud take precedence."""
        stored = self._replica.catalogue
        if stored.version == self._loaded_version:
            return
        self._loaded_version = stored.version
        try:
            machine_types = _decode(stored.value)
        except msgspec.ValidationError as error:
            log.error("stored catalogue malformed: error=%s", error)
            return
        for machine_type in machine_types:
            self._machine_types.setdefault(machine_type.name, machine_type)
        self._capacity_index.mark_all_changed()

    def refresh(self) -> None:
        """Read the types from the cloud if a read is due."""
        if self._runtime.now >= self._next_read_at and not self._is_reading:
            self._is_reading = True
            self._cloud.list_machine_types(self._on_types)

    def _on_types(self, result: wire.MachineTypes | CloudFailure) -> None:
        now = self._runtime.now
        self._is_reading = False
        if isinstance(result, CloudFailure):
            self._next_read_at = (
                now + constants.MACHINE_TYPES_RETRY_DELAY_S + self._runtime.rng.random()
            )
            self._cloud.back_off()
            return
        self._next_read_at = now + constants.MACHINE_TYPES_INTERVAL_S
        self._machine_types.clear()
        self._machine_types.update(
            (machine_type.name, machine_type) for machine_type in result.types
        )
        self._capacity_index.mark_all_changed()
        self._reconcile_queue.placement_due = True
        if self._is_leader() and self._differs_from_stored():
            self._store()

    def _differs_from_stored(self) -> bool:
        """Return whether the types differ from the stored ones.

        Prices are not compared, since they change all the time.
        """
        try:
            stored = _decode(self._replica.catalogue.value)
        except msgspec.ValidationError:
            return True
        return _without_prices(stored) != _without_prices(self._machine_types.values())

    def _store(self) -> None:
        version = self._replica.catalogue.version
        value = {
            "types": [
                msgspec.to_builtins(machine_type) for machine_type in self._machine_types.values()
            ]
        }
        if len(wire.encode(value)) > self._client.max_value_bytes:
            return

        def on_outcome(outcome: StoreOutcome) -> None:
            if isinstance(outcome, Committed):
                self._replica.put(CATALOGUE_KEY, value, outcome.revision)
            else:
                retry_at = self._runtime.now + constants.CATALOGUE_WRITE_RETRY_DELAY_S
                self._next_read_at = min(self._next_read_at, retry_at)

        self._client.submit(
            Transaction({CATALOGUE_KEY: version}, [Put(CATALOGUE_KEY, value)]),
            Priority.PROGRESS,
            on_outcome,
        )


def _decode(rows: list[Any]) -> list[wire.MachineType]:
    """Return the types of a stored catalogue.

    Raises:
        msgspec.ValidationError: The catalogue is malformed.
    """
    return [msgspec.convert(row, wire.MachineType) for row in rows]


def _without_prices(machine_types: Iterable[wire.MachineType]) -> list[tuple[object, ...]]:
    return sorted(
        (
            machine_type.name,
            machine_type.cpus,
            machine_type.gpus,
            machine_type.memory_gb,
            machine_type.boot_s,
            tuple(machine_type.zones),
        )
        for machine_type in machine_types
    )
