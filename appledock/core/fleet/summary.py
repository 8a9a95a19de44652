"""What the machines do, for whoever reads the log for the costs."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.fleet.headroom import WarmMachines
from appledock.core.fleet.machines import Machines

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class Summary:
    """Logs one line about the fleet now and then."""

    def __init__(self, engine: Controller, machines: Machines) -> None:
        self.engine = engine
        self.machines = machines
        self.next_tell = 0.0

    def tell(self, headroom_cpus: float, warm: WarmMachines, returning: int) -> None:
        """Log the line if it is time to."""
        engine, now = self.engine, self.engine.now
        if now < self.next_tell:
            return
        self.next_tell = now + c.TELL_EVERY_S
        up = [worker for worker in engine.workers.table.values() if worker.report is not None]
        idle = [worker for worker in up if worker.placement.idle_since]
        rooms = engine.capacity_index.machines.values()
        log.info(
            "fleet: %d up, %d booting, %d returning; %d idle: %d just so, %d not paid for, "
            "%d not settled, %d kept warm; cores %.0f, free %.0f; warm %.0f of %.0f wanted",
            len(up),
            len(self.machines.booting()),
            returning,
            len(idle),
            sum(
                now - worker.placement.idle_since <= engine.operator_settings["idle_return_s"]
                for worker in idle
            ),
            sum(not self.machines.past_minimum_charge(worker.id) for worker in idle),
            sum(not self.machines.empty(worker.id) for worker in idle),
            sum(not warm.spare(worker.id, headroom_cpus) for worker in idle),
            sum(room.type.cpus for room in rooms),
            sum(max(0.0, room.cpus) for room in rooms),
            warm.cpus,
            headroom_cpus,
        )
