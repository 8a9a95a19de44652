"""Measure capacity shares: `python3 -m tests.loopback.shares --seconds 300 --seed 1 [--faults]`.

Twenty workers, two partitions with a controller of their own each, arrays that cannot save and
services all the time, and a change of shares every minute. Ten times a second it is looked at, from
the workers' side and in the stored records: which partitions work on which machines, and whether
that is within what they hold or leave.
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
from tests.loopback.__main__ import Run
from tests.loopback.cluster import LoopbackCluster

TEAMS = {"sealing": 60.0, "front": 60.0}
WORKERS = 20
EVERY_S = 60.0
"""s; between two changes"""
CHANGES = (0.3, 0.7, 0.5, 0.25, 0.6)
"""share of the sealing partition after each"""
RULES = """
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
class Change:
    """A change of shares, and how long it took."""

    at: float
    share: float
    accepted_s: float | None = None
    reached_s: float | None = None


@dataclass
class Shares:
    """One measurement."""

    cluster: LoopbackCluster
    run: Run
    samples: int = 0
    mixed: int = 0
    beyond: int = 0
    """samples with a partition on a machine that it neither holds nor leaves"""
    changes: list[Change] = field(default_factory=list)
    faults: list[tuple[float, str]] = field(default_factory=list)
    in_force_at: float | None = None

    def records(self) -> tuple[dict[str, str], dict[str, int]]:
        """machine -> partition that holds or leaves it; partition -> machines it holds."""
        holders: dict[str, str] = {}
        held: dict[str, int] = {}
        for key, (record, _, _) in self.cluster.state.rows.items():
            if "/capacity/held/" in key:
                for section, (leaving, _) in SECTIONS.items():
                    for partition, names in record.get(section, {}).items():
                        for machine in names.split():
                            holders[machine] = partition
                            held[partition] = held.get(partition, 0) + (not leaving)
        return holders, held

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            holders, held = self.records()
            if len(holders) < WORKERS and self.in_force_at is None:
                continue
            if self.in_force_at is None:
                self.in_force_at = round(self.run.now(), 1)
            self.samples += 1
            mixed = beyond = False
            for name, worker in self.cluster.cloud.workers.items():
                teams = {
                    task["job"]["owner"]
                    for task in worker.tasks.values()
                    if task["status"] != "exited"
                }
                mixed = mixed or len(teams) > 1
                beyond = beyond or any(holders.get(name) != team for team in teams)
            self.mixed += mixed
            self.beyond += beyond
            self._note_reached(held)

    def _note_reached(self, held: dict[str, int]) -> None:
        if not self.changes or self.changes[-1].reached_s is not None:
            return
        change, machines = self.changes[-1], len(self.cluster.cloud.workers)
        if abs(held.get("sealing", 0) - change.share * machines) < 1 and (
            sum(held.values()) == machines
        ):
            change.reached_s = round(self.run.now() - change.at, 1)

    async def collect(self, path: Path) -> None:
        """What operators' side would collect of the same run, through any controller."""
        with HistoryWriter(path) as writer:
            while True:
                await asyncio.sleep(1.0)
                for name in self.cluster.names:
                    summary = await self.cluster.admin(name, "capacity")
                    if summary:
                        writer.add(summary_rows(summary, round(self.run.now(), 3)))
                        break

    async def drive(self, seconds: float) -> None:
        """Arrays of both partitions that end by themselves, and some services."""
        rng = self.cluster.clock.rng
        for team in TEAMS:
            for _ in range(4):
                self.cluster.submit(self.run.job(berth="svc", owner=team, crates=2, cores=1.0))
        while self.run.now() < seconds - 50:
            for team in TEAMS:
                run_s = 6.0 + 14.0 * rng.random()
                spec = self.run.job(
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

    async def operate(self) -> None:
        """Change shares every minute, through one controller after the other."""
        for turn, share in enumerate(CHANGES):
            await asyncio.sleep(EVERY_S - 10 if turn == 0 else EVERY_S)
            change = Change(round(self.run.now(), 1), share)
            self.changes.append(change)
            body = {
                "request": f"change-{turn}",
                "shares": {"sealing": {"all": share}, "front": {"all": 1 - share}},
            }
            for attempt in range(30):
                node = self.cluster.names[(turn + attempt) % 3]
                if await self.cluster.admin(node, "capacity/apply", body, "POST"):
                    change.accepted_s = round(self.run.now() - change.at, 2)
                    break
                await asyncio.sleep(1.0)

    async def strike(self, seconds: float) -> None:
        """A controller or a worker fails ten seconds after each change."""
        rng, cluster = self.cluster.clock.rng, self.cluster
        kinds = ["crash", "freeze", "part", "kill", "cut"]
        turn = 0
        while self.run.now() < seconds - EVERY_S:
            await asyncio.sleep(EVERY_S)
            node, worker = rng.choice(cluster.names), rng.choice(sorted(cluster.cloud.workers))
            match kinds[turn % len(kinds)]:
                case "crash":
                    cluster.crash(node, 5.0)
                case "freeze":
                    cluster.freeze(node, 20.0)
                case "part":
                    cluster.part_controllers(node, 15.0)
                case "kill":
                    cluster.cloud.kill(worker)
                case "cut":
                    cluster.cut_worker(worker, 20.0)
            self.faults.append((round(self.run.now(), 1), f"{kinds[turn % 5]} {node} {worker}"))
            turn += 1

    def figures(self) -> dict[str, Any]:
        cluster = self.cluster
        return {
            "in_force_at_s": self.in_force_at,
            "samples": self.samples,
            "mixed": self.mixed,
            "beyond": self.beyond,
            "changes": [change.__dict__ for change in self.changes],
            "stops": cluster.stops,
            "lost_core_s": round(cluster.lost_core_s, 1),
            "starts": cluster.judge.starts,
            "rules_broken": cluster.judge.broken,
            "writes": cluster.state.revision,
            "faults": self.faults,
        }


async def measure(folder: Path, seconds: float, seed: int, faults: bool) -> dict[str, Any]:
    """One run."""
    folder.mkdir(parents=True, exist_ok=True)
    rules = folder / "capacity.toml"
    rules.write_text(RULES)
    options = ["--capacity", str(rules)]
    async with LoopbackCluster(folder, TEAMS, options, seed) as cluster:
        cluster.cloud.add_machines(WORKERS, 0.5)
        await cluster.healthy()
        run = Run(cluster, WORKERS, seconds, began=cluster.clock.now)
        await cluster.admin("n0", "settings", {"settings": {"idle_return_s": 3600}})
        shares = Shares(cluster, run)
        await asyncio.sleep(15.0)  # until shares are in force
        archive = folder / "history.zst"
        archive.unlink(missing_ok=True)
        works = (shares.watch(), shares.drive(seconds), shares.operate(), shares.collect(archive))
        for work in works:
            cluster.spawn(work)
        if faults:
            cluster.spawn(shares.strike(seconds))
        await asyncio.sleep(seconds)
        figures = shares.figures()
    told = list(read_rows(archive))
    figures["told"] = {
        "rows": len(told),
        "bytes": archive.stat().st_size,
        "beyond_machines": sum(row.held + row.leaving > WORKERS for row in told),
    }
    result = {"seed": seed, "faults_played": faults, "seconds": seconds, **figures}
    (folder / "figures.json").write_text(json.dumps(result, indent=1))
    return result


@click.command()
@click.option("--seconds", default=360.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--faults", is_flag=True, help="Kill, freeze and cut off controllers and workers.")
@click.option("--folder", default="target/loopback", show_default=True)
def main(seconds: float, seed: int, faults: bool, folder: str) -> None:
    """Run the loopback cluster once with capacity shares and print the figures."""
    label = f"shares-{'faults' if faults else 'quiet'}-{seed}"
    result = interrupt.run(measure(Path(folder) / label, seconds, seed, faults))
    click.echo(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
