"""Which controller a step that lacks room is handed to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.machines.machine_capacity import MachineCapacity, count_free_slots
from appledock.core.records.job import Job

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class HandOff:
    """Picks the controller whose workers report most room."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.mine_since: dict[str, float] = {}
        """job handed to us -> when we learned of it"""

    def forget(self, job_id: str) -> None:
        """The job is over, or another controller's."""
        self.mine_since.pop(job_id, None)

    def on_job_owned(self, job: Job) -> None:
        """The job is ours now."""
        if job.handoff:
            self.mine_since.setdefault(job.id, self.engine.now)

    def choose_target(
        self, job: Job, rooms: list[MachineCapacity], left: int, gang: bool, zones: dict[str, int]
    ) -> str | None:
        """Name the controller for the `left` tasks; None: they stay here."""
        view = self.engine.replica.view
        assert view is not None
        by_owner: dict[str, list[MachineCapacity]] = {}
        for room in rooms:
            if room.owner != self.engine.settings.name and room.owner in view.members:
                by_owner.setdefault(room.owner, []).append(room)
        best = {
            owner: fit
            for owner, theirs in by_owner.items()
            if (fit := count_free_slots(job.spec, theirs, zones))
        }
        if gang:
            whole = {node: fit for node, fit in best.items() if fit >= left}
            if whole:
                return max(sorted(whole), key=whole.__getitem__)
            everywhere = count_free_slots(job.spec, rooms, zones)
            if everywhere >= left and view.leader != self.engine.settings.name:
                return view.leader
            return None
        if not best:
            return None
        most = max(sorted(best), key=best.__getitem__)
        # Passing a job round for a task here and a task there costs more writes than
        # it saves waiting, since room is freed here as well.
        worth = best[most] >= min(left, max(1, math.ceil(left * c.HANDOFF_SHARE)))
        settled = self.engine.now - self.mine_since.get(job.id, -1e9) > c.HANDOFF_EVERY_S
        return most if job.spec.service or (worth and settled) else None
