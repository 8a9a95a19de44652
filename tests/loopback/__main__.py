"""Measure the spreading of load: `python3 -m tests.loopback --seconds 600 --seed 1`.

Six of the workers are there at the start and are filled; the others join. A busy team's services
come and go, a class of arrays wants to be near its data, and with `--faults` workers and a
controller are killed, frozen and cut off. Every second the load of each worker is read from the
workers themselves. The figures go to standard output, the samples to the folder.
"""

from __future__ import annotations

import asyncio
import json
import statistics
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click

from tests.loopback import interrupt
from tests.loopback.cluster import LoopbackCluster

TEAMS = {"booking": 48.0, "reload": 24.0}
CORES = 4.0
FEW = 6
"""workers at the start"""
SETTLE_S = 90.0
"""s; after the last workers have joined, or after a fault, before the aim counts"""
RULES = """
extra_classes = ["quote", "tariff"]
[moves]
every_s = 3.0
smooth_s = 8.0
cooldown_s = 30.0
in_flight = 3
[[classes]]
name = "quote"
spread = 1.0
[[classes]]
name = "tariff"
spread = 0.5
locality = 0.3
[[datasets]]
name = "tables"
zones = ["a"]
classes = ["tariff"]
"""


@dataclass
class Sample:
    """The loads at one moment, as the workers have them."""

    at: float
    workers: int
    mean: float
    most: float
    up: int
    """replicas of services on machines"""
    wanted: int


