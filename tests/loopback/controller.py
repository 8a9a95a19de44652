"""A controller as a real process, which is signalled through its process id alone."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parents[2]


class Controller:
    """A controller process with its settings file and its log file."""

    def __init__(
        self,
        name: str,
        settings: dict[str, Any],
        folder: Path,
        options: list[str],
        root: Path = ROOT,
    ) -> None:
        self.name = name
        self.api_address: str = settings["public_addr"]
        self.folder = folder
        self.settings_file = folder / f"{name}.json"
        self.settings_file.write_text(json.dumps(settings))
        self.options = options
        self.root = root
        """root folder of the program; a later start may use another version"""
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        """how often the process was started"""

    def start(self) -> None:
        """Start the process, unless it is running."""
        if self.is_running():
            return
        self.starts += 1
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "run.py", *self.options, "--config", str(self.settings_file)],
                cwd=self.root,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
