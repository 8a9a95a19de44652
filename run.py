"""Thin program that starts appledock from a checkout; see deploy/service.toml."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]
sys.path.append(str(ROOT / "target" / "console"))

from appledock.cli import main  # noqa: E402  (the path has to be set first)

if __name__ == "__main__":
    main()
