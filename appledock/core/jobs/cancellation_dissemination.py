"""Dissemination of committed cancellations between controllers.

The watch delivers nothing during an outage of the store, nor to a single controller that the
store refuses. A committed record is valid whichever way it arrives, so controllers also send
cancellations to each other.
"""

from __future__ import annotations

from appledock import wire
from appledock.core.effects import PeerSend
from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.messages import JobCancelled
from appledock.core.records.final_record import FinalRecord
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.replica import Replica


class CancellationDissemination:
    """Sends the records of committed cancellations to all peers and applies those of peers."""

    def __init__(self, runtime: Runtime, replica: Replica, codec: JobRecordCodec) -> None:
        self._runtime = runtime
        self._replica = replica
        self._codec = codec

    def broadcast(self, job: Job | None, job_id: str, revision: int) -> None:
        """Send a cancellation that this controller committed to all peers.

        It is sent when the user is answered. `job` is the committed record; None if the
        cancellation ended the job at once.
        """
        self._runtime.emit(PeerSend(self._message(job_id, job, revision)))

    def on_peer_connected(self, name: str) -> None:
        """Send all known cancellations to a peer whose link has opened: it may have missed some."""
        for job_id in sorted(self._replica.cancelled_jobs):
            job = self._replica.jobs[job_id]
            self._runtime.emit(PeerSend(self._message(job_id, job, job.version), name))

    def on_peer_message(self, message: JobCancelled) -> None:
        """Apply a peer's committed record to the replica, which keeps the newest version."""
        job_id, version = message.job, message.version
        if message.record is not None:
            self._replica.put(JOBS_PREFIX + job_id, message.record, version)
        else:
            final = FinalRecord(wire.CANCELLED)
            self._replica.put(FINAL_PREFIX + job_id, final.encode(), version)
            self._replica.drop(JOBS_PREFIX + job_id, version)

    def _message(self, job_id: str, job: Job | None, revision: int) -> JobCancelled:
        record = self._codec.encode(job) if job is not None else None
        return JobCancelled(job_id, revision, record)
