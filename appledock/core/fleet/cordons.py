"""Cordons: machines on which no step may be placed, and those to be emptied."""

from __future__ import annotations

import logging
from collections.abc import Container
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock.core.effects import PeerSend
from appledock.core.fleet.model import DRAIN, FAULTY, IDLE, OPERATOR
from appledock.core.messages import MachineCordoned
from appledock.core.records.job import Attempt
from appledock.core.workers import Worker

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)

OPERATIONS = {"cordon": OPERATOR, "uncordon": "", "drain": DRAIN}
"""what an operator asks for -> the reason of the cordon"""


class Cordons:
    """Sets, tells and ends cordons, and empties machines."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine

    def set(self, name: str, why: str) -> None:
        """Take over a cordon, or its end (no reason)."""
        worker = self.engine.workers.table.get(name)
        if worker is not None:
            worker.placement.cordon_reason, worker.placement.cordoned_at = why, self.engine.now
            self.engine.capacity_index.mark_changed(name)
            self.engine.reconcile_queue.placement_due = True

    def announce(self, name: str, why: str, to: str | None = None) -> None:
        """Tell one peer, or all."""
        self.engine.emit(PeerSend(MachineCordoned(name, why), to))

    def set_everywhere(self, name: str, why: str) -> None:
        """Cordon the machine here and at all peers."""
        self.set(name, why)
        self.announce(name, why)

    def operate(self, name: str, action: str) -> None:
        """Cordon, release or drain a machine, as an operator asked."""
        self.set_everywhere(name, OPERATIONS[action])

    def task_failed(self, machine: str, job: str) -> None:
        """Machines on which different jobs fail are set aside and returned."""
        worker = self.engine.workers.table.get(machine)
        if worker is None:
            return
        worker.placement.failed_jobs.add(job)
        if (
            len(worker.placement.failed_jobs) >= c.ERRORS_OF_JOBS
            and not worker.placement.cordon_reason
        ):
            log.warning(
                "%s set aside: tasks of %s failed", machine, sorted(worker.placement.failed_jobs)
            )
            self.set_everywhere(machine, FAULTY)

    def announce_all(self, to: str, returning: Container[str]) -> None:
        """Tell a peer whose link has just opened what it must know.

        Cordons of idle machines are the leader's alone to tell: those that it is `returning`.
        """
        for worker in self.engine.workers.table.values():
            if worker.placement.cordon_reason and (
                worker.placement.cordon_reason != IDLE or worker.id in returning
            ):
                self.announce(worker.id, worker.placement.cordon_reason, to)

    def drain(self, returning: Container[str]) -> None:
        """Stop work on machines that are to be emptied.

        Work of ours on a machine that an operator drains is stopped with its grace and moves
        on; the leader returns the machine once it is empty. From a machine about to be taken,
        only work goes that can save itself: the rest would lose nothing by running on.
        """
        for name, worker in self.engine.workers.table.items():
            if self._lapsed(worker) and name not in returning:
                # Guards against room lost for ever: a leader that ended or was replaced
                # within that second, or a link that lost the word that it may be used.
                self.set(name, "")
            preempted = worker.report is not None and worker.report.notice_s is not None
            if worker.placement.cordon_reason == DRAIN:
                self._stop_work(name, only_checkpointing=False)
            elif preempted:
                self._stop_work(name, only_checkpointing=True)

    def _lapsed(self, worker: Worker) -> bool:
        """Has the leader not repeated the cordon of an idle machine for too long?"""
        return (
            worker.placement.cordon_reason == IDLE
            and self.engine.now - worker.placement.cordoned_at > c.CORDON_LAPSE_S
        )

    def _stop_work(self, name: str, only_checkpointing: bool) -> None:
        engine = self.engine
        for job_id, attempts in engine.replica.attempts_by_machine.get(name, {}).items():
            job = engine.replica.jobs[job_id]
            if only_checkpointing and job.spec.checkpoint_s <= 0:
                continue
            tasks = _running_tasks(attempts)
            if tasks and engine.replica.owns_job(engine.settings.name, job):
                engine.stop_requests.add(job_id, name, tasks)


def _running_tasks(attempts: list[Attempt]) -> set[int]:
    """Tasks of the attempts that nobody has told to stop."""
    return {task for attempt in attempts if not attempt.stopping for task in attempt.tasks}
