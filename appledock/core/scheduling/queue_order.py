"""The order in which queued jobs are served."""

from __future__ import annotations

from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.records.job import Job

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class QueueOrder:
    """Decides by class of job, and inside a class by what is nearest to its end."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.ready_at: dict[str, float] = {}
        """job that needed others -> time of day when the last of them was done, as far as
        we saw"""

    def forget(self, job_id: str) -> None:
        """The job is over."""
        self.ready_at.pop(job_id, None)

    def waiting_since(self, job: Job) -> float:
        """Time of day from which the job waits for being served."""
        return self.ready_at.get(job.id, job.submitted)

    def sort_key(self, job: Job) -> tuple[float, ...]:
        """Sort key of the queue: guarantee, rank, then slack and age inside the class.

        A job that others need has the highest rank of them, and their ends less what they take.
        """
        rank, end = self.engine.replica.needs.pressing(job)
        since = self.waiting_since(job)
        waited = self.engine.wall - since
        if (
            waited > self.engine.objectives.ageing_threshold_s(job.spec)
            and not job.attempts
            and not job.done
        ):
            # Ageing: first within its rank, later before all: every job begins. One
            # whose tasks were all stopped again to make room has not begun.
            return (-1 if waited > c.OVERDUE_S else 0, -rank, -1, since)
        inside = self.engine.quota.inside(job)
        ends = [since + limit for limit in self.engine.objectives.finish_limits_s(job.spec)]
        if job.spec.deadline_s is not None:
            ends += [
                job.submitted + limit
                for limit in self.engine.objectives.deadline_limits_s(job.spec)
            ]
        elif end < job.deadline():
            ends.append(end)
        if job.spec.service or not ends:
            return (0 if inside else 1, -rank, 0, since)
        # More asked than can be done: first the class of jobs that can still meet
        # the first limit that an aim names, their deadline, then those that can meet
        # the next one, then the rest; inside a class what is nearest to being finished.
        over = self.engine.wall + job.spec.estimate_s
        hope = sum(over > end for end in ends)
        if hope == len(ends):
            # Too late for every aim: in order of age, so that none waits for ever, and
            # none that can still be in time waits for it.
            return (0 if inside else 1, -rank, hope, since)
        left = (job.spec.tasks - len(job.done)) * max(job.spec.estimate_s, 1.0)
        return (0 if inside else 1, -rank, hope, left * max(job.spec.cpus, 0.1))
