"""Deferrals: how long a controller has left a team's limit to jobs of other controllers.

Controllers share a team's limit without a message: each orders the team's queue for itself and
leaves to the others what their more urgent jobs need. The orders may differ: a controller counts
a write without an answer, has other settings, or runs another version. Two controllers could then
leave the limit to each other's job for ever. So a deferral has an end: if a job does not take what
is left to it, while a machine has room for a job behind it, this controller serves its own jobs of
the team first for a while. That is safe, since the steps stay conditional on the team's record.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypedDict

from appledock import constants
from appledock.core.quota.job_order import JobOrder
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica

log = logging.getLogger(__name__)


class DeferralSummary(TypedDict):
    """What `metrics` shows of the deferrals; the keys are part of the administration API."""

    longest_s: dict[str, float]
    """team -> the longest time for which a job now leaves its part of the limit untaken"""
    ended: int
    """deferrals ended since the start, because a job did not take what was left to it"""


@dataclass(slots=True)
class _Wait:
    """A job of another controller that takes nothing of what is left to it."""

    team: str
    last_step: int
    """number of the job's last step: a higher one shows that its owner has taken some"""
    since: float
    seen_at: float
    """time at which the job was last found to precede one that could start"""


class LimitDeferrals:
    """Jobs of other controllers that leave their part of a team's limit untaken."""

    def __init__(self, runtime: Runtime, replica: Replica, job_order: JobOrder) -> None:
        self._runtime = runtime
        self._replica = replica
        self._job_order = job_order
        self._waits: dict[str, _Wait] = {}
        """job -> its wait"""
        self._observed_at: dict[str, float] = {}
        """team -> time of its last observation"""
        self._own_jobs_first_until: dict[str, float] = {}
        """team -> until when this controller serves its own jobs first"""
        self._ended_count = 0

    def clear(self) -> None:
        """Forget all waits, as jobs may have changed owners."""
        self._waits.clear()
        self._own_jobs_first_until.clear()

    def serves_own_jobs_first(self, team: str) -> bool:
        """Return whether the team's jobs of other controllers come behind those of this one."""
        return self._runtime.now < self._own_jobs_first_until.get(team, constants.DISTANT_PAST)

    def observe(self, job: Job, preceding: Sequence[str]) -> None:
        """Note that the jobs named in `preceding` keep a job of this controller from starting.

        To be called whenever the job would start now if they took nothing. Of several such jobs of
        a team in one placement pass the first one counts: it has the fewest jobs before it.
        """
        team, now = job.spec.team, self._runtime.now
        if self._observed_at.get(team) == now:
            return
        self._observed_at[team] = now
        self._drop_ended()
        for name in preceding:
            other = self._replica.jobs[name]
            if self._note(other) >= constants.LIMIT_DEFERRAL_MAX_S:
                self._end_deferral(other, job)

    def _note(self, other: Job) -> float:
        """Note the job's wait, and return for how long (s) it has lasted."""
        now = self._runtime.now
        wait = self._waits.get(other.id)
        if wait is None or wait.last_step != other.last_step:
            wait = self._waits[other.id] = _Wait(other.spec.team, other.last_step, now, now)
        wait.seen_at = now
        return now - wait.since

    def _end_deferral(self, other: Job, deferred: Job) -> None:
        now = self._runtime.now
        wait = self._waits.pop(other.id)
        self._own_jobs_first_until[wait.team] = now + constants.LIMIT_DEFERRAL_MAX_S
        self._ended_count += 1
        log.info(
            "team limit left untaken: team=%s job=%s owner=%s key=%s "
            "deferred_job=%s deferred_key=%s for_s=%.1f",
            wait.team,
            other.id,
            self._replica.job_owner(other),
            _format_key(self._job_order.sort_key(other)),
            deferred.id,
            _format_key(self._job_order.sort_key(deferred)),
            now - wait.since,
        )

    def _drop_ended(self) -> None:
        """Drop the waits of jobs that have not preceded any startable job for a while."""
        oldest = self._runtime.now - constants.LIMIT_DEFERRAL_GAP_MAX_S
        self._waits = {
            job_id: wait for job_id, wait in self._waits.items() if wait.seen_at >= oldest
        }

    def summary(self) -> DeferralSummary:
        """Return what `metrics` shows."""
        self._drop_ended()
        longest_s: dict[str, float] = {}
        for wait in self._waits.values():
            waited_s = round(self._runtime.now - wait.since, 1)
            longest_s[wait.team] = max(longest_s.get(wait.team, 0.0), waited_s)
        return DeferralSummary(longest_s=longest_s, ended=self._ended_count)


def _format_key(sort_key: Sequence[float]) -> str:
    """Return the terms of a sort key for a log line; times of day to the millisecond."""
    return ",".join(f"{term:.3f}".rstrip("0").rstrip(".") for term in sort_key)
