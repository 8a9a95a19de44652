"""The loopback cluster of the measurements, for a short while: real processes and sockets.

It waits for what must come to pass, however long the machine takes, and reads no clock.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from tests.loopback.__main__ import FEW, RULES, Run
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.controller import ROOT

POLLS, POLL_S = 600, 0.25
"""looks at most, and the pause between two: a bound for a machine that is very busy"""


async def spread(folder: Path) -> LoopbackCluster:
    """Load is spread over workers that join, while a controller is killed and comes back."""
    rules = folder / "rebalancing.toml"
    rules.write_text(RULES)
    options, teams = ["--rebalancing", str(rules)], {"booking": 24.0, "reload": 8.0}
    async with LoopbackCluster(folder, teams, options, 1) as cluster:
        cluster.cloud.add_machines(3, 0.2)
        await cluster.healthy(120.0)
        await cluster.admin("n0", "settings", {"settings": {"idle_return_s": 3600}})
        run = Run(cluster, FEW, 0.0)
        for _ in range(6):
            cluster.submit(run.job())
        await until(lambda: len(cluster.judge.on) == 12)
        cluster.cloud.add_machines(3, 0.2, first=3)
        cluster.crash("n1", 1.0)

        def even() -> bool:
            run.sample()
            last = run.samples[-1]
            return last.workers == 6 and last.most <= 1.5 * last.mean and last.up == 12

        await until(even)
        assert cluster.judge.broken == []
        assert cluster.controllers["n1"].starts == 2
        # As the workers have it: what moves were planned by a controller that ended since is
        # not told by any. From four tasks on three machines to three at most on any.
        assert cluster.stops >= 3
        cluster.freeze("n2", 0.5)
        states = [await cluster.admin(name, "rebalancing") for name in ("n0", "n1")]
        assert all(state is not None and len(state["workers"]) == 6 for state in states)
    return cluster


async def until(reached: Callable[[], bool]) -> None:
    """Poll until it is so."""
    for _ in range(POLLS):
        if reached():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError("it did not come to pass")


def test_load_is_spread_over_real_processes_and_all_of_them_end(tmp_path: Path) -> None:
    cluster = asyncio.run(spread(tmp_path))
    for controller in cluster.controllers.values():
        assert controller.process is not None
        assert controller.process.returncode == -signal.SIGKILL
    assert not list(tmp_path.glob("*.log")) or all(
        "Traceback" not in log.read_text() for log in tmp_path.glob("*.log")
    )


def test_an_interrupted_measurement_ends_all_that_it_started(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.loopback", "--workers", "6", "--folder", str(tmp_path)]
    measurement = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.DEVNULL)
    logs = tmp_path / "on-quiet-1"
    for _ in range(POLLS):
        if len(list(logs.glob("n?.log"))) == 3 and all(
            log.stat().st_size for log in logs.glob("*.log")
        ):
            break
        time.sleep(POLL_S)
    measurement.send_signal(signal.SIGINT)
    assert measurement.wait(60) == 130
    for config in logs.glob("n?.json"):
        host, _, port = json.loads(config.read_text())["public_addr"].partition(":")
        with pytest.raises(OSError), socket.create_connection((host, int(port)), 1.0):
            pass
