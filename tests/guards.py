"""Patches that each disable one safeguard of the scheduler.

Tests apply a patch and assert that the checks of the simulation (`tests/standins/judge.py`) report
the rule that the safeguard protects. This shows that the checks can fail.
"""

from __future__ import annotations

from typing import Any

import pytest

from appledock import constants as c
from appledock import wire
from appledock.core.api.status_polls import StatusPolls
from appledock.core.api.submission_check import SubmissionCheck
from appledock.core.jobs.cancellation_dissemination import CancellationDissemination
from appledock.core.jobs.cancelled_task_halter import CancelledTaskHalter
from appledock.core.jobs.cancelled_task_machine_deleter import CancelledTaskMachineDeleter
from appledock.core.machines.zones import MachineZones
from appledock.core.quota import allocation, usage
from appledock.core.quota.allocation import QuotaAllocation
from appledock.core.quota.resources import NO_RESOURCES, Resources
from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.records.job import Attempt, Job
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import JOBS_PREFIX
from appledock.core.store_calls import StoreRequest, Transaction
from appledock.core.workers import Worker, Workers
from appledock.core.workers.command_reconciler import CommandReconciler
from appledock.core.workers.table import WorkerTable

Patch = pytest.MonkeyPatch
ORIGINAL_VERDICT, ORIGINAL_COMMANDS_FOR, ORIGINAL_SUBMIT, ORIGINAL_ALLOCATED = (
    Workers.verdict,
    CommandReconciler.commands_for,
    StoreClient.submit,
    QuotaAllocation.allocated,
)


def disable_wait_for_lease_expiry(patch: Patch, after_s: float = 6.0) -> None:
    """Settle attempts `after_s` after the last heartbeat of their worker.

    The worker's lease need not have expired, so the tasks may still run.
    """

    def verdict(self: Workers, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        worker = self.table.get(attempt.machine)
        if (
            worker is not None
            and self.runtime.now - worker.reachability.last_heartbeat_at > after_s
        ):
            return AttemptVerdict.SETTLED
        return ORIGINAL_VERDICT(self, job, attempt, task)

    patch.setattr(Workers, "verdict", verdict)


def disable_term_check_of_missing_tasks(patch: Patch) -> None:
    """Settle attempts that the worker does not report, whatever term it has accepted.

    A launch in flight can still start such a task: only a worker with a higher term rejects it.
    """

    def verdict(self: Workers, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        worker = self.table.get(attempt.machine)
        if (
            worker is not None
            and worker.agent_epoch == attempt.agent_epoch
            and (f"{job.id}/{task}", attempt.attempt_number) not in worker.tasks
        ):
            return AttemptVerdict.SETTLED
        return ORIGINAL_VERDICT(self, job, attempt, task)

    patch.setattr(Workers, "verdict", verdict)


def disable_exit_result_check(patch: Patch) -> None:
    """Treat every attempt that has ended as completed, with whatever result it ended."""
    patch.setattr(
        Workers,
        "verdict",
        lambda self, job, attempt, task: (
            AttemptVerdict.DONE if ORIGINAL_VERDICT(self, job, attempt, task) else None
        ),
    )


def disable_assumed_lease_of_new_workers(patch: Patch) -> None:
    """Create rows of new workers without a lease that another controller may have renewed.

    A controller that has just started then does not wait until such a lease has expired.
    """

    def get_or_create(self: WorkerTable, name: str) -> Worker:
        return self.rows.setdefault(name, Worker(name))

    patch.setattr(WorkerTable, "get_or_create", get_or_create)


def disable_term_check_of_allocations(patch: Patch) -> None:
    """Let a team's allocation record of an earlier view grant quota under the current view."""

    def allocated(self: QuotaAllocation, team: str) -> dict[str, Resources]:
        record, view = self._replica.allocation_of(team), self._replica.view
        assert view is not None
        original_term, record.term = record.term, view.term
        try:
            return ORIGINAL_ALLOCATED(self, team)
        finally:
            record.term = original_term

    patch.setattr(QuotaAllocation, "allocated", allocated)


def disable_quota_reservations(patch: Patch) -> None:
    """Let jobs hold no part of their team's limit."""
    for module in (usage, allocation):
        patch.setattr(module, "reservation_of", lambda job: NO_RESOURCES)


def disable_task_counts_by_zone(patch: Patch) -> None:
    """Place tasks as if their job had no tasks in any zone yet."""
    patch.setattr(MachineZones, "tasks_by_zone", lambda self, job: {})


def disable_job_version_conditions(patch: Patch) -> None:
    """Remove the condition on the version of an existing job record from all transactions."""

    def submit(self: StoreClient, request: StoreRequest, *rest: Any) -> Any:
        if isinstance(request, Transaction):
            request.conditions = {
                key: version
                for key, version in request.conditions.items()
                if not (key.startswith(JOBS_PREFIX) and version)
            }
        return ORIGINAL_SUBMIT(self, request, *rest)

    patch.setattr(StoreClient, "submit", submit)


def disable_submission_check(patch: Patch) -> None:
    """Accept every submission that can be decoded."""
    patch.setattr(SubmissionCheck, "refusal", lambda self, spec: None)


def disable_cancellation_fallbacks(patch: Patch) -> None:
    """Disable all three fallbacks that end cancelled tasks if the machine's owner cannot.

    Cancellations are not sent to peers, other controllers halt no tasks, and no machines are
    deleted. Tasks of an unreachable machine still end within `cancel_s`, as the leases expire.
    """
    patch.setattr(CancellationDissemination, "broadcast", lambda *_: None)
    patch.setattr(CancelledTaskHalter, "halt", lambda *_: None)
    patch.setattr(CancelledTaskMachineDeleter, "delete", lambda *_: None)


def disable_lease_limit_and_cancellation_fallbacks(patch: Patch) -> None:
    """Disable the fallbacks, and lengthen the controllers' lease beyond what `cancel_s` allows.

    The leases of controller and worker together then end after the deadline of a cancellation.
    """
    disable_cancellation_fallbacks(patch)
    patch.setattr(c, "CANCEL_RESERVE_S", -14.0)
    patch.setattr(c, "CONTROLLER_LEASE_S", 30.0)


def disable_halts_and_cancellation_fallbacks(patch: Patch) -> None:
    """Disable the fallbacks, and drop the halts from the commands of the machine's owner."""
    disable_cancellation_fallbacks(patch)
    patch.setattr(
        CommandReconciler,
        "commands_for",
        lambda self, worker, pushed: [
            command
            for command in ORIGINAL_COMMANDS_FOR(self, worker, pushed)
            if command.action != wire.HALT
        ],
    )


def disable_poll_confirmation(patch: Patch) -> None:
    """Answer status polls from the replica without a linearizable read."""

    def confirm(self: StatusPolls) -> None:
        polls, self._polls = self._polls, []
        for poll in polls:
            self.answer(poll, is_absence_confirmed=True)

    patch.setattr(StatusPolls, "confirm", confirm)
