"""Runs a case: three controllers as processes of the deploy file's command, the project's own
stand-ins (`tests/standins`, `tests/loopback`) for all else, and a record of what happens.

A case is an asynchronous function that gets the cluster and returns whether the rule held.
"""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]
sys.path.insert(0, str(ROOT))

from sites import Site  # noqa: E402
from tests.loopback import cluster as loopback  # noqa: E402
from tests.loopback.controller import Controller  # noqa: E402
from tests.standins import machines  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 117.0
"""s; a case that takes longer counts as one that could not run"""
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The lines of record.txt, each with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def write(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


class DeployedController(Controller):
    """A controller that is started by the command of the deploy file."""

    def start(self) -> None:
        if self.is_running():
            return
        self.starts += 1
        deploy = tomllib.loads((self.root / "deploy/service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.settings_file)]
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(command, cwd=self.root, stderr=log)


class RecordedWorker(loopback.LoopbackWorker):
    """Records the starts and ends of tasks; a job submitted with a mistake fails everywhere."""

    def _start(self, key: tuple[str, int]) -> None:
        super()._start(key)
        task = self.tasks[key]
        self.world.record.write(f"run      {self.row['id']} starts {key[0]} attempt {key[1]}")
        if task["status"] == "running" and task["job"].get("mistake"):
            task["until"] = self.clock.now + machines.SICK_RUN_S

    def _exit(self, key: tuple[str, int], cause: str, gone: bool = False) -> None:
        if cause == "done" and self.tasks[key]["job"].get("mistake"):
            cause = "error"
        super()._exit(key, cause, gone)
        self.world.record.write(f"run      {self.row['id']} ends {key[0]} attempt {key[1]} {cause}")
        if cause == "error":
            self.world.failed.append((self.row["id"], key[0]))


class RecordedCloud(loopback.LoopbackCloud):
    """Records rentals and deletions."""

    out_of_stock = ""
    """machine type of which the cloud has no more"""
    last_number = 0
    """number in the name of the machine that was created last"""

    def add_machines(self, count: int, up_within_s: float, first: int = 1) -> None:
        super().add_machines(count, up_within_s, first)
        self.last_number = first + count - 1

    def request(
        self, node: str, method: str, path: str, body: bytes, answer: Callable[[int, Any], None]
    ) -> None:
        def answered(status: int, reply: Any) -> None:
            self.world.record.write(
                f"cloud    {node} {path} {body.decode()} -> {status} {json.dumps(reply)}"
            )
            answer(status, reply)

        super().request(node, method, path, body, answered if method == "POST" else answer)

    def _rent(self, request: dict[str, Any], answer: Callable[[int, Any], None]) -> None:
        """Machines get names in the order of their creation, the same in every run."""
        if request["charter"] in self.rentals:
            answer(200, {"dockhands": self.rentals[request["charter"]]})
            return
        count = min(request["count"], self.capacity - len(self.machines))
        if count <= 0 or request["hull"] == self.out_of_stock:
            answer(503, {"error": "no capacity"})
            return
        names = [f"vm-{self.last_number + 1 + number:06d}" for number in range(count)]
        self.last_number += count
        self.rentals[request["charter"]] = names
        for name in names:
            self.rented_at[name] = self.clock.now
            self.machines[name] = {
                "id": name,
                "addr": "",
                "hull": request["hull"],
                "quay": request["quay"],
                "standby": request["standby"],
                "status": "starting",
                "born": self.clock.now,
            }
            self.clock.after(self.clock.rng.uniform(*self.boot_s), partial(self._up, name))
        answer(200, {"dockhands": names})


class Cluster(loopback.LoopbackCluster):
    """The cluster of one site."""

    def __init__(self, folder: Path, site: Site, record: Record) -> None:
        self.site, self.record = site, record
        self.failed: list[tuple[str, str]] = []
        """machine and task of each failure"""
        limits = {team: most for team, (_, most) in site.teams.items()}
        super().__init__(folder, limits, [], int(time.time()))
        self.poll_s = 5.0
        self.state.write_rps = site.state["write_rps"]
        self.state.value_kb, self.state.txn_ops = site.state["value_kb"], int(site.state["txn_ops"])
        self.cloud.types = list(site.types)
        self.cloud.lag_s, self.cloud.rps = int(site.cloud["list_lag_s"]), site.cloud["rps"]
        self.cloud.boot_s = site.boot_s
        self.cloud.capacity = self.cloud.of_kind = 48
        self.submitted = 0

    async def _build_settings(self, name: str, ports: dict[str, tuple[int, int]]) -> dict[str, Any]:
        built = await super()._build_settings(name, ports)
        site = self.site
        for peer in built["peers"]:
            peer["location"] = site.zone
        built["location"] = site.zone
        built["cluster"].update(
            zones=[site.zone],
            teams=[
                {"name": team, "cpus": least, "cpus_max": most, "gpus": 0.0, "gpus_max": 0.0}
                for team, (least, most) in site.teams.items()
            ],
            objectives=list(site.objectives),
            workers={
                "report_s": site.report_s,
                "lease_s": site.lease_s,
                "gang_wait_s": 40.0,
                "gang_peer_s": 6.0,
                "cancel_s": site.cancel_s,
            },
            state=site.state,
            cloud=site.cloud,
            machine_limits=site.limits,
            time_bound_ms=100.0,
        )
        return built

    # --- users ------------------------------------------------------------
    def job(self, **fields: Any) -> str:
        """Submit a job as users do, and poll it; return its id."""
        spec = self.spec_of(**fields)
        self.record.write(f"submit   {json.dumps(spec)}")
        self.submit(spec)
        return spec["id"]

    def spec_of(self, **fields: Any) -> dict[str, Any]:
        """Return the description of the next job."""
        self.submitted += 1
        return {
            "id": f"job-{self.submitted:06d}",
            "owner": next(iter(self.site.teams)),
            "cards": 0.0,
            "hulls": None,
            "quay": None,
            "together": False,
            "scatter": False,
            "standby": False,
            "stow_s": 0.0,
            "lash_s": 0.0,
            "sail_s": None,
            **fields,
        }

    @staticmethod
    def _body(spec: dict[str, Any]) -> bytes:
        hidden = ("run_s", "runs", "mistake")
        return json.dumps({k: v for k, v in spec.items() if k not in hidden}).encode()

    def call_node(
        self,
        source: str,
        node: str,
        method: str,
        path: str,
        body: bytes,
        answer: Callable[[int, Any], None],
    ) -> None:
        if source == "user":
            told, sent = answer, self.clock.now

            def answer(status: int, reply: Any) -> None:
                took = self.clock.now - sent
                self.record.write(
                    f"user     {node} {method} {path} -> {status} {json.dumps(reply)} {took:.2f} s"
                )
                told(status, reply)

        super().call_node(source, node, method, path, body, answer)

    def with_room(self, cores: float, memory_gb: float) -> list[str]:
        """Return the machines that have room for a task of this size."""
        free = []
        for name, worker in sorted(self.cloud.workers.items()):
            there = [task["job"] for task in worker.tasks.values() if task["status"] != "exited"]
            left_cores = worker.slots["cores"] - sum(job["cores"] for job in there)
            left_gb = worker.slots["memory_gb"] - sum(job["memory_gb"] for job in there)
            if left_cores >= cores and left_gb >= memory_gb:
                free.append(name)
        return free

    async def until(self, condition: Callable[[], bool], within_s: float, what: str) -> None:
        """Wait until something that must happen before the trouble has happened."""
        for _ in range(int(within_s / 0.1)):
            if condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not within {within_s} s: {what}")


def run(case_folder: Path, site: Site, case: Callable[[Cluster], Awaitable[bool]]) -> None:
    """Play the case and exit with 0 (held), 1 (broken) or 2 (could not run)."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # end the controllers first
    record = Record(case_folder / "record.txt")
    record.write(f"case     TROUBLE={int(TROUBLE)}")
    machines.REPORT_S, machines.LEASE_S = site.report_s, site.lease_s
    loopback.CANCEL_S = site.cancel_s
    loopback.CONTROLLER_NAMES = ("dockhand-0", "dockhand-1", "dockhand-2")
    loopback.LoopbackWorker = RecordedWorker
    loopback.LoopbackCloud = RecordedCloud
    loopback.Controller = DeployedController

    async def play(folder: Path) -> bool:
        async with Cluster(folder, site, record) as cluster:
            await cluster.wait_until_healthy()
            record.write("case     all controllers are healthy")
            return await case(cluster)

    try:
        with tempfile.TemporaryDirectory() as folder:
            held = asyncio.run(asyncio.wait_for(play(Path(folder)), LIMIT_S))
    except (Exception, KeyboardInterrupt) as error:  # whatever it is, it says nothing of the rule
        record.write(f"result   could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    record.write(f"result   the rule {'held' if held else 'was broken'}")
    print(f"the rule {'held' if held else 'was broken'}")
    sys.exit(HELD if held else BROKEN)
