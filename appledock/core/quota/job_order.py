"""Order of a team's queue, as quota uses it."""

from __future__ import annotations

from typing import Protocol

from appledock.core.records.job import Job


class JobOrder(Protocol):
    """Order in which queued jobs are served."""

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Return the job's sort key; the most urgent job has the smallest key."""
