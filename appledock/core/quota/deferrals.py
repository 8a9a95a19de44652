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
from dataclasses import dataclass

from appledock import constants

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PrecedingJob:
    """A more urgent job of another controller, for which a part of the team's limit is left."""

    job_id: str
    owner: str
    last_step: int
    """number of its last step: a higher one shows that its owner has taken some of the limit"""
    sort_key: tuple[float, ...]
    """its place in the queue, as this controller orders it"""


@dataclass(slots=True)
class _Wait:
    """A preceding job that takes nothing of what is left to it."""

    team: str
    owner: str
    last_step: int
    since: float
    seen_at: float
    """time at which it was last found to precede a job that could start"""


class LimitDeferrals:
    """Preceding jobs that leave their part of a team's limit untaken, and for how long."""

    def __init__(self) -> None:
        self._waits: dict[str, _Wait] = {}
        """preceding job -> its wait"""
        self._own_jobs_first_until: dict[str, float] = {}
        """team -> until when this controller serves its own jobs first"""
        self.ended_count = 0
        """deferrals ended since the start, because a job did not take what was left to it"""

    def clear(self) -> None:
        """Forget all waits, as jobs may have changed owners."""
        self._waits.clear()
        self._own_jobs_first_until.clear()

    def serves_own_jobs_first(self, team: str, now: float) -> bool:
        """Return whether the team's jobs of other controllers come behind those of this one."""
        return now < self._own_jobs_first_until.get(team, constants.DISTANT_PAST)

    def observe(
        self,
        team: str,
        job_id: str,
        sort_key: tuple[float, ...],
        preceding: list[PrecedingJob],
        now: float,
    ) -> None:
        """Note that the jobs in `preceding` keep a job of this controller from starting.

        To be called whenever the job `job_id` would start now if they took nothing.
        """
        self._drop_ended(now)
        for other in preceding:
            wait = self._waits.get(other.job_id)
            if wait is None or wait.last_step != other.last_step:
                wait = _Wait(team, other.owner, other.last_step, now, now)
                self._waits[other.job_id] = wait
            wait.seen_at = now
            if now - wait.since >= constants.LIMIT_DEFERRAL_MAX_S:
                self._end_deferral(team, other.job_id, now)
                log.info(
                    "team limit left untaken: team=%s job=%s owner=%s key=%s "
                    "deferred_job=%s deferred_key=%s for_s=%.1f",
                    team,
                    other.job_id,
                    other.owner,
                    _format_key(other.sort_key),
                    job_id,
                    _format_key(sort_key),
                    now - wait.since,
                )

    def _end_deferral(self, team: str, job_id: str, now: float) -> None:
        self._own_jobs_first_until[team] = now + constants.LIMIT_DEFERRAL_MAX_S
        self.ended_count += 1
        del self._waits[job_id]

    def _drop_ended(self, now: float) -> None:
        """Drop the waits of jobs that have not preceded any startable job for a while."""
        self._waits = {
            job_id: wait
            for job_id, wait in self._waits.items()
            if now - wait.seen_at <= constants.LIMIT_DEFERRAL_GAP_MAX_S
        }

    def longest_by_team(self, now: float) -> dict[str, float]:
        """Return the longest current wait of each team that has any, in seconds."""
        self._drop_ended(now)
        longest: dict[str, float] = {}
        for wait in self._waits.values():
            waited_s = round(now - wait.since, 1)
            longest[wait.team] = max(longest.get(wait.team, 0.0), waited_s)
        return longest


def _format_key(sort_key: tuple[float, ...]) -> str:
    """Return the terms of a sort key for a log line; times of day to the millisecond."""
    return ",".join(f"{term:.3f}".rstrip("0").rstrip(".") for term in sort_key)
