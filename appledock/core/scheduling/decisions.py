"""What is decided about a job's next step: values, which the step writer carries out."""

from __future__ import annotations

from dataclasses import dataclass

from appledock.core.jobs.reconcile_queue import PendingReason
from appledock.core.records.job import Job
from appledock.core.scheduling.placement import PlacedTasks


@dataclass(frozen=True, slots=True)
class Placed:
    """A step is to be written; the capacity for its tasks is reserved on their machines."""

    unsettled: Job
    """the job without its settled attempts, which the step's record builds on"""
    assignments: list[PlacedTasks]
    """empty only where all that is left is handed off"""
    handoff_to: str | None = None
    """controller that owns the job from then on; None: its owner stays"""
    ends_waiting: bool = True
    """False for the next attempt of a moved task: what else is queued still waits"""


@dataclass(frozen=True, slots=True)
class HandedOff:
    """Nothing is placed here; another controller owns the job from then on."""

    node: str
    reason: PendingReason | None = None
    """why it waits meanwhile; None: as before"""


@dataclass(frozen=True, slots=True)
class Waiting:
    """Nothing can be done for the job in this pass."""

    reason: PendingReason
    retry_soon: bool = False
    """look again with the next pass, even if nothing happens until then"""


StepDecision = Placed | HandedOff | Waiting
