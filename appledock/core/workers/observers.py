"""Interfaces by which this package notifies the parts that depend on it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from appledock import wire
from appledock.core.records.job import Job


class ReconcileTriggers(Protocol):
    """The part of the reconcile queue that this package fills."""

    changed_workers: set[str]
    """workers whose status, agent epoch or existence has changed in this batch"""
    placement_due: bool
    """a change may allow a queued job to start"""


@dataclass(frozen=True, slots=True)
class WorkerObservers:
    """Callbacks of the parts above this package, called as soon as an event occurs."""

    on_capacity_changed: Callable[[str], None]
    """called with a machine whose free capacity may have changed"""
    has_capacity: Callable[[str], bool]
    """returns whether a machine is in the capacity index"""
    on_task_completed: Callable[[str, Job, float], None]
    """called with machine, job and run time in seconds when a task of the job has completed"""
    on_machine_deleted: Callable[[str], None]
    """called with a machine that no longer exists"""
    on_unanswerable_heartbeat: Callable[[wire.Report], None]
    """called with a heartbeat that this controller has no authority to answer"""
    on_view_confirmation_needed: Callable[[], None]
    """called when a decision depends on the newest view, so that the view has to be read"""
