"""UserRequests of users: submit, poll and cancel, answered by any controller.

Answers that are not final need proof that they are current, since another
controller may already have told the user something newer. The proof is one
compare-only transaction on the cached versions of all jobs asked for.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from appledock import constants as c
from appledock import wire
from appledock.core.events import Cancel, Poll, Reply, Submit
from appledock.core.machines.machine_capacity import can_run_on_type
from appledock.core.quota.resources import demand_of, limit_of
from appledock.core.records.job import Job
from appledock.core.store.keys import FINAL, JOBS
from appledock.core.store.rate_limiter import Priority
from appledock.core.store_calls import (
    Committed,
    Conflict,
    Delete,
    Put,
    Rejected,
    StoreOutcome,
    Transaction,
)

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Asked:
    """A user's request that waits for the state service."""

    request_id: int
    job: str
    deadline: float
    spec: wire.JobSpec | None = None
    """the submission that this poll stands for, if any"""
    refusal: str | None = None
    """why the submission can never run, if nobody accepted it before"""
    status: int = 422
    """what a refused submission is answered"""


class UserRequests:
    """Everything asked by users."""

    def __init__(self, engine: Controller) -> None:
        self.e = engine
        self.polls: list[Asked] = []
        self.open: dict[int, float] = {}
        """requests being answered -> deadline"""
        self.next_proof = 0.0
        self.proving = False
        self.lagging: list[tuple[Asked, int]] = []
        """polls for jobs that need others -> revision up to which the picture must reach"""
        self.reading: set[str] = set()
        """needed jobs whose outcome is being read"""
        self.read_at: dict[str, float] = {}
        """needed job whose outcome could not be read -> when it is tried again"""

    # --- answers ----------------------------------------------------------
    def answer(self, request_id: int, status: int, body: Any) -> None:
        """The one final answer of a request."""
        if self.open.pop(request_id, None) is None:
            return
        headers = {"Retry-After": str(c.RETRY_AFTER_S)} if status in (429, 503) else None
        self.e.emit(Reply(request_id, status, body, headers))

    def refuse(self, request_id: int, why: str, status: int = 503) -> None:
        self.answer(request_id, status, {"error": why})

    def state(self, job_id: str) -> wire.JobState | None:
        """The job as this controller knows it."""
        final = self.e.replica.final_states.get(job_id)
        if final is not None:
            return wire.JobState(job_id, final)
        job = self.e.replica.jobs.get(job_id)
        if job is None:
            return None
        if self.e.replica.is_cancelled(job_id):
            return wire.JobState(job_id, wire.CANCELLED, len(job.completed_tasks), 0)
        running = self.e.running(job)
        return wire.JobState(
            job_id, wire.RUNNING if running else wire.PENDING, len(job.completed_tasks), running
        )

    def _admit(self, request_id: int) -> bool:
        """Bounded: beyond the bound users are refused at once."""
        self.open[request_id] = self.e.now + c.REQUEST_DEADLINE_S
        if not self.e.reader.loaded:
            self.refuse(request_id, "starting")
            return False
        if len(self.open) > c.PENDING_USERS_MAX:
            self.refuse(request_id, "too many requests", 429)
            return False
        return True

    def tick(self) -> None:
        now = self.e.now
        for request_id in [key for key, deadline in self.open.items() if deadline <= now]:
            self.refuse(request_id, "state service does not answer")
        if self.polls and not self.proving and now >= self.next_proof:
            self._prove()
        self._tell_lagging()
        self._read_outcomes()

    def _tell_lagging(self) -> None:
        lagging, self.lagging = self.lagging, []
        for asked, revision in lagging:
            if asked.request_id in self.open:
                self._tell_current(asked, revision)

    def _tell_current(self, asked: Asked, revision: int) -> None:
        """Answer from a picture that the watch has brought up to `revision`.

        That a job's own record has not changed does not show that none of those that it
        needs was cancelled: a cancellation told to a user by another controller would be
        taken back here. The proof's revision is later than any such cancellation.
        """
        replica = self.e.replica
        if replica.is_cancelled(asked.job) or asked.job not in replica.dependencies.waiting_jobs:
            self._tell(asked, False)
        elif replica.revision < revision or replica.dependencies.has_unknown_outcome(asked.job):
            self.lagging.append((asked, revision))
        else:
            self._tell(asked, False)

    def _read_outcomes(self) -> None:
        """How needed jobs ended that are not in the picture: after a start, or if they
        ended long ago. A few at a time."""
        unknown = self.e.replica.dependencies.unknown_outcomes
        if not unknown or not self.e.reader.loaded:
            return
        for need in sorted(unknown):
            if len(self.reading) >= c.OUTCOMES_AT_ONCE:
                return
            if need in self.reading or self.e.now < self.read_at.get(need, 0.0):
                continue
            self.reading.add(need)

            def ended(need: str = need) -> None:
                self.reading.discard(need)
                if need in self.e.replica.dependencies.unknown_outcomes:
                    self.read_at[need] = self.e.now + c.RETRY_MAX_S
                else:
                    self.read_at.pop(need, None)

            self._read_job(need, ended, ended)

    # --- submit -----------------------------------------------------------
    def submit(self, cmd: Submit) -> None:
        if not self._admit(cmd.request_id):
            return
        spec = cmd.spec
        asked = Asked(cmd.request_id, spec.id, self.open[cmd.request_id], spec)
        if spec.id in self.e.replica.final_states or spec.id in self.e.replica.jobs:
            self._poll(asked)
            return
        refusal = self.verdict(spec)
        if refusal == "":
            self.refuse(cmd.request_id, "machine types are not known yet")
        elif refusal:
            # It may have been accepted when the types were others.
            asked.refusal = refusal
            if spec.needs and self.verdict(msgspec.structs.replace(spec, needs=None)) != refusal:
                asked.refusal, asked.status = "needs: more than the record can hold", 400
            self._poll(asked)
        else:
            self._with_needs(asked, list(spec.needs or ()))

    def _with_needs(self, asked: Asked, unread: list[str]) -> None:
        """Create the job once everything that it needs is proven to have been accepted.
        That never changes, so the creation itself need not be conditional on it."""
        spec = asked.spec
        assert spec is not None
        if spec.needs and self.e.replica.record_format.value < 2:
            self.refuse(asked.request_id, "not every controller knows jobs that need others yet")
            return
        while unread and self._accepted(unread[0]):
            unread.pop(0)
        if not unread:
            self._create(asked)
            return

        def read() -> None:
            if self._accepted(unread[0]):
                self._with_needs(asked, unread[1:])
            else:
                asked.refusal = f"{unread[0]} was never accepted"
                self._poll(asked)

        self._read_job(
            unread[0], read, lambda: self.refuse(asked.request_id, "state service does not answer")
        )

    def _read_job(self, job_id: str, then: Callable[[], None], failed: Callable[[], None]) -> None:
        """Read both records of a job, then go on; `failed` if one cannot be read.

        The open record first: read the other way round, a job that ends in between shows
        in neither. A job that was open when its final record was asked for, and is in
        neither table when the answer comes, ended meanwhile: another request's read, later
        than ours, dropped the open record. It is read again.
        """

        def read_final() -> None:
            was_open = job_id in self.e.replica.jobs

            def done() -> None:
                if was_open and not self._accepted(job_id):
                    self._read_job(job_id, then, failed)
                else:
                    then()

            self.e.reader.read_keys([FINAL + job_id], done, failed)

        self.e.reader.read_keys([JOBS + job_id], read_final, failed)

    def _accepted(self, job_id: str) -> bool:
        return job_id in self.e.replica.jobs or job_id in self.e.replica.final_states

    def verdict(self, spec: wire.JobSpec) -> str | None:
        """Why the job can never run; empty if that cannot be told yet."""
        team = self.e.teams.get(spec.team)
        if team is None:
            return f"unknown team {spec.team}"
        tasks = 1 if spec.kind == wire.ARRAY else spec.tasks
        if not demand_of(spec, tasks).fits_in(limit_of(team)):
            return "more than the team's limit"
        record = wire.encode(self.e.codec.encode(Job(spec, self.e.wall)))
        if len(record) > c.DESCRIPTION_SHARE * self.e.client.max_value_bytes:
            # Accepted, it would wait for ever: its record had no room for an attempt.
            return "description too long"
        if not self.e.machine_types:
            return ""
        if not any(can_run_on_type(spec, kind) for kind in self.e.machine_types.values()):
            return "fits no allowed machine type"
        return None

    def _first_owner(self, job: Job) -> tuple[str, str] | None:
        """Who owns a new job, if not who is derived: recorded with the job, it costs no write."""
        member, view = self.e.membership, self.e.replica.view
        if not member.can_act() or view is None:
            return None
        preferred = self.e.partitions.preferred(job)
        if preferred is not None:
            return (preferred, view.members[preferred])
        if not self.e.heartbeats.is_served(view.owner_of(job.id)):
            # Its owner would not see it before its lease is over: it is ours.
            return (member.node, member.incarnation)
        return None

    def _create(self, asked: Asked) -> None:
        spec = asked.spec
        assert spec is not None
        job = Job(spec, self.e.wall)
        job.handoff_target = self._first_owner(job)
        plan = Transaction(
            {JOBS + spec.id: 0, FINAL + spec.id: 0}, [Put(JOBS + spec.id, self.e.codec.encode(job))]
        )

        def on_outcome(outcome: StoreOutcome) -> None:
            if isinstance(outcome, Committed):
                job.version = outcome.revision
                self.e.replica.set_job(job)
                self.e.reconcile_queue.placement_due = True
                log.info(
                    "%s accepted: %s of %s, %d tasks, %s",
                    spec.id,
                    spec.job_class,
                    spec.team,
                    spec.tasks,
                    spec.image,
                )
                if spec.id not in self.e.replica.jobs:
                    # Over before this answer came: cancelled with a job that it needs.
                    self._read(asked)
                    return
                self.answer(
                    asked.request_id,
                    201,
                    wire.JobState(
                        spec.id,
                        (wire.CANCELLED if self.e.replica.is_cancelled(spec.id) else wire.PENDING),
                    ),
                )
            elif isinstance(outcome, Conflict):
                self._read(asked)
            elif isinstance(outcome, Rejected):
                self.answer(asked.request_id, 400, {"error": "refused by the state service"})
            else:
                self.refuse(asked.request_id, "state service does not answer")

        self.e.client.submit(plan, Priority.USER, on_outcome, c.REQUEST_DEADLINE_S)

    # --- poll -------------------------------------------------------------
    def poll(self, cmd: Poll) -> None:
        if self._admit(cmd.request_id):
            self._poll(Asked(cmd.request_id, cmd.job, self.open[cmd.request_id]))

    def _poll(self, asked: Asked) -> None:
        """What is final is told at once, in an outage too: a committed cancellation
        is never taken back, nor does its job end in another way."""
        if asked.job in self.e.replica.final_states or self.e.replica.is_cancelled(asked.job):
            self._tell(asked, False)
        else:
            self.polls.append(asked)

    def _tell(self, asked: Asked, absent: bool) -> None:
        """Answer from the picture just proven. `absent`: if the job is not in it,
        that was proven too. Without that it ended meanwhile and its final state
        is not here yet: `no such job` would be wrong."""
        state = self.state(asked.job)
        if state is not None:
            self.answer(asked.request_id, 200, state)
        elif not absent:
            self._read(asked)
        elif asked.refusal is not None:
            self.answer(asked.request_id, asked.status, {"error": asked.refusal})
        elif asked.spec is not None:
            self._with_needs(asked, list(asked.spec.needs or ()))
        else:
            self.answer(asked.request_id, 404, {"error": "no such job"})

    def _prove(self) -> None:
        """One compare-only transaction for all the polls that wait."""
        self.next_proof = self.e.now + c.PROOF_EVERY_S
        conditions: dict[str, int] = {}
        batch: list[Asked] = []
        rest: list[Asked] = []
        most = min(c.PROOF_MAX, 4 * self.e.settings.cluster.state.txn_ops)
        for asked in self.polls:
            if asked.request_id not in self.open:
                continue
            if asked.job in self.e.replica.final_states:
                self._tell(asked, False)
                continue
            if len(conditions) + 2 > most:
                rest.append(asked)
                continue
            job = self.e.replica.jobs.get(asked.job)
            conditions[JOBS + asked.job] = job.version if job else 0
            if job is None:
                conditions[FINAL + asked.job] = 0
            batch.append(asked)
        self.polls = rest
        if not batch:
            return
        self.proving = True

        def on_outcome(outcome: StoreOutcome) -> None:
            self.proving = False
            match outcome:
                case Committed():
                    for asked in batch:
                        self._tell_proven(asked, FINAL + asked.job in conditions, outcome.revision)
                case Conflict():
                    failed = set(outcome.failed)
                    for asked in batch:
                        if JOBS + asked.job in failed or FINAL + asked.job in failed:
                            self._read(asked)
                        else:
                            self._tell_proven(
                                asked, FINAL + asked.job in conditions, outcome.revision
                            )
                case _:
                    for asked in batch:
                        self.refuse(asked.request_id, "state service does not answer")

        self.e.client.submit(
            Transaction(conditions), Priority.USER, on_outcome, c.REQUEST_DEADLINE_S
        )

    def _tell_proven(self, asked: Asked, absent: bool, revision: int) -> None:
        if asked.job in self.e.replica.dependencies.waiting_jobs:
            self._tell_current(asked, revision)
        else:
            self._tell(asked, absent)

    def _read(self, asked: Asked) -> None:
        """The cached version was old: read both keys, then answer."""

        def read() -> None:
            if asked.job in self.e.replica.dependencies.waiting_jobs:
                self._poll(asked)  # the proof tells how far the picture must reach
            else:
                self._tell(asked, True)

        self._read_job(
            asked.job, read, lambda: self.refuse(asked.request_id, "state service does not answer")
        )

    # --- cancel -----------------------------------------------------------
    def cancel(self, cmd: Cancel) -> None:
        if self._admit(cmd.request_id):
            asked = Asked(cmd.request_id, cmd.job, self.open[cmd.request_id])
            if cmd.job in self.e.replica.final_states or cmd.job in self.e.replica.jobs:
                self._cancel(asked)
            else:
                self._read_job(
                    cmd.job,
                    lambda: self._cancel(asked),
                    lambda: self.refuse(cmd.request_id, "state service does not answer"),
                )

    def _cancel(self, asked: Asked) -> None:
        """Committed first, then answered, then carried out: the record's version
        makes every later start fail."""
        if asked.request_id not in self.open:
            return
        final = self.e.replica.final_states.get(asked.job)
        job = self.e.replica.jobs.get(asked.job)
        if final is not None:
            self.answer(asked.request_id, 200, wire.JobState(asked.job, final))
            return
        if job is None:
            self.answer(asked.request_id, 404, {"error": "no such job"})
            return
        new = job.copy()
        new.cancelled, new.cancelled_at = True, self.e.wall
        over = not job.attempts
        plan = Transaction({JOBS + job.id: job.version})
        if over:
            plan.writes = [Delete(JOBS + job.id), Put(FINAL + job.id, {"state": wire.CANCELLED})]
        else:
            plan.writes = [
                Put(JOBS + job.id, self.e.codec.encode(self.e.codec.drop_needless_types(new)))
            ]

        def on_outcome(outcome: StoreOutcome) -> None:
            if isinstance(outcome, Committed):
                revision = outcome.revision
                if over:
                    self.e.replica.put(FINAL + job.id, {"state": wire.CANCELLED}, revision)
                    self.e.replica.drop(JOBS + job.id, revision)
                else:
                    new.version = revision
                    self.e.replica.set_job(new)
                self.e.cancellation.broadcast(None if over else new, job.id, revision)
                self.answer(asked.request_id, 200, wire.JobState(job.id, wire.CANCELLED))
            elif isinstance(outcome, Conflict):
                self._read_job(
                    job.id,
                    lambda: self._cancel(asked),
                    lambda: self.refuse(asked.request_id, "state service does not answer"),
                )
            else:
                self.refuse(asked.request_id, "state service does not answer")

        if self.e.replica.is_cancelled(job.id):
            # Cancelled already, by us or a request before, and for ever.
            self._tell(asked, False)
            return
        self.e.client.submit(plan, Priority.USER, on_outcome, c.REQUEST_DEADLINE_S)
