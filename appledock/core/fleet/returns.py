"""Which machines go back: cordoned first, deleted once they are surely empty."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.cloud_calls import CloudOutcome, DeleteMachines
from appledock.core.commands import CloudReply
from appledock.core.fleet.cloud import CloudCalls
from appledock.core.fleet.cordons import Cordons
from appledock.core.fleet.headroom import Headroom
from appledock.core.fleet.machines import Machines
from appledock.core.fleet.model import (
    DRAIN,
    ENDED_BY_A_REPORT,
    FAILED,
    FAULTY,
    IDLE,
    MUTE,
    NEVER_CAME_UP,
    OPERATOR,
    SILENT,
    Demand,
    Returning,
)
from appledock.core.fleet.silence import SilenceDetector
from appledock.core.fleet.summary import Summary
from appledock.core.machines.machine_capacity import is_allowed_on
from appledock.core.workers import Worker

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


@dataclass(slots=True)
class UpcomingTasks:
    """Tasks of a job that will be ready soon for which no idle machine is kept yet."""

    spec: wire.JobSpec
    tasks: int


class Returns:
    """Returns machines that are idle, drained, faulty, failed or silent."""

    def __init__(
        self,
        engine: Controller,
        cloud: CloudCalls,
        machines: Machines,
        cordons: Cordons,
        headroom: Headroom,
    ) -> None:
        self.engine = engine
        self.cloud = cloud
        self.machines = machines
        self.cordons = cordons
        self.headroom = headroom
        self.silence = SilenceDetector(engine)
        self.summary = Summary(engine, machines)
        self.returning: dict[str, Returning] = {}
        self.upcoming: list[UpcomingTasks] = []

    # --- choice -----------------------------------------------------------
    def review(self, demand: list[Demand], led_since: float | None) -> None:
        """Look at all machines, and return what nobody needs."""
        calm = self.silence.calm()
        if calm:
            for name in self.silence.mute_machines(self.returning):
                self.delete_soon(name, MUTE)
        wanted = self.headroom.wanted()
        warm = self.headroom.warm(wanted.images)
        self.summary.tell(wanted.cpus, warm, len(self.returning))
        self._return_stuck(led_since)
        queue = [item.job.spec for item in demand if item.ready]
        self._reserve_for_upcoming(demand)
        for name, worker in self.engine.workers.table.items():
            if (
                name in self.returning
                or worker.report is None
                or name in self.engine.workers.deleted_machines
            ):
                continue
            if worker.placement.cordon_reason in (DRAIN, FAULTY) and self._surely_empty(name):
                self.cordon(name, worker.placement.cordon_reason)
            elif self._idle(worker, queue) and warm.spare(name, wanted.cpus):
                warm.remove(name)
                self.cordon(name, IDLE)
            elif calm and self._dead(worker):
                self.delete_soon(name, SILENT)
        self._delete_due()

    def _return_stuck(self, led_since: float | None) -> None:
        for name, machine in self.machines.booting().items():
            if self.machines.stuck(name, machine, led_since) and name not in self.returning:
                log.warning("%s has not come up within %.0f s", name, machine.age_s)
                self.delete_soon(name, NEVER_CAME_UP)

    def _surely_empty(self, name: str) -> bool:
        """Is it empty, and would we have heard of a step that its owner places there?"""
        return self.machines.empty(name) and self.engine.heartbeats.is_reachable(
            self.engine.replica.owner_of(name)
        )

    def _idle(self, worker: Worker, queue: list[wire.JobSpec]) -> bool:
        """Has it been of no use for long enough?"""
        now, name = self.engine.now, worker.id
        return (
            bool(worker.placement.idle_since)
            and now - worker.placement.idle_since > self.engine.operator_settings["idle_return_s"]
            and self.machines.past_minimum_charge(name)
            and worker.placement.cordon_reason != OPERATOR
            and now - worker.reachability.last_heartbeat_at < c.IDLE_HEARD_S
            and self._surely_empty(name)
            and not self._asked_for(name, queue)
            and not self._reserve(name)
        )

    def _reserve_for_upcoming(self, demand: list[Demand]) -> None:
        """Keep idle machines for jobs that will be ready soon, no more than those need.

        Kept for any such job, nearly every idle machine stayed. Those whose least charge is
        not used up stay anyway, and serve first.
        """
        self.upcoming = [
            UpcomingTasks(item.job.spec, item.tasks) for item in demand if not item.ready
        ]
        for name, worker in self.engine.workers.table.items():
            if worker.placement.idle_since and not self.machines.past_minimum_charge(name):
                self._reserve(name)

    def _reserve(self, name: str) -> bool:
        """Is the idle machine needed for a job that will be ready soon?"""
        room = self.engine.capacity_index.machines.get(name)
        if room is None:
            return False
        for item in self.upcoming:
            spec = item.spec
            if item.tasks > 0 and is_allowed_on(spec, room) and room.fits(spec):
                item.tasks -= room.free_slots(spec)
                return True
        return False

    def _asked_for(self, name: str, queue: list[wire.JobSpec]) -> bool:
        """Could a queued task run there? Steps may only be waiting for their write."""
        room = self.engine.capacity_index.machines.get(name)
        return room is not None and any(
            is_allowed_on(spec, room) and room.fits(spec) for spec in queue
        )

    def _dead(self, worker: Worker) -> bool:
        """Silent for so long that nothing of ours can still run there?"""
        return self.engine.now - worker.reachability.last_heartbeat_at > c.SILENT_DELETE_S and (
            worker.lease.expired_epoch >= worker.agent_epoch
            or worker.id not in self.engine.replica.attempts_by_machine
        )

    # --- on the way out ---------------------------------------------------
    def cordon(self, name: str, why: str) -> None:
        """Begin to return a machine that is empty."""
        self.returning[name] = Returning(self.engine.now, why)
        self.cordons.set_everywhere(name, why)

    def delete_soon(self, name: str, why: str) -> None:
        """Delete a machine at the next opportunity, empty or not."""
        self.returning[name] = Returning(self.engine.now - c.CORDON_S, why, True)

    def on_failed(self, names: list[str]) -> None:
        """The cloud lists these machines as failed."""
        new = [name for name in names if name not in self.engine.workers.deleted_machines]
        if new:
            self.machines.announce_gone(new)
        for name in names:
            if name not in self.returning:
                self.delete_soon(name, FAILED)

    def _delete_due(self) -> None:
        due = []
        for name, item in list(self.returning.items()):
            if item.calling or self.engine.now < item.since + c.CORDON_S:
                continue
            if self._well_again(name, item):
                del self.returning[name]
            elif not item.force and not self.machines.empty(name):
                del self.returning[name]
                self.cordons.set_everywhere(name, "")
            else:
                due.append(name)
        if due:
            self.delete(due[: c.DELETE_MAX])

    def _well_again(self, name: str, item: Returning) -> bool:
        """Has the machine been heard of since it was to be deleted as silent?

        Guards against an outage of the cloud: the machine is well again, with all that runs on
        it, when the deletion could go out at last.
        """
        worker = self.engine.workers.table.get(name)
        return (
            item.why in ENDED_BY_A_REPORT
            and worker is not None
            and worker.reachability.last_healthy_at > item.since + c.CORDON_S
        )

    # --- deletion ---------------------------------------------------------
    def delete(self, names: list[str]) -> None:
        """Ask the cloud to delete the machines."""
        for name in names:
            item = self.returning[name]
            item.calling = True
            if item.why == IDLE and self.engine.now - item.since > c.CORDON_LAPSE_S / 3:
                # The cloud is in trouble: nothing should be placed there meanwhile.
                item.since = self.engine.now - c.CORDON_S
                self.cordons.announce(name, item.why)
        self.cloud.call(DeleteMachines(names), lambda reply: self._on_deleted(names, reply))

    def _on_deleted(self, names: list[str], reply: CloudReply) -> None:
        items = {name: self.returning[name] for name in names if name in self.returning}
        for item in items.values():
            item.calling = False
        if reply.outcome is CloudOutcome.OK:
            log.info("deleted %s", {name: item.why for name, item in items.items()})
            self.deleted(names)
        else:
            self.cloud.back_off()

    def deleted(self, names: list[str]) -> None:
        """The cloud has confirmed the deletion."""
        for name in names:
            self.returning.pop(name, None)
        self.machines.forget(names)
