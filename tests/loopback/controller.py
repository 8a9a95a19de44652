"""One controller as a real process: started, killed, frozen and ended by its own id."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]


class Controller:
    """A controller process with its settings file and its log."""

    def __init__(
        self,
        name: str,
        settings: dict[str, Any],
        folder: Path,
        options: list[str],
        root: Path = ROOT,
    ) -> None:
        self.name = name
        self.api: str = settings["public_addr"]
        self.folder = folder
        self.config = folder / f"{name}.json"
        self.config.write_text(json.dumps(settings))
        self.options = options
        self.root = root
        """folder of the program; a later start may use another version"""
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def start(self) -> None:
        """Start it, unless it runs."""
        if self.up():
            return
        self.starts += 1
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "run.py", *self.options, "--config", str(self.config)],
                cwd=self.root,
                stderr=log,
            )

    def up(self) -> bool:
        """Does it run?"""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Kill, freeze or thaw it."""
        if self.process is not None and self.up():
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill it and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
