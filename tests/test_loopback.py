"""Short runs of the loopback cluster of the measurements, with real processes and sockets.

The tests poll for the expected state instead of measuring time, so that they also pass on a slow
machine.
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

from tests.loopback.__main__ import INITIAL_WORKERS, REBALANCING_TOML, LoadMeasurement
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.controller import ROOT

POLLS, POLL_S = 600, 0.25
"""maximum number of polls, and the time between two, s: enough for a very busy machine"""


async def rebalance(folder: Path) -> LoopbackCluster:
    """Let workers join while a controller is killed; assert that load is spread over them."""
    rebalancing_file = folder / "rebalancing.toml"
    rebalancing_file.write_text(REBALANCING_TOML)
    options, teams = ["--rebalancing", str(rebalancing_file)], {"booking": 24.0, "reload": 8.0}
    async with LoopbackCluster(folder, teams, options, 1) as cluster:
        cluster.cloud.add_machines(3, 0.2)
        await cluster.wait_until_healthy(120.0)
        await cluster.call_admin_api("n0", "settings", {"settings": {"idle_return_s": 3600}})
        load = LoadMeasurement(cluster, INITIAL_WORKERS, 0.0)
        for _ in range(6):
            cluster.submit(load.job_spec())
        await wait_until(lambda: len(cluster.judge.on) == 12)
        cluster.cloud.add_machines(3, 0.2, first=3)
        cluster.crash("n1", 1.0)

        def is_balanced() -> bool:
            load.take_sample()
            last = load.samples[-1]
            return last.workers == 6 and last.most <= 1.5 * last.mean and last.up == 12

        await wait_until(is_balanced)
        assert cluster.judge.broken == []
        assert cluster.controllers["n1"].starts == 2
        # Moves are counted at the workers: no controller reports the moves that were planned by a
        # controller that has ended since. Each of three machines has to give up a task, as it has
        # four of the twelve at first and may keep at most three.
        assert cluster.stopped_tasks >= 3
        cluster.freeze("n2", 0.5)
        states = [await cluster.call_admin_api(name, "rebalancing") for name in ("n0", "n1")]
        assert all(state is not None and len(state["workers"]) == 6 for state in states)
    return cluster


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until the condition holds."""
    for _ in range(POLLS):
        if condition():
            return
        await asyncio.sleep(POLL_S)
    raise AssertionError(f"the condition did not hold within {POLLS} polls")


def test_load_is_rebalanced_by_real_processes_and_all_of_them_end(tmp_path: Path) -> None:
    cluster = asyncio.run(rebalance(tmp_path))
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
