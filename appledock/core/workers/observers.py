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
    """Callbacks, each called as soon as its event occurs."""

    on_capacity_changed: Callable[[str], None]
    """(machine): the free capacity of the machine may have changed"""
    has_capacity: Callable[[str], bool]
    """(machine): returns whether the machine is in the capacity index"""
    on_task_completed: Callable[[str, Job, float], None]
    """(machine, job, run time in s): a task of the job completed on the machine"""
    on_machine_deleted: Callable[[str], None]
    """(machine): the machine no longer exists"""
    on_unanswerable_heartbeat: Callable[[wire.Report], None]
    """a heartbeat arrived that this controller has no authority to answer"""
    on_view_confirmation_needed: Callable[[], None]
    """a decision depends on the newest view, so the view has to be read"""
