"""Replica of the records in the key-value store, kept up to date by one ordered watch.

All keys share one prefix, so that one watch shows a change of the view after all steps that were
committed before it. A controller that has followed the changes up to a view therefore knows every
step that an earlier owner may have launched.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from appledock import constants
from appledock.core.records.capacity import CAPACITY_PREFIX, CapacityRecords
from appledock.core.records.dependencies import DependencyGraph
from appledock.core.records.final_record import decode_final_record
from appledock.core.records.job import Attempt, Job, decode_job
from appledock.core.records.membership_view import Member, View
from appledock.core.records.team_allocation import TeamAllocation
from appledock.core.records.versioned import Versioned
from appledock.core.store.keys import (
    CATALOGUE_KEY,
    FINAL_PREFIX,
    FORMAT_KEY,
    JOBS_PREFIX,
    MEMBERS_PREFIX,
    SETTINGS_KEY,
    TEAMS_PREFIX,
    VIEW_KEY,
)
from appledock.core.store.replica_changes import ReplicaChanges
from appledock.wire import Row

log = logging.getLogger(__name__)


class RecordHandler(NamedTuple):
    """Operations on the records of one kind, by name; the name is the key without its prefix."""

    version: Callable[[str], int]
    """Returns the version of the record in the replica, or 0 if there is none."""
    store: Callable[[str, Any, int], None]
    """Stores a record, given its name, value and version."""
    remove: Callable[[str], None] = lambda _name: None
    """Removes a record that was deleted."""
    names: Callable[[], Iterable[str]] = tuple
    """Returns the names of the records that are removed if a full listing does not contain them."""


class Replica:
    """The records of the key-value store, each in the newest version that was received.

    Records may come from the watch, from a read or from a commit, in any order. The revision of a
    deletion is kept until the watch has passed it, so that the late answer to an older read does
    not restore the record.
    """

    def __init__(self) -> None:
        self.revision = 0
        """Revision up to which the watch has delivered all changes."""
        self.jobs: dict[str, Job] = {}
        """Id -> open job."""
        self.final_states: OrderedDict[str, str] = OrderedDict()
        """Job that has ended -> its final state; only the `FINAL_STATE_CACHE_MAX` latest ones."""
        self.ended_wall_times: dict[str, float] = {}
        """Job in `final_states` -> time of day of its end, in seconds, if its record has one."""
        self.allocations: dict[str, TeamAllocation] = {}
        """Team -> allocation of its quota."""
        self.members: dict[str, Member] = {}
        """Node -> its member record."""
        self.view: View | None = None
        self.catalogue: Versioned[list[Any]] = Versioned([])
        """Machine types as the controllers stored them last."""
        self.stored_settings: Versioned[dict[str, Any]] = Versioned({})
        """Operators' settings that differ from their defaults."""
        self.record_format = Versioned(1)
        """Format in which all members write records."""
        self.attempts_by_machine: dict[str, dict[str, list[Attempt]]] = {}
        """Machine -> job -> open attempts of the job on the machine."""
        self.jobs_by_team: dict[str, set[str]] = {}
        """Team -> ids of its open jobs."""
        self.cancelled_jobs: set[str] = set()
        """Open jobs that were cancelled themselves, according to their records."""
        self.capacity = CapacityRecords()
        self.dependencies = DependencyGraph()
        self.queued_jobs: set[str] = set()
        """Open jobs with queued tasks and without unfinished prerequisites."""
        self.changes = ReplicaChanges()
        self._deletion_revisions: dict[str, int] = {}
        """Deleted key -> revision of the deletion, until the watch has passed that revision."""
        self._owner_cache: dict[str, str] = {}
        """Name of a worker or job -> its owner under the current view."""
        self._handlers = self._build_handlers()

    def _build_handlers(self) -> dict[str, RecordHandler]:
        """Return the handlers by prefix, or by key for a kind that has a single record."""
        return {
            JOBS_PREFIX: RecordHandler(
                lambda name: self.jobs[name].version if name in self.jobs else 0,
                lambda _name, value, version: self._store_job(decode_job(value, version)),
                self._remove_job,
                lambda: self.jobs,
            ),
            FINAL_PREFIX: RecordHandler(
                lambda _name: 0,
                lambda name, value, _: self.add_final_state(name, *decode_final_record(value)),
            ),
            MEMBERS_PREFIX: RecordHandler(
                lambda name: self.members[name].version if name in self.members else 0,
                self._store_member,
                self._remove_member,
                lambda: self.members,
            ),
            TEAMS_PREFIX: RecordHandler(
                lambda name: self.allocations[name].version if name in self.allocations else 0,
                self._store_allocation,
                self._remove_allocation,
                lambda: self.allocations,
            ),
            VIEW_KEY: RecordHandler(
                lambda _name: self.view.version if self.view else 0, self._store_view
            ),
            CATALOGUE_KEY: RecordHandler(
                lambda _name: self.catalogue.version, self._store_catalogue
            ),
            SETTINGS_KEY: RecordHandler(
                lambda _name: self.stored_settings.version,
                lambda _name, value, version: self._set_settings(Versioned(dict(value), version)),
                lambda _name: self._set_settings(Versioned({})),
            ),
            FORMAT_KEY: RecordHandler(lambda _name: self.record_format.version, self._store_format),
            CAPACITY_PREFIX: RecordHandler(
                lambda name: self.capacity.version(CAPACITY_PREFIX + name),
                lambda name, value, version: self.capacity.put(
                    CAPACITY_PREFIX + name, value, version
                ),
                lambda name: self.capacity.drop(CAPACITY_PREFIX + name),
            ),
        }

    # --- queries ----------------------------------------------------------
    def has_reached_view(self) -> bool:
        """Return whether the replica includes all changes committed before the current view.

        Otherwise a new owner could treat a running task as orphaned, because this controller has
        not yet received the step that launched the task.
        """
        return self.view is not None and self.revision >= self.view.version

    def owner_of(self, name: str) -> str:
        """Return the owner of a worker, or of a job that was not handed off; requires a view."""
        assert self.view is not None
        owner = self._owner_cache.get(name)
        if owner is None:
            owner = self._owner_cache[name] = self.view.owner_of(name)
        return owner

    def job_owner(self, job: Job) -> str:
        """Return the owner of a job: the member it was handed off to, or else the derived owner."""
        assert self.view is not None
        if job.handoff_target and self.view.has_member(*job.handoff_target):
            return job.handoff_target.node
        return self.owner_of(job.id)

    def owns_job(self, node: str, job: Job) -> bool:
        """Return whether the controller owns the job under the newest known view."""
        return self.view is not None and self.job_owner(job) == node

    def is_cancelled(self, job_id: str) -> bool:
        """Return whether the open job is cancelled, by its user or because of a prerequisite."""
        return job_id in self.cancelled_jobs or job_id in self.dependencies.cancelled_by_dependency

    def allocation_of(self, team: str) -> TeamAllocation:
        """Return the allocation of the team's quota, which is empty if none is stored."""
        return self.allocations.setdefault(team, TeamAllocation())

    # --- updates by reads, watch and commits ------------------------------
    def put(self, key: str, value: Any, version: int) -> None:
        """Store a record if it is newer than the known one; log and ignore a malformed record."""
        handler, name = self._handler_of(key)
        if handler is None or version <= self._newest_version(key, handler, name):
            return
        try:
            handler.store(name, value, version)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            log.error("malformed record: key=%s error=%s", key, error)

    def drop(self, key: str, version: int) -> None:
        """Remove the record of a key that was deleted or did not exist at revision `version`."""
        handler, name = self._handler_of(key)
        if version <= self._newest_version(key, handler, name):
            return
        self._deletion_revisions[key] = version
        if handler is not None:
            handler.remove(name)

    def set_job(self, job: Job) -> None:
        """Store a job record that this controller has just committed."""
        key = JOBS_PREFIX + job.id
        if job.version > self._newest_version(key, self._handlers[JOBS_PREFIX], job.id):
            self._store_job(job)

    def add_final_state(
        self, job_id: str, state: str, ended_wall_time: float | None = None
    ) -> None:
        """Store how and, if it is known, when a job has ended."""
        self.final_states[job_id] = state
        if ended_wall_time is not None:
            self.ended_wall_times[job_id] = ended_wall_time
        if len(self.final_states) > constants.FINAL_STATE_CACHE_MAX:
            oldest, _ = self.final_states.popitem(last=False)
            self.ended_wall_times.pop(oldest, None)
        self.dependencies.on_job_ended(job_id, state, ended_wall_time)
        self._apply_dependency_changes()

    def load(self, rows: list[Row], revision: int) -> None:
        """Replace all records by a full listing that began at `revision`.

        Records that were deleted while no watch was active are missing from the listing and are
        removed here.
        """
        listed = {row.key for row in rows}
        for prefix, handler in self._handlers.items():
            for name in [name for name in handler.names() if prefix + name not in listed]:
                if handler.version(name) <= revision:
                    handler.remove(name)
        for row in rows:
            self.put(row.key, row.value, row.version)
        self.revision = max(self.revision, revision)

    def advance(self, revision: int) -> None:
        """Record that the watch has passed `revision`, and discard older deletion revisions."""
        if revision > self.revision:
            self.revision = revision
            if len(self._deletion_revisions) > 200:
                self._deletion_revisions = {
                    key: version
                    for key, version in self._deletion_revisions.items()
                    if version > revision
                }

    def _handler_of(self, key: str) -> tuple[RecordHandler | None, str]:
        """Return the handler of a key and the record's name; None for a key of a later version."""
        handler = self._handlers.get(key)
        if handler is not None:
            return handler, ""
        for prefix in COLLECTION_PREFIXES:
            if key.startswith(prefix):
                return self._handlers[prefix], key[len(prefix) :]
        return None, key

    def _newest_version(self, key: str, handler: RecordHandler | None, name: str) -> int:
        """Return the newest known version of the key, including the revision of a deletion."""
        return max(
            self._deletion_revisions.get(key, 0),
            handler.version(name) if handler is not None else 0,
        )

    # --- records other than jobs ------------------------------------------
    def _store_member(self, name: str, value: Any, version: int) -> None:
        self.members[name] = Member.decode(value, version)

    def _remove_member(self, name: str) -> None:
        self.members.pop(name, None)

    def _store_allocation(self, name: str, value: Any, version: int) -> None:
        self.allocations[name] = TeamAllocation.decode(value, version)

    def _remove_allocation(self, name: str) -> None:
        self.allocations[name] = TeamAllocation()

    def _store_view(self, _name: str, value: Any, version: int) -> None:
        self.view = View.decode(value, version)
        self._owner_cache.clear()
        self.changes.view = True

    def _store_catalogue(self, _name: str, value: Any, version: int) -> None:
        self.catalogue = Versioned(list(value["types"]), version)

    def _set_settings(self, stored: Versioned[dict[str, Any]]) -> None:
        self.stored_settings = stored
        self.changes.settings = True

    def _store_format(self, _name: str, value: Any, version: int) -> None:
        # The format is never lowered, because records in the newer format may exist.
        newest = max(self.record_format.value, int(value["format"]))
        self.record_format = Versioned(newest, version)

    # --- jobs -------------------------------------------------------------
    def _store_job(self, job: Job) -> None:
        old = self.jobs.get(job.id)
        self.jobs[job.id] = job
        job.seal()
        self._index_attempts(job.id, old, job)
        self.jobs_by_team.setdefault(job.spec.team, set()).add(job.id)
        self.dependencies.on_job_recorded(job, self.jobs, self.final_states, self.ended_wall_times)
        self._update_queued(job)
        if job.cancelled:
            self.cancelled_jobs.add(job.id)
        self.changes.jobs.add(job.id)
        self.changes.teams.add(job.spec.team)
        self._apply_dependency_changes()

    def _remove_job(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        self._index_attempts(job_id, job, None)
        self.queued_jobs.discard(job_id)
        self.cancelled_jobs.discard(job_id)
        self.dependencies.on_record_deleted(job_id)
        _discard_from_set(self.jobs_by_team, job.spec.team, job_id)
        self.changes.teams.add(job.spec.team)
        self.changes.jobs.add(job_id)

    def _apply_dependency_changes(self) -> None:
        """Update the jobs whose readiness changed or that a prerequisite has cancelled."""
        changed, self.dependencies.changed_jobs = self.dependencies.changed_jobs, set()
        for job_id in changed:
            job = self.jobs.get(job_id)
            if job is not None:
                self._update_queued(job)
                self.changes.jobs.add(job_id)
                self.changes.teams.add(job.spec.team)

    def _update_queued(self, job: Job) -> None:
        if job.queued_task_count > 0 and job.id not in self.dependencies.waiting_jobs:
            self.queued_jobs.add(job.id)
        else:
            self.queued_jobs.discard(job.id)

    def _index_attempts(self, job_id: str, old: Job | None, new: Job | None) -> None:
        """Update `attempts_by_machine`, and record the machines whose attempts have changed.

        Other machines of the job are not recorded: otherwise each step of a large array would
        recompute the free capacity of all its machines.
        """
        before = _attempts_by_machine(old)
        after = _attempts_by_machine(new)
        is_cancellation = old is not None and new is not None and old.cancelled != new.cancelled
        for machine, attempts in after.items():
            self.attempts_by_machine.setdefault(machine, {})[job_id] = attempts
            if is_cancellation or before.get(machine) != attempts:
                self.changes.machines.add(machine)
        for machine in before.keys() - after.keys():
            self.changes.machines.add(machine)
            attempts_by_job = self.attempts_by_machine.get(machine)
            if attempts_by_job is not None:
                attempts_by_job.pop(job_id, None)
                if not attempts_by_job:
                    del self.attempts_by_machine[machine]


COLLECTION_PREFIXES = (JOBS_PREFIX, FINAL_PREFIX, TEAMS_PREFIX, MEMBERS_PREFIX, CAPACITY_PREFIX)
"""Prefixes of the kinds with more than one record."""


def _attempts_by_machine(job: Job | None) -> dict[str, list[Attempt]]:
    """Return the attempts of the job by machine; empty if there is no job."""
    result: dict[str, list[Attempt]] = {}
    for attempt in job.attempts if job is not None else ():
        result.setdefault(attempt.machine, []).append(attempt)
    return result


def _discard_from_set(names: dict[str, set[str]], key: str, name: str) -> None:
    """Remove a name from the set under the key, and the set if it becomes empty."""
    group = names.get(key)
    if group is not None:
        group.discard(name)
        if not group:
            del names[key]
