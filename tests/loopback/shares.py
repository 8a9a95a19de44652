"""Measures capacity shares: `python3 -m tests.loopback.shares --seconds 300 --seed 1 [--faults]`.

There are twenty workers and two partitions, each with its own controller. Services and arrays
without checkpoints are submitted, and the shares are changed every minute. Ten times a second, the
tasks on the stand-in workers are compared with the stored ownership records: a partition may have
tasks only on machines that it holds or is handing over.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from appledock.capacity.history import HistoryWriter, read_rows, summary_rows
from appledock.capacity.ownership import SECTIONS
from tests.loopback import interrupt
from tests.loopback.__main__ import LoadMeasurement
from tests.loopback.cluster import LoopbackCluster

TEAMS = {"sealing": 60.0, "front": 60.0}
WORKERS = 20
CHANGE_INTERVAL_S = 60.0
"""s; time between two changes of shares"""
SEALING_SHARES = (0.3, 0.7, 0.5, 0.25, 0.6)
"""share of the partition `sealing` after each change"""
CAPACITY_TOML = """
[[pools]]
name = "all"
[[partitions]]
name = "sealing"
teams = ["sealing"]
controller = "n1"
shares = { all = 0.5 }
[[partitions]]
name = "front"
teams = ["front"]
controller = "n2"
shares = { all = 0.5 }
"""


@dataclass
class ShareChange:
    """A change of shares and its duration; the field names are keys of the printed figures."""

    at: float
    """time of the request, s since the start of the measurement"""
    share: float
    """share of the partition `sealing`"""
    accepted_s: float | None = None
    """time until a controller accepted the request"""
    reached_s: float | None = None
    """time until the partitions held the machines of their new shares"""


@dataclass
class ShareMeasurement:
    """Submits jobs, changes shares, injects faults, and checks which machines partitions use."""

    cluster: LoopbackCluster
    load: LoadMeasurement
    samples: int = 0
    mixed_samples: int = 0
    """number of samples in which a machine has tasks of both partitions"""
    violating_samples: int = 0
    """number of samples with tasks on a machine that their partition neither holds nor is handing
    over"""
    changes: list[ShareChange] = field(default_factory=list)
    faults: list[tuple[float, str]] = field(default_factory=list)
    in_force_at: float | None = None
    """time at which all machines were first in the ownership records, s since the start"""

    def read_ownership(self) -> tuple[dict[str, str], dict[str, int]]:
        """Return the stored ownership of machines.

        Returns:
            machine -> partition that holds it or is handing it over;
            partition -> number of machines that it holds
        """
        holders: dict[str, str] = {}
        held: dict[str, int] = {}
        for key, (record, _, _) in self.cluster.state.rows.items():
            if "/capacity/held/" in key:
                for section, (is_being_handed_over, _) in SECTIONS.items():
                    for partition, names in record.get(section, {}).items():
                        for machine in names.split():
                            holders[machine] = partition
                            held[partition] = held.get(partition, 0) + (not is_being_handed_over)
        return holders, held

    async def sample_repeatedly(self) -> None:
        """Sample ten times a second until this task is cancelled."""
        while True:
            await asyncio.sleep(0.1)
            holders, held = self.read_ownership()
            if len(holders) < WORKERS and self.in_force_at is None:
                continue
            if self.in_force_at is None:
                self.in_force_at = round(self.load.now(), 1)
            self.samples += 1
            is_mixed = is_violating = False
            for name, worker in self.cluster.cloud.workers.items():
                teams = {
                    task["job"]["owner"]
                    for task in worker.tasks.values()
                    if task["status"] != "exited"
                }
                is_mixed = is_mixed or len(teams) > 1
                is_violating = is_violating or any(holders.get(name) != team for team in teams)
            self.mixed_samples += is_mixed
            self.violating_samples += is_violating
            self._record_completion(held)

    def _record_completion(self, held: dict[str, int]) -> None:
        if not self.changes or self.changes[-1].reached_s is not None:
            return
        change, machines = self.changes[-1], len(self.cluster.cloud.workers)
        if abs(held.get("sealing", 0) - change.share * machines) < 1 and (
            sum(held.values()) == machines
        ):
            change.reached_s = round(self.load.now() - change.at, 1)

    async def collect_history(self, path: Path) -> None:
        """Collect the history of capacity as an operator's tool does, from any controller."""
        with HistoryWriter(path) as writer:
            while True:
                await asyncio.sleep(1.0)
                for name in self.cluster.names:
                    summary = await self.cluster.call_admin_api(name, "capacity")
                    if summary:
                        writer.add(summary_rows(summary, round(self.load.now(), 3)))
                        break

    async def submit_jobs(self, seconds: float) -> None:
        """Submit services of both partitions first, and arrays until 50 s before the end."""
        rng = self.cluster.clock.rng
        for team in TEAMS:
            for _ in range(4):
                self.cluster.submit(
                    self.load.job_spec(berth="svc", owner=team, crates=2, cores=1.0)
                )
        while self.load.now() < seconds - 50:
            for team in TEAMS:
                run_s = 6.0 + 14.0 * rng.random()
                spec = self.load.job_spec(
                    berth="arr",
                    owner=team,
                    shape="batch",
                    rank="standard",
                    crates=10,
                    cores=1.0,
                    eta_s=run_s,
                    run_s=run_s,
                )
                self.cluster.submit(spec)
            await asyncio.sleep(5.0)

    async def change_shares(self) -> None:
        """Change the shares every minute, each time through another controller."""
        for number, share in enumerate(SEALING_SHARES):
            await asyncio.sleep(CHANGE_INTERVAL_S - 10 if number == 0 else CHANGE_INTERVAL_S)
            change = ShareChange(round(self.load.now(), 1), share)
            self.changes.append(change)
            body = {
                "request": f"change-{number}",
                "shares": {"sealing": {"all": share}, "front": {"all": 1 - share}},
            }
            for attempt in range(30):
                node = self.cluster.names[(number + attempt) % 3]
                if await self.cluster.call_admin_api(node, "capacity/apply", body, "POST"):
                    change.accepted_s = round(self.load.now() - change.at, 2)
                    break
                await asyncio.sleep(1.0)

    async def inject_faults(self, seconds: float) -> None:
        """Inject one fault into a controller or a worker, ten seconds after each change."""
        rng, cluster = self.cluster.clock.rng, self.cluster
        kinds = ["crash", "freeze", "part", "kill", "cut"]
        number = 0
        while self.load.now() < seconds - CHANGE_INTERVAL_S:
            await asyncio.sleep(CHANGE_INTERVAL_S)
            node, worker = rng.choice(cluster.names), rng.choice(sorted(cluster.cloud.workers))
            match kinds[number % len(kinds)]:
                case "crash":
                    cluster.crash(node, 5.0)
                case "freeze":
                    cluster.freeze(node, 20.0)
                case "part":
                    cluster.disconnect_controller(node, 15.0)
                case "kill":
                    cluster.cloud.kill(worker)
                case "cut":
                    cluster.disconnect_worker(worker, 20.0)
            self.faults.append((round(self.load.now(), 1), f"{kinds[number % 5]} {node} {worker}"))
            number += 1

    def compute_figures(self) -> dict[str, Any]:
        """Return the figures of the measurement."""
        cluster = self.cluster
        return {
            "in_force_at_s": self.in_force_at,
            "samples": self.samples,
            "mixed": self.mixed_samples,
            "beyond": self.violating_samples,
            "changes": [change.__dict__ for change in self.changes],
            "stops": cluster.stopped_tasks,
            "lost_core_s": round(cluster.lost_core_s, 1),
            "starts": cluster.judge.starts,
            "rules_broken": cluster.judge.broken,
            "writes": cluster.state.revision,
            "faults": self.faults,
        }


