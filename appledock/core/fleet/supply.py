"""Free room by class: machines of the same kind with the same left are one row."""

from __future__ import annotations

from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity, is_allowed_on

RoomClass = tuple[str, str, bool, float, float, float]
"""machine type, zone, spot, and the cores, cards and memory that are free"""


class Supply:
    """How many machines have the same kind and the same left."""

    def __init__(self) -> None:
        self.rows: dict[RoomClass, tuple[MachineCapacity, int]] = {}

    def add(self, room: MachineCapacity, number: int) -> None:
        """Count `number` more machines with such room."""
        key = (
            room.type.name,
            room.zone,
            room.spot,
            round(room.cpus, 3),
            round(room.gpus, 3),
            round(room.memory_gb, 2),
        )
        _, count = self.rows.get(key, (room, 0))
        self.rows[key] = (room, count + number)

    def count(self, spec: wire.JobSpec, zone: str) -> int:
        """How many tasks of this size fit in the zone."""
        return sum(
            room.free_slots(spec) * number
            for room, number in self.rows.values()
            if room.zone == zone and is_allowed_on(spec, room)
        )

    def take(self, spec: wire.JobSpec, tasks: int, zone: str | None = None) -> int:
        """Put up to `tasks` tasks on the rows, the tightest first; what is left."""
        for key in self._tightest_first(spec, zone):
            if tasks <= 0:
                break
            room, number = self.rows.pop(key)
            per_machine = room.free_slots(spec)
            full = min(number, tasks // per_machine)
            tasks -= full * per_machine
            self._add_remainder(room, spec, per_machine, full)
            if full < number and tasks > 0:
                self._add_remainder(room, spec, tasks, 1)
                tasks, full = 0, full + 1
            if full < number:
                self.add(room, number - full)
        return tasks

    def _tightest_first(self, spec: wire.JobSpec, zone: str | None) -> list[RoomClass]:
        rows = sorted(
            (
                (room.cpus, key)
                for key, (room, _) in self.rows.items()
                if is_allowed_on(spec, room) and room.fits(spec) and zone in (None, room.zone)
            ),
            key=lambda row: (row[0], row[1]),
        )
        return [key for _, key in rows]

    def _add_remainder(
        self, room: MachineCapacity, spec: wire.JobSpec, tasks: int, number: int
    ) -> None:
        """What `number` such machines have left with `tasks` tasks on each."""
        if number > 0:
            left = MachineCapacity(
                "", room.type, room.zone, room.spot, 0, room.cpus, room.gpus, room.memory_gb
            )
            left.reserve(spec, tasks)
            self.add(left, number)