@dataclass
class Run:
    """One measurement."""

    cluster: LoopbackCluster
    workers: int
    seconds: float
    samples: list[Sample] = field(default_factory=list)
    faults: list[tuple[float, str]] = field(default_factory=list)
    jobs: int = 0
    began: float = 0.0

    def now(self) -> float:
        return self.cluster.clock.now - self.began

    # --- load -------------------------------------------------------------
    def job(self, **changes: Any) -> dict[str, Any]:
        self.jobs += 1
        return {
            "id": f"job-{self.jobs:06d}",
            "berth": "quote",
            "owner": "booking",
            "shape": "daemon",
            "rank": "production",
            "crates": 2,
            "cores": 0.5,
            "cards": 0.0,
            "memory_gb": 1.0,
            "cargo": "img-0",
            "image_gb": 1.0,
            "hulls": None,
            "quay": None,
            "together": False,
            "scatter": False,
            "standby": False,
            "eta_s": 0.0,
            "stow_s": 0.0,
            "lash_s": 0.0,
            "sail_s": None,
            "run_s": 1e9,
            **changes,
        }

    def array(self) -> dict[str, Any]:
        run_s = 30.0 + 30.0 * self.cluster.clock.rng.random()
        saves = {"stow_s": 5.0, "lash_s": 1.0, "eta_s": run_s, "sail_s": 300.0, "run_s": run_s}
        return self.job(
            berth="tariff", owner="reload", shape="batch", rank="standard", crates=4, **saves
        )

    async def drive(self) -> None:
        """A busy team that comes and goes, and arrays all the time."""
        cluster, rng = self.cluster, self.cluster.clock.rng
        services = []
        for _ in range(20):
            spec = self.job()
            services.append(spec["id"])
            cluster.submit(spec)
        while True:
            await asyncio.sleep(8.0)
            if len(services) < 30 and self.now() < 0.85 * self.seconds:
                spec = self.job()
                services.append(spec["id"])
                cluster.submit(spec)
            elif services and self.now() < 0.85 * self.seconds:
                cluster.cancel(services.pop(rng.randrange(len(services))))
            if self.now() < 0.85 * self.seconds:
                cluster.submit(self.array())

    async def strike(self) -> None:
        """Workers and a controller are killed, frozen and cut off, one trouble at a time."""
        cluster, rng = self.cluster, self.cluster.clock.rng
        kinds = ["hang", "freeze", "kill", "crash", "cut", "part"]
        first, last = 120.0, 0.7 * self.seconds
        await asyncio.sleep(first)
        turn = 0
        while self.now() < last:
            kind = kinds[turn % len(kinds)]
            worker = rng.choice(sorted(cluster.cloud.workers))
            node = rng.choice(cluster.names)
            match kind:
                case "hang":
                    cluster.cloud.workers[worker].hang(8.0)
                case "freeze":
                    cluster.freeze(node, 20.0)
                case "kill":
                    cluster.cloud.kill(worker)
                case "crash":
                    cluster.crash(node, 5.0)
                case "cut":
                    cluster.cut_worker(worker, 20.0)
                case "part":
                    cluster.part_controllers(node, 15.0)
            self.faults.append((round(self.now(), 1), f"{kind} {worker} {node}"))
            turn += 1
            await asyncio.sleep(50.0)

    # --- samples ----------------------------------------------------------
    def sample(self) -> None:
        cluster = self.cluster
        shares = [
            sum(t["job"]["cores"] for t in worker.tasks.values() if t["status"] != "exited") / CORES
            for worker in cluster.cloud.workers.values()
        ]
        judge = cluster.judge
        wanted = [
            f"{job}/{task}"
            for job, spec in judge.jobs.items()
            if spec["shape"] == "daemon" and job in judge.accepted
            if job not in judge.asked_cancel
            for task in range(spec["crates"])
        ]
        up = sum(bool(judge.on.get(task)) for task in wanted)
        mean = statistics.fmean(shares) if shares else 0.0
        most = max(shares, default=0.0)
        self.samples.append(Sample(round(self.now(), 2), len(shares), mean, most, up, len(wanted)))

    async def watch(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.sample()

    # --- figures ----------------------------------------------------------
    async def figures(self) -> dict[str, Any]:
        """What the run came to."""
        cluster = self.cluster
        states = [await cluster.admin(name, "rebalancing") for name in cluster.names]
        outcomes: dict[str, int] = {}
        for state in states:
            for outcome, count in ((state or {}).get("outcomes") or {}).items():
                outcomes[outcome] = outcomes.get(outcome, 0) + count
        ratios = [(s.at, s.most / s.mean) for s in self.samples if s.mean > 0]
        joined = next((s.at for s in self.samples if s.workers == self.workers), 0.0)
        even = [at for at, ratio in ratios if at > joined and ratio <= 1.5]
        troubled = [at for at, _ in self.faults]
        settled = [
            ratio
            for at, ratio in ratios
            if at > joined + SETTLE_S and not any(t <= at < t + SETTLE_S for t in troubled)
        ]
        after = [ratio for at, ratio in ratios if at > joined + SETTLE_S]
        lasting = self.samples[int(joined) :]
        return {
            "samples": len(ratios),
            "joined_at_s": joined,
            "first_even_after_s": round(even[0] - joined, 1) if even else None,
            "settled_samples": len(settled),
            "settled_above_1.5": sum(ratio > 1.5 for ratio in settled),
            "settled_worst": round(max(settled), 3) if settled else None,
            "settled_mean": round(statistics.fmean(settled), 3) if settled else None,
            "all_after_settling_above_1.5": sum(ratio > 1.5 for ratio in after),
            "all_after_settling": len(after),
            "replicas_up": round(
                sum(s.up for s in lasting) / max(1, sum(s.wanted for s in lasting)), 4
            ),
            "stops": cluster.stops,
            "lost_core_s": round(cluster.lost_core_s, 1),
            "starts": cluster.judge.starts,
            "moves_heard_of": outcomes,
            "moves_a_minute": round(outcomes.get("done", 0) * 60 / self.seconds, 2),
            "rules_broken": cluster.judge.broken,
            "writes": cluster.state.revision,
            "faults": self.faults,
            "controller_starts": {n: x.starts for n, x in cluster.controllers.items()},
        }


async def measure(
    folder: Path, workers: int, seconds: float, seed: int, on: bool, faults: bool
) -> dict[str, Any]:
    """One run; its samples are left in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    rules = folder / "rebalancing.toml"
    rules.write_text(RULES)
    options = ["--rebalancing", str(rules)] if on else []
    async with LoopbackCluster(folder, TEAMS, options, seed) as cluster:
        cluster.cloud.add_machines(FEW, 0.5)
        await cluster.healthy()
        run = Run(cluster, workers, seconds, began=cluster.clock.now)
        await cluster.admin("n0", "settings", {"settings": {"idle_return_s": 3600}})
        for work in (run.drive(), run.watch()):
            cluster.spawn(work)
        if faults:
            cluster.spawn(run.strike())
        cluster.clock.after(20.0, lambda: cluster.cloud.add_machines(workers - FEW, 1.0, FEW))
        await asyncio.sleep(seconds)
        figures = await run.figures()
    lines = [json.dumps(sample.__dict__) for sample in run.samples]
    (folder / "samples.jsonl").write_text("\n".join(lines) + "\n")
    result = {"seed": seed, "on": on, "faults_played": faults, "seconds": seconds, **figures}
    (folder / "figures.json").write_text(json.dumps(result, indent=1))
    return result


@click.command()
@click.option("--workers", default=20, show_default=True)
@click.option("--seconds", default=600.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--off", is_flag=True, help="Without rebalancing, to compare.")
@click.option("--faults", is_flag=True, help="Kill, freeze and cut off workers and a controller.")
@click.option("--folder", default="target/loopback", show_default=True)
def main(workers: int, seconds: float, seed: int, off: bool, faults: bool, folder: str) -> None:
    """Run the loopback cluster once and print the figures."""
    label = f"{'off' if off else 'on'}-{'faults' if faults else 'quiet'}-{seed}"

    work = measure(Path(folder) / label, workers, seconds, seed, not off, faults)
    click.echo(json.dumps(interrupt.run(work), indent=1))


if __name__ == "__main__":
    main()
