"""The code of earlier versions, from this repository's history, beside the present one.

What the tests touch of a version goes through its `Code`: the modules by their part, and
a few questions about the inside of a controller. Each generation of names has an adapter
of its own, so that a renaming in the present code changes `PresentCode` alone.
"""

from __future__ import annotations

import importlib
import io
import json
import random
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from functools import cache
from pathlib import Path
from types import ModuleType
from typing import Any, ClassVar

ROOT = Path(__file__).parents[2]
SERVED = "145af75fd13d081803f0788ac576e1481599394e"
"""the last head of `main` that served users: its records stay readable for ever"""


class Code:
    """The modules of one version that a simulated controller is made of, under the names
    that they have in the production version and in the served head."""

    MODULES: ClassVar[dict[str, str]] = {
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
    """part -> module"""
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

    def __init__(self, name: str) -> None:
        self.name = name
        for part, module in self.MODULES.items():
            setattr(self, part, importlib.import_module(f"appledock.{module}"))

    def __repr__(self) -> str:
        return self.name

    # --- a controller -----------------------------------------------------
    def controller(
        self,
        settings_file: bytes,
        incarnation: str,
        rng: random.Random,
        rebalancing: Any = None,
        capacity: Any = None,
    ) -> Any:
        """A controller that has just started; earlier versions know no such parts."""
        return self.engine.Engine(self.settings.parse(settings_file), incarnation, rng)

    def view(self, controller: Any) -> Any:
        """The newest view that it knows, or None."""
        return controller.replica.view

    def format_in_use(self, controller: Any) -> int:
        """The format of records that it takes for the one in use."""
        return int(controller.replica.format[1])

    def hears(self, controller: Any, peer: str) -> bool:
        """Did the peer say lately that it is there?"""
        return bool(controller.pulse.reached(peer))

    def told_by(self, controller: Any, peer: str) -> dict[str, Any]:
        """What the peer said in its last pulse, as far as this version keeps it."""
        pulse = controller.pulse
        return {
            "node": peer,
            "served_s": round(controller.now - pulse.heard[peer][1], 3),
            "writes": pulse.writes[peer],
            "reporting": pulse.reporting[peer],
            "vain": pulse.vain[peer],
            "pressed": pulse.pressed[peer],
        }

    def knows_gone(self, controller: Any, machine: str) -> bool:
        """Does it know that the machine is deleted?"""
        return machine in controller.workers.gone

    def seen(self, controller: Any, machine: str) -> tuple[int, int]:
        """Session and number of the machine's newest report that it knows of."""
        session, seq = controller.workers.table[machine].seen
        return int(session), int(seq)

    # --- records ----------------------------------------------------------
    def rewrite(self, key: str, value: Any, format_: int = 1) -> Any:
        """A stored record read by this version, and what it would write in its place."""
        replica = self.replica.Replica()
        replica.put(key, value, 7)
        kind, _, name = key.removeprefix(self.replica.LIVE).partition("/")
        if key.startswith(self.replica.FINAL):
            return {"state": replica.finals[key.removeprefix(self.replica.FINAL)]}
        if kind == "jobs":
            return self._plain(self.encode_job(replica.jobs[name], format_))
        if kind == "teams":
            return self._plain(replica.teams[name].encode())
        if kind == "members":
            return self.member_record(replica.members[name])
        if kind == "view":
            return self._plain(replica.view.encode())
        return self._plain(
            {
                "catalogue": {"types": replica.catalogue[1]},
                "settings": replica.settings[1],
                "format": {"format": replica.format[1]},
            }[kind]
        )

    def encode_job(self, job: Any, format_: int) -> Any:
        return job.encode(format_)

    def member_record(self, member: Any) -> dict[str, Any]:
        return {
            "incarnation": member.incarnation,
            "lease": member.lease,
            "format": member.format,
        }

    def _plain(self, value: Any) -> Any:
        return json.loads(self.wire.encode(value))


class ProductionCode(Code):
    """The version in production knows one format of records and says none."""

    def encode_job(self, job: Any, format_: int) -> Any:
        assert format_ == 1
        return job.encode()

    def member_record(self, member: Any) -> dict[str, Any]:
        return {"incarnation": member.incarnation, "lease": member.lease}


class PresentCode(Code):
    """The code of this checkout: the one adapter that follows its names."""

    MODULES: ClassVar[dict[str, str]] = {
        **Code.MODULES,
        "jobs": "core.jobs.record",
        "replica": "core.store.replica",
    }

    def controller(
        self,
        settings_file: bytes,
        incarnation: str,
        rng: random.Random,
        rebalancing: Any = None,
        capacity: Any = None,
    ) -> Any:
        settings = self.settings.parse(settings_file)
        return self.engine.Engine(settings, incarnation, rng, rebalancing, capacity)

    def hears(self, controller: Any, peer: str) -> bool:
        return bool(controller.heartbeats.reached(peer))

    def told_by(self, controller: Any, peer: str) -> dict[str, Any]:
        heard = controller.heartbeats.heard[peer]
        return {
            "node": peer,
            "served_s": round(controller.now - heard.served_at, 3),
            "writes": heard.heartbeat.writes,
            "reporting": heard.heartbeat.reporting,
            "vain": heard.heartbeat.unanswered,
            "pressed": heard.heartbeat.pressed,
        }


@cache
def present() -> Code:
    return PresentCode("present")


@cache
def production() -> Code:
    """The version that `deploy/service.toml` names as the one in production."""
    deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
    return _load(deploy["production"], ProductionCode, "production")


@cache
def served() -> Code:
    return _load(SERVED, Code, "served")


def _load(commit: str, adapter: type[Code], name: str) -> Code:
    """The code of a commit, imported beside the present one."""
    present()
    packed = subprocess.run(
        ["git", "archive", commit, "appledock"], cwd=ROOT, check=True, capture_output=True
    ).stdout
    ours = {module: loaded for module, loaded in sys.modules.items() if _is_ours(module)}
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(packed)) as archive:
            archive.extractall(folder, filter="data")
        for module in ours:
            del sys.modules[module]
        sys.path.insert(0, folder)
        importlib.invalidate_caches()
        try:
            return adapter(name)
        finally:
            sys.path.remove(folder)
            for module in [module for module in sys.modules if _is_ours(module)]:
                del sys.modules[module]
            sys.modules.update(ours)


def _is_ours(module: str) -> bool:
    return module.partition(".")[0] == "appledock"
