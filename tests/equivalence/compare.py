"""Runs scenarios on two versions and compares their effects line by line."""

from __future__ import annotations

import hashlib
import itertools
import os
import subprocess
import sys
from collections import deque
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tests.standins.versions import BASELINE, ROOT

CACHE = ROOT / "target" / "equivalence"
CONTEXT_LINES = 3
"""lines shown before and after the first difference"""
SHOWN_CHARACTERS = 300
"""of a line, at most, from a little before the first character that differs"""


@dataclass(frozen=True)
class Difference:
    """The first place at which two recordings differ."""

    number: int
    """of the line, from 1"""
    common: list[str]
    """the last lines before it"""
    expected: list[str]
    """the baseline's lines from there on"""
    actual: list[str]
    """the other version's lines from there on"""

    def text(self) -> str:
        """The place and the context of both sides, for people."""
        expected = self.expected[0] if self.expected else "(end)"
        actual = self.actual[0] if self.actual else "(end)"
        column = sum(1 for _ in itertools.takewhile(same, zip(expected, actual, strict=False)))
        place = " ".join((self.expected or self.actual)[0].split(" ", 3)[:3])
        lines = [f"  first difference: effect {self.number}, character {column + 1}: {place}"]
        lines += [f"      {shown(line)}" for line in self.common]
        for sign, side in (("-", self.expected), ("+", self.actual)):
            lines += [
                f"    {sign} {shown(line, column if place == 0 else 0)}"
                for place, line in enumerate(side or ["(end)"])
            ]
        return "\n".join(lines)


@dataclass(frozen=True)
class Result:
    """What the comparison of one scenario with one seed gave."""

    scenario: str
    seed: int
    effects: int
    digest: str
    difference: Difference | None = None
    failure: str = ""
    """why one of the two could not be run to its end"""

    @property
    def equal(self) -> bool:
        return self.difference is None and not self.failure


def same(characters: tuple[str, str]) -> bool:
    """Are the two the same character?"""
    return characters[0] == characters[1]


def shown(line: str, column: int = 0) -> str:
    """A part of the line that has the column in it."""
    if len(line) <= SHOWN_CHARACTERS:
        return line
    start = max(0, column - SHOWN_CHARACTERS // 2)
    prefix = line[:60] + " ... " if start > 60 else ""
    start = start if prefix else 0
    end = start + SHOWN_CHARACTERS
    return prefix + line[start:end] + (" ..." if end < len(line) else "")


def first_difference(expected: Path, actual: Path) -> Difference | None:
    """Where the two recordings differ first; None if they are the same."""
    common: deque[str] = deque(maxlen=CONTEXT_LINES)
    left, right = _lines(expected), _lines(actual)
    for number, (ours, theirs) in enumerate(itertools.zip_longest(left, right), 1):
        if ours != theirs:
            return Difference(number, list(common), _from(ours, left), _from(theirs, right))
        common.append(ours or "")
    return None


def _lines(path: Path) -> Iterator[str]:
    with path.open() as file:
        for line in file:
            yield line.rstrip("\n")


def _from(line: str | None, rest: Iterator[str]) -> list[str]:
    return [] if line is None else [line, *itertools.islice(rest, CONTEXT_LINES)]


def harness_digest() -> str:
    """Of all that a baseline recording depends on, besides the baseline's own code."""
    digest = hashlib.sha256(sys.version.encode())
    files = [*(ROOT / "tests" / "standins").glob("*.py")]
    files += [
        ROOT / "tests" / "equivalence" / f"{n}.py" for n in ("recorder", "scenarios", "worker")
    ]
    files.append(ROOT / "deploy" / "service.toml")
    for path in sorted(files):
        digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()[:16]


def record(scenario: str, seed: int, version: str, output: Path) -> str:
    """Run the scenario in a process of its own; the text of its failure, if it failed."""
    output.parent.mkdir(parents=True, exist_ok=True)
    run = subprocess.run(
        [
            sys.executable,
            "-m",
            "tests.equivalence.worker",
            scenario,
            str(seed),
            version,
            str(output),
        ],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        check=False,
    )
    return "" if run.returncode == 0 else f"{version}: {run.stderr.strip()[-2000:]}"


def baseline_recording(scenario: str, seed: int) -> Path:
    """Where the baseline's effects are kept."""
    return CACHE / f"{BASELINE}-{harness_digest()}" / f"{scenario}-{seed}.txt"


def compare(scenario: str, seed: int, version: str = "present") -> Result:
    """Run both versions, the baseline only if its recording is not there yet."""
    expected = baseline_recording(scenario, seed)
    actual = CACHE / f"last-{hashlib.sha256(version.encode()).hexdigest()[:8]}" / expected.name
    if not expected.exists():
        fresh = expected.with_suffix(f".{os.getpid()}")
        if failure := record(scenario, seed, "baseline", fresh):
            return Result(scenario, seed, 0, "", failure=failure)
        fresh.replace(expected)
    actual.unlink(missing_ok=True)
    failure = record(scenario, seed, version, actual)
    content = actual.read_bytes() if actual.exists() else b""
    return Result(
        scenario,
        seed,
        content.count(b"\n"),
        hashlib.sha256(content).hexdigest()[:12],
        first_difference(expected, actual) if content else None,
        failure,
    )


def compare_all(
    pairs: list[tuple[str, int]], jobs: int, version: str = "present"
) -> Iterator[Result]:
    """Compare scenarios, so many at a time, in the order given."""

    def one(pair: tuple[str, int]) -> Result:
        return compare(pair[0], pair[1], version)

    with ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(one, pairs)
