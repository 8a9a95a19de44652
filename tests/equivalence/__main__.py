"""Command line of the equivalence test; exit code 1 if any effect differs."""

from __future__ import annotations

import argparse
import sys
import time

from tests.equivalence.compare import compare_all
from tests.equivalence.scenarios import SCENARIOS


def main() -> int:
    """Compare the chosen scenarios, print the results and return the exit code."""
    parser = argparse.ArgumentParser(prog="python -m tests.equivalence", description=__doc__)
    parser.add_argument("--scenarios", help="names, separated by commas; default: all")
    parser.add_argument(
        "--seeds", help="numbers, separated by commas; default: each scenario's own"
    )
    parser.add_argument(
        "--jobs", type=int, default=3, help="number of scenarios run at the same time"
    )
    parser.add_argument("--quick", action="store_true", help="run a small set of scenarios")
    parser.add_argument(
        "--list", action="store_true", help="print the names of the scenarios and exit"
    )
    parser.add_argument(
        "--version", default="present", help="folder with a copy of the package to compare"
    )
    arguments = parser.parse_args()
    names = arguments.scenarios.split(",") if arguments.scenarios else list(SCENARIOS)
    unknown = [name for name in names if name not in SCENARIOS]
    if unknown:
        parser.error(f"no such scenario: {', '.join(unknown)}")
    chosen = [SCENARIOS[name] for name in names]
    if arguments.quick:
        chosen = [scenario for scenario in chosen if scenario.quick]
    if arguments.list:
        for scenario in chosen:
            print(f"{scenario.name}{' (quick)' if scenario.quick else ''}")
        return 0
    seeds = [int(seed) for seed in arguments.seeds.split(",")] if arguments.seeds else []
    pairs = [(scenario.name, seed) for scenario in chosen for seed in seeds or [scenario.seed]]
    started = time.monotonic()
    different = 0
    total_effects = 0
    for result in compare_all(pairs, arguments.jobs, arguments.version):
        outcome = "equal" if result.equal else "FAILED" if result.failure else "DIFFERENT"
        print(
            f"{result.scenario:38} seed {result.seed:<4} {result.effects:6} effects "
            f"{result.digest:12} {result.seconds:5.1f} s  {outcome}",
            flush=True,
        )
        if result.difference is not None:
            print(result.difference.text(), flush=True)
        if result.failure:
            print(result.failure, flush=True)
        different += not result.equal
        total_effects += result.effects
    print(
        f"{len(pairs)} scenarios, {total_effects} effects, {different} different, "
        f"{time.monotonic() - started:.1f} s"
    )
    return 1 if different else 0


if __name__ == "__main__":
    sys.exit(main())
