"""The table of workers, and the machines that no longer exist."""

from __future__ import annotations

from collections.abc import Iterable

from appledock import constants
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.observers import ReconcileTriggers, WorkerObservers
from appledock.core.workers.record import Worker, WorkerLease


class WorkerTable:
    """All known workers by machine, and the machines that no longer exist."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        triggers: ReconcileTriggers,
        observers: WorkerObservers,
    ) -> None:
        """Start without workers; `triggers` and `observers` are notified of changes."""
        self.runtime = runtime
        self.replica = replica
        self.triggers = triggers
        self.observers = observers
        self.rows: dict[str, Worker] = {}
        """machine -> its worker"""
        self.deleted_machines: dict[str, float] = {}
        """machine whose deletion was confirmed, or that the cloud reported as failed -> since when
        this is known"""
        self._initial_renewable_until = 0.0

    def on_start(self) -> None:
        """Record the start of the process.

        A controller that this process does not know of yet may answer any worker for one lease.
        """
        self._initial_renewable_until = self.runtime.now + self.runtime.lease_ttl_s

    def get_or_create(self, machine: str) -> Worker:
        """Return the worker's row, which is created if the worker is new.

        Another controller may still answer the worker under an older view, for at most one lease
        from now. So the lease in a new row counts as renewable until then.
        """
        worker = self.rows.get(machine)
        if worker is None:
            renewable_until = max(
                self._initial_renewable_until, self.runtime.now + self.runtime.lease_ttl_s
            )
            worker = self.rows[machine] = Worker(machine, lease=WorkerLease(renewable_until))
        return worker

    def owns(self, machine: str) -> bool:
        """Return whether this controller owns the worker."""
        return self.replica.owner_of(machine) == self.runtime.node

    def mark_expired(self, machine: str, agent_epoch: int) -> None:
        """Record that this agent epoch and all earlier ones of the worker have ended."""
        worker = self.get_or_create(machine)
        if agent_epoch > worker.lease.expired_epoch:
            worker.lease.expired_epoch = agent_epoch
            self.triggers.changed_workers.add(machine)
            self.observers.on_capacity_changed(machine)
            self.triggers.placement_due = True

    def mark_deleted(self, machines: Iterable[str]) -> None:
        """Record that these machines no longer exist.

        Deleted machines are remembered so that copies of their old heartbeats do not bring them
        back. Above `DELETED_MACHINES_MAX` entries, the oldest ones, half of that number, are
        dropped, except machines with open attempts.
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
