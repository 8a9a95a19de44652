"""The loopback cluster: controllers run as processes, stand-ins for all else in this process."""

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
MAX_CONNECTIONS = 1000
CONTROLLER_NAMES = ("n0", "n1", "n2")


class LoopbackWorker(Worker):
    """Counts stopped tasks, and the lost work of arrays whose tasks end before completion."""

    def _exit(self, key: tuple[str, int], cause: str, gone: bool = False) -> None:
        task = self.tasks[key]
        if cause != "done" and task["status"] in ("running", "saving"):
            if task["job"]["shape"] == "batch":
                saved_s = self.world.cloud.saved.get(key[0], 0.0)
                lost_s = max(0.0, self._progress(task) - saved_s)
                self.world.lost_core_s += lost_s * task["job"]["cores"]
            self.world.stopped_tasks += cause == "stopped"
        super()._exit(key, cause, gone)


class LoopbackCloud(Cloud):
    """Stand-in for the cloud; the worker of each machine listens on a port of its own."""

    def __init__(self, world: LoopbackCluster) -> None:
        super().__init__(world, TYPES, 0)
        self.servers: dict[str, Server] = {}

    def _up(self, name: str) -> None:
        self.world.spawn(self._start_worker(name))

    async def _start_worker(self, name: str) -> None:
        row = self.machines.get(name)
        if row is None:
            return
        server = self.servers[name] = Server(partial(self._handle_request, name), MAX_CONNECTIONS)
        row["addr"] = f"127.0.0.1:{await server.start('127.0.0.1', 0)}"
        row["status"] = "running"
        machine_type = next(kind for kind in self.types if kind["name"] == row["hull"])
        self.workers[name] = LoopbackWorker(self.world, row, machine_type)

    def _handle_request(
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
        """Delete a machine without notice; its worker stops listening."""
        server = self.servers.pop(name, None)
        if server is not None:
            server.close()
        super().kill(name)


class LoopbackCluster(Users):
    """Three controllers, workers, store, cloud, relays between controllers, and a judge.

    As an asynchronous context manager, it ends all that it started, also after an interrupt.
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
        self.names = list(CONTROLLER_NAMES)
        self.teams = teams
        self.folder, self.options = folder, options
        self.root = root
        """root folder of the program that the controllers run"""
        self.state, self.cloud = State(clock, write_rps=40.0), LoopbackCloud(self)
        self.controllers: dict[str, Controller] = {}
        self.relays: dict[tuple[str, str], Relay] = {}
        self.servers: list[Server] = []
        self.clients: dict[tuple[str, str], Client] = {}
        self.background_tasks: set[asyncio.Task[Any]] = set()
        self.lost_core_s, self.stopped_tasks = 0.0, 0
        """core-seconds of lost work; number of tasks that were stopped while running or saving"""

    # --- start and end ----------------------------------------------------
    async def __aenter__(self) -> LoopbackCluster:
        self.folder.mkdir(parents=True, exist_ok=True)
        ports = {name: (free_port(), free_port()) for name in self.names}
        for source in self.names:
            for target in self.names:
                if source != target:
                    self.relays[source, target] = Relay(ports[target][1])
        for name in self.names:
            settings = await self._build_settings(name, ports)
            self.controllers[name] = Controller(
                name, settings, self.folder, self.options, self.root
            )
        for controller in self.controllers.values():
            controller.start()
        self._check_rules()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for controller in self.controllers.values():
            controller.kill()
        for task in self.background_tasks:
            task.cancel()
        for relay in self.relays.values():
            relay.close()
        for server in [*self.servers, *self.cloud.servers.values()]:
            server.close()

    def spawn(self, coroutine: Any) -> None:
        """Run the coroutine as a background task, which is cancelled when the cluster ends."""
        task = self.loop.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)

    async def _build_settings(self, name: str, ports: dict[str, tuple[int, int]]) -> dict[str, Any]:
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
                    {"name": team, "cpus": limit / 2, "cpus_max": limit}
                    for team, limit in self.teams.items()
                ],
                "workers": workers,
                "state": {"rps": 200, "write_rps": 40, "value_kb": 8, "txn_ops": 12},
                "cloud": {"rps": 10, "list_lag_s": 3},
                "machine_limits": {"fd_limit": MAX_CONNECTIONS},
            },
        }

    async def _serve(self, node: str, host: str, target: Callable[..., None]) -> int:
        """Serve an outside system to one controller on a separate port; return the port.

        With a port for each controller, a controller can be disconnected by itself.
        """

        def handler(method: str, path: str, query: str, body: bytes, answer: SendResponse) -> None:
            if self.clock.parted(node, host):
                return  # the connection is cut: the caller gets no answer
            url = f"{path}?{query}" if query else path
            target(
                node,
                method,
                url,
                body,
                lambda status, reply: answer(status, json.dumps(reply).encode(), None),
            )

        server = Server(handler, MAX_CONNECTIONS)
        self.servers.append(server)
        return await server.start("127.0.0.1", 0)

    def _check_rules(self) -> None:
        self.judge.look(self.cloud.workers.values())
        self.clock.after(0.5, self._check_rules)

    # --- network ----------------------------------------------------------
    def call_node(
        self, source: str, node: str, method: str, path: str, body: bytes, answer: Answer
    ) -> None:
        """Send a request to a controller; `answer` gets status 0 if there is no answer."""
        if self.clock.parted(source, node):
            self.clock.after(1.0, lambda: answer(0, {}))
        else:
            self.spawn(self._send(source, node, method, path, body, answer))

    async def _send(
        self, source: str, node: str, method: str, path: str, body: bytes, answer: Answer
    ) -> None:
        client = self.clients.get((source, node))
        if client is None:
            host, _, port = self.controllers[node].api_address.partition(":")
            client = self.clients[source, node] = Client(host, int(port), max_connections=64)
        try:
            status, reply = await client.request(method, path, body, 5.0)
        except (NotSent, NoAnswer):
            answer(0, {})
        else:
            answer(status, json.loads(reply))

    def _balanced(self) -> list[str]:
        return [name for name in self.names if self.controllers[name].is_running()]

    async def call_admin_api(self, node: str, path: str, body: Any = None, method: str = "") -> Any:
        """Call the administration API; return None without an answer with status 200."""
        host, _, port = self.controllers[node].api_address.partition(":")
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

    async def wait_until_healthy(self, within_s: float = 30.0) -> None:
        """Wait until all controllers report that they are healthy."""
        for _ in range(int(within_s / 0.2)):
            states = [await self.call_admin_api(name, "status") for name in self.names]
            if all(state is not None and state["healthy"] for state in states):
                return
            await asyncio.sleep(0.2)
        raise TimeoutError(f"not all controllers became healthy within {within_s} s")

    # --- faults -----------------------------------------------------------
    def crash(self, name: str, seconds: float) -> None:
        """Kill a controller; start it again after this time."""
        self.controllers[name].send_signal(signal.SIGKILL)
        self.clock.after(seconds, self.controllers[name].start)

    def freeze(self, name: str, seconds: float) -> None:
        """Suspend a controller's process; resume it after this time."""
        self.controllers[name].send_signal(signal.SIGSTOP)
        self.clock.after(seconds, lambda: self.controllers[name].send_signal(signal.SIGCONT))

    def disconnect_controller(self, name: str, seconds: float) -> None:
        """Hold all data between one controller and the others for this time."""
        for pair, relay in self.relays.items():
            if name in pair:
                relay.hold(seconds)

    def disconnect_worker(self, name: str, seconds: float) -> None:
        """Drop all messages between a worker and the controllers for this time."""
        self.clock.cut({name}, {*self.names, "orders"}, seconds, False)
