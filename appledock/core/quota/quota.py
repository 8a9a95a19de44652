"""What teams may use and hold: limits, guarantees, charges and shares.

A team's limit is shared out between the controllers of a view. The jobs that a
controller owns may hold up to its share together, so a step inside the share
needs no write of the team's record, and no two controllers wait for each other.
Why the limit holds:

* Under one view only its owner changes what a job holds, and only a controller
  itself lowers its share; a job handed over takes its charge along, in the same
  transaction that moves the share.
* A record of an earlier view allows nothing. Whoever first needs it under the
  new view shares it out anew, by what all jobs hold after everything committed
  under earlier views. Nothing can have grown meanwhile: that takes this record.
* A write without an answer counts as if it were carried out, and as if it were
  not, whichever holds more, until the record's version has moved on.
* A record read ahead of the watch allows nothing either: a share that grew with
  a job handed to us would be seen before the job.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from appledock import constants as c
from appledock import wire
from appledock.core.records.job import Job
from appledock.core.store.replica import Team
from appledock.core.store_calls import Committed, StoreOutcome, UnknownOutcome
from appledock.settings import Team as TeamLimits

if TYPE_CHECKING:
    from appledock.core.controller import Controller


@dataclass(frozen=True, slots=True)
class Amounts:
    """Cores and cards."""

    cpus: float = 0.0
    gpus: float = 0.0

    def __add__(self, other: Amounts) -> Amounts:
        return Amounts(self.cpus + other.cpus, self.gpus + other.gpus)

    def __sub__(self, other: Amounts) -> Amounts:
        return Amounts(self.cpus - other.cpus, self.gpus - other.gpus)

    def fits(self, limit: Amounts) -> bool:
        return self.cpus <= limit.cpus + c.EPSILON and self.gpus <= limit.gpus + c.EPSILON

    def least(self, other: Amounts) -> Amounts:
        return Amounts(min(self.cpus, other.cpus), min(self.gpus, other.gpus))

    def most(self, other: Amounts) -> Amounts:
        return Amounts(max(self.cpus, other.cpus), max(self.gpus, other.gpus))

    def times(self, factor: float) -> Amounts:
        return Amounts(self.cpus * factor, self.gpus * factor)

    def some(self) -> bool:
        return self.cpus > c.EPSILON or self.gpus > c.EPSILON

    def count(self, spec: wire.JobSpec) -> int:
        """How many tasks of this size fit."""
        tasks = spec.tasks
        for free, size in ((self.cpus, spec.cpus), (self.gpus, spec.gpus)):
            if size > 0:
                # The least first: a size next to nothing makes the quotient infinite.
                tasks = int(min(tasks, (free + c.EPSILON) / size))
        return max(0, tasks)


NOTHING = Amounts()
Shares = dict[str, Amounts]
"""node -> its part of a team's limit"""


def limit(team: TeamLimits) -> Amounts:
    return Amounts(team.cpus_max, team.gpus_max)


def guarantee(team: TeamLimits) -> Amounts:
    return Amounts(team.cpus, team.gpus)


def need(spec: wire.JobSpec, tasks: int) -> Amounts:
    return Amounts(spec.cpus * tasks, spec.gpus * tasks)


def charge(job: Job) -> Amounts:
    """What the job's unsettled attempts hold."""
    return need(job.spec, job.open_task_count)


def total(shares: Shares) -> Amounts:
    result = NOTHING
    for share in shares.values():
        result = result + share
    return result


def walk(
    limits: Amounts, shares: Shares, held: Shares, me: str, queue: list[tuple[str, str, Amounts]]
) -> tuple[Shares, Amounts]:
    """Decide a team's limit as one class: who of its queue may grow now.

    `queue` holds job, owner and need, the most urgent first. Returns what each
    job of `me` may take, and how much of our share more urgent jobs of others
    lack: their owners cannot take it by themselves.
    """
    pool = (limits - total(shares)).most(NOTHING)
    unused = {
        node: (share - held.get(node, NOTHING)).most(NOTHING) for node, share in shares.items()
    }
    allowed: Shares = {}
    release = NOTHING
    for job, owner, wish in queue:
        own = wish.least(unused.get(owner, NOTHING))
        unused[owner] = unused.get(owner, NOTHING) - own
        drawn = (wish - own).least(pool)
        pool = pool - drawn
        if owner == me:
            allowed[job] = own + drawn
        else:
            lack = (wish - own - drawn).least(unused.get(me, NOTHING))
            unused[me] = unused.get(me, NOTHING) - lack
            release = release + lack
    return allowed, release


