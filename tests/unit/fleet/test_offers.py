"""Unit tests of the selection of machine kinds, without a controller."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from appledock import constants, wire
from appledock.core.fleet.model import MachineKind
from appledock.core.fleet.offers import InstanceOffers
from tests.test_requests import spec

SMALL = wire.MachineType("small", 4, 16, 0.2, 0.1, 5, ["a", "b"])


def test_a_kind_without_capacity_is_not_selected_until_its_pause_ends() -> None:
    runtime: Any = SimpleNamespace(now=100.0)
    offers = InstanceOffers(runtime, {"small": SMALL})
    job = spec(cores=1.0, memory_gb=1.0, standby=False)
    in_a, in_b = MachineKind("small", "a", False), MachineKind("small", "b", False)
    assert offers.cheapest(job, 1) == in_a
    offers.mark_unavailable(in_a)
    assert offers.cheapest(job, 1) == in_b
    assert offers.cheapest(job, 1, zone="a") is None
    runtime.now += constants.NO_CAPACITY_BACKOFF_S
    assert offers.cheapest(job, 1) == in_a


def test_spot_instances_are_selected_only_for_jobs_that_allow_them() -> None:
    runtime: Any = SimpleNamespace(now=100.0)
    offers = InstanceOffers(runtime, {"small": SMALL})
    for allows_spot in (True, False):
        kind = offers.cheapest(spec(cores=1.0, memory_gb=1.0, standby=allows_spot), 1)
        assert kind is not None and kind.spot is allows_spot
