"""Case 1: a controller crashes and comes back while jobs of its teams wait for their limit."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib.cluster import Cluster, Controller, run_case  # noqa: E402 (needs the path set above)
from lib.http import request_once  # noqa: E402
from lib.judge import Record  # noqa: E402

TEAMS = 8
LIMIT = 9.0
"""cores of each team at most"""
SETTINGS: dict[str, Any] = {
    "size": 3,
    "zones": ["petrzalka-dc"],
    "teams": [
        {
            "name": f"core-pricing-{number}",
            "cpus": 4.0,
            "cpus_max": LIMIT,
            "gpus": 0.0,
            "gpus_max": 0.0,
        }
        for number in range(TEAMS)
    ],
    "objectives": [],
    "workers": {
        "report_s": 1.5,
        "lease_s": 14.0,
        "gang_wait_s": 35.0,
        "gang_peer_s": 5.0,
        "cancel_s": 39.0,
    },
    "state": {"rps": 150.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 6.0, "list_lag_s": 3.0},
    "machine_limits": {"core_share": 0.72, "ram_mb": 186.0, "fd_limit": 1200},
    "time_bound_ms": 100.0,
}
TYPES = [
    {
        "name": "tatra-4",
        "cores": 4.0,
        "cards": 0.0,
        "memory_gb": 32.0,
        "local_gb": 80.0,
        "pull_gb_per_s": 0.2,
        "hourly": 0.24,
        "market_price": 0.11,
        "boot_s": 25.0,
        "quays": ["petrzalka-dc"],
    }
]
MACHINES = 20
RESTART_S = 5.0
"""s; "back about 5 s after an end" (BRIEF)"""
WAIT_S = 90.0
"""s; the bound of the rule"""


class WaitingJudge:
    """The rule as written: a job waits, a machine that fits has room, and its team is under its
    limit."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.since: dict[str, float] = {}
        """job -> since when it could run and does not"""

    def look(self) -> None:
        cluster, judge, now = self.cluster, self.cluster.judge, time.monotonic()
        there: dict[str, set[str]] = {}
        used: dict[str, float] = {}
        free: list[tuple[float, float]] = []
        for worker in cluster.cloud.workers.values():
            active = [(k, t["job"]) for k, t in worker.tasks.items() if t["status"] != "exited"]
            for (task, _), job in active:
                there.setdefault(job["id"], set()).add(task)
                used[job["owner"]] = used.get(job["owner"], 0.0) + job["cores"]
            cores = worker.kind["cores"] - sum(job["cores"] for _, job in active)
            memory = worker.kind["memory_gb"] - sum(job["memory_gb"] for _, job in active)
            free.append((cores, memory))
        for name in judge.accepted:
            job = judge.jobs[name]
            begun = len(there.get(name, ())) + len(judge.completed.get(name, ()))
            could_run = (
                name not in judge.told
                and all(
                    len(judge.completed.get(need, ())) == judge.jobs[need]["crates"]
                    for need in judge.needed(name) - {name}
                )
                and begun < job["crates"]
                and any(c >= job["cores"] and m >= job["memory_gb"] for c, m in free)
                and used.get(job["owner"], 0.0) + job["cores"] <= LIMIT
            )
            if not could_run:
                self.since.pop(name, None)
            elif now - self.since.setdefault(name, now) >= WAIT_S:
                judge.breaks(
                    "left waiting",
                    f"{name} of {job['owner']} has waited for {WAIT_S:g} s since the trouble was "
                    f"over; its team uses {used.get(job['owner'], 0.0):g} of {LIMIT:g} cores, "
                    f"{sum(c >= job['cores'] for c, _ in free)} machines have room",
                )


async def owners(cluster: Cluster, jobs: set[str]) -> dict[str, str]:
    """Return the controller that owns each of these jobs, as the administration API tells it."""
    while True:
        address = cluster.controllers[0].public
        _, body = await request_once(address, "GET", "/admin/v1/jobs", b"", 5.0)
        found = {row["id"]: row["owner"] for row in json.loads(body)["jobs"]}
        if jobs <= found.keys():
            return found
        await asyncio.sleep(0.2)


async def crash(cluster: Cluster, controller: Controller) -> None:
    controller.send(signal.SIGKILL)
    await asyncio.sleep(RESTART_S)
    controller.start()


async def play(record: Record, trouble: bool) -> list[str]:
    async with Cluster(record, SETTINGS, TYPES, {("tatra-4", False): 24}) as cluster:
        cluster.cloud.add("tatra-4", "petrzalka-dc", MACHINES)
        await cluster.wait_until_healthy()
        await asyncio.sleep(2.5)  # the controllers hear each other by then
        firsts, seconds, submissions = [], [], []
        for team in SETTINGS["teams"]:
            owner = team["name"]
            before = cluster.spec(1.0, owner=owner)
            long = cluster.spec(11.0, owner=owner, crates=4, cores=2.0)
            first = cluster.spec(2.0, owner=owner, crates=8, cores=2.0, tethers=[before["id"]])
            firsts.append(first)

            async def submit(before: Any = before, long: Any = long, first: Any = first) -> None:
                await cluster.submit(before)
                await cluster.submit(long)
                while not await cluster.submit(first):
                    await asyncio.sleep(0.5)

            submissions.append(submit())
        await asyncio.gather(*submissions)
        while len(cluster.judge.completed) < TEAMS:
            await asyncio.sleep(0.1)  # the jobs that others need are not done yet
        await asyncio.sleep(1.0)
        for team in SETTINGS["teams"]:
            seconds.append(cluster.spec(2.0, owner=team["name"], crates=8, cores=2.0))
        await asyncio.gather(*(cluster.submit(spec) for spec in seconds))
        owner_of = await owners(cluster, {spec["id"] for spec in firsts + seconds})
        pairs = [
            (owner_of[a["id"]], owner_of[b["id"]]) for a, b in zip(firsts, seconds, strict=True)
        ]
        record(f"owners of the jobs that need another, and of those submitted later: {pairs}")
        if trouble:
            busiest = max(
                cluster.controllers, key=lambda c: sum(a == c.name != b for a, b in pairs)
            )
            if not any(a == busiest.name != b for a, b in pairs):
                raise RuntimeError("no controller owns a job that needs another")
            await crash(cluster, busiest)
        await cluster.wait_until_healthy()
        judge = WaitingJudge(cluster)
        end = time.monotonic() + WAIT_S + 10.0
        while time.monotonic() < end and len(cluster.judge.told) < len(cluster.judge.accepted):
            judge.look()
            if cluster.judge.broken:
                break
            await asyncio.sleep(0.2)
        waits = {name: round(time.monotonic() - at, 1) for name, at in judge.since.items()}
        record(f"jobs that could run and wait, with s: {waits}")
        return cluster.judge.broken


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
