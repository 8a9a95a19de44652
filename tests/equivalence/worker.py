"""Runs one scenario on one version of the code and records its effects.

Usage: python -m tests.equivalence.worker SCENARIO SEED VERSION OUTPUT, where VERSION is
`baseline`, `present`, or a folder with a copy of the package. Each run has a process of its own, so
that no state is shared between versions.
"""

from __future__ import annotations

import logging
import os
import sys
from pathlib import Path

from tests.equivalence.recorder import record_effects
from tests.equivalence.scenarios import SCENARIOS
from tests.standins import versions


def load_version(version: str) -> versions.Code:
    """Return the code of the version with that name, or of the copy in that folder."""
    if version == "baseline":
        return versions.baseline()
    if version == "present":
        return versions.present()
    return versions.from_folder(Path(version))


def run(scenario: str, seed: int, version: str, output: Path) -> None:
    """Play the scenario and write its effects to `output`, which appears once the run has ended."""
    logging.getLogger("appledock").propagate = False
    code = load_version(version)
    versions.put_under_test(code)
    temporary = output.with_name(f"{output.name}.{os.getpid()}")
    try:
        with temporary.open("w") as file, record_effects(file) as recorder:
            SCENARIOS[scenario].run(seed)
            if code not in recorder.versions:
                raise RuntimeError(f"no controller ran {code}")
    finally:
        # After a failure too: the effects up to there may show the first difference.
        temporary.replace(output)


if __name__ == "__main__":
    run(sys.argv[1], int(sys.argv[2]), sys.argv[3], Path(sys.argv[4]))