class Quota:
    """This controller's dealings with the teams' records."""

    def __init__(self, engine: Controller) -> None:
        self.e = engine
        self.pending: dict[str, tuple[int, Amounts]] = {}
        """job -> version that unanswered writes build on, and the most they make it hold"""
        self.lowered: dict[str, tuple[int, Amounts]] = {}
        """team -> version that an unanswered write builds on, and our share after it"""
        self.sure: dict[str, int] = {}
        """team -> version that we wrote ourselves, on a record known to be whole"""
        self.writing: set[str] = set()
        """teams with a write under way"""
        self.held_cache: dict[str, Shares] = {}
        self.totals: dict[str, Amounts] = {}
        """team -> what its jobs hold together"""
        self.allowed_cache: dict[str, tuple[Shares, Amounts]] = {}

    # --- what is held -----------------------------------------------------
    def forget_caches(self) -> None:
        """Owners, or anything of all teams, may have changed."""
        self.held_cache.clear()
        self.totals.clear()
        self.allowed_cache.clear()

    def forget(self, team: str) -> None:
        """The team's jobs, its record or a write under way for it have changed."""
        self.held_cache.pop(team, None)
        self.totals.pop(team, None)
        self.allowed_cache.pop(team, None)

    def on_view(self) -> None:
        """Unanswered writes were conditional on the former view: they are void."""
        self.pending.clear()
        self.lowered.clear()
        self.forget_caches()

    def held(self, team: str) -> Shares:
        """What the team's jobs hold, by the controller that owns them."""
        shares = self.held_cache.get(team)
        if shares is None:
            shares = {}
            replica = self.e.replica
            for job_id in sorted(replica.jobs_by_team.get(team, ())):
                job = replica.jobs[job_id]
                amount = self.holds(job)
                if amount.some():
                    owner = replica.job_owner(job)
                    shares[owner] = shares.get(owner, NOTHING) + amount
            self.held_cache[team] = shares
        return shares

    def holds(self, job: Job) -> Amounts:
        amount = charge(job)
        entry = self.pending.get(job.id)
        if entry is not None:
            if entry[0] == job.version:
                return amount.most(entry[1])
            del self.pending[job.id]
        return amount

    def held_in_all(self, team: str) -> Amounts:
        amount = self.totals.get(team)
        if amount is None:
            amount = self.totals[team] = total(self.held(team))
        return amount

    def inside(self, job: Job) -> bool:
        """Is the job, with all that the team's others hold, within the guarantee?"""
        limits = self.e.teams.get(job.spec.team)
        if limits is None:
            return False
        more = need(job.spec, job.queued_task_count)
        return (self.held_in_all(job.spec.team) + more).fits(guarantee(limits))

    def exhausted(self, team: str) -> bool:
        """Does the team's limit, and not room, keep a queued task of any controller's?"""
        limits = self.e.teams.get(team)
        if limits is None:
            return False
        replica = self.e.replica
        held = self.held_in_all(team)
        return any(
            not (held + need(replica.jobs[job_id].spec, 1)).fits(limit(limits))
            for job_id in replica.jobs_by_team.get(team, set()) & replica.queued_jobs
        )

    # --- shares -----------------------------------------------------------
    def known(self, name: str) -> bool:
        """Has the watch passed the record, so that no job it speaks of is missing?"""
        version = self.e.replica.team(name).version
        return version <= self.e.replica.revision or self.sure.get(name) == version

    def shares(self, name: str) -> Shares:
        """The limit as it is shared out now; under a new view, as it would be."""
        team, view = self.e.replica.team(name), self.e.replica.view
        assert view is not None
        if team.term != view.term:
            return dict(self.held(name))
        result = {node: Amounts(*share) for node, share in team.shares.items()}
        entry = self.lowered.get(name)
        if entry is not None:
            if entry[0] == team.version:
                me = self.e.settings.name
                result[me] = result.get(me, NOTHING).least(entry[1])
            else:
                del self.lowered[name]
        return result

    def _decide(self, name: str) -> tuple[Shares, Amounts]:
        entry = self.allowed_cache.get(name)
        if entry is None:
            replica = self.e.replica
            limits = self.e.teams.get(name)
            if limits is None or not self.known(name):
                return {}, NOTHING
            jobs = [
                replica.jobs[j] for j in replica.jobs_by_team.get(name, set()) & replica.queued_jobs
            ]
            # A job that fails everywhere keeps nothing from the others.
            jobs.sort(
                key=lambda job: (
                    job.consecutive_failures >= c.FAILING,
                    self.e.queue_order.sort_key(job),
                    job.id,
                )
            )
            queue = [
                (job.id, replica.job_owner(job), need(job.spec, job.queued_task_count))
                for job in jobs
            ]
            entry = walk(
                limit(limits), self.shares(name), self.held(name), self.e.settings.name, queue
            )
            self.allowed_cache[name] = entry
        return entry

    def allowed(self, job: Job, new: Job) -> int:
        """How many more tasks the job may start now; `new` has its settled ones off."""
        amount = self._decide(job.spec.team)[0].get(job.id, NOTHING)
        return (amount + (charge(job) - charge(new)).most(NOTHING)).count(job.spec)

    def surplus(self, name: str) -> Amounts:
        """What more urgent jobs of other controllers lack and our share has."""
        return self._decide(name)[1]

    # --- writing ----------------------------------------------------------
    def plan(self, job: Job, new: Job, heir: str) -> tuple[bool, Team | None]:
        """Must the team's record change with this step, and to what?

        `heir` owns the job afterwards. (False, None): the step cannot be made
        now. (True, None): it needs no change.
        """
        name, me = job.spec.team, self.e.settings.name
        after = charge(new)
        passes = heir != me and after.some()
        # Compared with what is recorded, not with what an unanswered write may
        # have made of it: that write may have brought its own share along.
        if after.fits(charge(job)) and not passes:
            return True, None
        if not self.known(name):
            return False, None
        view = self.e.replica.view
        assert view is not None
        team, shares = self.e.replica.team(name), self.shares(name)
        mine = (self.held(name).get(me, NOTHING) - self.holds(job)).most(NOTHING)
        if team.term == view.term and not passes and (mine + after).fits(shares.get(me, NOTHING)):
            return True, None
        if name in self.writing:
            return False, None
        most = limit(self.e.teams[name])
        if passes:
            share = shares.get(me, NOTHING)
            shares[me] = mine.most(share - after if after.fits(share) else NOTHING)
            shares[heir] = shares.get(heir, NOTHING) + after
        else:
            shares[me] = shares.get(me, NOTHING).most(mine + after)
            spare = (most - total(shares)).most(NOTHING)
            if team.term == view.term:
                # For all that wait here at once: raised for one step after the other,
                # shares took a write each, and the controllers' writes of the record met.
                waiting = self.held(name).get(me, NOTHING) + total(self._decide(name)[0])
                more = (waiting - shares[me]).most(NOTHING)
                shares[me] = shares[me] + more.least(spare.times(c.SHARE_SLACK))
                spare = (most - total(shares)).most(NOTHING)
            # Some more than needed, so that the next steps need no write; under a new
            # view some for everybody, or each would write each team's record first.
            part = spare.times(c.SHARE_SLACK / max(1, len(view.members)))
            for node in (me,) if team.term == view.term else sorted(view.members):
                shares[node] = shares.get(node, NOTHING) + part
        if not total(shares).fits(most):
            return False, None
        return True, Team(team.version, view.term, _plain(shares, view.members))

    def lower(self, name: str, amount: Amounts) -> Team:
        """The record with less for us."""
        view = self.e.replica.view
        assert view is not None
        shares, me = self.shares(name), self.e.settings.name
        shares[me] = (shares.get(me, NOTHING) - amount).most(self.held(name).get(me, NOTHING))
        return Team(self.e.replica.team(name).version, view.term, _plain(shares, view.members))

    def begin(
        self, job: Job | None, new: Job | None, name: str, record: Team | None
    ) -> Callable[[StoreOutcome], None]:
        """Note a write under way; the result must be called with its outcome."""
        version = job.version if job is not None else 0
        earlier = self.pending.get(job.id) if job is not None else None
        if earlier is not None and earlier[0] != version:
            earlier = None
        if job is not None and new is not None:
            self.pending[job.id] = (version, self.holds(job).most(charge(new)))
        lowered = None
        if record is not None:
            self.writing.add(name)
            me = self.e.settings.name
            was = self.shares(name).get(me, NOTHING)
            lowered = (record.version, was.least(Amounts(*record.shares.get(me, (0.0, 0.0)))))
            earlier_low = self.lowered.get(name)
            self.lowered[name] = lowered
        self.forget(name)
        term = self.e.membership.term

        def ended(outcome: StoreOutcome) -> None:
            self.forget(name)
            if record is not None:
                self.writing.discard(name)
            if isinstance(outcome, UnknownOutcome) or self.e.membership.term != term:
                return  # may be applied yet: stays counted; or void by a new view
            if job is not None and self.pending.get(job.id, (0, None))[0] == version:
                if earlier is not None and not isinstance(outcome, Committed):
                    self.pending[job.id] = earlier
                else:
                    del self.pending[job.id]
            if record is not None and self.lowered.get(name) == lowered:
                if earlier_low is not None and not isinstance(outcome, Committed):
                    self.lowered[name] = earlier_low
                else:
                    del self.lowered[name]

        return ended


def _plain(shares: Shares, members: dict[str, str]) -> dict[str, tuple[float, float]]:
    return {
        node: (share.cpus, share.gpus)
        for node, share in shares.items()
        if node in members and share.some()
    }
