"""Decisions about a job's next step, as values that the step writer carries out."""

from __future__ import annotations

from dataclasses import dataclass

from appledock.core.jobs.reconcile_queue import PendingReason
from appledock.core.records.job import Job
from appledock.core.scheduling.placement import PlacedTasks


@dataclass(frozen=True, slots=True)
class Placed:
    """Write a step; the capacity for its tasks is already reserved on their machines."""

    unsettled: Job
    """the job without its settled attempts, on which the new record is based"""
    assignments: list[PlacedTasks]
    """empty only if the whole remaining job is handed off"""
    handoff_to: str | None = None
    """controller that owns the job after the step; None if its owner does not change"""
    ends_waiting: bool = True
    """False for the next attempt of a moved task, since other queued tasks still wait"""


@dataclass(frozen=True, slots=True)
class HandedOff:
    """Place nothing here, and make another controller the owner of the job."""

    node: str
    """the new owner"""
    reason: PendingReason | None = None
    """why the job's queued tasks wait; None if the reason does not change"""


@dataclass(frozen=True, slots=True)
class Waiting:
    """Do nothing for the job in this pass."""

    reason: PendingReason
    """why the job's queued tasks wait"""
    retry_soon: bool = False
    """True to examine the job in the next pass even if no event requests one"""


StepDecision = Placed | HandedOff | Waiting
