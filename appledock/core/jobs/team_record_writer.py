"""Writes of a team's record alone, which raise or release allocations without a step."""

from __future__ import annotations

from collections.abc import Callable

from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.quota.allocation import QuotaAllocation
from appledock.core.records.team_allocation import TeamAllocation
from appledock.core.store.client import StoreClient
from appledock.core.store.keys import TEAMS_PREFIX
from appledock.core.store.rate_limiter import Priority
from appledock.core.store.reader import StoreReader
from appledock.core.store.replica import Replica
from appledock.core.store_calls import (
    Committed,
    Conflict,
    Put,
    StoreOutcome,
    Transaction,
    UnknownOutcome,
)


class TeamRecordWriter:
    """Changes the allocations of teams' limits outside the transactions of job records."""

    def __init__(
        self,
        *,
        client: StoreClient,
        replica: Replica,
        reader: StoreReader,
        quota_allocation: QuotaAllocation,
        reconcile_queue: ReconcileQueue,
        fencing_conditions: Callable[[], dict[str, int]],
    ) -> None:
        self._client = client
        self._replica = replica
        self._reader = reader
        self._quota_allocation = quota_allocation
        self._reconcile_queue = reconcile_queue
        self._fencing_conditions = fencing_conditions

    def write(self, team: str, record: TeamAllocation, priority: Priority) -> None:
        """Write a team's record, conditional on its version."""
        transaction = Transaction(
            self._fencing_conditions(), [Put(TEAMS_PREFIX + team, record.encode())]
        )
        transaction.conditions[TEAMS_PREFIX + team] = record.version
        quota_write = self._quota_allocation.begin_team_record_write(team, record)

        def on_outcome(outcome: StoreOutcome) -> None:
            quota_write.finish(outcome)
            self._reconcile_queue.placement_due = True
            match outcome:
                case Committed():
                    self._quota_allocation.on_record_committed(team, record, outcome.revision)
                case Conflict() | UnknownOutcome():
                    self._reader.read_keys([TEAMS_PREFIX + team])
                case _:
                    pass

        self._client.submit(transaction, priority, on_outcome)

    def release_unused_allocations(self) -> None:
        """Release unused allocations that more urgent jobs of other controllers need."""
        for team in self._replica.jobs_by_team:
            releasable = self._quota_allocation.releasable(team)
            if releasable.is_positive() and not self._quota_allocation.is_being_written(team):
                record = self._quota_allocation.plan_release(team, releasable)
                self.write(team, record, Priority.STEP)
