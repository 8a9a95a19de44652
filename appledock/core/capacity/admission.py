"""Admission of jobs to a machine of a pool: only those of the partition that owns the machine."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from appledock import wire


@dataclass(frozen=True, slots=True)
class OwnerAdmission:
    """Admits the jobs of the partition that owns a machine."""

    partition_of: Callable[[wire.JobSpec], str | None]
    """Returns the partition of a job, or None if the job is in no partition."""
    partition: str | None
    """Partition that owns the machine; None admits no job, as no partition may use the machine."""
    is_for_replicas_only: bool = False
    """Whether free capacity of the machine is reserved for replicas of services.

    The reservation is made for replicas that have to leave machines that are being handed over;
    other replicas of the partition are admitted too.
    """

    def admits(self, spec: wire.JobSpec) -> bool:
        """Return whether a step of the job may use the machine."""
        return (
            self.partition is not None
            and self.partition_of(spec) == self.partition
            and (spec.service or not self.is_for_replicas_only)
        )
