"""This controller's picture of the state service, kept by one watch in order.

All keys share one prefix, so that a change of the view and the steps committed
before it are always seen in that order: whoever knows a view and has followed
the changes up to it also knows every step that an earlier owner may have
launched.
"""

from __future__ import annotations

import hashlib
import logging
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Any

from appledock import constants as c
from appledock.core.records.capacity import CAPACITY, CapacityRecords
from appledock.core.records.dependencies import DependencyGraph
from appledock.core.records.job import Attempt, Job, decode_job
from appledock.core.records.versioned import Versioned
from appledock.core.store.keys import CATALOGUE, FINAL, FORMAT, JOBS, MEMBERS, SETTINGS, TEAMS, VIEW

log = logging.getLogger(__name__)


@dataclass(slots=True)
class View:
    """Who is a controller; its term is the workers' token."""

    term: int
    members: dict[str, str]
    """node -> incarnation"""
    leader: str
    overrides: dict[str, list[str]] = field(default_factory=dict)
    """worker -> node and incarnation, set when it cannot reach its derived owner"""
    detached: dict[str, str] = field(default_factory=dict)
    """members, with incarnation, that workers do not reach: they own nothing"""
    version: int = 0

    def encode(self) -> dict[str, Any]:
        return {
            "term": self.term,
            "members": self.members,
            "leader": self.leader,
            "overrides": self.overrides,
            "detached": self.detached,
        }

    def attached(self) -> list[str]:
        """The members that own workers and jobs; all, if none could."""
        return [
            node
            for node, incarnation in self.members.items()
            if self.detached.get(node) != incarnation
        ] or list(self.members)

    def owner_of(self, name: str) -> str:
        """Owner of a worker (or, without hand-off, of a job)."""
        override = self.overrides.get(name)
        if override and self.members.get(override[0]) == override[1]:
            return override[0]
        return self.derived_owner(name)

    def derived_owner(self, name: str) -> str:
        """Rendezvous hash: losing a member moves only what that member owned."""
        return max(
            self.attached(),
            key=lambda node: hashlib.blake2b(f"{node} {name}".encode(), digest_size=8).digest(),
        )


@dataclass(slots=True)
class Member:
    incarnation: str
    lease: int
    version: int
    format: int = 1
    """newest format of records that it reads and writes; members that say none: 1"""


@dataclass(slots=True)
class Team:
    """How a team's limit is shared out between the controllers under one view."""

    version: int = 0
    term: int = 0
    shares: dict[str, tuple[float, float]] = field(default_factory=dict)
    """node -> cores and cards that the jobs it owns may hold"""

    def encode(self) -> dict[str, Any]:
        return {
            "term": self.term,
            "shares": {
                node: [round(cpus, 6), round(gpus, 6)] for node, (cpus, gpus) in self.shares.items()
            },
        }


