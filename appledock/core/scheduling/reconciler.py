"""Reconcile loop of the jobs that this controller owns."""

from __future__ import annotations

from collections.abc import Callable

from appledock import constants
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.jobs.settlement import Settlement
from appledock.core.jobs.stop_requests import StopRequests
from appledock.core.jobs.team_record_writer import TeamRecordWriter
from appledock.core.jobs.writer import JobWriter
from appledock.core.runtime import Runtime
from appledock.core.scheduling.handoff import HandoffPolicy
from appledock.core.scheduling.lost_launches import LostLaunchDetector
from appledock.core.scheduling.pacing import Pacing
from appledock.core.scheduling.placement_pass import PlacementPass
from appledock.core.scheduling.queue_order import QueueOrder
from appledock.core.scheduling.settlement_recorder import SettlementRecorder
from appledock.core.store.replica import Replica


class Reconciler:
    """Processes the reconcile queue: records settled attempts and runs placement passes."""

    def __init__(  # noqa: PLR0913 -- the loop calls most other parts of scheduling
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        can_act: Callable[[], bool],
        reconcile_queue: ReconcileQueue,
        settlement: Settlement,
        stop_requests: StopRequests,
        writer: JobWriter,
        team_record_writer: TeamRecordWriter,
        queue_order: QueueOrder,
        handoff: HandoffPolicy,
        pacing: Pacing,
        lost_launches: LostLaunchDetector,
        recorder: SettlementRecorder,
        placement_pass: PlacementPass,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._can_act = can_act
        """returns whether this controller holds a valid lease and knows the view"""
        self._queue = reconcile_queue
        self._settlement = settlement
        self._stop_requests = stop_requests
        self._writer = writer
        self._team_record_writer = team_record_writer
        self._queue_order = queue_order
        self._handoff = handoff
        self._pacing = pacing
        self._lost_launches = lost_launches
        self._recorder = recorder
        self._placement_pass = placement_pass
        self._next_sweep_at = 0.0
        self._next_release_at = 0.0
        self._next_deferred_at = 0.0
        self._next_placement_at = 0.0

    def tick(self) -> None:
        """Reconcile the queued jobs and run the periodic work that is due."""
        if not self._can_act():
            return
        self._enqueue_jobs_of_changed_workers()
        now = self._runtime.now
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + constants.JOB_SWEEP_INTERVAL_S
            self._sweep()
        if now >= self._next_release_at:
            self._next_release_at = now + constants.ALLOCATION_RELEASE_INTERVAL_S
            self._team_record_writer.release_unused_allocations()
        if self._queue.deferred_jobs and now >= self._next_deferred_at:
            self._next_deferred_at = now + constants.QUEUE_PASS_INTERVAL_S
            self._queue.jobs |= self._queue.deferred_jobs
            self._queue.deferred_jobs.clear()
        self._reconcile_queued_jobs()
        if self._queue.placement_due and now >= self._next_placement_at:
            self._next_placement_at = now + constants.QUEUE_PASS_INTERVAL_S
            self._queue.placement_due = False
            self._placement_pass.run()

    def _enqueue_jobs_of_changed_workers(self) -> None:
        for worker in self._queue.changed_workers:
            self._queue.jobs.update(self._replica.attempts_by_machine.get(worker, ()))
            self._settlement.on_machine_changed(worker)
        self._queue.changed_workers.clear()

    def _sweep(self) -> None:
        """Check all jobs of this controller for changes that no message reports."""
        replica = self._replica
        for job_id, job in replica.jobs.items():
            if (job.attempts or replica.is_cancelled(job_id)) and replica.owns_job(
                self._runtime.node, job
            ):
                self._queue.jobs.add(job_id)
                self._settlement.examine_all(job_id)
        self._lost_launches.check()
        if replica.queued_jobs:
            # Some reasons to wait end with time alone, such as the cooldown of a job that was
            # handed off to this controller. In an idle cluster no event starts a pass then.
            self._queue.placement_due = True

    def _reconcile_queued_jobs(self) -> None:
        due, self._queue.jobs = self._queue.jobs, set()
        for job_id in sorted(due):
            job = self._replica.jobs.get(job_id)
            if job is None:
                self._forget(job_id)
            elif self._replica.owns_job(self._runtime.node, job):
                self._handoff.on_job_owned(job)
                self._recorder.record(job)
            else:
                self._handoff.forget(job_id)
                self._stop_requests.forget(job_id)

    def _forget(self, job_id: str) -> None:
        """Drop all state of a job that has ended."""
        self._lost_launches.forget(job_id)
        self._stop_requests.forget(job_id)
        self._queue.forget(job_id)
        self._settlement.forget(job_id)
        self._handoff.forget(job_id)
        self._writer.forget(job_id)
        self._pacing.forget(job_id)
        self._queue_order.forget(job_id)
