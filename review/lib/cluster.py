"""Controllers as processes of the deploy file, with stand-ins for all else."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from lib.fleet import Cloud
from lib.http import Server, encode, request_once
from lib.judge import Judge, Record
from lib.state import State

ROOT = Path(__file__).resolve().parents[2]
POLL_S = 5.0


def reserve_port(reserved: list[socket.socket]) -> int:
    """Return a free port. The socket stays bound and does not listen, so that the port is kept."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    held.bind(("127.0.0.1", 0))
    reserved.append(held)
    return int(held.getsockname()[1])


class Controller:
    """A controller process."""

    def __init__(self, name: str, settings: dict[str, Any], folder: Path, record: Record) -> None:
        self.name, self.record = name, record
        self.public = settings["public_addr"]
        self.file = folder / f"{name}.json"
        self.file.write_text(json.dumps(settings))
        self.log = folder / f"{name}.log"
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        self.command = [*shlex.split(deploy["run"]), str(self.file)]
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log)
        self.record(f"controller {self.name} started, pid {self.process.pid}")

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.record(f"controller {self.name} gets {number.name}")
            self.process.send_signal(number)

    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Balancer:
    """The load balancer: probes /healthz, and picks a healthy node for each connection."""

    def __init__(self, controllers: list[Controller], record: Record, rng: random.Random) -> None:
        self.controllers, self.record, self.rng = controllers, record, rng
        self.healthy: dict[str, bool] = {c.name: False for c in controllers}
        self.results: dict[str, list[bool]] = {c.name: [] for c in controllers}
        self.removed_at: dict[str, float] = {}

    async def probe(self, controller: Controller) -> None:
        name = controller.name
        while True:
            status, _ = await request_once(controller.public, "GET", "/healthz", b"", 1.0, 1.0)
            results = self.results[name] = [*self.results[name][-5:], status == 200]
            if self.healthy[name]:
                if results[-2:] == [False, False] or results.count(False) >= 3:
                    self.healthy[name] = False
                    self.removed_at[name] = time.monotonic()
                    self.record(f"balancer: {name} is unhealthy")
            elif name not in self.removed_at:
                self.healthy[name] = status == 200
            elif results[-2:] == [True, True] and time.monotonic() > self.removed_at[name] + 3:
                self.healthy[name] = True
                self.results[name] = results[-2:]
                self.record(f"balancer: {name} is healthy again")
            await asyncio.sleep(1.0)

    def choices(self) -> list[Controller]:
        healthy = [c for c in self.controllers if self.healthy[c.name]]
        self.rng.shuffle(healthy)
        return healthy[:3]


