#!/usr/bin/env bash
# Checks that everything the scripts of review/4 to review/8 start can be loaded. The stand-ins are
# Python files (review/lib2, tests/loopback, tests/standins); they need only the libraries that the
# `build` of deploy/service.toml has put under target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:review/lib2" PYTHONDONTWRITEBYTECODE=1
python3 -c "import bench, sites"
