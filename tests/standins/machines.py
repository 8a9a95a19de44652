"""Stand-ins for the cloud and its machines with their workers."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qsl

from tests.standins.clock import Clock
from tests.standins.judge import Judge

REPORT_S, LEASE_S = 1.5, 10.0
SICK_RUN_S = 0.3
"""s; for so long tasks run on a machine that fails them all"""


class Worker:
    """One machine and its worker, as the protocol describes it."""

    def __init__(self, world: Any, row: dict[str, Any], slots: dict[str, float]) -> None:
        self.world, self.row, self.slots = world, row, slots
        self.clock: Clock = world.clock
        self.judge: Judge = world.judge
        self.session, self.seq, self.token = 1, 0, 0
        self.renewed = self.clock.now
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}
        self.results: set[str] = set()
        self.images: set[str] = set()
        self.alive, self.hung_until = True, 0.0
        self.sick = False
        """fails every task that it starts"""
        self.taken_at = math.inf
        """when the cloud takes the machine back"""
        self.node = self.clock.rng.choice(world.names)
        self.in_flight = 0
        self.due = 0.0
        self.last = -1.0
        self.token_told = -LEASE_S
        self._tick()

    def _tick(self) -> None:
        if self.clock.now >= self.taken_at:
            self.world.cloud.take(self.row["id"])
        if not self.alive:
            return
        now = self.clock.now
        if now - self.renewed > LEASE_S:
            # A hung machine too: it may go on only within its lease.
            for key in list(self.tasks):
                self._exit(key, "killed", gone=True)
            self.tasks.clear()
            self.session += 1
            self.renewed, self.due = now, now
        if now >= self.hung_until:
            for key, task in list(self.tasks.items()):
                if task["status"] == "pulling" and now >= task["at"]:
                    self._start(key)
                elif task["status"] == "running" and now >= task["until"]:
                    self._exit(key, "error" if self.sick else "done")
                elif task["status"] == "saving" and now >= task["at"]:
                    task["stored"] = True
                    self._save(key, self._progress(task))
                    self._exit(key, "stopped")
            if not self.in_flight and now >= self.due and now - self.last >= 0.5:
                self._report()
        self.clock.after(0.05, self._tick)

    def hang(self, seconds: float) -> None:
        """Nothing runs on, and nothing is executed, until then."""
        now = self.clock.now
        longer = now + seconds - max(now, self.hung_until)
        if longer <= 0:
            return
        self.hung_until = now + seconds
        for task in self.tasks.values():
            for field in ("until", "at", "halted"):
                if field in task:
                    task[field] += longer

    def be_taken(self, notice_s: float) -> None:
        """The cloud takes the machine back after this notice."""
        self.taken_at, self.due = self.clock.now + notice_s, 0.0

    def die(self) -> None:
        self.alive = False
        for key in list(self.tasks):
            self._exit(key, "killed", gone=True)

    def _start(self, key: tuple[str, int]) -> None:
        task = self.tasks[key]
        self.images.add(task["job"]["cargo"])
        task["status"] = "running"
        job, number = task["job"], int(key[0].partition("/")[2])
        task["run_s"] = SICK_RUN_S if self.sick else job.get("runs", {}).get(number, job["run_s"])
        task["until"] = self.clock.now + task["run_s"] - self.world.cloud.saved.get(key[0], 0.0)
        self.judge.started(key[0], self.row)
        self.due = 0.0
        if key[0] in self.results:
            self._exit(key, "done")

    def _progress(self, task: dict[str, Any]) -> float:
        stopped_at = task.get("halted", self.clock.now)
        return float(task["run_s"] - max(0.0, task["until"] - stopped_at))

    def _save(self, key: tuple[str, int], progress: float) -> None:
        """Checkpoints are stored outside the machine."""
        if progress > self.world.cloud.saved.get(key[0], 0.0):
            self.world.cloud.saved[key[0]] = progress

    def _exit(self, key: tuple[str, int], cause: str, gone: bool = False) -> None:
        task = self.tasks[key]
        if task["status"] in ("running", "saving"):
            every = task["job"]["stow_s"]
            if cause == "done":
                self.results.add(key[0])
            elif every:
                self._save(key, self._progress(task) // every * every)
            self.judge.stopped(key[0], self.row["id"], cause == "done")
        if not gone:
            task.update(status="exited", cause=cause)
            self.due = 0.0

    def report(self) -> dict[str, Any]:
        self.seq += 1
        return {
            "dockhand": self.row["id"],
            "addr": self.row["addr"],
            "hull": self.row["hull"],
            "quay": self.row["quay"],
            "standby": self.row["standby"],
            "shift": self.session,
            "tally": self.seq,
            "warrant": self.token,
            "recall_s": None if self.taken_at == math.inf else self.taken_at - self.clock.now,
            "crates": [
                {
                    "crate": name,
                    "try": attempt,
                    "status": t["status"],
                    **({"cause": t["cause"]} if t["status"] == "exited" else {}),
                    **({"stored": True} if t.get("stored") else {}),
                }
                for (name, attempt), t in self.tasks.items()
            ],
        }

    def body(self) -> bytes:
        return json.dumps(self.report()).encode()

    def _report(self) -> None:
        sent, session, node = self.clock.now, self.session, self.node
        self.last = sent
        self.due = sent + REPORT_S * (0.75 + self.clock.rng.random() / 2)
        self.in_flight += 1
        number = self.in_flight_id = self.clock.count
        body = self.body()

        def answered(status: int, answer: Any) -> None:
            if self.in_flight_id != number or not self.alive:
                return
            if self.clock.now < self.hung_until:
                # What arrived meanwhile is looked at when the machine goes on.
                self.clock.at(self.hung_until, lambda: answered(status, answer))
                return
            if self.clock.now - sent > 4.0:
                status = 0  # answers are dropped after that
            self.in_flight_id = -1
            self.in_flight = 0
            if status == 200:
                if session == self.session and answer.get("warrant", -1) >= self.token:
                    self._see(answer["warrant"])
                    self.renewed = max(self.renewed, sent)
                    self.execute(answer["orders"])
            else:
                named = answer.get("harbormaster") if status == 421 else None
                if named in self.world.names and named != node:
                    self.node, self.due = named, self.clock.now
                else:
                    names = self.world.names
                    self.node = names[(names.index(node) + 1) % len(names)]
                    self.due = self.clock.now + 1.0

        self.world.call_node(self.row["id"], node, "POST", "/agent/beat", body, answered)
        self.clock.after(4.0, lambda: answered(0, {}))

    def _see(self, token: int) -> None:
        """A higher token counts as a change at most once in half a lease."""
        if token > self.token:
            self.token = token
            if self.clock.now - self.token_told >= LEASE_S / 2:
                self.due, self.token_told = 0.0, self.clock.now

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["crate"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self._launch(key)
            elif order["verb"] == "halt" and task is not None and task["status"] != "exited":
                self._halt(key, order.get("mooring_s") or 0.0)
            elif order["verb"] == "forget" and task is not None and task["status"] == "exited":
                del self.tasks[key]

    def _halt(self, key: tuple[str, int], mooring_s: float) -> None:
        task = self.tasks[key]
        job = task["job"]
        if task["status"] == "running" and job["stow_s"] and mooring_s >= job["lash_s"]:
            task.update(status="saving", halted=self.clock.now, at=self.clock.now + job["lash_s"])
            self.due = 0.0
        elif task["status"] != "saving" or not mooring_s:
            self._exit(key, "stopped")

    def _launch(self, key: tuple[str, int]) -> None:
        job = self.judge.jobs.get(key[0].split("/")[0])
        if job is None:
            self.tasks[key] = {"status": "exited", "cause": "unknown"}
            self.due = 0.0
            return
        active = [(k, t) for k, t in self.tasks.items() if t["status"] != "exited"]
        cause = None
        if any(k[0] == key[0] for k, _ in active):
            cause = "in_use"
        elif sum(t["job"]["cores"] for _, t in active) + job["cores"] > self.slots["cores"]:
            cause = "full"
        wait = 0.0 if job["cargo"] in self.images else 2.0
        self.tasks[key] = {"status": "pulling", "job": job, "at": self.clock.now + wait}
        if cause:
            self._exit(key, cause)
        self.due = 0.0

    def show(self, answer: Callable[[int, Any], None]) -> None:
        if not self.alive:
            return
        if self.clock.now < self.hung_until:
            self.clock.at(self.hung_until, lambda: self.show(answer))
            return
        answer(200, self.report())

    def orders(
        self, body: dict[str, Any], answer: Callable[[int, Any], None], held: bool = False
    ) -> None:
        if not self.alive:
            return
        if self.clock.now < self.hung_until:
            self.clock.at(self.hung_until, lambda: self.orders(body, answer, True))
            return
        if body["warrant"] < self.token or body["shift"] != self.session:
            if held:
                self.world.cloud.after_hang.append((self.row["id"], 409))
            answer(409, self.report())
            return
        if held:
            self.world.cloud.after_hang.append((self.row["id"], 200))
        self._see(body["warrant"])
        self.execute(body["orders"])
        answer(200, self.report())


class Cloud:
    """Machine types, rentals and a list that lags."""

    def __init__(self, world: Any, types: list[dict[str, Any]], capacity: int) -> None:
        self.world, self.types, self.capacity = world, types, capacity
        self.clock: Clock = world.clock
        self.lag_s = 4
        """s; age of the list that is told"""
        self.of_kind = capacity
        """machines of one zone and kind (spot or ordinary) at most"""
        self.machines: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.out_until = 0.0
        self.rps = math.inf
        """calls a second; beyond, and beyond a burst of two seconds' worth, 429"""
        self.calls_left = math.inf
        self.called_at = 0.0
        self.old: list[list[dict[str, Any]]] = []
        self.rented_at: dict[str, float] = {}
        self.boot_s = (3.0, 7.0)
        """s that a machine takes until it is up, at least and at most"""
        self.saved: dict[str, float] = {}
        """task -> s of progress that its last checkpoint holds, outside the machines"""
        self.after_hang: list[tuple[str, int]] = []
        """machine and status of direct commands carried out when it went on"""
        self.when_up: Callable[[str], None] = lambda name: None
        self._photograph()

    def _photograph(self) -> None:
        rows = [
            dict(row, age_s=self.clock.now - row["born"])
            for row in self.machines.values()
            if not row.get("taken")
        ]
        self.old = [*self.old[-self.lag_s :], rows]
        self.clock.after(1.0, self._photograph)

    def request(
        self, node: str, method: str, path: str, body: bytes, answer: Callable[[int, Any], None]
    ) -> None:
        path, _, query = path.partition("?")
        if self.clock.now < self.out_until:
            answer(503, {"error": "trouble"})
        elif not self._within_rate():
            answer(429, {"error": "too fast"})
        elif path == "/machine_types":
            answer(200, {"hulls": self.types})
        elif path == "/machines/delete":
            for name in json.loads(body)["dockhands"]:
                self.kill(name)
                self.machines.pop(name, None)
            answer(200, {})
        elif method == "POST":
            self._rent(json.loads(body), answer)
        else:
            answer(200, self._page(dict(parse_qsl(query))))

    def _within_rate(self) -> bool:
        now = self.clock.now
        gained = (now - self.called_at) * self.rps if now > self.called_at else 0.0
        self.calls_left, self.called_at = min(2 * self.rps, self.calls_left + gained), now
        if self.calls_left < 1:
            return False
        self.calls_left -= 1
        return True

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        """A page of the list, which describes the state of some seconds ago."""
        limit = min(500, int(query.get("limit", 500)))
        rows = [row for row in self.old[0] if row["id"] > query.get("since", "")]
        rows.sort(key=lambda row: str(row["id"]))
        return {"dockhands": rows[:limit], "has_next": len(rows) > limit}

    def add_machines(self, count: int, up_within_s: float, first: int = 0) -> None:
        """Ordinary machines that exist already; their workers begin within that time."""
        for number in range(first, first + count):
            kind = self.types[0]
            name = f"vm-{number:06d}"
            self.machines[name] = {
                "id": name,
                "addr": f"10.9.{number // 250}.{number % 250}:9000",
                "hull": kind["name"],
                "quay": kind["quays"][number % len(kind["quays"])],
                "standby": False,
                "status": "starting",
                "born": self.clock.now,
            }
            self.clock.after(up_within_s * self.clock.rng.random(), partial(self._up, name))

    def take(self, name: str) -> None:
        """The machine is gone, and no longer listed."""
        self.kill(name)
        self.machines.pop(name, None)

    def kill(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()
        if name in self.machines:
            self.machines[name]["status"] = "failed"

    def _rent(self, request: dict[str, Any], answer: Callable[[int, Any], None]) -> None:
        if request["charter"] not in self.rentals:
            live = [
                (row["quay"], row["standby"])
                for row in self.machines.values()
                if row["status"] != "failed"
            ]
            count = min(
                request["count"],
                self.capacity - len(live),
                self.of_kind - live.count((request["quay"], request["standby"])),
            )
            if count <= 0:
                answer(503, {"error": "no capacity"})
                return
            names: list[str] = []
            for _ in range(count):
                name = f"vm-{self.clock.count:06d}{len(names):02d}"
                names.append(name)
                self.rented_at[name] = self.clock.now
                self.machines[name] = {
                    "id": name,
                    "addr": f"10.9.{len(self.machines) // 250}."
                    f"{len(self.machines) % 250}:{9000 + self.clock.count % 999}",
                    "hull": request["hull"],
                    "quay": request["quay"],
                    "standby": request["standby"],
                    "status": "starting",
                    "born": self.clock.now,
                }
                least, most = self.boot_s
                boot_s = least + (most - least) * self.clock.rng.random()
                self.clock.after(boot_s, partial(self._up, name))
            self.rentals[request["charter"]] = names
        answer(200, {"dockhands": self.rentals[request["charter"]]})

    def _up(self, name: str) -> None:
        row = self.machines.get(name)
        if row is not None and row["status"] == "starting":
            row["status"] = "running"
            slots = next(t for t in self.types if t["name"] == row["hull"])
            self.workers[name] = Worker(self.world, row, slots)
            self.when_up(name)
