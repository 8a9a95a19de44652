"""Reports: taken in if they are newer than what is known."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.records.job import split_task_name
from appledock.core.workers.record import HeartbeatNumber, TaskKey, Worker
from appledock.core.workers.table import WorkerTable

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class Reports:
    """Keeps each worker's row up to date with its reports."""

    def __init__(self, engine: Controller, workers: WorkerTable) -> None:
        self.engine = engine
        self.workers = workers

    def ingest(self, report: wire.Report, well_s: float | None = None) -> bool:
        """Take the report in if it is newer than the one known.

        `well_s`: a peer passed it on, and knows since when the worker was last well.
        """
        if report.worker in self.workers.deleted_machines:
            # Guards against copies of old reports: each brought a machine back that
            # nothing removes from the table, and the leader, most of whose machines
            # seemed silent then, never again deleted one that really was.
            return False
        worker = self.workers.get_or_create(report.worker)
        old, before = worker.report, worker.tasks
        number = HeartbeatNumber(report.session, report.seq)
        # A number may be known without its report: a link that lost the report brought
        # word that later ones showed nothing new. Then the report itself is news.
        if number < worker.status.newest or (old is not None and number <= (old.session, old.seq)):
            return False
        worker.status.newest = number
        if old is None:
            worker.status.first_term = self.engine.membership.term
        self._note_times(worker, report, well_s)
        worker.status.report = report
        worker.status.tasks = {(task.task, task.attempt): task for task in report.tasks}
        if old is None or old.session != report.session:
            worker.commanded.clear()
            if old is not None:
                worker.status.image_seen_at = {}
        worker.commanded.drop_void_launches(report.token, old is None or old.token != report.token)
        self._note_tasks(worker)
        if old is None or _differs(old, before, report, worker.tasks):
            self.engine.reconcile_queue.changed_workers.add(worker.id)
            self.engine.capacity_index.mark_changed(worker.id)
            self.engine.reconcile_queue.placement_due = True
        elif worker.id not in self.engine.capacity_index.machines:
            self.engine.capacity_index.mark_changed(worker.id)
        return True

    def _note_times(self, worker: Worker, report: wire.Report, well_s: float | None) -> None:
        """Note when the worker was heard, reached us and was well.

        `worker.report` is still the report before this one.
        """
        now, old = self.engine.now, worker.report
        if well_s is not None:
            worker.reachability.last_healthy_at = max(
                worker.reachability.last_healthy_at, now - well_s
            )
        else:
            worker.reachability.last_direct_heartbeat_at = now
            # A worker whose answers do not arrive still reports, but only after
            # it has waited for each answer in vain.
            if old is None or (
                old.session == report.session
                and now - worker.reachability.last_heartbeat_at < c.ANSWER_LOST_S
            ):
                worker.reachability.last_healthy_at = now
        worker.reachability.last_heartbeat_at = now

    def _note_tasks(self, worker: Worker) -> None:
        """Since when tasks run, which images they show as fetched, whether any is left."""
        now, jobs = self.engine.now, self.engine.replica.jobs
        since: dict[TaskKey, float] = {}
        busy = False
        for key, entry in worker.tasks.items():
            running = entry.state == wire.RUNNING
            if running:
                started = worker.status.running_since.get(key)
                if started is None:
                    self._log_start(worker, entry)
                    started = now
                since[key] = started
            elif entry.why == wire.DONE and key in worker.status.running_since:
                done = jobs.get(split_task_name(entry.task)[0])
                if done is not None:
                    self.engine.rebalancer.completed(
                        worker.id, done, now - worker.status.running_since[key]
                    )
            busy = busy or entry.state != wire.EXITED
            if running or entry.state == wire.SAVING or entry.why == wire.DONE:
                job = jobs.get(split_task_name(entry.task)[0])
                if job is not None:
                    worker.status.image_seen_at[job.spec.image] = now
        worker.status.running_since = since
        if busy:
            worker.placement.idle_since = 0.0
        elif not worker.placement.idle_since:
            worker.placement.idle_since = now

    def _log_start(self, worker: Worker, entry: wire.TaskReport) -> None:
        if self.engine.replica.view is not None and self.workers.owns(worker.id):
            log.debug("%s started on %s", entry.task, worker.id)


def _differs(
    old: wire.Report,
    before: dict[TaskKey, wire.TaskReport],
    new: wire.Report,
    tasks: dict[TaskKey, wire.TaskReport],
) -> bool:
    """Does the report show anything that decisions depend on?"""
    return (
        before.keys() != tasks.keys()
        or old.session != new.session
        or old.token != new.token
        or old.notice_s != new.notice_s
        or any(before[key].state != entry.state for key, entry in tasks.items())
    )
