"""Description of a job, in the words of the protocol, for tests to vary."""

from __future__ import annotations

from typing import Any

ARRAY_SPEC: dict[str, Any] = {
    "berth": "arr",
    "owner": "red",
    "shape": "batch",
    "rank": "standard",
    "crates": 2,
    "cores": 1.0,
    "cards": 0.0,
    "memory_gb": 2.0,
    "cargo": "img-0",
    "image_gb": 1.0,
    "hulls": None,
    "quay": None,
    "together": False,
    "scatter": False,
    "standby": True,
    "eta_s": 20.0,
    "stow_s": 0.0,
    "lash_s": 0.0,
    "sail_s": 90.0,
    "run_s": 20.0,
}
"""a small array without its id; `run_s` is known to the workers alone"""
