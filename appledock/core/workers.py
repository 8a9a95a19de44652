"""Workers: last reports, leases, commands, and proof that an attempt is settled."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from appledock import constants as c
from appledock import wire
from appledock.core.events import PeerSend, Reply, WorkerCall, WorkerReply
from appledock.core.jobs import Attempt, Job, split_task

if TYPE_CHECKING:
    from appledock.core.engine import Engine
    from appledock.core.replica import View

log = logging.getLogger(__name__)

Key = tuple[str, int]
"""task name and attempt number"""


@dataclass(slots=True)
class Worker:
    """What is known of one machine through its worker."""

    id: str
    report: wire.Report | None = None
    heard_at: float = -1e9
    """when the last report reached us or a peer passed it on"""
    well_at: float = -1e9
    """when a report last showed that our answers reach the worker"""
    seen: tuple[int, int] = (0, 0)
    """session and number of the newest report that anybody has seen"""
    first_term: int = 0
    """term when this controller first heard of the machine"""
    bound: float = 0.0
    """no controller has answered a report of this worker after this moment,
    or can do so before we know of it"""
    lapsed: int = 0
    """this session and all before it are over"""
    tasks: dict[Key, wire.TaskReport] = field(default_factory=dict)
    since: dict[Key, float] = field(default_factory=dict)
    """when each task was first seen running here"""
    images: dict[str, float] = field(default_factory=dict)
    """image -> when it was last seen fetched here"""
    launched: dict[Key, float] = field(default_factory=dict)
    """launches sent under the present term -> when last"""
    uncertain: dict[Key, int] = field(default_factory=dict)
    """launches sent straight to the worker without an answer -> term. Until the
    worker has seen a higher term they may still be executed, so the attempt
    must stay on the worker's books: it is not forgotten."""
    direct: dict[Key, int] = field(default_factory=dict)
    """launches sent straight to the worker and answered -> term. A repeat of such a
    request is executed like the first one until the worker has seen a higher term."""
    halted: dict[Key, float] = field(default_factory=dict)
    calling: int = 0
    """direct calls in flight"""
    show_at: float = 0.0
    mute_at: float = -1e9
    """when a direct question last stayed without an answer"""
    strangers: tuple[float, int] = (0.0, 0)
    """since when, and how often, it came here although another owns it"""
    reached_at: float = -1e9
    """when it last reported to this controller itself, or answered its question"""
    passed_on: float = -1e9
    cordoned: str = ""
    """reason, if no step may be placed here"""
    cordoned_at: float = -1e9
    """when that was last said"""
    failed_jobs: set[str] = field(default_factory=set)
    idle_since: float = 0.0

    @property
    def session(self) -> int:
        return self.report.session if self.report else 0

    @property
    def token(self) -> int:
        return self.report.token if self.report else 0

    @property
    def proven(self) -> bool:
        """Has it answered to a term given out since we first heard of it?

        Guards against copies of old reports: they make a controller without
        memory take a dead machine for a live one, but show an old token.
        """
        return self.report is not None and self.report.token >= self.first_term


