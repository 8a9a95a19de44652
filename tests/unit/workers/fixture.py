"""The worker table and its collaborators, built without a whole controller."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from appledock import wire
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.records.job import Attempt, Job
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import WorkerObservers
from appledock.core.workers.dissemination import Dissemination
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from appledock.core.workers.table import WorkerTable
from tests.test_requests import settings, spec

MACHINE = "vm-1"
TERM = 5


class WorkersFixture:
    """Components of the controller `n0`, which owns every worker as the only member of its view."""

    def __init__(self) -> None:
        self.runtime = Runtime(settings("n0", ["n0", "n1", "n2"]), "x", random.Random(1))
        self.runtime.now = 100.0
        self.replica = Replica()
        self.replica.view = View(TERM, {"n0": "x"}, "n0")
        self.membership: Any = SimpleNamespace(
            term=TERM, can_act=lambda: True, view_confirmed_at=self.runtime.now
        )
        self.queue = ReconcileQueue()
        self.queue.placement_due = False
        self.capacity_changed: list[str] = []
        self.completed: list[tuple[str, str, float]] = []
        self.unanswerable: list[wire.Report] = []
        self.view_confirmations = 0
        self.observers = WorkerObservers(
            on_capacity_changed=self.capacity_changed.append,
            has_capacity=lambda machine: machine in self.capacity_changed,
            on_task_completed=lambda machine, job, ran_s: self.completed.append(
                (machine, job.id, ran_s)
            ),
            on_machine_deleted=lambda machine: None,
            on_unanswerable_heartbeat=self.unanswerable.append,
            on_view_confirmation_needed=self._on_view_confirmation_needed,
        )
        self.table = WorkerTable(self.runtime, self.replica, self.queue, self.observers)
        self.dissemination = Dissemination(self.runtime, self.replica, self.table, self.queue)
        self.intake = HeartbeatIntake(
            self.runtime,
            self.replica,
            self.membership,
            self.table,
            self.queue,
            self.observers,
            self.dissemination,
        )

    def _on_view_confirmation_needed(self) -> None:
        self.view_confirmations += 1

    def open_attempt(self, job_id: str = "job-1", **changes: Any) -> tuple[Job, Attempt]:
        """Add a job with one open attempt of task 0 on the machine."""
        attempt = Attempt(MACHINE, 1, 1, TERM, False, {0})
        job = Job(spec(id=job_id), 0.0, 2, attempts=[attempt], **changes)
        self.replica.set_job(job)
        return job, attempt


def heartbeat(
    seq: int, tasks: list[wire.TaskReport] | None = None, agent_epoch: int = 1, token: int = TERM
) -> wire.Report:
    return wire.Report(
        MACHINE, "10.0.0.9:1", "h4", "a", agent_epoch, seq, token, False, None, tasks or []
    )


def task(state: str, why: str | None = None) -> wire.TaskReport:
    return wire.TaskReport("job-1/0", 1, state, why)
