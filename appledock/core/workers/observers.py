"""What the workers' parts publish to the parts above them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from appledock import wire
from appledock.core.records.job import Job


class ReconcileTriggers(Protocol):
    """The part of the reconcile queue that the workers' parts fill."""

    changed_workers: set[str]
    """workers whose heartbeat, agent epoch or existence has changed in this batch"""
    placement_due: bool
    """something has changed that may let a queued job start"""


@dataclass(frozen=True, slots=True)
class WorkerObservers:
    """Callbacks, each called at the moment at which it happens."""

    on_capacity_changed: Callable[[str], None]
    """the free capacity of this machine may have changed"""
    has_capacity: Callable[[str], bool]
    """is the machine in the capacity index?"""
    on_task_completed: Callable[[str, Job, float], None]
    """a task of this job completed on this machine after so many seconds"""
    on_machine_deleted: Callable[[str], None]
    """this machine no longer exists"""
    on_unanswerable_heartbeat: Callable[[wire.Report], None]
    """a heartbeat came that this controller has no authority to answer"""
    on_view_confirmation_needed: Callable[[], None]
    """a decision needs the newest view, which is to be read"""
