"""Measures rebalancing of load: `python3 -m tests.loopback --seconds 600 --seed 1`.

The cluster starts with six workers, which are filled; the other workers join later. Services of one
team start and end, and arrays of one class prefer the zone of their data. With `--faults`, workers
and controllers are killed, frozen and disconnected. Every second, the load of each worker is read
from the stand-in worker itself. The figures are printed as JSON, and the samples are written to the
folder.
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
"""team -> limit, cores"""
CORES = 4.0
"""cores of a worker"""
INITIAL_WORKERS = 6
"""number of workers at the start"""
SETTLE_S = 90.0
"""s; samples do not count as settled for this time after the last workers have joined, and after
each fault"""
REBALANCING_TOML = """
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
    """Loads of the workers at one time; the field names are the keys of `samples.jsonl`."""

    at: float
    """time since the start of the measurement, s"""
    workers: int
    mean: float
    """mean of the workers' loads, as fractions of their cores"""
    most: float
    """highest load of a worker"""
    up: int
    """number of replicas of services that are on a machine"""
    wanted: int
    """number of replicas of services that should be"""


@dataclass
class LoadMeasurement:
    """Submits jobs, injects faults and samples the load of the workers."""

    cluster: LoopbackCluster
    workers: int
    """number of workers after all have joined"""
    seconds: float
    """duration of the measurement"""
    samples: list[Sample] = field(default_factory=list)
    faults: list[tuple[float, str]] = field(default_factory=list)
    """injected faults: time since the start, s; kind with the chosen worker and controller"""
    submitted_jobs: int = 0
    started_at: float = 0.0

    def now(self) -> float:
        """Return the time since the start of the measurement, in seconds."""
        return self.cluster.clock.now - self.started_at

    # --- jobs -------------------------------------------------------------
    def job_spec(self, **changes: Any) -> dict[str, Any]:
        """Return the specification of the next job, a service unless `changes` say otherwise."""
        self.submitted_jobs += 1
        return {
            "id": f"job-{self.submitted_jobs:06d}",
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

    def array_spec(self) -> dict[str, Any]:
        """Return the specification of an array with checkpoints that runs for 30 s to 60 s."""
        run_s = 30.0 + 30.0 * self.cluster.clock.rng.random()
        times = {"stow_s": 5.0, "lash_s": 1.0, "eta_s": run_s, "sail_s": 300.0, "run_s": run_s}
        return self.job_spec(
            berth="tariff", owner="reload", shape="batch", rank="standard", crates=4, **times
        )

    async def submit_jobs(self) -> None:
        """Submit and cancel services of one team, and submit arrays, until 85 % of the duration."""
        cluster, rng = self.cluster, self.cluster.clock.rng
        services = []
        for _ in range(20):
            spec = self.job_spec()
            services.append(spec["id"])
            cluster.submit(spec)
        while True:
            await asyncio.sleep(8.0)
            if len(services) < 30 and self.now() < 0.85 * self.seconds:
                spec = self.job_spec()
                services.append(spec["id"])
                cluster.submit(spec)
            elif services and self.now() < 0.85 * self.seconds:
                cluster.cancel(services.pop(rng.randrange(len(services))))
            if self.now() < 0.85 * self.seconds:
                cluster.submit(self.array_spec())

    async def inject_faults(self) -> None:
        """Kill, freeze and disconnect workers and controllers; inject one fault every 50 s."""
        cluster, rng = self.cluster, self.cluster.clock.rng
        kinds = ["hang", "freeze", "kill", "crash", "cut", "part"]
        first_fault_s, last_fault_s = 120.0, 0.7 * self.seconds
        await asyncio.sleep(first_fault_s)
        number = 0
        while self.now() < last_fault_s:
            kind = kinds[number % len(kinds)]
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
                    cluster.disconnect_worker(worker, 20.0)
                case "part":
                    cluster.disconnect_controller(node, 15.0)
            self.faults.append((round(self.now(), 1), f"{kind} {worker} {node}"))
            number += 1
            await asyncio.sleep(50.0)

    # --- samples ----------------------------------------------------------
    def take_sample(self) -> None:
        """Append the present loads of the workers to the samples."""
        cluster = self.cluster
        loads = [
            sum(
                task["job"]["cores"] for task in worker.tasks.values() if task["status"] != "exited"
            )
            / CORES
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
        mean = statistics.fmean(loads) if loads else 0.0
        most = max(loads, default=0.0)
        self.samples.append(Sample(round(self.now(), 2), len(loads), mean, most, up, len(wanted)))

    async def sample_every_second(self) -> None:
        """Take samples until this task is cancelled."""
        while True:
            await asyncio.sleep(1.0)
            self.take_sample()

    # --- figures ----------------------------------------------------------
    async def compute_figures(self) -> dict[str, Any]:
        """Return the figures of the measurement."""
        cluster = self.cluster
        states = [await cluster.call_admin_api(name, "rebalancing") for name in cluster.names]
        outcomes: dict[str, int] = {}
        for state in states:
            for outcome, count in ((state or {}).get("outcomes") or {}).items():
                outcomes[outcome] = outcomes.get(outcome, 0) + count
        ratios = [(s.at, s.most / s.mean) for s in self.samples if s.mean > 0]
        joined_at = next((s.at for s in self.samples if s.workers == self.workers), 0.0)
        balanced = [at for at, ratio in ratios if at > joined_at and ratio <= 1.5]
        fault_times = [at for at, _ in self.faults]
        settled = [
            ratio
            for at, ratio in ratios
            if at > joined_at + SETTLE_S
            and not any(fault_at <= at < fault_at + SETTLE_S for fault_at in fault_times)
        ]
        all_after_settling = [ratio for at, ratio in ratios if at > joined_at + SETTLE_S]
        samples_after_join = self.samples[int(joined_at) :]
        return {
            "samples": len(ratios),
            "joined_at_s": joined_at,
            "first_even_after_s": round(balanced[0] - joined_at, 1) if balanced else None,
            "settled_samples": len(settled),
            "settled_above_1.5": sum(ratio > 1.5 for ratio in settled),
            "settled_worst": round(max(settled), 3) if settled else None,
            "settled_mean": round(statistics.fmean(settled), 3) if settled else None,
            "all_after_settling_above_1.5": sum(ratio > 1.5 for ratio in all_after_settling),
            "all_after_settling": len(all_after_settling),
            "replicas_up": round(
                sum(s.up for s in samples_after_join)
                / max(1, sum(s.wanted for s in samples_after_join)),
                4,
            ),
            "stops": cluster.stopped_tasks,
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
    folder: Path, workers: int, seconds: float, seed: int, rebalancing: bool, faults: bool
) -> dict[str, Any]:
    """Run one measurement, write samples and figures to the folder, and return the figures."""
    folder.mkdir(parents=True, exist_ok=True)
    rebalancing_file = folder / "rebalancing.toml"
    rebalancing_file.write_text(REBALANCING_TOML)
    options = ["--rebalancing", str(rebalancing_file)] if rebalancing else []
    async with LoopbackCluster(folder, TEAMS, options, seed) as cluster:
        cluster.cloud.add_machines(INITIAL_WORKERS, 0.5)
        await cluster.wait_until_healthy()
        load = LoadMeasurement(cluster, workers, seconds, started_at=cluster.clock.now)
        await cluster.call_admin_api("n0", "settings", {"settings": {"idle_return_s": 3600}})
        for coroutine in (load.submit_jobs(), load.sample_every_second()):
            cluster.spawn(coroutine)
        if faults:
            cluster.spawn(load.inject_faults())
        cluster.clock.after(
            20.0,
            lambda: cluster.cloud.add_machines(workers - INITIAL_WORKERS, 1.0, INITIAL_WORKERS),
        )
        await asyncio.sleep(seconds)
        figures = await load.compute_figures()
    lines = [json.dumps(sample.__dict__) for sample in load.samples]
    (folder / "samples.jsonl").write_text("\n".join(lines) + "\n")
    result = {
        "seed": seed,
        "on": rebalancing,
        "faults_played": faults,
        "seconds": seconds,
        **figures,
    }
    (folder / "figures.json").write_text(json.dumps(result, indent=1))
    return result


@click.command()
@click.option("--workers", default=20, show_default=True)
@click.option("--seconds", default=600.0, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--off", is_flag=True, help="Run without rebalancing, for comparison.")
@click.option("--faults", is_flag=True, help="Kill, freeze and disconnect workers and controllers.")
@click.option("--folder", default="target/loopback", show_default=True)
def main(workers: int, seconds: float, seed: int, off: bool, faults: bool, folder: str) -> None:
    """Run the loopback cluster once and print the figures."""
    label = f"{'off' if off else 'on'}-{'faults' if faults else 'quiet'}-{seed}"
    measurement = measure(Path(folder) / label, workers, seconds, seed, not off, faults)
    click.echo(json.dumps(interrupt.run(measurement), indent=1))


if __name__ == "__main__":
    main()