async def measure(folder: Path, seconds: float, seed: int, faults: bool) -> dict[str, Any]:
    """Run one measurement, write its figures to the folder, and return them."""
    folder.mkdir(parents=True, exist_ok=True)
    capacity_file = folder / "capacity.toml"
    capacity_file.write_text(CAPACITY_TOML)
    options = ["--capacity", str(capacity_file)]
    async with LoopbackCluster(folder, TEAMS, options, seed) as cluster:
        cluster.cloud.add_machines(WORKERS, 0.5)
        await cluster.wait_until_healthy()
        load = LoadMeasurement(cluster, WORKERS, seconds, started_at=cluster.clock.now)
        await cluster.call_admin_api("n0", "settings", {"settings": {"idle_return_s": 3600}})
        measurement = ShareMeasurement(cluster, load)
        await asyncio.sleep(15.0)  # the first shares take effect in this time
        archive = folder / "history.zst"
        archive.unlink(missing_ok=True)
        coroutines = (
            measurement.sample_repeatedly(),
            measurement.submit_jobs(seconds),
            measurement.change_shares(),
            measurement.collect_history(archive),
        )
        for coroutine in coroutines:
            cluster.spawn(coroutine)
        if faults:
            cluster.spawn(measurement.inject_faults(seconds))
        await asyncio.sleep(seconds)
        figures = measurement.compute_figures()
    history = list(read_rows(archive))
    figures["told"] = {
        "rows": len(history),
        "bytes": archive.stat().st_size,
        "beyond_machines": sum(row.held + row.leaving > WORKERS for row in history),
    }
    result = {"seed": seed, "faults_played": faults, "seconds": seconds, **figures}
    (folder / "figures.json").write_text(json.dumps(result, indent=1))
    return result


@click.command()
@click.option("--seconds", default=360.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--faults", is_flag=True, help="Kill, freeze and disconnect controllers and workers.")
@click.option("--folder", default="target/loopback", show_default=True)
def main(seconds: float, seed: int, faults: bool, folder: str) -> None:
    """Run the loopback cluster once with capacity shares and print the figures."""
    label = f"shares-{'faults' if faults else 'quiet'}-{seed}"
    result = interrupt.run(measure(Path(folder) / label, seconds, seed, faults))
    click.echo(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