class Workers:
    """The table of workers and all dealings with them."""

    def __init__(self, engine: Engine) -> None:
        self.e = engine
        self.table: dict[str, Worker] = {}
        self.gone: dict[str, float] = {}
        """machines whose deletion was confirmed, or that the cloud calls failed"""
        self.orders_due: set[str] = set()
        self.unchanged: set[str] = set()
        """workers whose reports came and showed nothing new: told to the peers soon"""
        self.next_alive = 0.0
        self.start_bound = 0.0
        self.next_remind = 0.0
        self.next_look = 0.0
        self.vain: dict[str, dict[str, float]] = {}
        """owner -> workers that came here after waiting for it in vain -> when"""
        self.next_probe = 0.0
        self.probes = 0
        """rounds of questions in a row that workers answered us while detached"""

    def get(self, name: str) -> Worker:
        worker = self.table.get(name)
        if worker is None:
            # Another controller may have answered it under a view it still
            # believes in; that ends within one lease from now.
            worker = self.table[name] = Worker(
                name, bound=max(self.start_bound, self.e.now + self.e.grant_s)
            )
        return worker

    def owned(self, name: str) -> bool:
        return self.e.replica.owner_of(name) == self.e.settings.name

    # --- reports ----------------------------------------------------------
    def on_report(self, ask: int, report: wire.Report) -> None:
        member = self.e.membership
        if not member.acting():
            # What we may not answer still tells which tasks are over, and which of
            # cancelled jobs are not.
            if report.worker in self.table and self.table[report.worker].report is not None:
                self.learn(report)
            self.e.cancels.seen(report)
            self.e.emit(Reply(ask, 503, {"error": "not entitled"}))
            return
        if report.worker in self.gone:
            self.e.emit(Reply(ask, 503, {"error": "machine is gone"}))
            return
        owner = self.e.replica.owner_of(report.worker)
        worker = self.get(report.worker)
        if owner != self.e.settings.name:
            vain = c.VAIN_S <= self.e.now - worker.heard_at < c.VAIN_LONG_S
            if self.learn(report):
                self.pass_on(worker)
                self._count_stranger(worker, owner, vain)
            pulse = self.e.pulse
            to: str | None = owner
            if not pulse.hears_workers(owner) and (vain or pulse.vain_at(owner)):
                # Sent back, it would wait in vain again, perhaps until its lease ends.
                # Named no node, it comes to the next one a second later, and from there
                # back to us: until then a new view should have moved it.
                to = None if vain else pulse.vain_at(owner)
            self.e.emit(Reply(ask, 421, wire.Redirect(to)))
            return
        worker.strangers = (0.0, 0)
        if report.token > member.term:
            # A newer view exists; answering would be dropped anyway.
            member.confirm()
            self.e.emit(Reply(ask, 503, {"error": "newer view"}))
            return
        if report.session <= worker.lapsed or not self.learn(report):
            self.e.emit(Reply(ask, 503, {"error": "outdated report"}))
            return
        self.pass_on(worker)
        commands = self.commands(worker, direct=False)
        worker.bound = max(worker.bound, self.e.now)
        self.e.emit(Reply(ask, 200, wire.ReportAnswer(member.term, commands)))

    def _count_stranger(self, worker: Worker, owner: str, vain: bool) -> None:
        """A worker that cannot reach its owner must not be sent round until its
        lease ends: after some tries it is given to us by a new view."""
        now = self.e.now
        since, tries = worker.strangers
        if now - since > 2 * c.OVERRIDE_AFTER_S or worker.heard_at > since + 2.0 > now - 2.0:
            since, tries = now, 0
        if vain:
            # It has waited for an answer in vain, and not from us.
            self.vain.setdefault(owner, {})[worker.id] = now
            tries += 1
        worker.strangers = (since, tries + 1)
        if tries + 1 >= c.OVERRIDE_MIN_TRIES and now - since >= c.OVERRIDE_AFTER_S:
            log.warning("%s cannot reach its owner %s; taking it over", worker.id, owner)
            self.e.membership.want_override[worker.id] = self.e.settings.name

    def learn(self, report: wire.Report, well_s: float | None = None) -> bool:
        """Take the report in if it is newer than the one known. `well_s`: a peer
        passed it on, and knows since when the worker was last well."""
        if report.worker in self.gone:
            # Guards against copies of old reports: each brought a machine back that
            # nothing removes from the table, and the leader, most of whose machines
            # seemed silent then, never again deleted one that really was.
            return False
        worker = self.get(report.worker)
        old = worker.report
        number = (report.session, report.seq)
        # A number may be known without its report: a link that lost the report brought
        # word that later ones showed nothing new. Then the report itself is news.
        if number < worker.seen or (old is not None and number <= (old.session, old.seq)):
            return False
        worker.seen = number
        now = self.e.now
        if old is None:
            worker.first_term = self.e.membership.term
        if well_s is not None:
            worker.well_at = max(worker.well_at, now - well_s)
        else:
            worker.reached_at = now
        if well_s is None and (
            old is None
            or (old.session == report.session and now - worker.heard_at < c.ANSWER_LOST_S)
        ):
            # A worker whose answers do not arrive still reports, but only after
            # it has waited for each answer in vain.
            worker.well_at = now
        worker.heard_at = now
        worker.report = report
        before = worker.tasks
        worker.tasks = {(t.task, t.attempt): t for t in report.tasks}
        if old is None or old.session != report.session:
            # A session that ended took its tasks, images' users and orders along.
            worker.launched.clear()
            worker.halted.clear()
            worker.uncertain.clear()
            worker.direct.clear()
            worker.images = {} if old is not None else worker.images
        if worker.direct and (old is None or old.token != report.token):
            worker.direct = {k: t for k, t in worker.direct.items() if t >= report.token}
        if worker.uncertain:
            worker.uncertain = {k: t for k, t in worker.uncertain.items() if t >= report.token}
        for key, entry in worker.tasks.items():
            if (
                entry.state == wire.RUNNING
                and key not in worker.since
                and self.e.replica.view is not None
                and self.owned(worker.id)
            ):
                log.debug("%s started on %s", entry.task, worker.id)
        worker.since = {
            k: worker.since.get(k, now) for k, t in worker.tasks.items() if t.state == wire.RUNNING
        }
        for (task, _), entry in worker.tasks.items():
            if entry.state in (wire.RUNNING, wire.SAVING) or entry.why == wire.DONE:
                job = self.e.replica.jobs.get(split_task(task)[0])
                if job is not None:
                    worker.images[job.spec.image] = now
        busy = any(t.state != wire.EXITED for t in report.tasks)
        if busy:
            worker.idle_since = 0.0
        elif not worker.idle_since:
            worker.idle_since = now
        if (
            before.keys() != worker.tasks.keys()
            or old is None
            or old.session != report.session
            or old.token != report.token
            or old.notice_s != report.notice_s
            or any(before[k].state != t.state for k, t in worker.tasks.items())
        ):
            self.e.steps.worker_changed(worker.id)
            self.e.rooms.touch(worker.id)
            self.e.queue_dirty = True
        elif worker.id not in self.e.rooms.table:
            self.e.rooms.touch(worker.id)
        return True

    def pass_on(self, worker: Worker, force: bool = False) -> None:
        """Tell the peers: every controller keeps a picture of all workers. Whole
        reports go when they show something new, else that they came is enough."""
        report = worker.report
        if report is None:
            return
        changed = worker.id in self.e.steps.changed_workers
        if force or changed or self.e.now - worker.passed_on >= c.PEER_RESEND_S:
            worker.passed_on = self.e.now
            self.e.emit(PeerSend(self._whole(worker, report)))
        else:
            self.unchanged.add(worker.id)

    def _whole(self, worker: Worker, report: wire.Report) -> dict[str, Any]:
        return {
            "kind": "worker",
            "report": report,
            "well_s": round(min(self.e.now - worker.well_at, 1e6), 3),
        }

    def _alive(self, names: Iterable[str], to: str | None = None) -> None:
        """Workers whose reports came: number, and how long ago they came and were well."""
        now = self.e.now
        rows = [
            [
                name,
                *worker.seen,
                round(min(now - worker.heard_at, 1e6), 3),
                round(min(now - worker.well_at, 1e6), 3),
            ]
            for name in names
            if (worker := self.table.get(name)) is not None
        ]
        if rows:
            self.e.emit(PeerSend({"kind": "alive", "workers": rows}, to))

    def _on_alive(self, rows: list[Any]) -> None:
        now = self.e.now
        for name, session, seq, heard_s, well_s in rows:
            worker = self.get(str(name))
            # Copies of older reports are known for what they are from now on.
            worker.seen = max(worker.seen, (int(session), int(seq)))
            if worker.session == session:
                worker.heard_at = max(worker.heard_at, now - float(heard_s))
                worker.well_at = max(worker.well_at, now - float(well_s))
                if worker.id not in self.e.rooms.table:
                    self.e.rooms.touch(worker.id)

    # --- commands ---------------------------------------------------------
    def commands(self, worker: Worker, direct: bool) -> list[wire.Command]:
        """What the worker lacks or has too much, compared with the records."""
        result: list[wire.Command] = []
        report = worker.report
        assert report is not None
        now, term = self.e.now, self.e.membership.term
        kept = 0
        jobs = self.e.replica.jobs
        opened: dict[Key, tuple[Job, Attempt]] = {}
        for job_id, attempts in sorted(self.e.replica.by_machine.get(worker.id, {}).items()):
            job = jobs[job_id]
            for attempt in attempts:
                if attempt.session == report.session:
                    for number in attempt.tasks:
                        opened[(f"{job_id}/{number}", attempt.number)] = (job, attempt)
        for key, entry in worker.tasks.items():
            known = opened.get(key)
            if entry.state == wire.EXITED:
                # Forgotten only once recorded, and never while a launch of it
                # may be under way: after `forget` that launch would start it.
                if known is None and key not in worker.uncertain and not direct:
                    if self._may_come_again(worker, key):
                        kept += 1
                    else:
                        worker.direct.pop(key, None)
                        result.append(wire.Command(wire.FORGET, *key))
            elif known is None:
                result.append(wire.Command(wire.HALT, *key, grace_s=0.0))
            elif known[0].cancelled:
                if now - worker.halted.get(key, -1e9) >= c.HALT_AGAIN_S:
                    worker.halted[key] = now
                    result.append(wire.Command(wire.HALT, *key, grace_s=0.0))
            elif (
                known[1].stopping
                and entry.state != wire.SAVING
                and (now - worker.halted.get(key, -1e9) >= c.HALT_AGAIN_S)
            ):
                worker.halted[key] = now
                spec = known[0].spec
                grace = spec.save_s + 1.0 if spec.checkpoint_s > 0 else 0.0
                result.append(wire.Command(wire.HALT, *key, grace_s=grace))
        if kept > c.KEPT_MAX:
            self.e.membership.want_term = True
        for key, (job, attempt) in opened.items():
            if key in worker.tasks or attempt.term != term or job.cancelled or attempt.stopping:
                continue
            if now - worker.launched.get(key, -1e9) >= c.LAUNCH_AGAIN_S:
                worker.launched[key] = now
                result.append(wire.Command(wire.LAUNCH, *key))
        return result

    @staticmethod
    def _may_come_again(worker: Worker, key: Key) -> bool:
        """Would a repeat of the launch that brought this attempt run it anew?

        Guards against copies of requests that were carried out: after `forget` the
        worker takes the launch for a new one, and the task would run here while its
        next attempt runs elsewhere, or long after its job was cancelled. A completed one
        would only be there for a moment, its result being kept, but that moment counts
        for its team's limit and for its job's zones. So attempts stay on the worker's
        books until a higher term makes the copy void.
        """
        return worker.direct.get(key, -1) >= worker.token

    def order(self, worker: Worker) -> None:
        """Send commands straight to the worker, at once."""
        report = worker.report
        if (
            worker.calling
            or report is None
            or not self.e.membership.acting()
            or report.session <= worker.lapsed
            or worker.id in self.gone
        ):
            return
        launched, uncertain = dict(worker.launched), dict(worker.uncertain)
        commands = self.commands(worker, direct=True)
        if not commands:
            return
        term = self.e.membership.term
        launches = [(x.task, x.attempt) for x in commands if x.op == wire.LAUNCH]
        for key in launches:
            worker.uncertain[key] = term
        worker.calling += 1
        sent = self.e.now

        def answered(reply: WorkerReply) -> None:
            worker.calling -= 1
            if reply.outcome == "ok":
                worker.direct.update((key, term) for key in launches)
            if reply.outcome != "unknown":
                for key in launches:
                    # What was not sent now says nothing of the same launch sent before:
                    # that one may still be on its way, or have been carried out.
                    if worker.uncertain.get(key) == term and (
                        reply.outcome == "ok" or key not in uncertain
                    ):
                        del worker.uncertain[key]
            if reply.outcome == "unknown":
                worker.launched.update((key, self.e.now) for key in launches)
            elif reply.outcome != "ok":
                for key in launches:
                    if worker.launched.get(key) == sent and key in launched:
                        worker.launched[key] = launched[key]
                    elif worker.launched.get(key) == sent:
                        del worker.launched[key]
            if reply.report is None:
                worker.mute_at = self.e.now
            elif reply.report.worker == worker.id and self.learn(reply.report):
                self.pass_on(worker)

        self.e.call(
            lambda tag: WorkerCall(
                tag, report.addr, wire.Orders(term, report.session, commands), c.ORDERS_TIMEOUT_S
            ),
            answered,
        )

    def flush_orders(self) -> None:
        due, self.orders_due = self.orders_due, set()
        if not self.e.membership.acting():
            return
        for name in sorted(due):
            worker = self.table.get(name)
            if worker is not None and self.owned(name):
                if worker.calling:
                    self.orders_due.add(name)
                else:
                    self.order(worker)

    # --- settlement -------------------------------------------------------
    def verdict(self, job: Job, attempt: Attempt, task: int) -> str | None:
        """Is this attempt of a task over? `done`, `error`, `settled`, or None: open.

        Silence, refused connections and missing rows of the machine list prove
        nothing and are not looked at here.
        """
        if attempt.machine in self.gone:
            return "settled"
        worker = self.table.get(attempt.machine)
        if worker is None:
            return None
        report = worker.report
        key = (f"{job.id}/{task}", attempt.number)
        if report is not None and report.session == attempt.session:
            entry = worker.tasks.get(key)
            if entry is not None:
                if entry.state == wire.EXITED:
                    if entry.why == wire.DONE and not job.spec.service:
                        return "done"
                    return "error" if entry.why in (wire.ERROR, wire.UNKNOWN) else "settled"
            elif report.token > attempt.term:
                # Orders of the step's term are refused from here on, and launches
                # are only sent under the term of their step.
                return "settled"
        if attempt.session <= worker.lapsed:
            return "settled"
        if report is not None and report.session > attempt.session:
            return "settled"
        if (
            report is not None
            and report.session == attempt.session
            and key not in worker.tasks
            and (job.cancelled or attempt.stopping)
            and key not in worker.launched
            and attempt.term == self.e.membership.term
            and self.owned(worker.id)
        ):
            # Only the owner launches, it never did, and the record forbids it now.
            return "settled"
        return None

    def tick(self) -> None:
        """Sessions that have lapsed, and workers worth asking."""
        member = self.e.membership
        if not member.acting():
            return
        now = self.e.now
        if now >= self.next_alive:
            self.next_alive = now + c.ALIVE_EVERY_S
            self._alive(sorted(self.unchanged))
            self.unchanged.clear()
        if now >= self.next_remind:
            self.next_remind = now + c.PEER_RESEND_S
            self._remind()
        if now < self.next_look:
            return
        self.next_look = now + c.SILENCE_EVERY_S
        self._detach()
        self._probe()
        lease = self.e.settings.cluster.workers.lease_s * (1 + c.CLOCK_DRIFT) + c.LAPSE_MARGIN_S
        for machine in list(self.e.replica.by_machine):
            worker = self.get(machine)
            if worker.id in self.gone:
                continue
            # A session heard of lives on for a lease even if nobody answers it.
            since = max(worker.bound, worker.heard_at)
            if now >= since + lease and self.owned(machine):
                top = max(
                    (
                        a.session
                        for attempts in self.e.replica.by_machine[machine].values()
                        for a in attempts
                    ),
                    default=0,
                )
                session = max(top, worker.session)
                if session > worker.lapsed:
                    # The view must be proven to have been ours until then: a
                    # newer owner may have renewed the lease.
                    if member.view_sent >= since + lease:
                        log.info("%s: session %d has lapsed", machine, session)
                        self.set_lapsed(machine, session)
                        self.e.emit(
                            PeerSend({"kind": "lapsed", "worker": machine, "session": session})
                        )
                    else:
                        member.confirm()
            if (
                worker.report is not None
                and now - worker.heard_at > c.SHOW_AFTER_S
                and now >= worker.show_at
                and not worker.calling
                and session_open(self.e, worker)
            ):
                self.show(worker)

    # --- members that workers do not reach --------------------------------
    def reporting(self) -> float:
        """Part of our workers, among those that anybody has heard of lately, that
        reported to us."""
        view, now = self.e.replica.view, self.e.now
        if view is None or self.e.membership.detached():
            return 0.0
        near = c.REPORTING_INTERVALS * self.e.settings.cluster.workers.report_s
        heard = [
            worker
            for worker in self.table.values()
            if now - worker.heard_at < near + c.VAIN_S and self.owned(worker.id)
        ]
        direct = sum(now - worker.reached_at < near for worker in heard)
        return direct / len(heard) if heard else 1.0

    def in_vain(self) -> dict[str, int]:
        return {owner: len(rows) for owner, rows in self.vain.items()}

    def _detach(self) -> None:
        """A member that stands still, or that loses its workers but not the state
        service, keeps its lease and owns a third of all workers, whose own leases
        run out meanwhile. Once many of them have come here after waiting in vain,
        a view in which it owns nothing moves them in one write, however many."""
        now = self.e.now
        for owner in list(self.vain):
            rows = self.vain[owner] = {
                name: at for name, at in self.vain[owner].items() if now - at < c.VAIN_WINDOW_S
            }
            if not rows:
                del self.vain[owner]
                continue
            view = self.e.replica.view
            assert view is not None
            waited = len(rows) + self.e.pulse.vain_elsewhere(owner)
            if (
                waited < c.DETACH_MIN
                or owner not in view.attached()
                or self.e.pulse.hears_workers(owner)
            ):
                continue
            owned = sum(
                now - worker.heard_at < 2 * c.VAIN_WINDOW_S
                and self.e.replica.owner_of(worker.id) == owner
                for worker in self.table.values()
            )
            if waited >= c.DETACH_SHARE * owned:
                log.warning(
                    "%d of %d workers of %s waited for it in vain; it shall own nothing",
                    waited,
                    owned,
                    owner,
                )
                self.e.membership.want_detached.add(owner)
                del self.vain[owner]

    def _probe(self) -> None:
        """While detached: ask some workers directly. Once they answer, we own again."""
        now, member = self.e.now, self.e.membership
        if not member.detached():
            self.probes = 0
            return
        if now < self.next_probe:
            return
        self.next_probe = now + c.SHOW_EVERY_S
        member.want_attached = self.probes >= c.PROBE_ROUNDS
        known = [worker for _, worker in sorted(self.table.items()) if worker.report is not None]
        if not known:
            self.probes += 1  # nobody to ask, and nobody to lose
            return
        # Those that the peers hear of are alive. Cut off from the peers as well, we hear
        # of none, which is no reason to own them.
        near = [worker for worker in known if now - worker.heard_at < c.SHOW_AFTER_S] or known
        drawn = self.e.rng.sample(near, min(len(near), c.PROBE_WORKERS))
        left = [len(drawn)]

        def answered(reply: WorkerReply) -> None:
            if reply.report is None:
                self.probes, left[0] = 0, -1
                member.want_attached = False
                return
            left[0] -= 1
            self.probes += left[0] == 0

        for report in [worker.report for worker in drawn if worker.report is not None]:
            self.e.call(
                lambda tag, addr=report.addr: WorkerCall(  # type: ignore[misc]
                    tag, addr, None, c.SHOW_TIMEOUT_S
                ),
                answered,
            )

    def _remind(self) -> None:
        """Proofs of settlement are repeated while attempts wait for them: the
        first message may have been lost with its link."""
        waiting = self.e.replica.by_machine
        gone = [machine for machine in waiting if machine in self.gone]
        if gone:
            self.e.emit(PeerSend({"kind": "gone", "machines": gone}))
        for machine in waiting:
            worker = self.table.get(machine)
            if worker is not None and worker.lapsed:
                self.e.emit(
                    PeerSend({"kind": "lapsed", "worker": machine, "session": worker.lapsed})
                )

    def show(self, worker: Worker) -> None:
        """Ask the worker itself: the owner may be unable to pass reports on."""
        assert worker.report is not None
        worker.show_at = self.e.now + c.SHOW_EVERY_S
        worker.calling += 1
        addr = worker.report.addr

        def answered(reply: WorkerReply) -> None:
            worker.calling -= 1
            if reply.report is not None and reply.report.worker == worker.id:
                worker.mute_at = -1e9
                if self.learn(reply.report):
                    self.pass_on(worker)
            else:
                worker.mute_at = self.e.now

        self.e.call(lambda tag: WorkerCall(tag, addr, None, c.SHOW_TIMEOUT_S), answered)

    def set_lapsed(self, machine: str, session: int) -> None:
        worker = self.get(machine)
        if session > worker.lapsed:
            worker.lapsed = session
            self.e.steps.worker_changed(machine)
            self.e.rooms.touch(machine)
            self.e.queue_dirty = True

    def set_gone(self, machines: list[str]) -> None:
        for machine in machines:
            if machine not in self.gone:
                self.gone[machine] = self.e.now
                self.table.pop(machine, None)
                self.e.rooms.touch(machine)
                self.e.steps.worker_changed(machine)
        if len(self.gone) > 20_000:
            for machine in sorted(self.gone, key=self.gone.__getitem__)[:10_000]:
                if machine not in self.e.replica.by_machine:
                    del self.gone[machine]

    # --- views ------------------------------------------------------------
    def on_view(self, old: View | None) -> None:
        """Ownership may have moved: how long may the former owners still answer?

        A former owner that is no longer in the view had no authority left when
        the view was committed. One that is still a member may answer until it
        learns of the view, at most one lease from now.
        """
        view, now = self.e.replica.view, self.e.now
        assert view is not None
        for name, worker in self.table.items():
            worker.launched.clear()
            worker.strangers = (0.0, 0)  # tries with another owner
            self.orders_due.add(name)
            if old is None or view.term != old.term + 1:
                # A view in between may have had any owner.
                worker.bound = max(worker.bound, now + self.e.grant_s)
                continue
            owner = old.owner_of(name)
            if view.members.get(owner) != old.members[owner]:
                worker.bound = max(worker.bound, now)
            elif owner != self.e.settings.name:
                worker.bound = max(worker.bound, now + self.e.grant_s)
        self.vain.clear()

    # --- peers ------------------------------------------------------------
    def on_peer(self, message: dict[str, Any]) -> None:
        kind = message["kind"]
        if kind == "worker":
            report = msgspec.convert(message["report"], wire.Report)
            if report.worker not in self.gone:
                self.learn(report, float(message.get("well_s", 0.0)))
        elif kind == "alive":
            self._on_alive([row for row in message["workers"] if row[0] not in self.gone])
        elif kind == "lapsed":
            self.set_lapsed(str(message["worker"]), int(message["session"]))
        elif kind == "gone":
            self.set_gone([str(name) for name in message["machines"]])

    def greet(self, name: str) -> None:
        """A link (re)opened: what the peer missed is sent again."""
        for worker in self.table.values():
            if worker.report is not None and self.e.replica.view and self.owned(worker.id):
                self.e.emit(PeerSend(self._whole(worker, worker.report), name))
            if worker.lapsed:
                self.e.emit(
                    PeerSend(
                        {"kind": "lapsed", "worker": worker.id, "session": worker.lapsed}, name
                    )
                )
        self._alive(list(self.table), name)
        if self.gone:
            self.e.emit(PeerSend({"kind": "gone", "machines": list(self.gone)[-2000:]}, name))


def session_open(engine: Engine, worker: Worker) -> bool:
    """Does a job of ours have an open attempt in the worker's session?"""
    return any(
        engine.owns_job(engine.replica.jobs[job_id])
        and any(attempt.session > worker.lapsed for attempt in attempts)
        for job_id, attempts in engine.replica.by_machine.get(worker.id, {}).items()
    )
