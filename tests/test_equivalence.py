"""The present code has the same effects as the baseline commit.

Differences that are planted in a copy of the code show that the comparison detects them.
"""

from __future__ import annotations

import inspect
import random
import re
import shutil
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from appledock import constants as c
from tests.equivalence.compare import Result, compare
from tests.equivalence.scenarios import SCENARIOS
from tests.standins.deployment import settings_file
from tests.standins.versions import ROOT, baseline, present

IN_CI = ["calm", "outages", "preemption", "administration", "shares"]
"""part of the quick set; `python -m tests.equivalence` runs the other scenarios"""
PLANTED_AT_S = 20.0
"""s; simulated time after which the planted statement is executed"""
SWAP_LAST_EFFECTS = "effects[-2:] = effects[:-3:-1]"
DROP_LAST_EFFECT = "del effects[-1]"


@pytest.mark.parametrize("name", IN_CI)
def test_the_effects_equal_those_of_the_baseline(name: str) -> None:
    result = compare(name, SCENARIOS[name].seed)
    assert result.failure == ""
    assert result.difference is None, result.difference.text()
    assert result.effects > 2000


def test_the_baseline_is_not_the_present_code() -> None:
    """No module and no field type of the baseline is one of the present code.

    If the baseline loaded modules of the present code, the comparison could never fail.
    """
    baseline_code = baseline()
    for module in baseline_code.MODULES:
        origin = getattr(baseline_code, module).__file__
        assert origin is not None and not Path(origin).is_relative_to(ROOT)
    decoded = msgspec.json.decode(
        b'{"dockhands": [], "has_next": false}', type=baseline_code.wire.MachineList
    )
    assert type(decoded) is baseline_code.wire.MachineList is not present().wire.MachineList
    fields = msgspec.structs.fields(baseline_code.wire.MachineTypes)
    machine_type = baseline_code.wire.MachineType
    assert fields[0].type == list[machine_type]


# --- planted differences -------------------------------------------------------
def copy_package(folder: Path) -> Path:
    """Copy the present package into the folder, and return the path of the copy."""
    package = folder / "appledock"
    shutil.copytree(ROOT / "appledock", package, ignore=shutil.ignore_patterns("__pycache__"))
    return package


def plant_constant(package: Path, name: str, value: float) -> None:
    """Replace the value of a constant in the copy of the package."""
    path = package / "constants.py"
    assert getattr(c, name) != value
    text, count = re.subn(rf"(?m)^{name} = .*$", f"{name} = {value}", path.read_text())
    assert count == 1
    path.write_text(text)


def plant_statement(package: Path, statement: str) -> None:
    """Make one controller execute the statement on its list `effects`, once.

    This happens in the first batch after `PLANTED_AT_S` whose last two effects differ.
    """
    controller = type(present().controller(settings_file("n0", ["n0"]), "x", random.Random(1)))
    source = inspect.getsourcefile(controller)
    assert source is not None
    with (package / Path(source).relative_to(ROOT / "appledock")).open("a") as file:
        file.write(
            f"""

_original_handle = {controller.__name__}.handle
_planted_at: list[float] = []


def _changed_handle(self, batch, now, wall):
    effects = _original_handle(self, batch, now, wall)
    if now > {PLANTED_AT_S} and not _planted_at and len(effects) > 1 and effects[-1] != effects[-2]:
        _planted_at.append(now)
        {statement}
    return effects


{controller.__name__}.handle = _changed_handle
"""
        )


def compare_and_expect_difference(scenario: str, package: Path) -> Result:
    """Compare the scenario on the copy with the baseline; assert that they differ."""
    result = compare(scenario, SCENARIOS[scenario].seed, str(package.parent))
    assert not result.equal
    return result


def test_an_unchanged_copy_is_equal(tmp_path: Path) -> None:
    """The differences in the tests below are caused by the planted change, not by the copy."""
    package = copy_package(tmp_path)
    assert compare("calm", SCENARIOS["calm"].seed, str(package.parent)).equal


@pytest.mark.parametrize(
    ("scenario", "name", "value"),
    [("cuts", "VIEW_JITTER_S", 0.123), ("outages", "CLOUD_PAUSE_S", 0.9)],
)
def test_a_changed_constant_is_detected(
    scenario: str, name: str, value: float, tmp_path: Path
) -> None:
    package = copy_package(tmp_path)
    plant_constant(package, name, value)
    difference = compare_and_expect_difference(scenario, package).difference
    assert difference is not None and difference.line_number > 1 and difference.preceding


def test_swapped_effects_are_detected_at_their_position(tmp_path: Path) -> None:
    package = copy_package(tmp_path)
    plant_statement(package, SWAP_LAST_EFFECTS)
    difference = compare_and_expect_difference("calm", package).difference
    assert difference is not None
    assert difference.expected[:2] == difference.actual[1::-1]
    assert PLANTED_AT_S - 0.1 < float(difference.expected[0].split()[0]) < PLANTED_AT_S + 2


def test_a_missing_effect_is_detected_at_its_position(tmp_path: Path) -> None:
    package = copy_package(tmp_path)
    plant_statement(package, DROP_LAST_EFFECT)
    difference = compare_and_expect_difference("calm", package).difference
    assert difference is not None
    assert difference.expected[0] not in difference.actual
    assert PLANTED_AT_S - 0.1 < float(difference.expected[0].split()[0]) < PLANTED_AT_S + 2


def test_the_command_prints_the_position_with_both_versions_and_fails(tmp_path: Path) -> None:
    package = copy_package(tmp_path)
    plant_statement(package, DROP_LAST_EFFECT)
    command = [sys.executable, "-m", "tests.equivalence", "--scenarios", "calm", "--version"]
    run = subprocess.run(
        [*command, str(package.parent)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert run.returncode == 1, run.stderr
    assert "DIFFERENT" in run.stdout and "1 different" in run.stdout
    position = re.search(
        r"first difference: effect (\d+), character \d+: (\S+) n\d\.1 ", run.stdout
    )
    assert position is not None and float(position[2]) > PLANTED_AT_S - 0.1
    assert "\n    - " in run.stdout and "\n    + " in run.stdout


def test_an_error_of_the_code_is_reported(tmp_path: Path) -> None:
    package = copy_package(tmp_path)
    plant_statement(package, 'raise RuntimeError("planted")')
    result = compare_and_expect_difference("calm", package)
    assert "planted" in result.failure and result.difference is not None
