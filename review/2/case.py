"""Case 2: the state service closes its connections after each response."""

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
    "zones": ["petrzalka-dc"],
    "teams": [
        {"name": "core-pricing", "cpus": 16.0, "cpus_max": 48.0, "gpus": 0.0, "gpus_max": 0.0}
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
TROUBLE_AT_S = 13.0
WATCHED_S = 101.0


async def play(record: Record, trouble: bool) -> list[str]:
    began = time.monotonic()
    async with Cluster(record, SETTINGS, TYPES, {("tatra-4", False): 10}) as cluster:
        cluster.cloud.add("tatra-4", "petrzalka-dc", 4)
        await cluster.wait_until_healthy()
        service = {"berth": "quote-api", "shape": "daemon", "rank": "production", "cores": 2.0}
        quotes = [cluster.spec(1e9, **service, memory_gb=3.2, eta_s=0.0) for _ in range(4)]
        reloads = [cluster.spec(2.0, cores=1.0) for _ in range(8)]
        await asyncio.gather(*(cluster.submit(spec) for spec in quotes + reloads))
        await asyncio.sleep(max(0.0, began + TROUBLE_AT_S - time.monotonic()))
        if trouble:
            record("from now on each response of the state service has `Connection: close`")
            cluster.state.closes = lambda _node, _request: True
        await asyncio.sleep(WATCHED_S)
        cluster.judge.check_forgotten()
        record(f"tasks that ended with their worker's lease: {cluster.judge.killed}")
        return cluster.judge.broken


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
