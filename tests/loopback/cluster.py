"""The loopback cluster: controllers as processes, all else stand-ins in this process."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from appledock.net.http import Client, NoAnswer, NotSent, SendResponse, Server
from tests.loopback.controller import ROOT, Controller
from tests.loopback.relay import Relay
from tests.standins.deployment import TYPES
from tests.standins.judge import Judge
from tests.standins.machines import LEASE_S, REPORT_S, Cloud, Worker
from tests.standins.node import Answer
from tests.standins.sockets import RealClock, free_port
from tests.standins.state import State
from tests.standins.users import Users

CANCEL_S = 25.0
SOCKETS = 1000
NAMES = ("n0", "n1", "n2")


class LoopbackWorker(Worker):
    """Counts the work that is thrown away when a task ends undone."""

    def _exit(self, key: tuple[str, int], cause: str, gone: bool = False) -> None:
        task = self.tasks[key]
        if cause != "done" and task["status"] in ("running", "saving"):
            if task["job"]["shape"] == "batch":
                kept = self.world.cloud.saved.get(key[0], 0.0)
                lost = max(0.0, self._progress(task) - kept)
                self.world.lost_core_s += lost * task["job"]["cores"]
            self.world.stops += cause == "stopped"
        super()._exit(key, cause, gone)


class LoopbackCloud(Cloud):
    """Its machines' workers listen on ports of their own."""

    def __init__(self, world: LoopbackCluster) -> None:
        super().__init__(world, TYPES, 0)
        self.servers: dict[str, Server] = {}

    def _up(self, name: str) -> None:
        self.world.spawn(self._start_worker(name))

    async def _start_worker(self, name: str) -> None:
        row = self.machines.get(name)
        if row is None:
            return
        server = self.servers[name] = Server(partial(self._ask, name), SOCKETS)
        row["addr"] = f"127.0.0.1:{await server.start('127.0.0.1', 0)}"
        row["status"] = "running"
        slots = next(kind for kind in self.types if kind["name"] == row["hull"])
        self.workers[name] = LoopbackWorker(self.world, row, slots)

    def _ask(
        self, name: str, _method: str, path: str, _query: str, body: bytes, answer: SendResponse
    ) -> None:
        worker = self.workers.get(name)
        if worker is None or self.clock.parted(name, "orders"):
            return

        def reply(status: int, report: Any) -> None:
            answer(status, json.dumps(report).encode(), None)

        if path == "/show":
            worker.show(reply)
        else:
            worker.orders(json.loads(body), reply)

    def kill(self, name: str) -> None:
        server = self.servers.pop(name, None)
        if server is not None:
            server.close()
        super().kill(name)


