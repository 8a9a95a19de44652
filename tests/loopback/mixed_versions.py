"""Runs two versions side by side: `python3 -m tests.loopback.mixed_versions --before COMMIT`.

Three controllers run as processes of the earlier version and store jobs, settings and
membership. They are then replaced one by one: a process of this checkout joins two of the
earlier version, reads what they stored and works with the same settings file; later a process
of the earlier version joins two of this checkout. In each stage jobs are submitted and the
leader is killed. Every job must be completed, no rule may be broken, and no log may contain a
traceback. The result is printed as JSON; the exit status is 1 if one of these conditions fails.
"""

from __future__ import annotations

import asyncio
import io
import json
import subprocess
import sys
import tarfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from tests.loopback import interrupt
from tests.loopback.__main__ import LoadMeasurement
from tests.loopback.cluster import LoopbackCluster
from tests.loopback.controller import ROOT

TEAMS = {"booking": 48.0, "reload": 24.0}
WORKERS = 6
JOBS_PER_STAGE = 6
"""number of arrays; two thirds of them are submitted before the leader is killed"""
SERVICES = 3
RESTART_AFTER_S = 3.0
DONE_WITHIN_S = 90.0
POLL_S = 0.5

STAGES = (
    ("earlier version alone", {"n0": "before", "n1": "before", "n2": "before"}),
    ("present version joins", {"n0": "present", "n1": "before", "n2": "before"}),
    ("earlier version in the minority", {"n0": "present", "n1": "present", "n2": "before"}),
    ("present version alone, on stored data", {"n0": "present", "n1": "present", "n2": "present"}),
    ("earlier version joins", {"n0": "present", "n1": "before", "n2": "present"}),
)
"""(name, controller -> version); the controllers that change are restarted with the new one"""


@dataclass
class StageResult:
    """Result of one stage; the field names are keys of the printed result."""

    name: str
    versions: dict[str, str]
    killed_leader: str | None = None
    jobs: list[str] = field(default_factory=list)
    not_done: list[str] = field(default_factory=list)


def unpack(commit: str, folder: Path) -> Path:
    """Unpack the program of a commit into the folder."""
    packed = subprocess.run(
        ["git", "archive", commit, "appledock", "run.py", "requirements.txt"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
        archive.extractall(folder, filter="data")
    return folder


class MixedVersions:
    """Plays the stages on a loopback cluster."""

    def __init__(self, cluster: LoopbackCluster, roots: dict[str, Path]) -> None:
        self.cluster, self.roots = cluster, roots
        self.load = LoadMeasurement(cluster, WORKERS, 0.0)
        self.services: list[str] = []

    async def play(self) -> list[StageResult]:
        """Play all stages; services of the first one run until the end."""
        results = []
        for number, (name, versions) in enumerate(STAGES):
            await self._switch(versions)
            if number == 0:
                self.cluster.cloud.add_machines(WORKERS, 0.2)
                await self.cluster.call_admin_api(
                    "n1", "settings", {"settings": {"idle_return_s": 3600}}
                )
                for _ in range(SERVICES):
                    self.services.append(self._submit(self.load.job_spec()))
            results.append(await self._play_stage(name, versions))
        return results

    async def _switch(self, versions: dict[str, str]) -> None:
        for name, version in versions.items():
            controller = self.cluster.controllers[name]
            if controller.root != self.roots[version] or not controller.is_running():
                controller.kill()
                controller.root = self.roots[version]
                controller.start()
                await self.cluster.wait_until_healthy(60.0)

    async def _play_stage(self, name: str, versions: dict[str, str]) -> StageResult:
        result = StageResult(name, versions)
        for number in range(JOBS_PER_STAGE):
            if number == JOBS_PER_STAGE * 2 // 3:
                result.killed_leader = await self._kill_leader()
            result.jobs.append(self._submit(self._array_spec()))
            await asyncio.sleep(0.5)
        await self.cluster.wait_until_healthy(60.0)
        result.not_done = await self._wait_until_done(result.jobs)
        return result

    def _array_spec(self) -> dict[str, Any]:
        return self.load.job_spec(
            berth="tariff",
            owner="reload",
            shape="batch",
            rank="standard",
            crates=4,
            eta_s=4.0,
            run_s=4.0,
        )

    def _submit(self, spec: dict[str, Any]) -> str:
        self.cluster.submit(spec)
        return str(spec["id"])

    async def _kill_leader(self) -> str | None:
        for name in self.cluster.names:
            status = await self.cluster.call_admin_api(name, "status")
            if status is not None and status["leader"]:
                self.cluster.crash(status["leader"], RESTART_AFTER_S)
                return str(status["leader"])
        return None

    async def _wait_until_done(self, jobs: list[str]) -> list[str]:
        for _ in range(int(DONE_WITHIN_S / POLL_S)):
            unfinished = [
                job for job in jobs if self.cluster.judge.final.get(job, ("",))[0] != "done"
            ]
            if not unfinished:
                return []
            await asyncio.sleep(POLL_S)
        return unfinished

    def services_down(self) -> list[str]:
        """Return the services without a running task."""
        running = {task.partition("/")[0] for task in self.cluster.judge.on}
        return [job for job in self.services if job not in running]


async def measure(folder: Path, before: str, seed: int) -> dict[str, Any]:
    """Play all stages and return the figures."""
    folder.mkdir(parents=True, exist_ok=True)
    roots = {"present": ROOT, "before": unpack(before, folder / "before")}
    async with LoopbackCluster(folder, TEAMS, [], seed, roots["before"]) as cluster:
        await cluster.wait_until_healthy(120.0)
        mixed_versions = MixedVersions(cluster, roots)
        stages = await mixed_versions.play()
        statuses = [await cluster.call_admin_api(name, "status") for name in cluster.names]
        logs = {path.name: path.read_text() for path in folder.glob("n?.log")}
        return {
            "before": before,
            "seed": seed,
            "stages": [stage.__dict__ for stage in stages],
            "services_down": mixed_versions.services_down(),
            "accepted": len(cluster.judge.accepted),
            "rules_broken": cluster.judge.broken,
            "writes": cluster.state.revision,
            "record_formats": [status and status["format"] for status in statuses],
            "controller_starts": {
                name: controller.starts for name, controller in cluster.controllers.items()
            },
            "tracebacks": [name for name, text in logs.items() if "Traceback" in text],
            "malformed": [
                line for text in logs.values() for line in text.splitlines() if "malformed" in line
            ],
        }


@click.command()
@click.option("--before", required=True, help="Commit of the earlier version.")
@click.option("--seed", default=1, show_default=True)
@click.option("--folder", default="target/loopback/mixed", show_default=True)
def main(before: str, seed: int, folder: str) -> None:
    """Run both versions side by side once and print the result."""
    result = interrupt.run(measure(Path(folder).absolute(), before, seed))
    click.echo(json.dumps(result, indent=1))
    failed = result["services_down"] or result["rules_broken"] or result["tracebacks"]
    sys.exit(1 if failed or any(stage["not_done"] for stage in result["stages"]) else 0)


if __name__ == "__main__":
    main()
