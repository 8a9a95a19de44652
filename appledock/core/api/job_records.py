"""Linearizable reads of a job's open record and final record into the replica."""

from __future__ import annotations

from collections.abc import Callable

from appledock import constants
from appledock.core.runtime import Runtime
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica


class JobRecordReader:
    """Reads jobs that are missing from the replica, or may be out of date there."""

    def __init__(self, replica: Replica, reader: StoreReader) -> None:
        self._replica = replica
        self._reader = reader

    def is_known(self, job_id: str) -> bool:
        """Return whether the replica has a record of the job, which means that it was accepted."""
        return job_id in self._replica.jobs or job_id in self._replica.final_states

    def read(self, job_id: str, on_read: Callable[[], None], on_failed: Callable[[], None]) -> None:
        """Read both records of a job, then call `on_read`; `on_failed` if one cannot be read.

        The open record is read first. In the other order, a job that ends between the two reads
        would be found in neither record.

        A job may be open in the replica when its final record is requested, and have neither
        record there when the answer arrives. It has ended in between, and a later read for
        another request has dropped its open record. Both records are then read again.
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
    """Reads how prerequisites of open jobs ended if the replica does not have their outcomes.

    Outcomes are missing after a start, and those of jobs that ended long ago may be missing.
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
        """Prerequisite whose read gave no outcome -> time on the steady clock of the next read."""

    def tick(self) -> None:
        """Start reads of unknown outcomes, at most `CONCURRENT_OUTCOME_READS_MAX` at a time."""
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
