"""Halts of cancelled tasks that need no leadership.

Any controller may halt a task whose cancellation is committed. This module starts, renews and
settles nothing. A halt carries the fencing token of the worker's own heartbeat: a higher token
would void a launch of the current owner, and the worker refuses a lower one.
"""

from __future__ import annotations

import logging
from typing import NamedTuple

from appledock import constants, wire
from appledock.core.commands import WorkerReply
from appledock.core.effects import WorkerCall
from appledock.core.records.job import split_task_name
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers

log = logging.getLogger(__name__)


class _HaltedTask(NamedTuple):
    machine: str
    task: str
    attempt_number: int


class CancelledTaskHalter:
    """Halts cancelled tasks at their workers, each at most once per `HALT_RETRY_DELAY_S`."""

    def __init__(self, runtime: Runtime, replica: Replica, workers: Workers) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._halted_at: dict[_HaltedTask, float] = {}
        """task -> when this controller last halted it"""

    def halt_cancelled_tasks(self, report: wire.Report) -> None:
        """Halt the cancelled tasks in a heartbeat that this controller may not answer."""
        tasks = [
            task
            for task in report.tasks
            if task.state != wire.EXITED and self._is_cancelled(split_task_name(task.task)[0])
        ]
        if tasks:
            self.halt(report, tasks)

    def halt(self, report: wire.Report, tasks: list[wire.TaskReport]) -> None:
        """Halt these tasks of the worker, except those halted within `HALT_RETRY_DELAY_S`."""
        now = self._runtime.now
        due = [
            task
            for task in tasks
            if now - self._halted_at.get(_halted_task(report, task), constants.DISTANT_PAST)
            >= constants.HALT_RETRY_DELAY_S
        ]
        if due:
            self._halted_at.update((_halted_task(report, task), now) for task in due)
            self._send(report, due)

    def forget_expired(self) -> None:
        """Drop halts older than `HALT_RETRY_DELAY_S`, which may be sent again."""
        now = self._runtime.now
        self._halted_at = {
            task: halted_at
            for task, halted_at in self._halted_at.items()
            if now - halted_at < constants.HALT_RETRY_DELAY_S
        }

    def _is_cancelled(self, job_id: str) -> bool:
        return (
            job_id in self._replica.cancelled_jobs
            or self._replica.final_states.get(job_id) == wire.CANCELLED
        )

    def _send(self, report: wire.Report, tasks: list[wire.TaskReport]) -> None:
        orders = wire.Orders(
            report.token,
            report.session,
            [wire.Command(wire.HALT, task.task, task.attempt, grace_s=0.0) for task in tasks],
        )
        log.info(
            "cancelled tasks halted without leadership: machine=%s tasks=%s",
            report.worker,
            [task.task for task in tasks],
        )

        def on_reply(reply: WorkerReply) -> None:
            if reply.report is not None and reply.report.worker == report.worker:
                self._ingest_if_known(reply.report)

        self._runtime.call(
            lambda call_id: WorkerCall(
                call_id, report.addr, orders, constants.WORKER_COMMAND_TIMEOUT_S
            ),
            on_reply,
        )

    def _ingest_if_known(self, report: wire.Report) -> None:
        """Ingest the heartbeat of a worker that has sent one before.

        A worker first seen while this controller has no leadership would be evaluated with a
        term that may have ended long ago.
        """
        worker = self._workers.table.get(report.worker)
        if worker is not None and worker.report is not None:
            self._workers.ingest_heartbeat(report)


def _halted_task(report: wire.Report, task: wire.TaskReport) -> _HaltedTask:
    return _HaltedTask(report.worker, task.task, task.attempt)