class LoopbackCluster(Users):
    """Three controllers, N workers, state service, cloud, relays and a judge.

    Used as a context: it ends all that it started, also when it is interrupted.
    """

    cloud: LoopbackCloud

    def __init__(
        self,
        folder: Path,
        teams: dict[str, float],
        options: list[str],
        seed: int,
        root: Path = ROOT,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        clock = RealClock(self.loop)
        clock.rng.seed(seed)
        super().__init__(clock, Judge(clock, teams, CANCEL_S))
        self.names = list(NAMES)
        self.teams = teams
        self.folder, self.options = folder, options
        self.root = root
        """folder of the program that the controllers are started from"""
        self.state, self.cloud = State(clock, write_rps=40.0), LoopbackCloud(self)
        self.controllers: dict[str, Controller] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.servers: list[Server] = []
        self.clients: dict[tuple[str, str], Client] = {}
        self.tasks: set[asyncio.Task[Any]] = set()
        self.lost_core_s, self.stops = 0.0, 0

    # --- start and end ----------------------------------------------------
    async def __aenter__(self) -> LoopbackCluster:
        self.folder.mkdir(parents=True, exist_ok=True)
        ports = {name: (free_port(), free_port()) for name in self.names}
        for source in self.names:
            for target in self.names:
                if source != target:
                    self.relays[source, target] = Relay(ports[target][1])
        for name in self.names:
            settings = await self._settings(name, ports)
            self.controllers[name] = Controller(
                name, settings, self.folder, self.options, self.root
            )
        for controller in self.controllers.values():
            controller.start()
        self._look()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for controller in self.controllers.values():
            controller.end()
        for task in self.tasks:
            task.cancel()
        for relay in self.relays.values():
            relay.close()
        for server in [*self.servers, *self.cloud.servers.values()]:
            server.close()

    def spawn(self, work: Any) -> None:
        """Run a coroutine beside the others."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _settings(self, name: str, ports: dict[str, tuple[int, int]]) -> dict[str, Any]:
        peers = [
            {"node_name": other, "endpoint": f"127.0.0.1:{await self.relays[name, other].start()}"}
            for other in self.names
            if other != name
        ]
        state = await self._serve(name, "state", self.state.request)
        cloud = await self._serve(name, "cloud", self.cloud.request)
        workers = {"report_s": REPORT_S, "lease_s": LEASE_S, "cancel_s": CANCEL_S}
        return {
            "node_name": name,
            "public_addr": f"127.0.0.1:{ports[name][0]}",
            "back": f"127.0.0.1:{ports[name][1]}",
            "peers": peers,
            "external": {"state": f"127.0.0.1:{state}", "cloud": f"127.0.0.1:{cloud}"},
            "cluster": {
                "size": len(self.names),
                "zones": ["a", "b"],
                "teams": [
                    {"name": team, "cpus": most / 2, "cpus_max": most}
                    for team, most in self.teams.items()
                ],
                "workers": workers,
                "state": {"rps": 200, "write_rps": 40, "value_kb": 8, "txn_ops": 12},
                "cloud": {"rps": 10, "list_lag_s": 3},
                "machine_limits": {"fd_limit": SOCKETS},
            },
        }

    async def _serve(self, node: str, host: str, target: Callable[..., None]) -> int:
        """A port on which this controller alone reaches an outside system."""

        def handler(method: str, path: str, query: str, body: bytes, answer: SendResponse) -> None:
            if self.clock.parted(node, host):
                return  # the caller waits in vain
            url = f"{path}?{query}" if query else path
            target(
                node,
                method,
                url,
                body,
                lambda status, reply: answer(status, json.dumps(reply).encode(), None),
            )

        server = Server(handler, SOCKETS)
        self.servers.append(server)
        return await server.start("127.0.0.1", 0)

    def _look(self) -> None:
        self.judge.look(self.cloud.workers.values())
        self.clock.after(0.5, self._look)

    # --- network ----------------------------------------------------------
    def call_node(
        self, source: str, node: str, method: str, path: str, body: bytes, answer: Answer
    ) -> None:
        if self.clock.parted(source, node):
            self.clock.after(1.0, lambda: answer(0, {}))
        else:
            self.spawn(self._call(source, node, method, path, body, answer))

    async def _call(
        self, source: str, node: str, method: str, path: str, body: bytes, answer: Answer
    ) -> None:
        client = self.clients.get((source, node))
        if client is None:
            host, _, port = self.controllers[node].api.partition(":")
            client = self.clients[source, node] = Client(host, int(port), max_connections=64)
        try:
            status, reply = await client.request(method, path, body, 5.0)
        except (NotSent, NoAnswer):
            answer(0, {})
        else:
            answer(status, json.loads(reply))

    def _balanced(self) -> list[str]:
        return [name for name in self.names if self.controllers[name].up()]

    async def admin(self, node: str, path: str, body: Any = None, method: str = "") -> Any:
        """A request to the administration API; None without an answer, or a good one."""
        host, _, port = self.controllers[node].api.partition(":")
        client = Client(host, int(port))
        payload = b"" if body is None else json.dumps(body).encode()
        method = method or ("GET" if body is None else "PATCH")
        try:
            status, reply = await client.request(method, f"/admin/v1/{path}", payload, 3.0)
        except (NotSent, NoAnswer):
            return None
        finally:
            client.close()
        return json.loads(reply) if status == 200 else None

    async def healthy(self, within_s: float = 30.0) -> None:
        """Wait until all controllers can take requests."""
        for _ in range(int(within_s / 0.2)):
            states = [await self.admin(name, "status") for name in self.names]
            if all(state is not None and state["healthy"] for state in states):
                return
            await asyncio.sleep(0.2)
        raise TimeoutError("the controllers do not become healthy")

    # --- faults -----------------------------------------------------------
    def crash(self, name: str, seconds: float) -> None:
        """Kill a controller; it is started again later."""
        self.controllers[name].signal(signal.SIGKILL)
        self.clock.after(seconds, self.controllers[name].start)

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a controller's process and let it go on later."""
        self.controllers[name].signal(signal.SIGSTOP)
        self.clock.after(seconds, lambda: self.controllers[name].signal(signal.SIGCONT))

    def part_controllers(self, name: str, seconds: float) -> None:
        """Cut the links between one controller and the others."""
        for pair, relay in self.relays.items():
            if name in pair:
                relay.cut(seconds)

    def cut_worker(self, name: str, seconds: float) -> None:
        """Cut a worker from all controllers."""
        self.clock.cut({name}, {*self.names, "orders"}, seconds, False)
