#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python files on the standard library alone, so this
# checks that they compile; it installs nothing.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib [0-9]
