"""Entry point that runs appledock from a checkout, with its libraries in target/.

deploy/service.toml tells the platform to start this program.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]
sys.path.append(str(ROOT / "target" / "console"))

from appledock.cli import main  # noqa: E402  (needs the path set above)

if __name__ == "__main__":
    main()
