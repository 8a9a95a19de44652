"""One run of one scenario on one version, in a process of its own.

Usage: python -m tests.equivalence.worker SCENARIO SEED VERSION OUTPUT, where VERSION is
`baseline`, `present`, or a folder with a copy of the package.
"""

from __future__ import annotations

import logging
import os
import sys
from pathlib import Path

from tests.equivalence.recorder import recorded
from tests.equivalence.scenarios import SCENARIOS
from tests.standins import versions


def chosen(version: str) -> versions.Code:
    """The version of that name, or the copy in that folder."""
    if version == "baseline":
        return versions.baseline()
    if version == "present":
        return versions.present()
    return versions.from_folder(Path(version))


def run(scenario: str, seed: int, version: str, output: Path) -> None:
    """Play the scenario and write its effects to the file, which appears when it is over."""
    logging.getLogger("appledock").propagate = False
    versions.put_under_test(chosen(version))
    partial = output.with_name(f"{output.name}.{os.getpid()}")
    try:
        with partial.open("w") as lines, recorded(lines):
            SCENARIOS[scenario].run(seed)
    finally:
        # Also what was recorded before a failure shows where the effects differ first.
        partial.replace(output)


if __name__ == "__main__":
    run(sys.argv[1], int(sys.argv[2]), sys.argv[3], Path(sys.argv[4]))
