"""The table of workers, and the machines that no longer exist."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.workers.record import Worker, WorkerLease

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class WorkerTable:
    """All workers known, by machine."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.table: dict[str, Worker] = {}
        self.deleted_machines: dict[str, float] = {}
        """machines whose deletion was confirmed, or that the cloud calls failed"""
        self.initial_renewable_until = 0.0
        """until then a controller that we do not know of yet may answer any worker"""
        self.commands_due: set[str] = set()
        """workers that may need other commands than before"""

    def get_or_create(self, name: str) -> Worker:
        """The worker's row, made if it is new."""
        worker = self.table.get(name)
        if worker is None:
            # Another controller may have answered it under a view it still
            # believes in; that ends within one lease from now.
            worker = self.table[name] = Worker(
                name,
                lease=WorkerLease(
                    max(
                        self.initial_renewable_until,
                        self.engine.now + self.engine.runtime.lease_ttl_s,
                    )
                ),
            )
        return worker

    def owns(self, name: str) -> bool:
        """Does this controller own the worker?"""
        return self.engine.replica.owner_of(name) == self.engine.settings.name

    def mark_expired(self, machine: str, session: int) -> None:
        """This session and all before it are over."""
        worker = self.get_or_create(machine)
        if session > worker.lease.expired_epoch:
            worker.lease.expired_epoch = session
            self.engine.reconcile_queue.changed_workers.add(machine)
            self.engine.capacity_index.mark_changed(machine)
            self.engine.reconcile_queue.placement_due = True

    def mark_deleted(self, machines: Iterable[str]) -> None:
        """These machines no longer exist."""
        for machine in machines:
            if machine not in self.deleted_machines:
                self.deleted_machines[machine] = self.engine.now
                self.table.pop(machine, None)
                self.engine.capacity_index.mark_changed(machine)
                self.engine.reconcile_queue.changed_workers.add(machine)
                self.engine.rebalancer.speeds.forget(machine)
        if len(self.deleted_machines) > c.GONE_MAX:
            for machine in sorted(self.deleted_machines, key=self.deleted_machines.__getitem__)[
                : c.GONE_MAX // 2
            ]:
                if machine not in self.engine.replica.attempts_by_machine:
                    del self.deleted_machines[machine]
