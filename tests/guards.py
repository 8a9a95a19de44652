"""Guards of the scheduler taken out one by one, so that a judge can be seen to notice."""

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
VERDICT, COMMANDS, SUBMIT, ALLOCATED = (
    Workers.verdict,
    CommandReconciler.commands_for,
    StoreClient.submit,
    QuotaAllocation.allocated,
)


def silence_settles(patch: Patch, after_s: float = 6.0) -> None:
    def verdict(self: Workers, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        worker = self.table.get(attempt.machine)
        if (
            worker is not None
            and self.runtime.now - worker.reachability.last_heartbeat_at > after_s
        ):
            return AttemptVerdict.SETTLED
        return VERDICT(self, job, attempt, task)

    patch.setattr(Workers, "verdict", verdict)


def absence_settles(patch: Patch) -> None:
    """Without a higher term on the worker."""

    def verdict(self: Workers, job: Job, attempt: Attempt, task: int) -> AttemptVerdict | None:
        worker = self.table.get(attempt.machine)
        if (
            worker is not None
            and worker.agent_epoch == attempt.agent_epoch
            and (f"{job.id}/{task}", attempt.attempt_number) not in worker.tasks
        ):
            return AttemptVerdict.SETTLED
        return VERDICT(self, job, attempt, task)

    patch.setattr(Workers, "verdict", verdict)


def any_end_is_done(patch: Patch) -> None:
    patch.setattr(
        Workers,
        "verdict",
        lambda self, job, attempt, task: (
            AttemptVerdict.DONE if VERDICT(self, job, attempt, task) else None
        ),
    )


def nobody_answered_before(patch: Patch) -> None:
    """A controller without memory takes workers for unheard of by anybody."""

    def get_or_create(self: WorkerTable, name: str) -> Worker:
        return self.rows.setdefault(name, Worker(name))

    patch.setattr(WorkerTable, "get_or_create", get_or_create)


def old_shares_hold(patch: Patch) -> None:
    """Shares of a team's limit are kept from one view to the next."""

    def allocated(self: QuotaAllocation, team: str) -> dict[str, Resources]:
        record, view = self._replica.allocation_of(team), self._replica.view
        assert view is not None
        kept, record.term = record.term, view.term
        try:
            return ALLOCATED(self, team)
        finally:
            record.term = kept

    patch.setattr(QuotaAllocation, "allocated", allocated)


def no_charges(patch: Patch) -> None:
    for module in (usage, allocation):
        patch.setattr(module, "reservation_of", lambda job: NO_RESOURCES)


def zones_unseen(patch: Patch) -> None:
    patch.setattr(MachineZones, "tasks_by_zone", lambda self, job: {})


def no_job_version(patch: Patch) -> None:
    def submit(self: StoreClient, request: StoreRequest, *rest: Any) -> Any:
        if isinstance(request, Transaction):
            request.conditions = {
                key: version
                for key, version in request.conditions.items()
                if not (key.startswith(JOBS_PREFIX) and version)
            }
        return SUBMIT(self, request, *rest)

    patch.setattr(StoreClient, "submit", submit)


def all_is_accepted(patch: Patch) -> None:
    patch.setattr(SubmissionCheck, "refusal", lambda self, spec: None)


def no_word_of_mouth(patch: Patch) -> None:
    """Nor deletions: what is left is time, since leases end in `cancel_s`."""
    patch.setattr(CancellationDissemination, "broadcast", lambda *_: None)
    patch.setattr(CancelledTaskHalter, "halt", lambda *_: None)
    patch.setattr(CancelledTaskMachineDeleter, "delete", lambda *_: None)


def nothing_but_long_leases(patch: Patch) -> None:
    no_word_of_mouth(patch)
    patch.setattr(c, "CANCEL_RESERVE_S", -14.0)
    patch.setattr(c, "CONTROLLER_LEASE_S", 30.0)


def no_halts(patch: Patch) -> None:
    no_word_of_mouth(patch)
    patch.setattr(
        CommandReconciler,
        "commands_for",
        lambda self, worker, pushed: [
            x for x in COMMANDS(self, worker, pushed) if x.action != wire.HALT
        ],
    )


def answers_without_proof(patch: Patch) -> None:
    def confirm(self: StatusPolls) -> None:
        polls, self._polls = self._polls, []
        for request in polls:
            self.answer(request, is_absence_confirmed=True)

    patch.setattr(StatusPolls, "confirm", confirm)
