"""Maps jobs to their partitions and machines to the partitions that own them.

A machine never runs tasks of two partitions at the same time, for these reasons:

* A machine of a pool is given only to jobs of the partition that owns it. The step that starts
  their tasks is written on the condition that the ownership record of the machine still has the
  version that it had when the step was placed.
* Before a machine changes its owner, it is recorded as being handed over. This write changes the
  version of the record, so steps that were placed earlier fail. Once the watch has passed this
  write, the replica holds every task that was ever started on the machine. The machine gets another
  owner only when none of these tasks is unsettled.
* Before partitions are in force, steps have no such condition. Partitions come into force with the
  first membership view that is written after the record format was raised; every member of that
  view must be able to read the raised format. Steps of a controller that does not know this view
  yet are conditional on an earlier view, so they fail.
"""

from __future__ import annotations

from collections.abc import Iterable

from appledock import constants, wire
from appledock.capacity.apportion import apportion
from appledock.capacity.ownership import bucket_of
from appledock.capacity.settings import Capacity, MachineFractions
from appledock.core.capacity.admission import OwnerAdmission
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.records.capacity import OWNERSHIP_PREFIX
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker


class PartitionMap:
    """Partitions of jobs, owners of machines and agreed fractions, as this controller knows them.

    Without settings, partitions are disabled: every machine admits every job, and steps do not
    depend on ownership records.
    """

    def __init__(
        self, replica: Replica, capacity_index: CapacityIndex, settings: Capacity | None
    ) -> None:
        self._replica = replica
        self._capacity_index = capacity_index
        self.settings = settings
        self.enabled = settings is not None
        self.reserved_for_replicas: dict[str, str] = {}
        """Partition -> its machine whose free capacity is reserved for replicas of services.

        Only partitions with replicas on machines that are being handed over have an entry.
        """
        self._partitions: dict[tuple[str, str], str | None] = {}
        """(job class, team) -> partition of such jobs, as a cache."""
        self._admissions: dict[tuple[str | None, bool], OwnerAdmission] = {}
        """(owning partition, whether reserved for replicas) -> admission of such machines."""

    def partition_of(self, spec: wire.JobSpec) -> str | None:
        """Return the partition of a job, or None if the job is in no partition."""
        if self.settings is None:
            return None
        key = (spec.job_class, spec.team)
        if key not in self._partitions:
            self._partitions[key] = self.settings.partition_of(spec)
        return self._partitions[key]

    def pool_of(self, worker: Worker) -> str | None:
        """Return the pool of a worker's machine.

        The result is None if the machine is in no pool or has sent no heartbeat yet.
        """
        report = worker.report
        if self.settings is None or report is None:
            return None
        return self.settings.pool_of(report.type, report.zone, report.spot)

    def is_format_raised(self) -> bool:
        """Return whether all controllers that can read the record format respect partitions."""
        return self._replica.record_format.value >= constants.CAPACITY_FORMAT

    def is_in_force(self) -> bool:
        """Return whether partitions are in force.

        All controllers then respect partitions, and steps placed without regard to them fail.
        """
        view = self._replica.view
        return (
            self.enabled
            and self.is_format_raised()
            and view is not None
            and view.version > self._replica.record_format.version
        )

    # --- machines ---------------------------------------------------------
    def admission_of(self, worker: Worker) -> OwnerAdmission | None:
        """Return which jobs the worker's machine admits, or None if it admits any job."""
        if not self.is_in_force() or self.pool_of(worker) is None:
            return None
        ownership = self._replica.capacity.ownership_of(worker.id)
        is_owned = ownership is not None and not ownership.is_being_handed_over
        partition = ownership.partition if ownership is not None and is_owned else None
        key = (partition, worker.id in self.reserved_for_replicas.values())
        admission = self._admissions.get(key)
        if admission is None:
            admission = self._admissions[key] = OwnerAdmission(self.partition_of, *key)
        return admission

    def conditions(self, reservations: Iterable[StepReservation]) -> dict[str, int]:
        """Return the key and version of each ownership record that the step depends on.

        These are the records of the machines in pools for which the step has reservations.
        """
        if not self.is_in_force():
            return {}
        records = self._replica.capacity
        result = {}
        for reservation in reservations:
            machine = self._capacity_index.machines.get(reservation.machine)
            if machine is not None and machine.admission is not None:
                number = bucket_of(reservation.machine)
                result[f"{OWNERSHIP_PREFIX}{number}"] = records.bucket(number).version
        return result

    def is_being_handed_over(self, machine: str) -> bool:
        """Return whether the machine is being drained for another owner."""
        ownership = self._replica.capacity.ownership_of(machine)
        return self.is_in_force() and ownership is not None and ownership.is_being_handed_over

    def must_move_off(self, spec: wire.JobSpec, machine: str) -> bool:
        """Return whether tasks of the job have to be moved off the machine.

        Only replicas of services are moved; other tasks complete by themselves.
        """
        return spec.service and not spec.gang and self.is_being_handed_over(machine)

    # --- agreed fractions ---------------------------------------------------
    def agreed_fractions(self) -> MachineFractions:
        """Return the fractions that were agreed last, or those of the file if none were."""
        assert self.settings is not None
        agreed = self._replica.capacity.agreed_fractions
        return agreed.fractions if agreed is not None else self.settings.configured_fractions()

    def target_machines(self, pool: str, machines: int) -> dict[str, int]:
        """Return how many of the pool's machines the agreed fractions give each partition."""
        fractions = self.agreed_fractions()
        return apportion(machines, {name: fractions[name].get(pool, 0.0) for name in fractions})
