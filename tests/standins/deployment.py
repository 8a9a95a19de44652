"""The simulated deployment: its controllers' settings, teams, machine types and times."""

from __future__ import annotations

import json
from typing import Any

from appledock.settings import Settings, parse
from tests.standins import machines

CANCEL_S = 25.0
ZONES = {"n0": "a", "n1": "b", "n2": "b"}
"""controller -> its zone"""
TEAMS = {"red": (12.0, 24.0), "blue": (8.0, 20.0)}
TYPES = [
    {
        "name": "h4",
        "cores": 4,
        "cards": 0,
        "memory_gb": 16,
        "local_gb": 50,
        "pull_gb_per_s": 0.5,
        "hourly": 0.2,
        "market_price": 0.1,
        "boot_s": 5,
        "quays": ["a", "b"],
    }
]
OBJECTIVES: list[dict[str, Any]] = []
"""what the platform is judged by, as its file says it"""

NEXT = {"value_kb": 2.0, "txn_ops": 5, "write_rps": 15.0}
"""limits that the state service may have from some moment on"""


def settings(name: str, names: list[str]) -> Settings:
    """The checked settings of one controller of the simulated cluster."""
    return parse(settings_file(name, names))


def settings_file(name: str, names: list[str], announced: dict[str, Any] | None = None) -> bytes:
    """The platform's file for one controller of the simulated cluster."""
    limits = {"rps": 100.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12}
    return json.dumps(
        {
            "node_name": name,
            "location": "a",
            "public_addr": "10.0.0.1:8080",
            "back": "10.0.0.1:8081",
            "unknown": 1,
            "peers": [
                {"node_name": n, "location": "a", "endpoint": "10.0.0.2:8081"}
                for n in names
                if n != name
            ],
            "external": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
            "cluster": {
                "size": len(names),
                "zones": ["a", "b"],
                "teams": [
                    {"name": t, "cpus": g, "cpus_max": m, "gpus": 0, "gpus_max": 0}
                    for t, (g, m) in TEAMS.items()
                ],
                "objectives": OBJECTIVES,
                "time_bound_ms": 100.0,
                "workers": {
                    "report_s": machines.REPORT_S,
                    "lease_s": machines.LEASE_S,
                    "gang_wait_s": 30.0,
                    "gang_peer_s": 5.0,
                    "cancel_s": CANCEL_S,
                },
                "state": {**limits, "next": announced} if announced is not None else limits,
                "cloud": {"rps": 5.0, "list_lag_s": 3.0},
                "machine_limits": {"core_share": 0.4, "ram_mb": 186, "fd_limit": 1500},
            },
        }
    ).encode()
