"""Which kinds of machines can be rented, and at what price."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from appledock import constants, wire
from appledock.core.fleet.model import MachineKind
from appledock.core.machines.machine_capacity import can_run_on_type
from appledock.core.runtime import Runtime


class InstanceOffers:
    """Selects kinds by price, without those that the cloud had no capacity for lately."""

    def __init__(self, runtime: Runtime, machine_types: Mapping[str, wire.MachineType]) -> None:
        self._runtime = runtime
        self._machine_types = machine_types
        self.unavailable_until: dict[MachineKind, float] = {}
        """kinds without capacity -> when they are requested again"""

    def mark_unavailable(self, kind: MachineKind) -> None:
        """The cloud has no more machines of this kind for now."""
        self.unavailable_until[kind] = self._runtime.now + constants.NO_CAPACITY_BACKOFF_S

    def cheapest(
        self, spec: wire.JobSpec, tasks: int, zone: str | None = None
    ) -> MachineKind | None:
        """Find the available kind that costs least per task of the job.

        With `zone` only there; None: no kind that the job can run on is available.
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
        """All kinds on which a task of the job may and can run."""
        for machine_type in self._machine_types.values():
            if not can_run_on_type(spec, machine_type):
                continue
            for zone in machine_type.zones:
                if spec.zone not in (None, zone) or only_zone not in (None, zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    yield machine_type, MachineKind(machine_type.name, zone, spot)
