"""The present code acts as the baseline commit does; planted differences are found."""

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
"""some of the quick set; the others are run by `python -m tests.equivalence`"""
PLANTED_AT_S = 20.0
SWAPPED = "effects[-2:] = effects[:-3:-1]"
LOST = "del effects[-1]"


@pytest.mark.parametrize("name", IN_CI)
def test_effects_are_those_of_the_baseline(name: str) -> None:
    result = compare(name, SCENARIOS[name].seed)
    assert result.failure == ""
    assert result.difference is None, result.difference.text()
    assert result.effects > 2000


def test_the_baseline_is_not_the_present_code() -> None:
    """Neither its modules nor the types of their fields: else all would be equal for ever."""
    ours = baseline()
    for part in ours.MODULES:
        origin = getattr(ours, part).__file__
        assert origin is not None and not Path(origin).is_relative_to(ROOT)
    decoded = msgspec.json.decode(
        b'{"dockhands": [], "has_next": false}', type=ours.wire.MachineList
    )
    assert type(decoded) is ours.wire.MachineList is not present().wire.MachineList
    fields = msgspec.structs.fields(ours.wire.MachineTypes)
    assert fields[0].type == list[ours.wire.MachineType]


# --- planted differences -------------------------------------------------------
def copied(folder: Path) -> Path:
    """A copy of the present package, to be changed."""
    package = folder / "appledock"
    shutil.copytree(ROOT / "appledock", package, ignore=shutil.ignore_patterns("__pycache__"))
    return package


def plant_constant(package: Path, name: str, value: float) -> None:
    """Give a constant another value."""
    path = package / "constants.py"
    assert getattr(c, name) != value
    text, count = re.subn(rf"(?m)^{name} = .*$", f"{name} = {value}", path.read_text())
    assert count == 1
    path.write_text(text)


def plant_statement(package: Path, statement: str) -> None:
    """Do something to the effects of the first batch that has two different ones after
    `PLANTED_AT_S`, in one controller."""
    controller = type(present().controller(settings_file("n0", ["n0"]), "x", random.Random(1)))
    source = inspect.getsourcefile(controller)
    assert source is not None
    with (package / Path(source).relative_to(ROOT / "appledock")).open("a") as file:
        file.write(
            f"""

_whole_batch = {controller.__name__}.handle
_planted: list[float] = []


def _changed_batch(self, batch, now, wall):
    effects = _whole_batch(self, batch, now, wall)
    if now > {PLANTED_AT_S} and not _planted and len(effects) > 1 and effects[-1] != effects[-2]:
        _planted.append(now)
        {statement}
    return effects


{controller.__name__}.handle = _changed_batch
"""
        )


def differing(scenario: str, package: Path) -> Result:
    result = compare(scenario, SCENARIOS[scenario].seed, str(package.parent))
    assert not result.equal
    return result


def test_an_unchanged_copy_is_equal(tmp_path: Path) -> None:
    """What the tests below find is the change, not the copy."""
    package = copied(tmp_path)
    assert compare("calm", SCENARIOS["calm"].seed, str(package.parent)).equal


@pytest.mark.parametrize(
    ("scenario", "name", "value"),
    [("cuts", "VIEW_JITTER_S", 0.123), ("outages", "CLOUD_PAUSE_S", 0.9)],
)
def test_a_changed_constant_is_found(
    scenario: str, name: str, value: float, tmp_path: Path
) -> None:
    package = copied(tmp_path)
    plant_constant(package, name, value)
    difference = differing(scenario, package).difference
    assert difference is not None and difference.number > 1 and difference.common


def test_a_swapped_order_is_found_at_its_place(tmp_path: Path) -> None:
    package = copied(tmp_path)
    plant_statement(package, SWAPPED)
    difference = differing("calm", package).difference
    assert difference is not None
    assert difference.expected[:2] == difference.actual[1::-1]
    assert PLANTED_AT_S - 0.1 < float(difference.expected[0].split()[0]) < PLANTED_AT_S + 2


def test_a_lost_effect_is_found_at_its_place(tmp_path: Path) -> None:
    package = copied(tmp_path)
    plant_statement(package, LOST)
    difference = differing("calm", package).difference
    assert difference is not None
    assert difference.expected[0] not in difference.actual
    assert PLANTED_AT_S - 0.1 < float(difference.expected[0].split()[0]) < PLANTED_AT_S + 2


def test_the_command_prints_the_place_with_both_sides_and_fails(tmp_path: Path) -> None:
    package = copied(tmp_path)
    plant_statement(package, LOST)
    command = [sys.executable, "-m", "tests.equivalence", "--scenarios", "calm", "--version"]
    run = subprocess.run(
        [*command, str(package.parent)], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert run.returncode == 1, run.stderr
    assert "DIFFERENT" in run.stdout and "1 different" in run.stdout
    place = re.search(r"first difference: effect (\d+), character \d+: (\S+) n\d\.1 ", run.stdout)
    assert place is not None and float(place[2]) > PLANTED_AT_S - 0.1
    assert "\n    - " in run.stdout and "\n    + " in run.stdout


def test_an_error_of_the_code_is_told(tmp_path: Path) -> None:
    package = copied(tmp_path)
    plant_statement(package, 'raise RuntimeError("planted")')
    result = differing("calm", package)
    assert "planted" in result.failure and result.difference is not None
