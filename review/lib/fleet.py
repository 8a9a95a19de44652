"""Stand-ins for the cloud and the workers, as PROTOCOL describes them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Callable
from typing import Any

from lib.http import Answer, Connection, Request, Server, encode
from lib.judge import Judge, Record
from lib.state import Bucket

LINE_LIMIT = 65_536
"""bytes; no line of a response to a worker may be longer (PROTOCOL)"""

Key = tuple[str, int]


class Worker:
    """One machine with its worker."""

    def __init__(self, cloud: Cloud, row: dict[str, Any], kind: dict[str, Any]) -> None:
        self.cloud, self.row, self.kind = cloud, row, kind
        self.judge, self.record = cloud.judge, cloud.record
        self.report_s, self.lease_s = cloud.times["report_s"], cloud.times["lease_s"]
        self.server = Server(self._serve)
        self.tasks: dict[Key, dict[str, Any]] = {}
        self.images: set[str] = set()
        self.fetching: dict[str, float] = {}
        self.session, self.seq, self.token = 1, 0, 0
        self.renewed = time.monotonic()
        self.token_told = 0.0
        self.notice_at: float | None = None
        self.alive = True
        self.changed = asyncio.Event()
        self.hung = asyncio.Event()
        self.hung.set()
        self.node = cloud.rng.randrange(len(cloud.nodes))
        self.refused_reports = 0
        self.cut_from: set[str] = set()
        """controllers to and from which the network is interrupted"""
        self.cut_token = 0
        """commands under this or a lower token come from behind the cut"""
        self.answers: dict[tuple[str, int], int] = {}
        """controller, status (0: none) -> number of reports answered so while cut off"""
        self.loops: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self.row["addr"] = f"127.0.0.1:{await self.server.start()}"
        self.row["status"] = "running"
        self.renewed = time.monotonic()
        self.loops = [asyncio.create_task(self._run()), asyncio.create_task(self._report_loop())]

    def end(self) -> None:
        """The machine is gone, with all that is on it."""
        self.alive = False
        for key in list(self.tasks):
            self._leave(key, "machine")
        self.tasks.clear()
        for loop in self.loops:
            loop.cancel()
        self.server.close()

    # --- tasks ------------------------------------------------------------
    async def _run(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if now - self.renewed > self.lease_s:
                # A hung machine too: it may go on only within its lease.
                self._end_session(now)
            if not self.hung.is_set():
                continue
            for image, at in list(self.fetching.items()):
                if now >= at:
                    del self.fetching[image]
                    self.images.add(image)
            for key, task in list(self.tasks.items()):
                if task["status"] == "pulling" and task["job"]["cargo"] in self.images:
                    self._begin(key, task)
                elif task["status"] == "running" and now >= task["until"]:
                    self.cloud.results.add(key[0])
                    self._exit(key, "done")
                elif task["status"] == "saving" and now >= task["until"]:
                    task["stored"] = True
                    self._exit(key, "stopped")

    def _end_session(self, now: float) -> None:
        if self.tasks:
            self.record(
                f"worker {self.row['id']} lease over, session {self.session} ends with "
                f"{sum(t['status'] != 'exited' for t in self.tasks.values())} tasks"
            )
        for key in list(self.tasks):
            self._leave(key, "lease")
        self.tasks.clear()
        self.session += 1
        self.renewed = now
        self.changed.set()

    def _begin(self, key: Key, task: dict[str, Any]) -> None:
        task["status"] = "running"
        run_s = self.cloud.run_s(key[0])
        task["until"] = time.monotonic() + run_s
        self.cloud.log_task(f"start {key[0]} try {key[1]} on {self.row['id']}")
        self.judge.started(key[0], self.row)
        self.changed.set()
        if key[0] in self.cloud.results:
            self._exit(key, "done")

    def _leave(self, key: Key, cause: str) -> None:
        if self.tasks[key]["status"] in ("running", "saving"):
            self.cloud.log_task(f"end {key[0]} try {key[1]} on {self.row['id']}: {cause}")
            self.judge.stopped(key[0], self.row["id"], cause)

    def _exit(self, key: Key, cause: str) -> None:
        self._leave(key, cause)
        self.tasks[key].update(status="exited", cause=cause)
        self.changed.set()

    def _launch(self, key: Key) -> None:
        if key in self.tasks:
            return
        job = self.judge.jobs.get(key[0].partition("/")[0])
        if job is None:
            self.tasks[key] = {"status": "exited", "cause": "unknown"}
            self.cloud.unknown_launches.append(key[0])
            self.changed.set()
            return
        active = [(k, t) for k, t in self.tasks.items() if t["status"] != "exited"]
        cause = None
        if any(k[0] == key[0] for k, _ in active):
            cause = "in_use"
        else:
            for field in ("cores", "cards", "memory_gb"):
                used = sum(t["job"][field] for _, t in active)
                if used + job[field] > self.kind[field] + 1e-6:
                    cause = "full"
        if cause:
            self.tasks[key] = {"status": "exited", "cause": cause, "job": job}
        else:
            self.tasks[key] = {"status": "pulling", "job": job}
            image = job["cargo"]
            if image not in self.images and image not in self.fetching:
                seconds = job["image_gb"] / self.kind["pull_gb_per_s"]
                self.fetching[image] = time.monotonic() + seconds
        self.changed.set()

    def _halt(self, key: Key, grace_s: float) -> None:
        task = self.tasks.get(key)
        if task is None or task["status"] == "exited":
            return
        job = task["job"]
        if task["status"] == "running" and job["stow_s"] > 0 and grace_s >= job["lash_s"]:
            task.update(status="saving", until=time.monotonic() + job["lash_s"])
            self.changed.set()
        elif task["status"] != "saving" or grace_s == 0:
            self._exit(key, "stopped")

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["crate"], order["try"])
            if order["verb"] == "launch":
                self._launch(key)
            elif order["verb"] == "halt":
                self._halt(key, order.get("mooring_s") or 0.0)
            elif self.tasks.get(key, {}).get("status") == "exited":
                del self.tasks[key]
                self.changed.set()

    # --- reports and direct commands --------------------------------------
    def report(self) -> dict[str, Any]:
        self.seq += 1
        now = time.monotonic()
        crates = []
        for (name, attempt), task in self.tasks.items():
            entry = {"crate": name, "try": attempt, "status": task["status"]}
            if task["status"] == "exited":
                entry["cause"] = task["cause"]
            if task.get("stored"):
                entry["stored"] = True
            crates.append(entry)
        return {
            "dockhand": self.row["id"],
            "addr": self.row["addr"],
            "hull": self.row["hull"],
            "quay": self.row["quay"],
            "standby": self.row["standby"],
            "shift": self.session,
            "tally": self.seq,
            "warrant": self.token,
            "recall_s": None if self.notice_at is None else max(0.0, self.notice_at - now),
            "crates": crates,
        }

    def _see(self, token: int) -> None:
        if token > self.token:
            self.token = token
            now = time.monotonic()
            if now - self.token_told >= self.lease_s / 2:
                self.token_told = now
                self.changed.set()

    async def _serve(self, request: Request) -> Answer | None:
        await self.hung.wait()
        if request.path == "/show":
            return Answer(200, self.report())
        body = request.json()
        if self.cut_from and body.get("warrant", 0) <= self.cut_token:
            return None
        if "warrant" not in body or "shift" not in body:
            return Answer(400, {"error": "warrant or shift is missing"})
        if body["warrant"] < self.token or body["shift"] != self.session:
            return Answer(409, self.report())
        self._see(body["warrant"])
        self.execute(body["orders"])
        return Answer(200, self.report())

    async def _report_loop(self) -> None:
        rng = self.cloud.rng
        connection = Connection(self.cloud.nodes[self.node][1])
        while True:
            await self.hung.wait()
            session, sent = self.session, time.monotonic()
            self.changed.clear()
            body = encode(self.report())
            name = self.cloud.nodes[self.node][0]
            status, payload = 0, b""
            if name not in self.cut_from:
                status, payload = await connection.request("POST", "/agent/beat", body, 4.0, 2.0)
            if self.cut_from:
                self.answers[name, status] = self.answers.get((name, status), 0) + 1
            await self.hung.wait()
            pause = self.report_s * (0.75 + rng.random() / 2)
            if status == 200:
                self._answered(session, sent, payload)
            else:
                self.refused_reports += status == 400
                if status == 400:
                    self.record(
                        f"worker {self.row['id']} report of {len(body)} bytes, "
                        f"{len(self.tasks)} tasks, answered 400 {payload[:60]!r}"
                    )
                connection.close()
                named = self._named(status, payload)
                if named is None or named == self.node:
                    self.node, pause = (self.node + 1) % len(self.cloud.nodes), 1.0
                else:
                    self.node, pause = named, 0.5 * rng.random()
                connection = Connection(self.cloud.nodes[self.node][1])
            await asyncio.sleep(min(0.5, pause))
            if pause > 0.5:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), pause - 0.5)

    def _answered(self, session: int, sent: float, payload: bytes) -> None:
        if session != self.session or time.monotonic() - sent > 4.0:
            return
        if any(len(line) > LINE_LIMIT for line in payload.split(b"\n")):
            self.record(f"worker {self.row['id']} drops an answer of {len(payload)} bytes")
            return
        answer = json.loads(payload)
        if answer.get("warrant", -1) < self.token:
            return
        self._see(answer["warrant"])
        self.renewed = max(self.renewed, sent)
        self.execute(answer["orders"])

    def _named(self, status: int, payload: bytes) -> int | None:
        if status != 421:
            return None
        name = json.loads(payload).get("harbormaster")
        names = [node for node, _ in self.cloud.nodes]
        return names.index(name) if name in names else None


class Cloud:
    """Machine types, rentals, deletions and a list that lags."""

    def __init__(
        self,
        *,
        record: Record,
        judge: Judge,
        types: list[dict[str, Any]],
        limits: dict[str, Any],
        times: dict[str, float],
        capacity: dict[tuple[str, bool], int],
        run_s: Callable[[str], float],
        seed: int,
    ) -> None:
        self.record, self.judge, self.types = record, judge, types
        self.times, self.capacity, self.run_s = times, capacity, run_s
        self.rng = random.Random(seed)
        self.bucket = Bucket(limits["rps"], 2.0)
        self.lag_s = limits["list_lag_s"]
        self.nodes: list[tuple[str, str]] = []
        """name and public address of each controller"""
        self.rows: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.lists: list[tuple[float, list[dict[str, Any]]]] = []
        self.results: set[str] = set()
        self.unknown_launches: list[str] = []
        self.last = 0
        self.out_until = 0.0
        self.logs_tasks = True
        self.pending: set[asyncio.Task[None]] = set()

    def log_task(self, text: str) -> None:
        if self.logs_tasks:
            self.record(f"task {text}")

    def _kind(self, name: str) -> dict[str, Any]:
        return next(kind for kind in self.types if kind["name"] == name)

    def _new(self, hull: str, quay: str, standby: bool, boot_s: float) -> str:
        self.last += 1
        name = f"vm-{self.last:06d}"
        self.rows[name] = {
            "id": name,
            "addr": f"127.0.0.1:{1 + self.last}",
            "hull": hull,
            "quay": quay,
            "standby": standby,
            "status": "starting",
            "born": time.monotonic(),
        }
        task = asyncio.create_task(self._boot(name, boot_s))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)
        return name

    async def _boot(self, name: str, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        row = self.rows.get(name)
        if row is not None:
            worker = self.workers[name] = Worker(self, row, self._kind(row["hull"]))
            await worker.start()
            self.record(f"machine {name} ({row['hull']}) is up")

    def add(self, hull: str, quay: str, count: int) -> list[str]:
        """Ordinary machines that are up at the start."""
        return [self._new(hull, quay, False, 0.0) for _ in range(count)]

    def gone(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.end()

    async def lag_list(self) -> None:
        while True:
            now = time.monotonic()
            rows = [
                {**{k: v for k, v in row.items() if k != "born"}, "age_s": now - row["born"]}
                for row in self.rows.values()
            ]
            self.lists.append((now, rows))
            while len(self.lists) > 1 and self.lists[1][0] <= now - self.lag_s:
                self.lists.pop(0)
            await asyncio.sleep(0.5)

    async def handle(self, node: str, request: Request) -> Answer | None:
        await asyncio.sleep(0.02)
        if time.monotonic() < self.out_until:
            return Answer(503, {"error": "trouble"})
        if not self.bucket.take(1):
            return Answer(429, {"error": "too fast"})
        if request.path == "/machine_types":
            return Answer(200, {"hulls": self.types})
        if request.path == "/machines/delete":
            names = request.json()["dockhands"]
            self.record(f"cloud {node} deletes {names}")
            for name in names:
                self.gone(name)
                self.rows.pop(name, None)
            return Answer(200, {})
        if request.method == "POST":
            return self._rent(node, request.json())
        rows = [row for row in self.lists[0][1] if row["id"] > request.query.get("since", "")]
        limit = min(500, int(request.query.get("limit", 500)))
        return Answer(200, {"dockhands": rows[:limit], "has_next": len(rows) > limit})

    def _rent(self, node: str, body: dict[str, Any]) -> Answer:
        if body["charter"] not in self.rentals:
            kind = (body["hull"], body["standby"])
            used = sum((row["hull"], row["standby"]) == kind for row in self.rows.values())
            count = min(body["count"], 50, self.capacity.get(kind, 0) - used)
            if count <= 0:
                return Answer(503, {"error": "no capacity"})
            boot_s = self._kind(body["hull"])["boot_s"]
            self.rentals[body["charter"]] = [
                self._new(
                    body["hull"],
                    body["quay"],
                    body["standby"],
                    boot_s * (0.6 + 0.9 * self.rng.random()),
                )
                for _ in range(count)
            ]
            self.record(f"cloud {node} rents {body} -> {self.rentals[body['charter']]}")
        return Answer(200, {"dockhands": self.rentals[body["charter"]]})
