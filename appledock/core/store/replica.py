"""Replica of the key-value store's records, kept up to date by one watch in order.

All keys share one prefix, so that a change of the view and the steps committed
before it are always seen in that order: whoever knows a view and has followed
the changes up to it also knows every step that an earlier owner may have
launched.
"""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from appledock import constants
from appledock.core.records.capacity import CAPACITY_PREFIX, CapacityRecords
from appledock.core.records.dependencies import DependencyGraph
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


class RecordKind(NamedTuple):
    """What the replica does with the keys of one kind; a name is the key without its prefix."""

    version: Callable[[str], int]
    """version of the record that is held; 0 if there is none"""
    store: Callable[[str, Any, int], None]
    """takes over a record (name, value, version)"""
    remove: Callable[[str], None] = lambda _name: None
    """forgets a record that was deleted"""
    names: Callable[[], Iterable[str]] = tuple
    """the records that are forgotten if a full listing lacks them"""


class Replica:
    """Records by key: the newest version wins, whichever way and order they come in.

    A deletion is remembered until the watch has passed it, so that an older read that is
    answered later does not bring the record back.
    """

    def __init__(self) -> None:
        self.revision = 0
        """the watch has delivered every change up to here"""
        self.jobs: dict[str, Job] = {}
        """the open jobs"""
        self.final_states: OrderedDict[str, str] = OrderedDict()
        """job that is over -> how it ended; the latest ones only"""
        self.allocations: dict[str, TeamAllocation] = {}
        """team -> how its quota is divided"""
        self.members: dict[str, Member] = {}
        """node -> its own record"""
        self.view: View | None = None
        self.catalogue: Versioned[list[Any]] = Versioned([])
        """the machine types that any controller has seen last, as stored"""
        self.stored_settings: Versioned[dict[str, Any]] = Versioned({})
        """the operators' settings that differ from their defaults"""
        self.record_format = Versioned(1)
        """format of stored records that all members write"""
        self.attempts_by_machine: dict[str, dict[str, list[Attempt]]] = {}
        """machine -> job -> its unsettled attempts there"""
        self.jobs_by_team: dict[str, set[str]] = {}
        """team -> its open jobs"""
        self.cancelled_jobs: set[str] = set()
        """open jobs that are cancelled by their own record"""
        self.capacity = CapacityRecords()
        self.dependencies = DependencyGraph()
        self.queued_jobs: set[str] = set()
        """open jobs with tasks that wait for a step, and for no other job"""
        self.changes = ReplicaChanges()
        self._deleted_at: dict[str, int] = {}
        """deleted key -> revision of its deletion, as long as the watch has not passed it"""
        self._owners: dict[str, str] = {}
        """name -> its owner under the present view"""
        self._kinds = self._build_kinds()

    def _build_kinds(self) -> dict[str, RecordKind]:
        """Prefix, or whole key of a kind with one record -> what is done with its records."""
        return {
            JOBS_PREFIX: RecordKind(
                lambda name: self.jobs[name].version if name in self.jobs else 0,
                lambda _name, value, version: self._store_job(decode_job(value, version)),
                self._remove_job,
                lambda: self.jobs,
            ),
            FINAL_PREFIX: RecordKind(
                lambda _name: 0, lambda name, value, _: self.add_final(name, value["state"])
            ),
            MEMBERS_PREFIX: RecordKind(
                lambda name: self.members[name].version if name in self.members else 0,
                self._store_member,
                self._remove_member,
                lambda: self.members,
            ),
            TEAMS_PREFIX: RecordKind(
                lambda name: self.allocations[name].version if name in self.allocations else 0,
                self._store_allocation,
                self._remove_allocation,
                lambda: self.allocations,
            ),
            VIEW_KEY: RecordKind(
                lambda _name: self.view.version if self.view else 0, self._store_view
            ),
            CATALOGUE_KEY: RecordKind(lambda _name: self.catalogue.version, self._store_catalogue),
            SETTINGS_KEY: RecordKind(
                lambda _name: self.stored_settings.version,
                lambda _name, value, version: self._set_settings(Versioned(dict(value), version)),
                lambda _name: self._set_settings(Versioned({})),
            ),
            FORMAT_KEY: RecordKind(lambda _name: self.record_format.version, self._store_format),
            CAPACITY_PREFIX: RecordKind(
                lambda name: self.capacity.version(CAPACITY_PREFIX + name),
                lambda name, value, version: self.capacity.put(
                    CAPACITY_PREFIX + name, value, version
                ),
                lambda name: self.capacity.drop(CAPACITY_PREFIX + name),
            ),
        }

    # --- questions --------------------------------------------------------
    def has_reached_view(self) -> bool:
        """Does the replica include all that was committed before the present view?

        Guards against a new owner that takes a running task for an orphaned one because
        the step that launched it has not reached this controller yet.
        """
        return self.view is not None and self.revision >= self.view.version

    def owner_of(self, name: str) -> str:
        """Owner of a worker (or, without hand-off, of a job); there must be a view."""
        assert self.view is not None
        owner = self._owners.get(name)
        if owner is None:
            owner = self._owners[name] = self.view.owner_of(name)
        return owner

    def job_owner(self, job: Job) -> str:
        """Owner of a job: the member that it was handed to, else the derived one."""
        assert self.view is not None
        if job.handoff_target and self.view.has_member(*job.handoff_target):
            return job.handoff_target.node
        return self.owner_of(job.id)

    def owns_job(self, node: str, job: Job) -> bool:
        """Does the controller own the job, by the newest view known?"""
        return self.view is not None and self.job_owner(job) == node

    def is_cancelled(self, job_id: str) -> bool:
        """Is the open job cancelled, by its user or with one that it depends on?"""
        return job_id in self.cancelled_jobs or job_id in self.dependencies.cancelled_by_dependency

    def allocation_of(self, team: str) -> TeamAllocation:
        """How the team's quota is divided; an empty allocation if nothing is stored."""
        return self.allocations.setdefault(team, TeamAllocation())

    # --- records as read, watched or committed ----------------------------
    def put(self, key: str, value: Any, version: int) -> None:
        """Take over a record; one that is not newer is ignored, a malformed one is logged."""
        kind, name = self._kind_of(key)
        if kind is None or version <= self._newest_version(key, kind, name):
            return
        try:
            kind.store(name, value, version)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            log.error("malformed record: key=%s error=%s", key, error)

    def drop(self, key: str, version: int) -> None:
        """The key was deleted, or did not exist, at revision `version`."""
        kind, name = self._kind_of(key)
        if version <= self._newest_version(key, kind, name):
            return
        self._deleted_at[key] = version
        if kind is not None:
            kind.remove(name)

    def set_job(self, job: Job) -> None:
        """Take over a job record that this controller has just committed."""
        key = JOBS_PREFIX + job.id
        if job.version > self._newest_version(key, self._kinds[JOBS_PREFIX], job.id):
            self._store_job(job)

    def add_final(self, job_id: str, state: str) -> None:
        """The job is over and ended so."""
        self.final_states[job_id] = state
        if len(self.final_states) > constants.FINAL_STATE_CACHE_MAX:
            self.final_states.popitem(last=False)
        self.dependencies.on_job_ended(job_id, state)
        self._follow_dependencies()

    def load(self, rows: list[Row], revision: int) -> None:
        """Replace everything by a full listing that began at `revision`.

        Records that vanished while the watch was lost are forgotten here: a listing
        does not name them.
        """
        listed = {row.key for row in rows}
        for prefix, kind in self._kinds.items():
            for name in [name for name in kind.names() if prefix + name not in listed]:
                if kind.version(name) <= revision:
                    kind.remove(name)
        for row in rows:
            self.put(row.key, row.value, row.version)
        self.revision = max(self.revision, revision)

    def advance(self, revision: int) -> None:
        """The watch has passed `revision`: deletions up to it can be forgotten."""
        if revision > self.revision:
            self.revision = revision
            if len(self._deleted_at) > 200:
                self._deleted_at = {
                    key: version for key, version in self._deleted_at.items() if version > revision
                }

    def _kind_of(self, key: str) -> tuple[RecordKind | None, str]:
        """The kind of a key and the name in it; None for a key of a later version."""
        kind = self._kinds.get(key)
        if kind is not None:
            return kind, ""
        for prefix in PREFIXES:
            if key.startswith(prefix):
                return self._kinds[prefix], key[len(prefix) :]
        return None, key

    def _newest_version(self, key: str, kind: RecordKind | None, name: str) -> int:
        """The newest version known of the key, a deletion included."""
        return max(self._deleted_at.get(key, 0), kind.version(name) if kind is not None else 0)

    # --- small records ----------------------------------------------------
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
        self._owners.clear()
        self.changes.view = True

    def _store_catalogue(self, _name: str, value: Any, version: int) -> None:
        self.catalogue = Versioned(list(value["types"]), version)

    def _set_settings(self, stored: Versioned[dict[str, Any]]) -> None:
        self.stored_settings = stored
        self.changes.settings = True

    def _store_format(self, _name: str, value: Any, version: int) -> None:
        # Never back: records of the newer format may be there.
        newest = max(self.record_format.value, int(value["format"]))
        self.record_format = Versioned(newest, version)

    # --- jobs -------------------------------------------------------------
    def _store_job(self, job: Job) -> None:
        old = self.jobs.get(job.id)
        self.jobs[job.id] = job
        job.seal()
        self._index_attempts(job.id, old, job)
        self.jobs_by_team.setdefault(job.spec.team, set()).add(job.id)
        self.dependencies.on_job_recorded(job, self.jobs, self.final_states)
        self._update_queued(job)
        if job.cancelled:
            self.cancelled_jobs.add(job.id)
        self.changes.jobs.add(job.id)
        self.changes.teams.add(job.spec.team)
        self._follow_dependencies()

    def _remove_job(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        self._index_attempts(job_id, job, None)
        self.queued_jobs.discard(job_id)
        self.cancelled_jobs.discard(job_id)
        self.dependencies.on_record_deleted(job_id)
        _discard(self.jobs_by_team, job.spec.team, job_id)
        self.changes.teams.add(job.spec.team)
        self.changes.jobs.add(job_id)

    def _follow_dependencies(self) -> None:
        """Update jobs that became ready, or are cancelled with one that they depend on."""
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
        """Adjust the index of machines, and note those whose attempts differ.

        Only those: a step of a large array must not cost a recount of the free capacity of
        all its machines.
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


PREFIXES = (JOBS_PREFIX, FINAL_PREFIX, TEAMS_PREFIX, MEMBERS_PREFIX, CAPACITY_PREFIX)
"""of the kinds with more than one record"""


def _attempts_by_machine(job: Job | None) -> dict[str, list[Attempt]]:
    """The job's attempts by machine; none for no job."""
    result: dict[str, list[Attempt]] = {}
    for attempt in job.attempts if job is not None else ():
        result.setdefault(attempt.machine, []).append(attempt)
    return result


def _discard(names: dict[str, set[str]], key: str, name: str) -> None:
    """Remove a name from the set under the key, and the set once it is empty."""
    group = names.get(key)
    if group is not None:
        group.discard(name)
        if not group:
            del names[key]
