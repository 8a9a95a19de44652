"""Selection of the machine kinds to rent, by price and availability."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from appledock import constants, wire
from appledock.core.fleet.model import MachineKind
from appledock.core.machines.machine_capacity import can_run_on_type
from appledock.core.runtime import Runtime


class InstanceOffers:
    """Selects kinds by price, except those for which the cloud recently had no capacity."""

    def __init__(self, runtime: Runtime, machine_types: Mapping[str, wire.MachineType]) -> None:
        self._runtime = runtime
        self._machine_types = machine_types
        self.unavailable_until: dict[MachineKind, float] = {}
        """kind without capacity -> when it may be requested again"""

    def mark_unavailable(self, kind: MachineKind) -> None:
        """Exclude a kind for `NO_CAPACITY_BACKOFF_S`, since the cloud has no capacity for it."""
        self.unavailable_until[kind] = self._runtime.now + constants.NO_CAPACITY_BACKOFF_S

    def cheapest(
        self, spec: wire.JobSpec, tasks: int, zone: str | None = None
    ) -> MachineKind | None:
        """Return the available kind with the lowest price per task of the job.

        If `zone` is given, only kinds in that zone are considered. The result is None if no kind
        on which the job can run is available.
        """
        now = self._runtime.now
        best: tuple[float, MachineKind] | None = None
        for machine_type, kind in self._kinds_for(spec, zone):
            if self.unavailable_until.get(kind, 0.0) > now:
                continue
            slots = min(tasks, kind.empty_capacity(machine_type).free_slots(spec))
            price = (machine_type.spot_price if kind.spot else machine_type.price) / max(1, slots)
            if best is None or (price, kind) < best:
                best = (price, kind)
        return best[1] if best else None

    def _kinds_for(
        self, spec: wire.JobSpec, only_zone: str | None
    ) -> Iterator[tuple[wire.MachineType, MachineKind]]:
        """Yield the kinds on which a task of the job is allowed and fits, with their types."""
        for machine_type in self._machine_types.values():
            if not can_run_on_type(spec, machine_type):
                continue
            for zone in machine_type.zones:
                if spec.zone not in (None, zone) or only_zone not in (None, zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    yield machine_type, MachineKind(machine_type.name, zone, spot)
