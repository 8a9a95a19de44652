"""Runs scenarios on two versions of the code and compares the recorded effects line by line."""

from __future__ import annotations

import hashlib
import itertools
import os
import subprocess
import sys
import time
from collections import deque
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tests.standins.versions import BASELINE, ROOT

CACHE = ROOT / "target" / "equivalence"
CONTEXT_LINES = 3
"""number of lines shown before and after the first difference"""
MAX_EXCERPT_CHARACTERS = 300
"""longest part of a line that is shown; it includes the first character that differs"""


@dataclass(frozen=True)
class Difference:
    """The first place at which two recordings differ."""

    line_number: int
    """number of the line, counted from 1"""
    preceding: list[str]
    """the last lines before the difference, which are the same in both recordings"""
    expected: list[str]
    """the baseline's lines, starting at the difference"""
    actual: list[str]
    """the other version's lines, starting at the difference"""

    def text(self) -> str:
        """Return a readable description of the difference with the lines around it."""
        expected = self.expected[0] if self.expected else "(end)"
        actual = self.actual[0] if self.actual else "(end)"
        column = sum(1 for _ in itertools.takewhile(are_equal, zip(expected, actual, strict=False)))
        header = " ".join((self.expected or self.actual)[0].split(" ", 3)[:3])
        lines = [f"  first difference: effect {self.line_number}, character {column + 1}: {header}"]
        lines += [f"      {excerpt(line)}" for line in self.preceding]
        for sign, side in (("-", self.expected), ("+", self.actual)):
            lines += [
                f"    {sign} {excerpt(line, column if index == 0 else 0)}"
                for index, line in enumerate(side or ["(end)"])
            ]
        return "\n".join(lines)


@dataclass(frozen=True)
class Result:
    """Result of the comparison of one scenario with one seed."""

    scenario: str
    seed: int
    effects: int
    """number of effects that the version under comparison recorded"""
    digest: str
    """start of the SHA-256 digest of that recording"""
    seconds: float
    """duration of the run of the version under comparison, s"""
    difference: Difference | None = None
    failure: str = ""
    """error output of a failed run, or that it recorded no effects; else empty"""

    @property
    def equal(self) -> bool:
        """Whether both versions ran to the end with the same effects."""
        return self.difference is None and not self.failure


def are_equal(characters: tuple[str, str]) -> bool:
    """Return whether the two characters are equal."""
    return characters[0] == characters[1]


def excerpt(line: str, column: int = 0) -> str:
    """Return a part of the line that includes the column; all of a short line."""
    if len(line) <= MAX_EXCERPT_CHARACTERS:
        return line
    start = max(0, column - MAX_EXCERPT_CHARACTERS // 2)
    prefix = line[:60] + " ... " if start > 60 else ""
    start = start if prefix else 0
    end = start + MAX_EXCERPT_CHARACTERS
    return prefix + line[start:end] + (" ..." if end < len(line) else "")


def first_difference(expected: Path, actual: Path) -> Difference | None:
    """Return the first difference of the two recordings; None if they are equal."""
    preceding: deque[str] = deque(maxlen=CONTEXT_LINES)
    expected_rest, actual_rest = _lines(expected), _lines(actual)
    pairs = itertools.zip_longest(expected_rest, actual_rest)
    for line_number, (expected_line, actual_line) in enumerate(pairs, 1):
        if expected_line != actual_line:
            return Difference(
                line_number,
                list(preceding),
                _with_following(expected_line, expected_rest),
                _with_following(actual_line, actual_rest),
            )
        preceding.append(expected_line or "")
    return None


def _lines(path: Path) -> Iterator[str]:
    with path.open() as file:
        for line in file:
            yield line.rstrip("\n")


def _with_following(line: str | None, rest: Iterator[str]) -> list[str]:
    return [] if line is None else [line, *itertools.islice(rest, CONTEXT_LINES)]


def harness_digest() -> str:
    """Return a digest of what a baseline recording depends on besides the baseline's code."""
    digest = hashlib.sha256(sys.version.encode())
    files = [*(ROOT / "tests" / "standins").glob("*.py")]
    files += [
        ROOT / "tests" / "equivalence" / f"{module}.py"
        for module in ("recorder", "scenarios", "worker")
    ]
    files.append(ROOT / "deploy" / "service.toml")
    for path in sorted(files):
        digest.update(path.name.encode() + path.read_bytes())
    return digest.hexdigest()[:16]


def record(scenario: str, seed: int, version: str, output: Path) -> str:
    """Run the scenario in a separate process; return its error output, empty on success."""
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
    """Return the path at which the baseline's effects are cached."""
    return CACHE / f"{BASELINE}-{harness_digest()}" / f"{scenario}-{seed}.txt"


def compare(scenario: str, seed: int, version: str = "present") -> Result:
    """Compare the scenario's effects on the version with the baseline's.

    The baseline is run only if its recording is not cached yet.
    """
    expected = baseline_recording(scenario, seed)
    if not expected.exists():
        temporary = expected.with_suffix(f".{os.getpid()}")
        if failure := record(scenario, seed, "baseline", temporary):
            return Result(scenario, seed, 0, "", 0.0, failure=failure)
        temporary.replace(expected)
    actual = CACHE / "last" / f"{scenario}-{seed}.{os.getpid()}.txt"
    actual.unlink(missing_ok=True)
    started = time.monotonic()
    failure = record(scenario, seed, version, actual)
    seconds = time.monotonic() - started
    content = actual.read_bytes() if actual.exists() else b""
    result = Result(
        scenario,
        seed,
        content.count(b"\n"),
        hashlib.sha256(content).hexdigest()[:12],
        seconds,
        first_difference(expected, actual) if content else None,
        failure or ("" if content else f"{version}: no effects were recorded"),
    )
    if result.equal:
        actual.unlink()  # a recording that differs is kept for inspection
    return result


def compare_all(
    pairs: list[tuple[str, int]], jobs: int, version: str = "present"
) -> Iterator[Result]:
    """Compare scenarios, `jobs` at the same time; yield the results in the order of the pairs."""

    def compare_pair(pair: tuple[str, int]) -> Result:
        return compare(pair[0], pair[1], version)

    with ThreadPoolExecutor(jobs) as pool:
        yield from pool.map(compare_pair, pairs)
