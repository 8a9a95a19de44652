"""Encoding of job records in the format in use, within the size limit of stored values."""

from __future__ import annotations

from typing import Any

import msgspec

from appledock import wire
from appledock.core.records.job import Job
from appledock.core.store.client import StoreClient
from appledock.core.store.replica import Replica


class JobRecordCodec:
    """Encodes records of open jobs, and checks their size against the client's limit."""

    def __init__(
        self, replica: Replica, client: StoreClient, machine_types: dict[str, wire.MachineType]
    ) -> None:
        self._replica = replica
        self._client = client
        self._machine_types = machine_types

    def encode(self, job: Job) -> dict[str, Any]:
        """Encode the job's record in the format that all members can read."""
        return job.encode(self._replica.record_format.value)

    def fits(self, job: Job) -> bool:
        """Return whether the encoded record is within the size limit of a stored value."""
        return len(wire.encode(self.encode(job))) <= self._client.max_value_bytes

    def drop_unoffered_types(self, job: Job) -> Job:
        """Remove machine types without effect from a job whose record is too large.

        This guards against records that were stored under larger limits and could never be
        written again. Types that the cloud does not offer have no effect, nor do any types of a
        cancelled job. If no type would be left, the first one stays.
        """
        types = job.spec.types
        if types is not None and not self.fits(job):
            offered = (
                [] if job.cancelled else [name for name in types if name in self._machine_types]
            )
            job.spec = msgspec.structs.replace(job.spec, types=offered or types[:1])
        return job
