"""Dissemination of committed cancellations from controller to controller.

The watch brings nothing in an outage of the store, nor to a controller that alone is refused by
it; a committed record is true wherever it comes from.
"""

from __future__ import annotations

from appledock import wire
from appledock.core.effects import PeerSend
from appledock.core.jobs.codec import JobRecordCodec
from appledock.core.messages import JobCancelled
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.keys import FINAL_PREFIX, JOBS_PREFIX
from appledock.core.store.replica import Replica


class CancellationDissemination:
    """Sends the records of committed cancellations to the peers, and takes in theirs."""

    def __init__(self, runtime: Runtime, replica: Replica, codec: JobRecordCodec) -> None:
        self._runtime = runtime
        self._replica = replica
        self._codec = codec

    def broadcast(self, job: Job | None, job_id: str, revision: int) -> None:
        """Send a cancellation that was committed here to all peers, along with the user's answer.

        `job` is the record committed; None if the job was over with its cancellation.
        """
        self._runtime.emit(PeerSend(self._message(job_id, job, revision)))

    def on_peer_connected(self, name: str) -> None:
        """A link opened: the peer may have missed what was sent before."""
        for job_id in sorted(self._replica.cancelled_jobs):
            job = self._replica.jobs[job_id]
            self._runtime.emit(PeerSend(self._message(job_id, job, job.version), name))

    def on_peer_message(self, message: JobCancelled) -> None:
        """Take a committed record into the replica; there the newest version wins."""
        job_id, version = message.job, message.version
        if message.record is not None:
            self._replica.put(JOBS_PREFIX + job_id, message.record, version)
        else:
            self._replica.put(FINAL_PREFIX + job_id, {"state": wire.CANCELLED}, version)
            self._replica.drop(JOBS_PREFIX + job_id, version)

    def _message(self, job_id: str, job: Job | None, revision: int) -> JobCancelled:
        record = self._codec.encode(job) if job is not None else None
        return JobCancelled(job_id, revision, record)
