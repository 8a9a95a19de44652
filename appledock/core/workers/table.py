"""The table of workers, and the machines that no longer exist."""

from __future__ import annotations

from collections.abc import Iterable

from appledock import constants
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.observers import ReconcileTriggers, WorkerObservers
from appledock.core.workers.record import Worker, WorkerLease


class WorkerTable:
    """All workers known, by machine."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        triggers: ReconcileTriggers,
        observers: WorkerObservers,
    ) -> None:
        self.runtime = runtime
        self.replica = replica
        self.triggers = triggers
        self.observers = observers
        self.rows: dict[str, Worker] = {}
        """machine -> its worker"""
        self.deleted_machines: dict[str, float] = {}
        """machines whose deletion was confirmed, or that the cloud calls failed -> since when"""
        self._initial_renewable_until = 0.0

    def on_start(self) -> None:
        """The process starts: a controller not known of yet may answer any worker for one lease."""
        self._initial_renewable_until = self.runtime.now + self.runtime.lease_ttl_s

    def get_or_create(self, machine: str) -> Worker:
        """The worker's row, made if it is new.

        Another controller may have answered the worker under a view that it still believes in;
        that ends within one lease from now. So a new row's lease counts as renewable until then.
        """
        worker = self.rows.get(machine)
        if worker is None:
            renewable_until = max(
                self._initial_renewable_until, self.runtime.now + self.runtime.lease_ttl_s
            )
            worker = self.rows[machine] = Worker(machine, lease=WorkerLease(renewable_until))
        return worker

    def owns(self, machine: str) -> bool:
        """Does this controller own the worker?"""
        return self.replica.owner_of(machine) == self.runtime.node

    def mark_expired(self, machine: str, agent_epoch: int) -> None:
        """This agent epoch and all before it have ended."""
        worker = self.get_or_create(machine)
        if agent_epoch > worker.lease.expired_epoch:
            worker.lease.expired_epoch = agent_epoch
            self.triggers.changed_workers.add(machine)
            self.observers.on_capacity_changed(machine)
            self.triggers.placement_due = True

    def mark_deleted(self, machines: Iterable[str]) -> None:
        """These machines no longer exist.

        They are remembered: copies of their old heartbeats must not bring them back. Beyond
        `DELETED_MACHINES_MAX` the oldest are dropped, except those that open attempts still name.
        """
        for machine in machines:
            if machine not in self.deleted_machines:
                self.deleted_machines[machine] = self.runtime.now
                self.rows.pop(machine, None)
                self.observers.on_capacity_changed(machine)
                self.triggers.changed_workers.add(machine)
                self.observers.on_machine_deleted(machine)
        if len(self.deleted_machines) > constants.DELETED_MACHINES_MAX:
            self._drop_oldest_deleted()

    def _drop_oldest_deleted(self) -> None:
        oldest_first = sorted(self.deleted_machines, key=self.deleted_machines.__getitem__)
        for machine in oldest_first[: constants.DELETED_MACHINES_MAX // 2]:
            if machine not in self.replica.attempts_by_machine:
                del self.deleted_machines[machine]
