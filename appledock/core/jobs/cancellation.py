"""Cancellations that users were told, wherever this controller hears of them.

A cancellation is a promise with a clock: `cancel_s` after its answer no task of the
job may be on any machine. The owner of each machine halts its tasks on the ordinary
path (`core/workers`). This module is for when that path fails:

* the committed record goes to all peers (gossip), since the watch is silent
  in an outage and for a controller that alone is refused by the state service;
* every controller that knows of it halts what reports show, without authority: ending
  a task of a committed cancellation is right whoever does it. It starts nothing, renews
  nothing and settles nothing, and uses the token of the worker's own report;
* shortly before the time is over, a machine that may still run such a task is deleted
  by whoever reaches the cloud, whose calls need no state service.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.events import (
    CloudCall,
    CloudOutcome,
    CloudReply,
    PeerSend,
    WorkerCall,
    WorkerReply,
)
from appledock.core.messages import JobCancelled
from appledock.core.records.job import Attempt, Job, split_task_name
from appledock.core.store.keys import FINAL, JOBS

if TYPE_CHECKING:
    from appledock.core.controller import Controller
    from appledock.core.workers import Worker

log = logging.getLogger(__name__)

Key = tuple[str, str, int]
"""worker, task name and attempt number"""


@dataclass(slots=True)
class KnownCancellation:
    """A cancelled job that has tasks yet."""

    since: float
    """when we learned of it"""
    told: float
    """when it was committed, on our steady clock: the user was told no earlier"""


class CancellationEnforcer:
    """Gossip, halts without authority, deletion as the last resort."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.known: dict[str, KnownCancellation] = {}
        self.halted: dict[Key, float] = {}
        """what was halted here without being ours to command -> when last"""
        self.deleting: dict[str, float] = {}
        """machine -> when its deletion was last asked for"""
        self.next_look = 0.0
        self.next_delete = 0.0

    # --- gossip -----------------------------------------------------------
    def broadcast(self, job: Job | None, job_id: str, revision: int) -> None:
        """A cancellation was committed by us: the peers hear of it with the user."""
        self.engine.emit(PeerSend(self._message(job_id, job, revision)))

    def _message(self, job_id: str, job: Job | None, revision: int) -> JobCancelled:
        return JobCancelled(
            job_id, revision, self.engine.codec.encode(job) if job is not None else None
        )

    def on_peer_connected(self, name: str) -> None:
        """A link opened: the peer may have missed what was said."""
        for job_id in sorted(self.engine.replica.cancelled_jobs):
            job = self.engine.replica.jobs[job_id]
            self.engine.emit(PeerSend(self._message(job_id, job, job.version), name))

    def on_peer(self, message: JobCancelled) -> None:
        """Take over a committed record, which is true wherever it comes from.

        The newest version wins, as with a read ahead of the watch.
        """
        job_id, version = message.job, message.version
        if message.record is not None:
            self.engine.replica.put(JOBS + job_id, message.record, version)
        else:
            self.engine.replica.put(FINAL + job_id, {"state": wire.CANCELLED}, version)
            self.engine.replica.drop(JOBS + job_id, version)

    # --- halts ------------------------------------------------------------
    def _cancelled(self, job_id: str) -> bool:
        return (
            job_id in self.engine.replica.cancelled_jobs
            or self.engine.replica.final_states.get(job_id) == wire.CANCELLED
        )

    def halt_cancelled_tasks(self, report: wire.Report) -> None:
        """A report that we may not answer: what must not go on is halted all the same."""
        tasks = [
            task
            for task in report.tasks
            if task.state != wire.EXITED and self._cancelled(split_task_name(task.task)[0])
        ]
        if tasks:
            self._halt(report, tasks)

    def _halt(self, report: wire.Report, tasks: list[wire.TaskReport]) -> None:
        """Halt straight at the worker, with its own token.

        A higher one would make a launch of the present owner void, a lower one is refused.
        """
        now = self.engine.now
        due = [
            task
            for task in tasks
            if now - self.halted.get((report.worker, task.task, task.attempt), c.LONG_AGO)
            >= c.HALT_AGAIN_S
        ]
        if not due:
            return
        for task in due:
            self.halted[report.worker, task.task, task.attempt] = now
        orders = wire.Orders(
            report.token,
            report.session,
            [wire.Command(wire.HALT, task.task, task.attempt, grace_s=0.0) for task in due],
        )
        log.info(
            "%s: %s of cancelled jobs halted, though not ours to command",
            report.worker,
            [task.task for task in due],
        )

        def answered(reply: WorkerReply) -> None:
            if reply.report is not None and reply.report.worker == report.worker:
                self._learn_of_known(reply.report)

        self.engine.call(
            lambda call_id: WorkerCall(call_id, report.addr, orders, c.ORDERS_TIMEOUT_S), answered
        )

    def _learn_of_known(self, report: wire.Report) -> None:
        """Take in the report of a worker that is known already.

        One first heard of while we have no authority would be judged by a term that may be long
        over.
        """
        worker = self.engine.workers.table.get(report.worker)
        if worker is not None and worker.report is not None:
            self.engine.workers.ingest_heartbeat(report)

    # --- timers -----------------------------------------------------------
    def tick(self) -> None:
        """Halt what cancelled jobs still run, and delete machines in the last resort."""
        now, replica = self.engine.now, self.engine.replica
        if now < self.next_look:
            return
        self.next_look = now + c.SILENCE_EVERY_S
        if not replica.cancelled_jobs and not self.known:
            return
        self._forget_old()
        to_halt: dict[str, list[wire.TaskReport]] = {}
        to_delete: set[str] = set()
        for job_id in sorted(replica.cancelled_jobs):
            job = replica.jobs[job_id]
            known = self._noted(job)
            late = self._late(known)
            for attempt in job.attempts:
                worker = self.engine.workers.table.get(attempt.machine)
                if worker is not None and self._halt_is_ours(worker, known):
                    shown = self._still_there(worker, job_id, attempt)
                    if shown:
                        to_halt.setdefault(attempt.machine, []).extend(shown)
                if late and self._may_run(worker, job, attempt):
                    to_delete.add(attempt.machine)
        for name, tasks in to_halt.items():
            report = self.engine.workers.table[name].report
            assert report is not None
            self._halt(report, tasks)
        if to_delete:
            self._delete(sorted(to_delete))

    def _forget_old(self) -> None:
        now = self.engine.now
        for job_id in [j for j in self.known if j not in self.engine.replica.cancelled_jobs]:
            del self.known[job_id]
        self.halted = {key: at for key, at in self.halted.items() if now - at < c.HALT_AGAIN_S}
        self.deleting = {
            name: at for name, at in self.deleting.items() if now - at < c.CANCEL_DELETE_AGAIN_S
        }

    def _noted(self, job: Job) -> KnownCancellation:
        """Since when we know of the cancellation, and when the user was told."""
        known = self.known.get(job.id)
        if known is None:
            now = self.engine.now
            at = now - max(0.0, self.engine.wall - job.cancelled_at) if job.cancelled_at else now
            known = self.known[job.id] = KnownCancellation(now, at)
        return known

    def _halt_is_ours(self, worker: Worker, known: KnownCancellation) -> bool:
        """Is the halt ours to send, since who owns the machine may be unable to?"""
        if self.engine.replica.view is None:
            return True
        owner = self.engine.replica.owner_of(worker.id)
        if owner == self.engine.settings.name:
            return not self.engine.membership.can_act()
        return (
            not self.engine.heartbeats.is_served(owner)
            or self.engine.now - known.since > c.HALT_FOR_OTHERS_S
        )

    @staticmethod
    def _still_there(worker: Worker, job_id: str, attempt: Attempt) -> list[wire.TaskReport]:
        if worker.agent_epoch != attempt.agent_epoch:
            return []
        entries = [
            worker.tasks.get((f"{job_id}/{task}", attempt.attempt_number)) for task in attempt.tasks
        ]
        return [entry for entry in entries if entry is not None and entry.state != wire.EXITED]

    # --- the last resort --------------------------------------------------
    def _late(self, known: KnownCancellation) -> bool:
        """Is the time nearly over, and was halting tried for a while?

        The owner, who sees most, is first; the others follow if the machine is not gone then.
        """
        cancel_s = self.engine.settings.cluster.workers.cancel_s
        return (
            self.engine.now > known.told + cancel_s - c.CANCEL_DELETE_S
            and self.engine.now - known.since > c.HALT_FOR_OTHERS_S
        )

    def _may_run(self, worker: Worker | None, job: Job, attempt: Attempt) -> bool:
        """May a task of the attempt go on?

        Not if a proof says that it is over, nor if its machine, heard of lately, shows that it
        is not there: then only a launch under way could bring it, which its session or a new
        term makes void.
        """
        workers = self.engine.workers
        if attempt.machine in workers.deleted_machines or worker is None:
            return False
        lease_s = self.engine.settings.cluster.workers.lease_s
        lapsed = self.engine.now - max(
            worker.lease.renewable_until, worker.reachability.last_heartbeat_at
        ) > (lease_s * (1 + c.CLOCK_DRIFT) + c.LAPSE_MARGIN_S)
        if lapsed or all(workers.verdict(job, attempt, task) is not None for task in attempt.tasks):
            return False
        if worker.agent_epoch != attempt.agent_epoch:
            return False
        near = (
            self.engine.now - worker.reachability.last_heartbeat_at
            < 2 * self.engine.settings.cluster.workers.report_s
        )
        return not near or bool(self._still_there(worker, job.id, attempt))

    def _delete(self, names: list[str]) -> None:
        """Delete the machines in one request; again until the cloud answers.

        Who hears of few workers has a doubtful picture and deletes nothing: it is cut off
        itself, and the workers' leases end without it.
        """
        now = self.engine.now
        names = [
            name
            for name in names
            if now - self.deleting.get(name, c.LONG_AGO) >= c.CANCEL_DELETE_AGAIN_S
        ][: c.DELETE_MAX]
        if not names or now < self.next_delete or not self._hears_most_workers():
            return
        self.next_delete = now + c.CANCEL_DELETE_AGAIN_S / 2
        for name in names:
            self.deleting[name] = now
        log.warning("deleting %s: cancelled tasks may still run there", names)

        def done(reply: CloudReply) -> None:
            if reply.outcome is CloudOutcome.OK:
                self.engine.fleet.deleted(names)
            else:
                for name in names:
                    self.deleting.pop(name, None)

        self.engine.call(
            lambda call_id: CloudCall(call_id, "delete", (names,), c.CLOUD_TIMEOUT_S), done
        )

    def _hears_most_workers(self) -> bool:
        near = 2 * self.engine.settings.cluster.workers.report_s
        heard = [
            self.engine.now - worker.reachability.last_heartbeat_at < near
            for worker in self.engine.workers.table.values()
            if worker.report
        ]
        return sum(heard) >= c.CALM_SHARE * len(heard)