class Cluster:
    """Three controllers, state service, cloud, workers, load balancer and users."""

    def __init__(
        self,
        record: Record,
        cluster: dict[str, Any],
        types: list[dict[str, Any]],
        capacity: dict[tuple[str, bool], int],
        seed: int = 1,
    ) -> None:
        self.record, self.settings = record, cluster
        self.rng = random.Random(seed)
        limits = {team["name"]: team["cpus_max"] for team in cluster["teams"]}
        self.judge = Judge(record, limits, cluster["workers"]["cancel_s"])
        self.state = State(cluster["state"])
        self.run_times: dict[str, float] = {}
        self.cloud = Cloud(
            record=record,
            judge=self.judge,
            types=types,
            limits=cluster["cloud"],
            times=cluster["workers"],
            capacity=capacity,
            run_s=lambda task: self.run_times[task.partition("/")[0]],
            seed=seed,
        )
        self.controllers: list[Controller] = []
        self.servers: list[Server] = []
        self.tasks: set[asyncio.Task[Any]] = set()
        self.reserved: list[socket.socket] = []
        self.last_job = 0
        self.polls_done_jobs = True
        self.folder = tempfile.TemporaryDirectory(prefix="review-")

    # --- start and end ----------------------------------------------------
    async def __aenter__(self) -> Cluster:
        names = [f"dockhand-{number}" for number in range(self.settings["size"])]
        ports = {name: (reserve_port(self.reserved), reserve_port(self.reserved)) for name in names}
        zone = self.settings["zones"][0]
        for name in names:
            state = await self._serve(partial(self.state.handle, name))
            cloud = await self._serve(partial(self.cloud.handle, name))
            settings = {
                "node_name": name,
                "location": zone,
                "public_addr": f"127.0.0.1:{ports[name][0]}",
                "back": f"127.0.0.1:{ports[name][1]}",
                "peers": [
                    {
                        "node_name": other,
                        "location": zone,
                        "endpoint": f"127.0.0.1:{await self.peer_port(name, other, ports)}",
                    }
                    for other in names
                    if other != name
                ],
                "external": {
                    "cloud": f"127.0.0.1:{cloud}",
                    "state": f"127.0.0.1:{state}",
                },
                "cluster": self.settings,
            }
            folder = Path(self.folder.name)
            self.controllers.append(Controller(name, settings, folder, self.record))
        self.cloud.nodes = [(c.name, c.public) for c in self.controllers]
        self.balancer = Balancer(self.controllers, self.record, self.rng)
        for controller in self.controllers:
            controller.start()
            self.spawn(self.balancer.probe(controller))
        self.spawn(self.state.end_leases())
        self.spawn(self.cloud.lag_list())
        self.spawn(self._look())
        return self

    async def peer_port(self, name: str, other: str, ports: dict[str, tuple[int, int]]) -> int:
        """Return the port at which `name` reaches `other`; a case may put a proxy between."""
        return ports[other][1]

    async def _serve(self, handler: Callable[..., Any]) -> int:
        server = Server(handler)
        self.servers.append(server)
        return await server.start()

    async def __aexit__(self, *_: object) -> None:
        for controller in self.controllers:
            controller.end()
        for task in self.tasks:
            task.cancel()
        for name in list(self.cloud.workers):
            worker = self.cloud.workers.pop(name)
            for loop in worker.loops:
                loop.cancel()
            worker.server.close()
        for server in self.servers:
            server.close()
        for held in self.reserved:
            held.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for controller in self.controllers:
                Path(keep, controller.log.name).write_bytes(controller.log.read_bytes())
        self.folder.cleanup()

    def spawn(self, coroutine: Any) -> asyncio.Task[Any]:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.record(f"STAND-IN FAILED {task.exception()!r}")

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.judge.look()
            for controller in self.controllers:
                if controller.process is not None and controller.process.poll() is not None:
                    code = controller.process.returncode
                    if code != -signal.SIGKILL:
                        self.judge.breaks("process ended", f"{controller.name} status {code}")

    async def wait_until_healthy(self, within_s: float = 20.0) -> None:
        """Wait until all controllers are healthy; raise TimeoutError if they aren't in time."""
        end = time.monotonic() + within_s
        while not all(self.balancer.healthy.values()):
            if time.monotonic() > end:
                raise TimeoutError("the controllers do not become healthy")
            await asyncio.sleep(0.1)
        self.record("all controllers are healthy")

    # --- users ------------------------------------------------------------
    def spec(self, run_s: float, **fields: Any) -> dict[str, Any]:
        """Return the specification of a new job; its tasks run for `run_s` seconds."""
        self.last_job += 1
        job = f"job-{self.last_job:06d}"
        self.run_times[job] = run_s
        return {
            "id": job,
            "berth": "tariff-reload",
            "owner": self.settings["teams"][0]["name"],
            "shape": "batch",
            "rank": "standard",
            "crates": 1,
            "cores": 1.0,
            "cards": 0.0,
            "memory_gb": 1.0,
            "cargo": "img-01",
            "image_gb": 0.2,
            "hulls": None,
            "quay": None,
            "together": False,
            "scatter": False,
            "standby": False,
            "eta_s": run_s,
            "stow_s": 0.0,
            "lash_s": 0.0,
            "sail_s": None,
            **fields,
        }

    async def ask(
        self, job: str, method: str, path: str, body: bytes, timeout: float, node: str | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send one request of a user through the load balancer, or to one node."""
        sent = time.monotonic()
        status, payload, via = 0, b"", "nobody"
        chosen = (
            [c for c in self.controllers if c.name == node] if node else self.balancer.choices()
        )
        for controller in chosen[:1]:
            via = controller.name
            status, payload = await request_once(controller.public, method, path, body, timeout)
        try:
            answer = json.loads(payload) if payload else {}
        except ValueError:
            answer = {}
        self.record(f"user {method} {path} {job} via {via}: {status} {payload[:100].decode()}")
        self.judge.answered(job, sent, status, answer.get("status"), method == "GET")
        return status, answer

    async def submit(self, spec: dict[str, Any], node: str | None = None) -> bool:
        """Submit a job, repeated for up to 60 s; return whether it was accepted."""
        job = spec["id"]
        self.judge.jobs[job] = spec
        end = time.monotonic() + 60
        while time.monotonic() < end:
            status, _ = await self.ask(job, "POST", "/v2/runs", encode(spec), 5.0, node)
            if status in (200, 201):
                self.spawn(self._poll(job))
                return True
            if status in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def cancel(self, job: str, node: str | None = None) -> bool:
        self.judge.asked_cancel.add(job)
        end = time.monotonic() + 60
        while time.monotonic() < end:
            status, _ = await self.ask(job, "POST", f"/v2/runs/{job}/cancel", b"", 5.0, node)
            if status == 200:
                return True
            await asyncio.sleep(1.0)
        return False

    async def poll(self, job: str, node: str | None = None) -> tuple[int, dict[str, Any]]:
        return await self.ask(job, "GET", f"/v2/runs/{job}", b"", 2.0, node)

    async def _poll(self, job: str) -> None:
        """Poll about every 5 s; some users go on after the job is over."""
        while True:
            await asyncio.sleep(POLL_S * (0.95 + 0.1 * self.rng.random()))
            await self.poll(job)
            if job in self.judge.told and not self.polls_done_jobs:
                return


def run_case(
    folder: Path, play: Callable[[Record, bool], Any], least_s: float = 0.0, most_s: float = 118.0
) -> int:
    """Play a case and return its exit status: 1 rule broken, 0 held, 2 couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"begin, trouble={'on' if trouble else 'off'}")

    # A script that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def limited() -> list[str]:
        return await asyncio.wait_for(play(record, trouble), most_s)

    try:
        broken = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    for line in broken:
        print(line)
    record(f"end: {'; '.join(broken) or 'all rules held'}")
    print("rule broken" if broken else "all rules held")
    return 1 if broken else 0
