"""Linearizable reads of a job's two records, the open and the final one, into the replica."""

from __future__ import annotations

from collections.abc import Callable

from appledock import constants
from appledock.core.runtime import Runtime
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica


class JobRecordReader:
    """Reads jobs that the replica lacks, or may have in an old version."""

    def __init__(self, replica: Replica, reader: StoreReader) -> None:
        self._replica = replica
        self._reader = reader

    def is_known(self, job_id: str) -> bool:
        """Does the replica have a record of the job, so that it was accepted?"""
        return job_id in self._replica.jobs or job_id in self._replica.final_states

    def read(self, job_id: str, on_read: Callable[[], None], on_failed: Callable[[], None]) -> None:
        """Read both records of a job, then go on; `on_failed` if one cannot be read.

        The open record first: read the other way round, a job that ends in between is in
        neither. A job that was open when its final record was requested, and is in neither table
        when the answer comes, has ended meanwhile: another request's read, later than this one,
        dropped the open record. It is read again.
        """

        def read_final() -> None:
            was_open = job_id in self._replica.jobs

            def finish() -> None:
                if was_open and not self.is_known(job_id):
                    self.read(job_id, on_read, on_failed)
                else:
                    on_read()

            self._reader.read_keys([FINAL_PREFIX + job_id], finish, on_failed)

        self._reader.read_keys([JOBS_PREFIX + job_id], read_final, on_failed)


class DependencyOutcomeReader:
    """Reads how the dependencies of open jobs ended where the replica does not say.

    That is so after a start, and for jobs that ended long ago.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        reader: StoreReader,
        record_reader: JobRecordReader,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._reader = reader
        self._record_reader = record_reader
        self._being_read: set[str] = set()
        self._retry_at: dict[str, float] = {}
        """dependency that could not be read -> when it is read again"""

    def tick(self) -> None:
        """Read the unknown ones, a few at a time."""
        unknown = self._replica.dependencies.unknown_outcomes
        if not unknown or not self._reader.loaded:
            return
        for job_id in sorted(unknown):
            if len(self._being_read) >= constants.CONCURRENT_OUTCOME_READS_MAX:
                return
            if job_id not in self._being_read and (
                self._runtime.now >= self._retry_at.get(job_id, 0.0)
            ):
                self._read(job_id)

    def _read(self, job_id: str) -> None:
        self._being_read.add(job_id)

        def finish() -> None:
            self._being_read.discard(job_id)
            if job_id in self._replica.dependencies.unknown_outcomes:
                self._retry_at[job_id] = self._runtime.now + constants.RETRY_DELAY_MAX_S
            else:
                self._retry_at.pop(job_id, None)

        self._record_reader.read(job_id, finish, finish)
