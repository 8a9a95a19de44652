"""Command line, administration API and a whole job, over real sockets."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from appledock import __version__, wire
from appledock.cli import main
from appledock.net.http import Client
from tests.standins.sockets import Cluster
from tests.test_requests import SPEC


@pytest.fixture(scope="module")
def cluster() -> Iterator[Cluster]:
    with Cluster() as running:
        yield running


def run(*args: str) -> Result:
    return CliRunner().invoke(main, list(args))


def request(cluster: Cluster, method: str, path: str, body: object = None) -> tuple[int, dict]:
    async def call() -> tuple[int, bytes]:
        client = Client("127.0.0.1", cluster.port)
        try:
            return await client.request(method, path, b"" if body is None else wire.encode(body))
        finally:
            client.close()

    status, answer = asyncio.run(call())
    return status, json.loads(answer)


def test_a_job_runs_from_submission_to_done(cluster: Cluster) -> None:
    spec = {**SPEC, "crates": 3}
    cluster.judge.jobs[spec["id"]] = {**spec, "run_s": 0.3}
    assert request(cluster, "POST", "/v2/runs", spec)[0] == 201
    assert request(cluster, "POST", "/v2/runs", spec)[0] == 200
    assert request(cluster, "GET", "/v2/runs/job-000099")[0] == 404
    for _ in range(300):
        status, job = request(cluster, "GET", "/v2/runs/job-000001")
        if job["status"] == "done":
            break
        time.sleep(0.2)
    assert (status, job["status"]) == (200, "done")
    assert cluster.judge.broken == []
    rows = json.loads(run("machines", "--api", cluster.api, "--json").stdout)["machines"]
    assert rows
    name = rows[0]["id"]
    assert run("cordon", name, "--api", cluster.api).stdout == f"{name}: operator\n"
    assert run("uncordon", name, "--api", cluster.api).exit_code == 0


def test_tables_and_json(cluster: Cluster) -> None:
    assert "leader" in run("status", "--api", cluster.api).stdout
    status = json.loads(run("status", "--json", "--api", cluster.api).stdout)
    assert status["leader"] == "solo"
    assert "cpus_max" in run("teams", "--api", cluster.api).stdout
    assert run("jobs", "--api", cluster.api).exit_code == 0
    assert "state.txn" in run("metrics", "--api", cluster.api).stdout


def test_settings_are_checked_and_conditional(cluster: Cluster) -> None:
    changed = json.loads(run("settings", "set", "sample=9", "--json", "--api", cluster.api).stdout)
    assert changed["settings"]["sample"]["value"] == 9
    stale = run("settings", "set", "sample=10", "--version", "0", "--api", cluster.api)
    assert stale.exit_code == 1 and "409" in stale.stderr
    bad = run("settings", "set", "sample=0", "--api", cluster.api)
    assert bad.exit_code == 1 and "sample: allowed are 1 to 1000" in bad.stderr
    assert "unknown setting" in run("settings", "set", "x=1", "--api", cluster.api).stderr
    assert run("settings", "set", "sample", "--api", cluster.api).exit_code == 2
    back = json.loads(
        run("settings", "set", "sample=default", "--json", "--api", cluster.api).stdout
    )
    assert back["settings"]["sample"]["value"] == back["settings"]["sample"]["default"]
    assert request(cluster, "PATCH", "/admin/v1/settings", [])[0] == 400
    assert request(cluster, "PATCH", "/admin/v1/settings", {"settings": {"sample": "x"}})[0] == 400
    assert request(cluster, "DELETE", "/admin/v1/settings")[0] == 405
    assert request(cluster, "GET", "/admin/v1/nothing")[0] == 404


def test_parts_that_are_off_say_so(cluster: Cluster) -> None:
    for command in (["load"], ["moves"], ["capacity", "show"]):
        result = run(*command, "--api", cluster.api)
        assert result.exit_code == 1 and "off" in result.stderr
    change = ["all.x=0.5", "--api", cluster.api]
    assert "404" in run("capacity", "apply", *change).stderr
    assert run("capacity", "propose", "x", "--api", cluster.api).exit_code == 2


def test_machines_and_log_level(cluster: Cluster) -> None:
    assert "no such machine" in run("cordon", "vm-1", "--api", cluster.api).stderr
    assert run("log-level", "debug", "--api", cluster.api).stdout == "debug\n"
    assert run("log-level", "info", "--api", cluster.api).exit_code == 0
    assert request(cluster, "PUT", "/admin/v1/log-level", {"level": "loud"})[0] == 400


def test_exit_codes(tmp_path: Path) -> None:
    assert run("--version").stdout == f"appledock, version {__version__}\n"
    assert run().exit_code == 2
    assert run("status", "--api", "127.0.0.1:1").exit_code == 1
    missing = run("--config", str(tmp_path / "none.json"))
    assert missing.exit_code == 2 and missing.stderr.count("\n") == 1
    for text in ("{", "{}", '{"node_name": 5}'):
        path = tmp_path / "bad.json"
        path.write_text(text)
        result = run("check", str(path))
        assert result.exit_code == 2 and result.stderr.count("\n") == 1
