"""The administration API: what operators see and set.

Operators' settings live in the state service, are changed by conditional
writes and take effect on every controller as soon as its watch shows them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from appledock import constants as c
from appledock.core.api.console_feed import ConsoleFeed
from appledock.core.commands import AdminRequest
from appledock.core.effects import Response, SetLogLevel
from appledock.core.operator_settings import DECLARATIONS, InvalidSettingError, validate
from appledock.core.quota.resources import NO_RESOURCES
from appledock.core.records.job import Attempt, Job
from appledock.core.store.keys import SETTINGS
from appledock.core.store.rate_limiter import Priority
from appledock.core.store_calls import Committed, Conflict, Put, StoreOutcome, Transaction

if TYPE_CHECKING:
    from appledock.core.controller import Controller

LEVELS = ("error", "info", "debug")


class AdminApi:
    """Answers operators from this controller's picture."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.feed = ConsoleFeed(engine)
        self.shares = engine.shares_api
        self._readers: dict[str, Callable[[], dict[str, Any]]] = {
            "status": self.status,
            "jobs": lambda: {"jobs": self.jobs()},
            "machines": lambda: {"machines": self.machines()},
            "teams": lambda: {"teams": self.teams()},
            "settings": self.settings,
            "rebalancing": engine.rebalancer.summary,
            "capacity": engine.partition_summary.as_json,
        }
        """path -> what `GET` answers there"""

    # --- requests ---------------------------------------------------------
    def request(self, cmd: AdminRequest) -> None:
        """Answer a request."""
        read = self._readers.get(cmd.path[0]) if len(cmd.path) == 1 else None
        match (cmd.method, *cmd.path):
            case ("GET", _) if read is not None:
                self._answer(cmd, read())
            case ("GET", "changes", incarnation, version, limit):
                self._changes(cmd, incarnation, version, limit)
            case ("POST", "capacity", ("propose" | "apply" | "withdraw") as action):
                self.shares.request(cmd, action)
            case ("PATCH", "settings"):
                self._change(cmd)
            case ("POST", "machines", name, ("cordon" | "uncordon" | "drain") as action):
                self._machine(cmd, name, action)
            case ("PUT", "log-level"):
                self._log_level(cmd)
            case (_, "log-level"):
                self._answer(cmd, {"error": "method not allowed here"}, 405)
            case (_, _) if read is not None:
                self._answer(cmd, {"error": "method not allowed here"}, 405)
            case _:
                self._answer(cmd, {"error": "no such path"}, 404)

    def _answer(self, cmd: AdminRequest, body: Any, status: int = 200) -> None:
        headers = {"Retry-After": str(c.RETRY_AFTER_S)} if status == 503 else None
        self.engine.emit(Response(cmd.request_id, status, body, headers))

    # --- reading ----------------------------------------------------------
    def status(self) -> dict[str, Any]:
        """The cluster as this controller sees it."""
        engine = self.engine
        view = engine.replica.view
        budget = engine.client.limiter
        return {
            "node": engine.settings.name,
            "healthy": engine.health.is_healthy(),
            "authority": engine.membership.has_authority(),
            "leader": view.leader if view else None,
            "term": view.term if view else 0,
            "members": view.members if view else {},
            "overrides": view.overrides if view else {},
            "detached": sorted(view.detached) if view else [],
            "format": engine.replica.record_format.value,
            "formats": {
                node: member.record_format
                for node, member in sorted(engine.replica.members.items())
            },
            "revision": engine.replica.revision,
            "jobs": len(engine.replica.jobs),
            "queued_tasks": sum(job.queued_task_count for job in engine.replica.jobs.values()),
            "machines": sum(w.report is not None for w in engine.workers.table.values()),
            "booting": len(engine.fleet.booting()) if engine.membership.is_leader() else None,
            "calls_waiting": budget.count_queued(),
            "users_waiting": len(engine.user_requests.open_requests),
            "machine_types": sorted(engine.machine_types),
        }

    def jobs(self) -> list[dict[str, Any]]:
        """Open jobs, and what they wait for."""
        jobs = self.engine.replica.jobs
        return [self._job(jobs[job_id]) for job_id in sorted(jobs)]

    def _job(self, job: Job) -> dict[str, Any]:
        engine = self.engine
        return {
            "id": job.id,
            "class": job.spec.job_class,
            "team": job.spec.team,
            "priority": job.spec.priority,
            "tasks": job.spec.tasks,
            "done": len(job.completed_tasks),
            "open": job.open_task_count,
            "queued": job.queued_task_count,
            "cancelled": engine.replica.is_cancelled(job.id),
            "owner": engine.replica.job_owner(job) if engine.replica.view else None,
            "failures": job.consecutive_failures,
            "waits_for": self._waits_for(job),
            "needs": job.spec.needs or [],
            "needs_left": engine.replica.dependencies.unfinished_prerequisites(job.id),
            "needed_by": sorted(engine.replica.dependencies.dependents.get(job.id, ())),
            "unsettled": [self._attempt(job, attempt) for attempt in job.attempts],
        }

    def _waits_for(self, job: Job) -> str | None:
        needs = self.engine.replica.dependencies
        if job.id in needs.cancelled_by_dependency:
            return "its end: a job that it needs is cancelled"
        if job.id in needs.waiting_jobs:
            unread = any(
                need in needs.unknown_outcomes for need in needs.unfinished_prerequisites(job.id)
            )
            return "jobs that it needs" + (", some not read yet" if unread else "")
        return self.engine.reconcile_queue.pending_reasons.get(job.id)

    def _attempt(self, job: Job, attempt: Attempt) -> dict[str, Any]:
        """An attempt that is not settled, and what its settlement waits for."""
        worker = self.engine.workers.table.get(attempt.machine)
        if worker is None or worker.report is None:
            reason = "machine not heard of"
        elif worker.report.session != attempt.agent_epoch:
            reason = "session change not recorded yet"
        elif any(
            (f"{job.id}/{task}", attempt.attempt_number) not in worker.tasks
            for task in attempt.tasks
        ):
            reason = "launch not seen"
        else:
            reason = "stopping" if attempt.stopping or job.cancelled else "running"
        return {
            "machine": attempt.machine,
            "session": attempt.agent_epoch,
            "attempt": attempt.attempt_number,
            "term": attempt.term,
            "tasks": sorted(attempt.tasks),
            "state": reason,
        }

    def machines(self) -> list[dict[str, Any]]:
        """Machines whose workers report."""
        engine = self.engine
        rows = []
        if engine.replica.view:
            engine.capacity_index.recompute()
        free = engine.capacity_index.machines
        for name in sorted(engine.workers.table):
            worker = engine.workers.table[name]
            report = worker.report
            if report is None:
                continue
            room = free.get(name)
            rows.append(
                {
                    "id": name,
                    "type": report.type,
                    "zone": report.zone,
                    "spot": report.spot,
                    "owner": engine.replica.owner_of(name) if engine.replica.view else None,
                    "session": report.session,
                    "token": report.token,
                    "silent_s": round(engine.now - worker.reachability.last_heartbeat_at, 1),
                    "notice_s": report.notice_s,
                    "cordoned": worker.placement.cordon_reason or None,
                    "tasks": sum(t.state != "exited" for t in report.tasks),
                    "free_cpus": round(room.cpus, 3) if room else None,
                }
            )
        return rows

    def teams(self) -> list[dict[str, Any]]:
        """What the teams hold of their guarantees and limits."""
        rows = []
        for name, team in sorted(self.engine.teams.items()):
            known = self.engine.replica.view is not None
            held = self.engine.quota_usage.held_by_team(name) if known else NO_RESOURCES
            record = self.engine.replica.allocation_of(name)
            rows.append(
                {
                    "name": name,
                    "cpus_held": held.cpus,
                    "cpus": team.cpus,
                    "cpus_max": team.cpus_max,
                    "gpus_held": held.gpus,
                    "gpus": team.gpus,
                    "gpus_max": team.gpus_max,
                    "term": record.term,
                    "cpus_shares": {
                        node: share.cpus for node, share in sorted(record.shares.items())
                    },
                }
            )
        return rows

    def settings(self) -> dict[str, Any]:
        """Values, defaults, ranges and reasons of the settings."""
        return {
            "version": self.engine.replica.stored_settings.version,
            "settings": {
                name: {
                    "value": self.engine.operator_settings[name],
                    "default": declaration.default,
                    "least": declaration.minimum,
                    "most": declaration.maximum,
                    "unit": declaration.unit,
                    "reason": declaration.description,
                }
                for name, declaration in sorted(DECLARATIONS.items())
            },
        }

    def _changes(self, cmd: AdminRequest, incarnation: str, version: str, limit: str) -> None:
        """What has changed on a console's screen since a version of this incarnation."""
        most = c.CONSOLE_ROWS_MAX
        if not version.isdecimal() or not limit.isdecimal() or not 1 <= int(limit) <= most:
            text = f"changes/INCARNATION/VERSION/ROWS: integers, ROWS from 1 to {most}"
            self._answer(cmd, {"error": text}, 400)
            return
        self._answer(cmd, self.feed.since(incarnation, int(version), int(limit)))

    # --- changing ---------------------------------------------------------
    def _change(self, cmd: AdminRequest) -> None:
        """Take `{"settings": {name: value or null}, "version": n}`; null: the default again.

        With a version, a change made meanwhile by somebody else gives 409.
        """
        body = cmd.body
        if not isinstance(body, dict) or not isinstance(body.get("settings"), dict):
            self._answer(cmd, {"error": "settings: an object is needed"}, 400)
            return
        stored = self.engine.replica.stored_settings
        asked = body.get("version", stored.version)
        if isinstance(asked, bool) or not isinstance(asked, int):
            self._answer(cmd, {"error": "version: an integer is needed"}, 400)
            return
        new = dict(stored.value)
        try:
            for name, value in body["settings"].items():
                if value is None and name in DECLARATIONS:
                    new.pop(name, None)
                else:
                    new[name] = validate(name, value)
        except InvalidSettingError as error:
            self._answer(cmd, {"error": str(error)}, 400)
            return

        def on_outcome(outcome: StoreOutcome) -> None:
            match outcome:
                case Committed():
                    self.engine.replica.put(SETTINGS, new, outcome.revision)
                    self.engine.operator_settings.apply(self.engine.replica.stored_settings.value)
                    self.engine.reconcile_queue.placement_due = True
                    self._answer(cmd, self.settings())
                case Conflict():
                    self.engine.reader.read_keys([SETTINGS])
                    self._answer(cmd, {"error": "the settings were changed meanwhile"}, 409)
                case _:
                    self._answer(cmd, {"error": "state service does not answer"}, 503)

        self.engine.client.submit(
            Transaction({SETTINGS: asked}, [Put(SETTINGS, new)]),
            Priority.USER,
            on_outcome,
            c.REQUEST_DEADLINE_S,
        )

    def _machine(self, cmd: AdminRequest, name: str, action: str) -> None:
        worker = self.engine.workers.table.get(name)
        if worker is None or worker.report is None:
            self._answer(cmd, {"error": f"no such machine: {name}"}, 404)
            return
        if not self.engine.membership.can_act():
            self._answer(cmd, {"error": "this controller has no authority now"}, 503)
            return
        self.engine.fleet.operate(name, action)
        self._answer(cmd, {"id": name, "cordoned": worker.placement.cordon_reason or None})

    def _log_level(self, cmd: AdminRequest) -> None:
        level = cmd.body.get("level") if isinstance(cmd.body, dict) else None
        if level not in LEVELS:
            self._answer(cmd, {"error": f"level: one of {', '.join(LEVELS)}"}, 400)
            return
        self.engine.emit(SetLogLevel(level))
        self._answer(cmd, {"level": level})
