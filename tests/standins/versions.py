"""The code of an earlier version, from this repository's history, beside the present one."""

from __future__ import annotations

import importlib
import io
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from types import ModuleType

ROOT = Path(__file__).parents[2]
PARTS = {
    "constants": "constants",
    "wire": "wire",
    "settings": "settings",
    "engine": "core.engine",
    "events": "core.events",
    "jobs": "core.jobs",
    "replica": "core.replica",
    "store": "adapters.store",
    "cloud": "adapters.cloud",
    "users": "adapters.users",
}


@dataclass(frozen=True)
class Code:
    """The modules of one version that a simulated controller is made of."""

    constants: ModuleType
    wire: ModuleType
    settings: ModuleType
    engine: ModuleType
    events: ModuleType
    jobs: ModuleType
    replica: ModuleType
    store: ModuleType
    cloud: ModuleType
    users: ModuleType


def _import() -> Code:
    return Code(
        **{part: importlib.import_module(f"appledock.{module}") for part, module in PARTS.items()}
    )


@cache
def present() -> Code:
    return _import()


@cache
def production() -> Code:
    """The version that `deploy/service.toml` names as the one in production."""
    present()
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    packed = subprocess.run(
        ["git", "archive", deploy["production"], "appledock"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    ours = {
        name: module
        for name, module in sys.modules.items()
        if name.partition(".")[0] == "appledock"
    }
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
            archive.extractall(folder, filter="data")
        for name in ours:
            del sys.modules[name]
        sys.path.insert(0, folder)
        try:
            return _import()
        finally:
            sys.path.remove(folder)
            for name in [n for n in sys.modules if n.partition(".")[0] == "appledock"]:
                del sys.modules[name]
            sys.modules.update(ours)
