"""Which partition a job belongs to, and which partition owns a machine, by the records.

Why a machine never runs tasks of two partitions at once:

* A step that uses a machine of a pool is conditional on the record that names the machine's owner,
  as it was when the step was placed, and is placed only for the owner's jobs.
* The machine is first recorded as being handed over. Steps that were placed before then fail. Once
  the watch has passed that write, all tasks ever started there are in the replica, and the machine
  gets another owner only when none of them is unsettled.
* Before partitions are in force, steps have no such condition. They are in force under views that
  are newer than the record format, which every member must read; steps of controllers that do not
  know that yet are conditional on an earlier view, and fail.
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

    Without settings it is disabled: every machine admits every job, and steps have no conditions.
    """

    def __init__(
        self, replica: Replica, capacity_index: CapacityIndex, settings: Capacity | None
    ) -> None:
        self._replica = replica
        self._capacity_index = capacity_index
        self.settings = settings
        self.enabled = settings is not None
        self.reserved_for_replicas: dict[str, str] = {}
        """partition with replicas on machines that are being handed over -> its machine whose free
        capacity is reserved for those"""
        self._partitions: dict[tuple[str, str], str | None] = {}
        self._admissions: dict[tuple[str | None, bool], OwnerAdmission] = {}

    def partition_of(self, spec: wire.JobSpec) -> str | None:
        """The partition of a job; None without one."""
        if self.settings is None:
            return None
        key = (spec.job_class, spec.team)
        if key not in self._partitions:
            self._partitions[key] = self.settings.partition_of(spec)
        return self._partitions[key]

    def pool_of(self, worker: Worker) -> str | None:
        """The pool of a worker's machine; None: in no pool, or no heartbeat received yet."""
        report = worker.report
        if self.settings is None or report is None:
            return None
        return self.settings.pool_of(report.type, report.zone, report.spot)

    def is_format_raised(self) -> bool:
        """Is the record format one whose readers all keep to partitions?"""
        return self._replica.record_format.value >= constants.CAPACITY_FORMAT

    def is_in_force(self) -> bool:
        """Do all controllers keep to partitions, and are all other steps void?"""
        view = self._replica.view
        return (
            self.enabled
            and self.is_format_raised()
            and view is not None
            and view.version > self._replica.record_format.version
        )

    # --- machines ---------------------------------------------------------
    def admission_of(self, worker: Worker) -> OwnerAdmission | None:
        """Which jobs the worker's machine admits; None: any."""
        if not self.is_in_force() or self.pool_of(worker) is None:
            return None
        ownership = self._replica.capacity.ownership_of(worker.id)
        is_owned = ownership is not None and not ownership.is_being_handed_over
        owner = ownership.partition if ownership is not None and is_owned else None
        key = (owner, worker.id in self.reserved_for_replicas.values())
        admission = self._admissions.get(key)
        if admission is None:
            admission = self._admissions[key] = OwnerAdmission(self.partition_of, *key)
        return admission

    def conditions(self, reservations: Iterable[StepReservation]) -> dict[str, int]:
        """Versions of the ownership records on which a step with these reservations depends."""
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
        """Is the machine being drained for another owner?"""
        ownership = self._replica.capacity.ownership_of(machine)
        return self.is_in_force() and ownership is not None and ownership.is_being_handed_over

    def must_move_off(self, spec: wire.JobSpec, machine: str) -> bool:
        """Are tasks of the job to be moved off the machine?

        Only replicas of services: other tasks complete by themselves.
        """
        return spec.service and not spec.gang and self.is_being_handed_over(machine)

    # --- agreed fractions ---------------------------------------------------
    def agreed_fractions(self) -> MachineFractions:
        """The fractions agreed last; those of the file if they were never changed."""
        assert self.settings is not None
        agreed = self._replica.capacity.agreed_fractions
        return agreed.fractions if agreed is not None else self.settings.configured_fractions()

    def target_machines(self, pool: str, machines: int) -> dict[str, int]:
        """Partition -> how many of the pool's machines it shall own by the agreed fractions."""
        fractions = self.agreed_fractions()
        return apportion(machines, {name: fractions[name].get(pool, 0.0) for name in fractions})
