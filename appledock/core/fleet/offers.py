"""What the cloud offers, and which kinds it has refused lately."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.fleet.model import MachineKind
from appledock.core.machines.machine_capacity import can_run_on_type

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class Offers:
    """Prices and capacity of the kinds that may be rented."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.refused: dict[MachineKind, float] = {}
        """kinds without capacity -> when to ask again"""

    def refuse(self, kind: MachineKind) -> None:
        """The cloud has no more of this kind for now."""
        self.refused[kind] = self.engine.now + c.NO_CAPACITY_S

    def cheapest(
        self, spec: wire.JobSpec, tasks: int, only: str | None = None
    ) -> MachineKind | None:
        """Find the kind that costs least per task, among those not refused lately.

        `only`: in this zone.
        """
        best: tuple[float, MachineKind] | None = None
        for machine_type, kind in self._kinds_for(spec, only):
            if self.refused.get(kind, 0.0) > self.engine.now:
                continue
            fit = min(tasks, kind.empty_room(machine_type).free_slots(spec))
            price = (machine_type.spot_price if kind.spot else machine_type.price) / max(1, fit)
            if best is None or (price, kind) < best:
                best = (price, kind)
        return best[1] if best else None

    def _kinds_for(
        self, spec: wire.JobSpec, only: str | None
    ) -> Iterator[tuple[wire.MachineType, MachineKind]]:
        """All kinds on which a task of the job may and can run."""
        for machine_type in self.engine.machine_types.values():
            if not can_run_on_type(spec, machine_type):
                continue
            for zone in machine_type.zones:
                if spec.zone not in (None, zone) or only not in (None, zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    yield machine_type, MachineKind(machine_type.name, zone, spot)
