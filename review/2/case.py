"""Case 2: a burst of arrays of small tasks on one machine."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from lib.cluster import Cluster, run_case  # noqa: E402 (needs the path set above)
from lib.judge import Record  # noqa: E402

SETTINGS: dict[str, Any] = {
    "size": 3,
    "zones": ["a"],
    "teams": [{"name": "vision", "cpus": 64.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0}],
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
        "name": "g8",
        "cores": 96.0,
        "cards": 8.0,
        "memory_gb": 768.0,
        "local_gb": 200.0,
        "pull_gb_per_s": 1.0,
        "hourly": 12.0,
        "market_price": 4.5,
        "boot_s": 45.0,
        "quays": ["a"],
    }
]
TASKS = 500
CORES = 0.06
RUN_S = 25.0
BURST = 3
"""arrays that come at once instead of one (`job_burst`, factor 3)"""
WATCHED_S = 95.0


async def play(record: Record, trouble: bool) -> list[str]:
    async with Cluster(record, SETTINGS, TYPES, {("g8", False): 4}) as cluster:
        cluster.cloud.logs_tasks = False
        cluster.cloud.add("g8", "a", 1)
        await cluster.wait_until_healthy()
        array = {"crates": TASKS, "cores": CORES, "memory_gb": 0.4}
        specs = [cluster.spec(RUN_S, **array) for _ in range(BURST if trouble else 1)]
        await asyncio.gather(*(cluster.submit(spec) for spec in specs))
        end = time.monotonic() + WATCHED_S
        judge = cluster.judge
        while time.monotonic() < end and len(judge.told) < len(specs):
            await asyncio.sleep(1.0)
            on = {name: len(worker.tasks) for name, worker in cluster.cloud.workers.items()}
            record(
                f"tasks known to machines {on}, starts {judge.starts}, completed "
                f"{ {job: len(tasks) for job, tasks in judge.completed.items()} }, "
                f"ended with a lease {judge.killed}"
            )
        for spec in specs:
            done, killed = len(judge.completed.get(spec["id"], ())), judge.killed.get(spec["id"], 0)
            if not done and killed >= TASKS:
                judge.breaks(
                    "accepted job never runs",
                    f"{spec['id']}: none of its {TASKS} tasks of {RUN_S:g} s completed in "
                    f"{WATCHED_S:g} s, {killed} were started and lost with the worker's lease",
                )
        return judge.broken


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
