"""Stand-ins for the cloud and its machines with their workers."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from tests.standins.clock import Clock
from tests.standins.judge import Judge

REPORT_S, LEASE_S = 1.5, 10.0


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
        self.node = self.clock.rng.choice(world.names)
        self.in_flight = 0
        self.due = 0.0
        self.last = -1.0
        self._tick()

    def _tick(self) -> None:
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
                    self._exit(key, "done")
            if not self.in_flight and now >= self.due and now - self.last >= 0.5:
                self._report()
        self.clock.after(0.05, self._tick)

    def die(self) -> None:
        self.alive = False
        for key in list(self.tasks):
            self._exit(key, "killed", gone=True)

    def _start(self, key: tuple[str, int]) -> None:
        task = self.tasks[key]
        self.images.add(task["job"]["cargo"])
        task["status"] = "running"
        task["until"] = self.clock.now + task["job"]["run_s"]
        self.judge.started(key[0], self.row)
        self.due = 0.0
        if key[0] in self.results:
            self._exit(key, "done")

    def _exit(self, key: tuple[str, int], cause: str, gone: bool = False) -> None:
        task = self.tasks[key]
        if task["status"] == "running":
            if cause == "done":
                self.results.add(key[0])
            self.judge.stopped(key[0], self.row["id"], cause == "done")
        if not gone:
            task.update(status="exited", cause=cause)
            self.due = 0.0

    def report(self) -> dict[str, Any]:
        self.seq += 1
        return {"dockhand": self.row["id"], "addr": self.row["addr"], "hull": self.row["hull"],
                "quay": self.row["quay"], "standby": self.row["standby"], "shift": self.session,
                "tally": self.seq, "warrant": self.token, "recall_s": None,
                "crates": [{"crate": name, "try": attempt, "status": t["status"],
                            **({"cause": t["cause"]} if t["status"] == "exited" else {})}
                           for (name, attempt), t in self.tasks.items()]}

    def _report(self) -> None:
        sent, session, node = self.clock.now, self.session, self.node
        self.last = sent
        self.due = sent + REPORT_S * (0.75 + self.clock.rng.random() / 2)
        self.in_flight += 1
        number = self.in_flight_id = self.clock.count
        body = json.dumps(self.report()).encode()

        def answered(status: int, answer: Any) -> None:
            if self.in_flight_id != number or not self.alive:
                return
            self.in_flight_id = -1
            self.in_flight = 0
            if status == 200:
                if session == self.session and answer.get("warrant", -1) >= self.token:
                    if answer["warrant"] > self.token:
                        self.token = answer["warrant"]
                        self.due = 0.0
                    if self.clock.now >= self.hung_until:
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

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["crate"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self._launch(key)
            elif order["verb"] == "halt" and task is not None and task["status"] != "exited":
                self._exit(key, "stopped")
            elif order["verb"] == "forget" and task is not None and task["status"] == "exited":
                del self.tasks[key]

    def _launch(self, key: tuple[str, int]) -> None:
        job = self.judge.jobs[key[0].split("/")[0]]
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

    def orders(self, body: dict[str, Any], answer: Callable[[int, Any], None]) -> None:
        if not self.alive:
            return
        if self.clock.now < self.hung_until:
            self.clock.at(self.hung_until, lambda: self.orders(body, answer))
            return
        if body["warrant"] < self.token or body["shift"] != self.session:
            answer(409, self.report())
            return
        if body["warrant"] > self.token:
            self.token, self.due = body["warrant"], 0.0
        self.execute(body["orders"])
        answer(200, self.report())


class Cloud:
    """Machine types, rentals and a list that lags."""

    def __init__(self, world: Any, types: list[dict[str, Any]], capacity: int) -> None:
        self.world, self.types, self.capacity = world, types, capacity
        self.clock: Clock = world.clock
        self.machines: dict[str, dict[str, Any]] = {}
        self.workers: dict[str, Worker] = {}
        self.rentals: dict[str, list[str]] = {}
        self.out_until = 0.0
        self.old: list[list[dict[str, Any]]] = []
        self._photograph()

    def _photograph(self) -> None:
        rows = [dict(row, age_s=self.clock.now - row["born"])
                for row in self.machines.values() if not row.get("taken")]
        self.old = [*self.old[-4:], rows]
        self.clock.after(1.0, self._photograph)

    def request(self, node: str, method: str, path: str, body: bytes,
                answer: Callable[[int, Any], None]) -> None:
        if self.clock.now < self.out_until:
            answer(503, {"error": "trouble"})
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
            answer(200, {"dockhands": self.old[0], "has_next": False})

    def kill(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.die()
        if name in self.machines:
            self.machines[name]["status"] = "failed"

    def _rent(self, request: dict[str, Any], answer: Callable[[int, Any], None]) -> None:
        if request["charter"] not in self.rentals:
            live = sum(row["status"] != "failed" for row in self.machines.values())
            count = min(request["count"], self.capacity - live)
            if count <= 0:
                answer(503, {"error": "no capacity"})
                return
            names = []
            for _ in range(count):
                name = f"vm-{self.clock.count:06d}{len(names):02d}"
                names.append(name)
                self.machines[name] = {
                    "id": name, "addr": f"10.9.{len(self.machines) // 250}."
                    f"{len(self.machines) % 250}:{9000 + self.clock.count % 999}",
                    "hull": request["hull"], "quay": request["quay"],
                    "standby": request["standby"], "status": "starting", "born": self.clock.now}
                self.clock.after(3 + 4 * self.clock.rng.random(), lambda name=name: self._up(name))
            self.rentals[request["charter"]] = names
        answer(200, {"dockhands": self.rentals[request["charter"]]})

    def _up(self, name: str) -> None:
        row = self.machines.get(name)
        if row is not None and row["status"] == "starting":
            row["status"] = "running"
            slots = next(t for t in self.types if t["name"] == row["hull"])
            self.workers[name] = Worker(self.world, row, slots)
