"""Settings of the small deployments, as the brief gives them (BRIEF-appledock.md)."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Site:
    """What the settings file, the state service, the cloud and the workers of a site have."""

    zone: str
    teams: dict[str, tuple[float, float]]
    """team -> CPUs guaranteed, CPUs at most"""
    report_s: float
    lease_s: float
    cancel_s: float
    state: dict[str, float]
    cloud: dict[str, float]
    limits: dict[str, float]
    types: tuple[dict[str, Any], ...]
    boot_s: tuple[float, float]
    """least and most time that a machine takes until it is up: 0.6 to 1.5 times `boot_s`"""
    objectives: tuple[dict[str, Any], ...] = ()


def machine_type(name: str, zone: str, cores: float, memory_gb: float, **more: Any) -> dict:
    return {
        "name": name,
        "cores": cores,
        "cards": 0,
        "memory_gb": memory_gb,
        "local_gb": 100,
        "pull_gb_per_s": 1.0,
        "quays": [zone],
        **more,
    }


PIRMAHAN_OPS = Site(
    zone="ortigas-east",
    teams={
        "platform-crew": (48.0, 152.0),
        "compliance-desk": (48.0, 152.0),
        "client-onboarding": (24.0, 64.0),
        "records-team": (32.0, 72.0),
    },
    report_s=2.0,
    lease_s=12.0,
    cancel_s=32.0,
    state={"rps": 100.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
    cloud={"rps": 5.0, "list_lag_s": 5.0},
    limits={"core_share": 0.432, "ram_mb": 186.0, "fd_limit": 1500},
    types=(
        machine_type("kalesa-4", "ortigas-east", 4, 16, hourly=0.24, market_price=0.1, boot_s=15),
    ),
    boot_s=(9.0, 22.5),
    objectives=(
        {"kind": "wait", "class": "signing-gateway", "within_s": 25.0, "share": 0.82},
        {"kind": "deadline", "class": "seal-batch", "share": 0.92, "times": 1.0},
        {"kind": "deadline", "class": "seal-batch", "share": 0.94, "times": 1.5},
        {"kind": "guarantee", "within_s": 15.0, "share": 0.85},
    ),
)

POISTKA_QUOTE = Site(
    zone="petrzalka-dc",
    teams={f"core-pricing-{number:02d}": (16.0, 48.0) for number in range(16)},
    report_s=1.5,
    lease_s=14.0,
    cancel_s=39.0,
    state={"rps": 150.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12},
    cloud={"rps": 6.0, "list_lag_s": 3.0},
    limits={"core_share": 0.72, "ram_mb": 186.0, "fd_limit": 1200},
    types=(
        machine_type("tatra-4", "petrzalka-dc", 4, 32, hourly=0.24, market_price=0.11, boot_s=25),
        machine_type("tatra-8", "petrzalka-dc", 8, 16, hourly=0.39, market_price=0.18, boot_s=40),
    ),
    boot_s=(15.0, 60.0),
    objectives=(
        {"kind": "wait", "class": "quote-api", "within_s": 12.0, "share": 0.95},
        {"kind": "deadline", "class": "tariff-reload", "share": 0.94, "times": 1.0},
        {"kind": "deadline", "class": "tariff-reload", "share": 0.94, "times": 2.0},
        {"kind": "guarantee", "within_s": 20.0, "share": 0.94},
    ),
)
