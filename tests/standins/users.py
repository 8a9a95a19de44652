"""Users of the simulated cluster: what they submit, ask, cancel and get wrong."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import partial
from typing import Any

from tests.standins import deployment
from tests.standins.clock import Clock
from tests.standins.judge import Judge
from tests.standins.machines import Cloud
from tests.standins.node import Answer, Node

LOOKS_S = (0.0, 0.001, 0.003, 0.008, 0.02)
"""s after a job was accepted, ended or cancelled; users ask all nodes each time"""
CANCEL_AT_ONCE = 0.15
"""share of the jobs that are cancelled as soon as they are accepted, by users who look
closely"""


class Users:
    """All users, behind one load balancer."""

    names: list[str]
    nodes: dict[str, Node]
    cloud: Cloud

    def __init__(self, clock: Clock, judge: Judge) -> None:
        self.clock, self.judge = clock, judge
        self.close_looks = 0.0
        """share of the jobs about which users ask at all nodes within milliseconds, and which
        they submit again, right after they were accepted, ended or cancelled"""
        self.looks: list[tuple[str, str]] = []
        """after what, and at which job they looked"""
        self.called_off: set[str] = set()
        self.loyal = 0.0
        """share of the users' requests that go to any node, healthy or not"""
        self.poll_s = 2.5
        self.at_end = 0.0
        """share of the jobs that are cancelled, asked about or submitted again at the very
        moment at which their last task ends"""
        self.at_ends: list[tuple[str, str]] = []

    def call_node(
        self, source: str, node: str, method: str, path: str, body: bytes, answer: Answer
    ) -> None:
        """Send a request to a controller."""
        raise NotImplementedError

    def spec(self, number: int) -> dict[str, Any]:
        """A random job; `run_s` is known to the workers alone."""
        rng = self.clock.rng
        service = rng.random() < 0.3
        spec = {
            "id": f"job-{number:06d}",
            "berth": "svc" if service else "arr",
            "owner": rng.choice(list(deployment.TEAMS)),
            "shape": "daemon" if service else "batch",
            "rank": "production" if service else rng.choice(["standard", "best_effort"]),
            "crates": rng.randint(1, 3) if service else rng.randint(1, 12),
            "cores": rng.choice([1.0, 2.0]),
            "cards": 0.0,
            "memory_gb": 2.0,
            "cargo": f"img-{rng.randint(0, 2)}",
            "image_gb": 1.0,
            "hulls": None,
            "quay": rng.choice([None, None, "a"]),
            "together": False,
            "scatter": False,
            "standby": not service and rng.random() < 0.7,
            "eta_s": 5.0,
            "stow_s": 0.0,
            "lash_s": 0.0,
            "sail_s": 60.0 if not service else None,
        }
        if spec["quay"] is None and rng.random() < 0.3:
            spec[rng.choice(["together", "scatter"])] = True
        spec["run_s"] = 1e9 if service else 2 + rng.random() * 8
        return spec

    def submit(self, spec: dict[str, Any], cancel_after: float | None = None) -> None:
        job = spec["id"]
        self.judge.jobs[job] = spec
        self.judge.submitted.setdefault(job, self.clock.now)
        self._ask(job, "POST", "/v2/runs", self._body(spec), (200, 201), lambda: self._poll(job))
        if cancel_after is not None:
            self.clock.after(cancel_after, lambda: self.cancel(job))

    def cancel(self, job: str) -> None:
        if job not in self.judge.accepted:
            self.clock.after(1.0, lambda: self.cancel(job))
            return
        self.judge.asked_cancel.add(job)
        self._ask(job, "POST", f"/v2/runs/{job}/cancel", b"", (200,), None)

    def used_cores(self) -> dict[str, float]:
        """team -> cores of its tasks that are on machines"""
        used: dict[str, float] = {}
        for task, places in self.judge.on.items():
            job = self.judge.jobs[task.partition("/")[0]]
            used[job["owner"]] = used.get(job["owner"], 0.0) + job["cores"] * len(places)
        return used

    def tasks_on(self, machine: str) -> list[str]:
        """Tasks that a machine has taken on and that are not over."""
        worker = self.cloud.workers.get(machine)
        rows = worker.tasks.items() if worker else ()
        return sorted(task for (task, _), row in rows if row["status"] != "exited")

    def long_running(self, left_s: float = 20.0) -> dict[str, list[str]]:
        """Jobs that nobody cancelled, whose tasks run and have long to go -> machines."""
        found: dict[str, list[str]] = {}
        for name, worker in sorted(self.cloud.workers.items()):
            for (task, _), row in worker.tasks.items():
                job = task.partition("/")[0]
                if (
                    row["status"] == "running"
                    and job in self.judge.accepted
                    and row["until"] - self.clock.now > left_s
                    and job not in self.judge.asked_cancel | self.called_off
                ):
                    found.setdefault(job, []).append(name)
        return found

    def cancel_now(self, count: int, hang_s: float = 0.0) -> list[str]:
        """Users call off that many jobs that run and have long to go, within a fifth of a
        second; with `hang_s`, up to eight of their machines hang that long."""
        running = self.long_running()
        jobs = sorted(running)[:count]
        self.called_off.update(jobs)
        for job in jobs:
            self.clock.after(0.2 * self.clock.rng.random(), partial(self.cancel, job))
        if hang_s:
            for name in sorted({name for job in jobs for name in running[job]})[:8]:
                self.cloud.workers[name].hang(hang_s)
        return jobs

    def _look_closely(self, job: str, after: str) -> None:
        """Users ask all nodes within milliseconds, and submit the job again at each; some
        call it off at once."""
        rng = self.clock.rng
        if not self.close_looks or rng.random() >= self.close_looks:
            return
        self.looks.append((after, job))
        body = self._body(self.judge.jobs[job])
        for name in self.names:
            for delay in LOOKS_S:
                self.clock.after(
                    delay + 0.001 * rng.random(),
                    partial(self._ask, job, "GET", f"/v2/runs/{job}", b"", (), None, name),
                )
            self.clock.after(
                0.02 * rng.random(),
                partial(self._ask, job, "POST", "/v2/runs", body, (200, 201), None, name),
            )
        if after == "accepted" and rng.random() < CANCEL_AT_ONCE:
            self.cancel(job)

    def _completed(self, job: str) -> None:
        self._look_closely(job, "last task")
        rng = self.clock.rng
        if self.at_end and rng.random() < self.at_end:
            kind = ["cancel", "ask", "cancel", "submit"][len(self.at_ends) % 4]
            self.at_ends.append((kind, job))
            for _ in range(2):
                self.clock.after(0.3 * rng.random(), lambda: self._at_end(kind, job))

    def _at_end(self, kind: str, job: str) -> None:
        if kind == "cancel":
            self.cancel(job)
        elif kind == "ask":
            self._ask(job, "GET", f"/v2/runs/{job}", b"", (), None)
        else:
            self._ask(job, "POST", "/v2/runs", self._body(self.judge.jobs[job]), (200, 201), None)

    def ask_all(self) -> None:
        """Everybody asks every controller once more about every job."""
        for job in self.judge.accepted:
            for name in self.names:
                self._ask(job, "GET", f"/v2/runs/{job}", b"", (), None, name)

    # --- odd requests -----------------------------------------------------
    def odd_requests(self, seconds: float, every: float = 0.4) -> None:
        until = self.clock.now + seconds
        kinds = ["again", "cancel_done", "nobody", "never", "malformed"]

        def one() -> None:
            if self.clock.now < until:
                self._odd(self.clock.rng.choice(kinds))
                self.clock.after(every * (0.5 + self.clock.rng.random()), one)

        one()

    def _odd(self, kind: str) -> None:
        rng, judge = self.clock.rng, self.judge
        number = 900_000 + len(judge.bad)
        spec = {**self.spec(number), "shape": "batch", "crates": 1, "quay": None}
        del spec["run_s"]
        if kind == "again":
            jobs = sorted(set(judge.accepted) - set(judge.final))
            if jobs:
                job = rng.choice(jobs)
                self._ask(job, "POST", "/v2/runs", self._body(judge.jobs[job]), (200, 201), None)
        elif kind == "cancel_done":
            jobs = sorted(job for job, (state, _) in judge.final.items() if state == "done")
            if jobs:
                job = rng.choice(jobs)
                self._ask(job, "POST", f"/v2/runs/{job}/cancel", b"", (200,), None)
        elif kind == "nobody":
            self._refused(spec["id"], "GET", f"/v2/runs/{spec['id']}", b"", 404)
        elif kind == "never":
            spec.update(
                rng.choice(
                    [
                        {"cores": 99.0},
                        {"memory_gb": 99.0},
                        {"cards": 1.0},
                        {"hulls": ["x9"]},
                        {"hulls": []},
                        {"quay": "z"},
                        {"owner": "nobody"},
                        {"shape": "daemon", "cores": 4.0, "crates": 7},
                    ]
                )
            )
            self._refused(spec["id"], "POST", "/v2/runs", json.dumps(spec).encode(), 422)
        else:
            field = rng.choice(sorted(set(spec) - {"id", "hulls", "quay", "sail_s"}))
            if rng.random() < 0.5:
                del spec[field]
            else:
                spec[field] = rng.choice([None, [], {}, "", -1.5])
            self._refused(spec["id"], "POST", "/v2/runs", json.dumps(spec).encode(), 400)

    def _refused(self, job: str, method: str, path: str, body: bytes, status: int) -> None:
        """Ask for what must be refused, until it is; then ask whether it was stored."""

        def then() -> None:
            if status != 404:
                what = job + " afterwards"
                self.judge.bad[what] = 404
                self._ask(what, "GET", f"/v2/runs/{job}", b"", (), None)

        self.judge.bad[job] = status
        self._ask(job, method, path, body, (), then)

    @staticmethod
    def _body(spec: dict[str, Any]) -> bytes:
        return json.dumps({k: v for k, v in spec.items() if k not in ("run_s", "runs")}).encode()

    def _balanced(self) -> list[str]:
        """Where the load balancer sends new connections: to the healthy, if any."""
        up = [name for name in self.names if self.nodes[name].up]
        if self.loyal and self.clock.rng.random() < self.loyal:
            return up  # a connection that is open already
        up = [name for name in up if not self.clock.parted("user", name)] or up
        return [name for name in up if self._healthy(self.nodes[name])] or up

    @staticmethod
    def _healthy(node: Node) -> bool:
        return node.runs.healthy(node.engine)

    def _ask(
        self,
        job: str,
        method: str,
        path: str,
        body: bytes,
        good: tuple[int, ...],
        then: Callable[[], None] | None,
        node: str | None = None,
    ) -> None:
        """A request, repeated until its status is one of `good`. Polls aren't: users ask
        again at their next time."""
        up = [node] if node else self._balanced()
        sent = self.clock.now
        open_ = [True]
        bad = job in self.judge.bad

        def answered(status: int, reply: Any) -> None:
            if not open_[0]:
                return
            open_[0] = False
            if bad:
                over = self.judge.odd_answered(job, status)
            else:
                over = status in good or method == "GET"
                if status:
                    self._user_told(job, sent, status, reply.get("status"), method == "GET")
            if not over:
                self.clock.after(1.0, lambda: self._ask(job, method, path, body, good, then))
            elif then:
                then()

        if up:
            self.call_node("user", self.clock.rng.choice(up), method, path, body, answered)
        self.clock.after(2.0 if method == "GET" else 5.0, lambda: answered(0, {}))

    def _user_told(self, job: str, sent: float, status: int, state: str | None, poll: bool) -> None:
        """An answer: the judge looks at it, and users who look closely at what is new."""
        judge = self.judge
        accepted, final = job in judge.accepted, job in judge.final
        judge.answered(job, sent, status, state, poll)
        if job in judge.accepted and not accepted:
            self._look_closely(job, "accepted")
        if job in judge.final and not final:
            self._look_closely(job, judge.final[job][0])

    def _poll(self, job: str) -> None:
        final = self.judge.final.get(job)
        if final and self.clock.now > final[1] + 20:
            return
        self._ask(job, "GET", f"/v2/runs/{job}", b"", (), None)
        self.clock.after(self.poll_s, lambda: self._poll(job))

    def unfinished(self) -> list[str]:
        """Accepted arrays that are not over."""
        return [
            job
            for job in self.judge.accepted
            if job not in self.judge.final and self.judge.jobs[job]["shape"] != "daemon"
        ]
