"""Queue of the reconciler: jobs and workers to reconcile, and whether placement is due."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class PendingReason(enum.StrEnum):
    """Reason why a job's queued tasks wait; the values are part of the administration API."""

    UNKNOWN_TEAM = "unknown team"
    TEAM_LIMIT = "team limit"
    TEAM_RECORD_UNDER_WAY = "team record under way"
    GANG_UNSETTLED = "rest of the gang is not settled"
    ZONES_UNKNOWN = "machines of its running tasks unknown"
    PREEMPTING = "room is being made"
    BATCHING = "gathering room"
    NO_CAPACITY = "no room"
    RECORD_FULL = "record full"
    RECORD_REJECTED = "record refused by the state service"


@dataclass(slots=True)
class ReconcileQueue:
    """Jobs to reconcile, workers that changed, and whether a placement pass is due.

    Any part that notices a change adds it here. Only the reconciler takes entries to process.
    """

    jobs: set[str] = field(default_factory=set)
    """IDs of jobs to reconcile with the next batch"""
    deferred_jobs: set[str] = field(default_factory=set)
    """IDs of jobs to reconcile again after a short delay"""
    changed_workers: set[str] = field(default_factory=set)
    """IDs of workers whose heartbeat, agent epoch or existence has changed"""
    placement_due: bool = True
    """whether something has changed that may let a queued job start"""
    pending_reasons: dict[str, PendingReason] = field(default_factory=dict)
    """job -> why its queued tasks wait, for the administration API"""
    loss_noticed_at: dict[str, float] = field(default_factory=dict)
    """job -> when it was first found to have lost tasks whose loss its record does not show yet"""

    def forget(self, job_id: str) -> None:
        """Drop the entries of a job that has ended."""
        self.pending_reasons.pop(job_id, None)
        self.loss_noticed_at.pop(job_id, None)
