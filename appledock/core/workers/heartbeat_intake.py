"""Heartbeat intake: applies a heartbeat if it is newer than the known one."""

from __future__ import annotations

import logging

from appledock import constants, wire
from appledock.core.membership.membership import Membership
from appledock.core.records.job import split_task_name
from appledock.core.runtime import Runtime
from appledock.core.store.replica import Replica
from appledock.core.workers.dissemination import Dissemination
from appledock.core.workers.observers import ReconcileTriggers, WorkerObservers
from appledock.core.workers.record import HeartbeatNumber, TaskKey, Worker
from appledock.core.workers.table import WorkerTable

log = logging.getLogger(__name__)


class HeartbeatIntake:
    """Updates the workers' rows from their heartbeats."""

    def __init__(
        self,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        table: WorkerTable,
        triggers: ReconcileTriggers,
        observers: WorkerObservers,
        dissemination: Dissemination,
    ) -> None:
        self.runtime = runtime
        self.replica = replica
        self.membership = membership
        self.table = table
        self.triggers = triggers
        self.observers = observers
        self.dissemination = dissemination

    def ingest_and_broadcast(self, report: wire.Report) -> bool:
        """Apply a heartbeat received directly from its worker, and broadcast it to the peers.

        Return False, without any effect, if the heartbeat is not newer than the known one.
        """
        if not self.ingest(report):
            return False
        self.dissemination.broadcast(self.table.rows[report.worker])
        return True

    def ingest(self, report: wire.Report, healthy_age_s: float | None = None) -> bool:
        """Apply the heartbeat if it is newer than the known one; return whether it was.

        `healthy_age_s` is set if a peer forwarded the heartbeat: how long ago, in seconds, the
        worker was last known to be healthy.
        """
        if report.worker in self.table.deleted_machines:
            # Guards against copies of old heartbeats. Each copy brought a deleted machine back
            # that nothing removed from the table again. Most machines then seemed unresponsive,
            # and because of that the leader no longer deleted those that really were.
            return False
        worker = self.table.get_or_create(report.worker)
        old, old_tasks = worker.report, worker.tasks
        number = HeartbeatNumber(report.session, report.seq)
        # The number may be known without the heartbeat itself: a link may lose a heartbeat and
        # then deliver the message that nothing has changed since. The heartbeat is still new then.
        if number < worker.status.newest_number or (
            old is not None and number <= (old.session, old.seq)
        ):
            return False
        worker.status.newest_number = number
        if old is None:
            worker.status.term_at_first_heartbeat = self.membership.term
        self._record_reachability(worker, report, healthy_age_s)
        self._replace_status(worker, report)
        self._record_task_times(worker)
        if old is None or _is_relevant_change(old, old_tasks, report, worker.tasks):
            self.triggers.changed_workers.add(worker.id)
            self.observers.on_capacity_changed(worker.id)
            self.triggers.placement_due = True
        elif not self.observers.has_capacity(worker.id):
            self.observers.on_capacity_changed(worker.id)
        return True

    def _record_reachability(
        self, worker: Worker, report: wire.Report, healthy_age_s: float | None
    ) -> None:
        """Record that a heartbeat arrived, and whether the worker receives its answers.

        `worker.report` is still the previous heartbeat.
        """
        now, old, reachability = self.runtime.now, worker.report, worker.reachability
        if healthy_age_s is not None:
            reachability.last_healthy_at = max(reachability.last_healthy_at, now - healthy_age_s)
        else:
            reachability.last_direct_heartbeat_at = now
            # A worker that does not receive its answers continues to send heartbeats, but each
            # of them only after the answer to the previous one has timed out.
            if old is None or (
                old.session == report.session
                and now - reachability.last_heartbeat_at < constants.ANSWERED_HEARTBEAT_GAP_MAX_S
            ):
                reachability.last_healthy_at = now
        reachability.last_heartbeat_at = now

    @staticmethod
    def _replace_status(worker: Worker, report: wire.Report) -> None:
        """Store the newest heartbeat, and drop state that a new agent epoch invalidates."""
        status, old = worker.status, worker.status.report
        status.report = report
        status.tasks = {(task.task, task.attempt): task for task in report.tasks}
        if old is None or old.session != report.session:
            worker.sent_commands.clear()
            if old is not None:
                status.image_seen_at = {}
        worker.sent_commands.drop_invalid_launches(
            report.token, token_changed=old is None or old.token != report.token
        )

    def _record_task_times(self, worker: Worker) -> None:
        """Record since when tasks run, which images are present, and whether the worker is idle."""
        now, jobs = self.runtime.now, self.replica.jobs
        was_running = worker.status.running_since
        running_since: dict[TaskKey, float] = {}
        is_busy = False
        for key, entry in worker.tasks.items():
            is_running = entry.state == wire.RUNNING
            is_done = entry.cause == wire.DONE
            if is_running:
                if key not in was_running:
                    self._log_task_start(worker, entry)
                running_since[key] = was_running.get(key, now)
            elif is_done and key in was_running:
                completed = jobs.get(split_task_name(entry.task)[0])
                if completed is not None:
                    self.observers.on_task_completed(worker.id, completed, now - was_running[key])
            is_busy = is_busy or entry.state != wire.EXITED
            if is_running or is_done or entry.state == wire.SAVING:
                job = jobs.get(split_task_name(entry.task)[0])
                if job is not None:
                    worker.status.image_seen_at[job.spec.image] = now
        worker.status.running_since = running_since
        if is_busy:
            worker.placement.idle_since = 0.0
        elif not worker.placement.idle_since:
            worker.placement.idle_since = now

    def _log_task_start(self, worker: Worker, entry: wire.TaskReport) -> None:
        if self.replica.view is not None and self.table.owns(worker.id):
            log.debug("task started: task=%s machine=%s", entry.task, worker.id)


def _is_relevant_change(
    old: wire.Report,
    old_tasks: dict[TaskKey, wire.TaskReport],
    new: wire.Report,
    tasks: dict[TaskKey, wire.TaskReport],
) -> bool:
    """Return whether the heartbeat shows a change that decisions depend on."""
    return (
        old_tasks.keys() != tasks.keys()
        or old.session != new.session
        or old.token != new.token
        or old.notice_s != new.notice_s
        or any(old_tasks[key].state != entry.state for key, entry in tasks.items())
    )
