"""Admission to a machine of a pool: only jobs of the partition that owns it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from appledock import wire


@dataclass(frozen=True, slots=True)
class OwnerAdmission:
    """Admits the jobs of a machine's owner."""

    partition_of: Callable[[wire.JobSpec], str | None]
    """the partition of a job"""
    partition: str | None
    """partition that owns the machine; None: no partition at present, so that no job is admitted"""
    is_for_replicas_only: bool = False
    """is its free capacity reserved for replicas on machines that are being handed over?"""

    def admits(self, spec: wire.JobSpec) -> bool:
        """May a step of the job use the machine?"""
        return (
            self.partition is not None
            and self.partition_of(spec) == self.partition
            and (spec.service or not self.is_for_replicas_only)
        )