class Replica:
    """Rows by key, newest version wins; drops leave a mark until the watch passed them."""

    def __init__(self) -> None:
        self.revision = 0
        """the watch has delivered every change up to here"""
        self.jobs: dict[str, Job] = {}
        self.final_states: OrderedDict[str, str] = OrderedDict()
        self.teams: dict[str, Team] = {}
        self.members: dict[str, Member] = {}
        self.view: View | None = None
        self.catalogue: Versioned[list[Any]] = Versioned([])
        self.stored_settings: Versioned[dict[str, Any]] = Versioned({})
        self.attempts_by_machine: dict[str, dict[str, list[Attempt]]] = {}
        """machine -> job -> its unsettled attempts there"""
        self.jobs_by_team: dict[str, set[str]] = {}
        """team -> its open jobs"""
        self.cancelled_jobs: set[str] = set()
        """open jobs that are cancelled"""
        self.record_format = Versioned(1)
        """format of stored records that all members write"""
        self.capacity = CapacityRecords()
        self.dependencies = DependencyGraph()
        self.queued_jobs: set[str] = set()
        """open jobs with tasks that wait for a step, and for no other job"""
        self.marks: dict[str, int] = {}
        self.changed_jobs: set[str] = set()
        self.changed_machines: set[str] = set()
        """machines whose recorded attempts have changed"""
        self.changed_teams: set[str] = set()
        """teams whose jobs or records have changed"""
        self.view_changed = False
        self.members_changed = False
        self.settings_changed = False
        self._owners: dict[str, str] = {}

    # --- reading ----------------------------------------------------------
    def has_reached_view(self) -> bool:
        """Does the replica include all that was committed before the present view?

        Guards against a new owner that takes a running task for a stray because
        the step that launched it has not reached this controller yet.
        """
        return self.view is not None and self.revision >= self.view.version

    def owner_of(self, name: str) -> str:
        """Owner of a worker (or, without hand-off, of a job)."""
        assert self.view is not None
        owner = self._owners.get(name)
        if owner is None:
            owner = self._owners[name] = self.view.owner_of(name)
        return owner

    def job_owner(self, job: Job) -> str:
        assert self.view is not None
        if (
            job.handoff_target
            and self.view.members.get(job.handoff_target[0]) == job.handoff_target[1]
        ):
            return job.handoff_target[0]
        return self.owner_of(job.id)

    def owns_job(self, node: str, job: Job) -> bool:
        """Does the controller own the job, by the newest view known?"""
        return self.view is not None and self.job_owner(job) == node

    def team(self, name: str) -> Team:
        return self.teams.setdefault(name, Team())

    # --- writing ----------------------------------------------------------
    def _version(self, key: str) -> int:
        known = self.marks.get(key, 0)
        if key.startswith(JOBS):
            job = self.jobs.get(key[len(JOBS) :])
            return max(known, job.version if job else 0)
        if key.startswith(TEAMS):
            team = self.teams.get(key[len(TEAMS) :])
            return max(known, team.version if team else 0)
        if key.startswith(MEMBERS):
            member = self.members.get(key[len(MEMBERS) :])
            return max(known, member.version if member else 0)
        if key == VIEW:
            return max(known, self.view.version if self.view else 0)
        if key == CATALOGUE:
            return max(known, self.catalogue.version)
        if key == SETTINGS:
            return max(known, self.stored_settings.version)
        if key == FORMAT:
            return max(known, self.record_format.version)
        if key.startswith(CAPACITY):
            return max(known, self.capacity.version(key))
        return known

    def put(self, key: str, value: Any, version: int) -> None:
        """A row as read, watched or committed; older news is dropped."""
        if version <= self._version(key):
            return
        try:
            self._put(key, value, version)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            log.error("malformed record %s: %s", key, error)

    def _put(self, key: str, value: Any, version: int) -> None:
        if key.startswith(JOBS):
            self._set_job(decode_job(value, version))
        elif key.startswith(FINAL):
            self.add_final(key[len(FINAL) :], value["state"])
        elif key.startswith(TEAMS):
            # A record of another form is shared out anew: its term is no view's.
            self.teams[key[len(TEAMS) :]] = Team(
                version,
                int(value.get("term", 0)),
                {
                    node: (float(share[0]), float(share[1]))
                    for node, share in value.get("shares", {}).items()
                },
            )
        elif key.startswith(MEMBERS):
            self.members[key[len(MEMBERS) :]] = Member(
                value["incarnation"], value["lease"], version, int(value.get("format", 1))
            )
            self.members_changed = True
        elif key == VIEW:
            self.view = View(
                int(value["term"]),
                dict(value["members"]),
                value["leader"],
                dict(value.get("overrides", {})),
                dict(value.get("detached", {})),
                version,
            )
            self._owners.clear()
            self.view_changed = True
        elif key == CATALOGUE:
            self.catalogue = Versioned(list(value["types"]), version)
        elif key == SETTINGS:
            self.stored_settings = Versioned(dict(value), version)
            self.settings_changed = True
        elif key == FORMAT:
            # Never back: records of the newer format may be there.
            self.record_format = Versioned(
                max(self.record_format.value, int(value["format"])), version
            )
        elif key.startswith(CAPACITY):
            self.capacity.put(key, value, version)

    def drop(self, key: str, version: int) -> None:
        if version <= self._version(key):
            return
        self.marks[key] = version
        if key.startswith(JOBS):
            self._forget_job(key[len(JOBS) :])
        elif key.startswith(TEAMS):
            self.teams[key[len(TEAMS) :]] = Team()
        elif key.startswith(MEMBERS):
            self.members.pop(key[len(MEMBERS) :], None)
            self.members_changed = True
        elif key == SETTINGS:
            self.stored_settings = Versioned({})
            self.settings_changed = True
        elif key.startswith(CAPACITY):
            self.capacity.drop(key)

    def add_final(self, job: str, state: str) -> None:
        self.final_states[job] = state
        if len(self.final_states) > c.FINAL_CACHE:
            self.final_states.popitem(last=False)
        self.dependencies.on_job_ended(job, state)
        self._follow_needs()

    def _follow_needs(self) -> None:
        """Jobs that became ready, or are cancelled with one that they need."""
        changed, self.dependencies.changed_jobs = self.dependencies.changed_jobs, set()
        for job_id in changed:
            job = self.jobs.get(job_id)
            if job is not None:
                self._queue(job)
                self.changed_jobs.add(job_id)
                self.changed_teams.add(job.spec.team)

    def _queue(self, job: Job) -> None:
        if job.queued_task_count > 0 and job.id not in self.dependencies.waiting_jobs:
            self.queued_jobs.add(job.id)
        else:
            self.queued_jobs.discard(job.id)

    def is_cancelled(self, job_id: str) -> bool:
        """Is the open job cancelled, by its user or with one that it needs?"""
        return job_id in self.cancelled_jobs or job_id in self.dependencies.cancelled_by_dependency

    def set_job(self, job: Job) -> None:
        """A record that this controller has just committed."""
        if job.version > self._version(JOBS + job.id):
            self._set_job(job)

    def _set_job(self, job: Job) -> None:
        old = self.jobs.get(job.id)
        self.jobs[job.id] = job
        job.seal()
        self._index(old, job)
        self.jobs_by_team.setdefault(job.spec.team, set()).add(job.id)
        self.dependencies.on_job_recorded(job, self.jobs, self.final_states)
        self._queue(job)
        if job.cancelled:
            self.cancelled_jobs.add(job.id)
        self.changed_jobs.add(job.id)
        self.changed_teams.add(job.spec.team)
        self._follow_needs()

    def _index(self, old: Job | None, new: Job | None) -> None:
        """Adjust the index of machines by what differs: a step of a large array
        must not cost a pass over all its machines' rooms and orders."""
        before = _by_machine(old)
        after = _by_machine(new)
        job_id = (new or old).id  # type: ignore[union-attr]
        all_over = old is not None and new is not None and old.cancelled != new.cancelled
        for machine, attempts in after.items():
            self.attempts_by_machine.setdefault(machine, {})[job_id] = attempts
            if all_over or before.get(machine) != attempts:
                self.changed_machines.add(machine)
        for machine in before.keys() - after.keys():
            self.changed_machines.add(machine)
            jobs = self.attempts_by_machine.get(machine)
            if jobs is not None:
                jobs.pop(job_id, None)
                if not jobs:
                    del self.attempts_by_machine[machine]

    def _forget_job(self, job_id: str) -> None:
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self._index(job, None)
            self.queued_jobs.discard(job_id)
            self.cancelled_jobs.discard(job_id)
            self.dependencies.on_record_deleted(job_id)
            self.changed_teams.add(job.spec.team)
            team = self.jobs_by_team.get(job.spec.team)
            if team is not None:
                team.discard(job_id)
                if not team:
                    del self.jobs_by_team[job.spec.team]
            self.changed_jobs.add(job_id)

    def load(self, rows: list[Any], revision: int) -> None:
        """Replace everything by a full listing that began at `revision`.

        Rows that vanished while the watch was lost are dropped here: a listing
        does not name them.
        """
        listed = {row.key for row in rows}
        for job_id in [j for j in self.jobs if JOBS + j not in listed]:
            if self.jobs[job_id].version <= revision:
                self._forget_job(job_id)
        for node in [n for n in self.members if MEMBERS + n not in listed]:
            if self.members[node].version <= revision:
                del self.members[node]
                self.members_changed = True
        for name in [t for t in self.teams if TEAMS + t not in listed]:
            if self.teams[name].version <= revision:
                self.teams[name] = Team()
        for row in rows:
            self.put(row.key, row.value, row.version)
        self.revision = max(self.revision, revision)

    def advance(self, revision: int) -> None:
        """The watch has passed `revision`: marks up to it are needed no more."""
        if revision > self.revision:
            self.revision = revision
            if len(self.marks) > 200:
                self.marks = {k: v for k, v in self.marks.items() if v > revision}


def _by_machine(job: Job | None) -> dict[str, list[Attempt]]:
    result: dict[str, list[Attempt]] = {}
    for attempt in job.attempts if job is not None else ():
        result.setdefault(attempt.machine, []).append(attempt)
    return result
