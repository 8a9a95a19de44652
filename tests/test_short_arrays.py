"""A cluster of short tasks in wide arrays, on machines most of which may be taken back.

Two zones have controllers and machines, two have machines only; the cloud takes two calls a
second and its list is eight seconds late. Troubles come singly and in drawn pairs, and every
rule and the checks at a day's end hold.
"""

from __future__ import annotations

import random

import pytest

from appledock import constants as c
from appledock.core.controller import Controller
from tests.standins import deployment as standin_deployment
from tests.standins.short_arrays import (
    CANCEL_S,
    DEPLOYMENT,
    LEASE_S,
    TROUBLES,
    TROUBLES_END_S,
    archive,
    day,
)
from tests.standins.world import World

Patch = pytest.MonkeyPatch


@pytest.fixture(autouse=True)
def deployment(monkeypatch: Patch) -> None:
    """The times, teams and machines of this deployment."""
    for module, name, value in DEPLOYMENT:
        monkeypatch.setattr(module, name, value)


def check(world: World) -> None:
    assert world.judge.broken == []
    assert world.judge.day_end(peace=TROUBLES_END_S) == []
    assert world.unfinished() == []
    assert len(world.judge.accepted) > 30


# --- tests ----------------------------------------------------------------------
@pytest.mark.parametrize("name", TROUBLES)
def test_rules_hold_in_each_trouble(name: str) -> None:
    check(day(1, name))


@pytest.mark.parametrize(
    ("seed", "names"),
    [
        (2, ("wave", "all_crash")),
        (3, ("state_out", "one_crashes")),
        (4, ("sick_machines", "burst")),
        (5, ("fewer_machines", "state_refuses_one")),
        (6, ("zones_apart", "rolled")),
        (7, ("one_loses_its_workers", "wave")),
    ],
)
def test_rules_hold_where_two_troubles_meet(seed: int, names: tuple[str, ...]) -> None:
    check(day(seed, *names))


def failed_starts(seed: int) -> int:
    """Tasks that one machine, which fails them all, has failed within half a minute."""
    world = archive(seed)
    world.clock.run(30.0)
    victim = sorted(world.cloud.workers)[0]
    worker = world.cloud.workers[victim]
    worker.sick, failed = True, 0
    leave = worker._exit

    def counted(key: tuple[str, int], cause: str, gone: bool = False) -> None:
        nonlocal failed
        failed += cause == "error"
        leave(key, cause, gone)

    worker._exit = counted  # type: ignore[method-assign]
    world.clock.run(60.0)
    assert world.judge.broken == []
    return failed


def test_a_machine_that_fails_all_is_set_aside_before_it_eats_an_array(
    monkeypatch: Patch,
) -> None:
    """Eight at a time, it takes the tasks of an array faster than any sound machine."""
    assert failed_starts(8) <= 24  # three times what fits it
    monkeypatch.setattr(c, "FAULTY_MACHINE_JOBS_MIN", 10**9)
    assert failed_starts(8) > 24


def test_the_times_fit_into_a_cancellation(monkeypatch: Patch) -> None:
    """A controller cut off right before a cancellation answers its workers for a lease more,
    and they go on for theirs; then the deletion must still find its time."""

    def over_s() -> float:
        settings = standin_deployment.settings("n0", ["n0", "n1", "n2"])
        engine = Controller(settings, "x", random.Random(1))
        lapse_s = LEASE_S * (1 + c.CLOCK_DRIFT) + c.LEASE_EXPIRY_MARGIN_S
        return engine.runtime.lease_ttl_s * (1 + c.CLOCK_DRIFT) + lapse_s

    assert over_s() < CANCEL_S
    assert LEASE_S + c.CANCEL_DELETE_LEAD_S < CANCEL_S
    monkeypatch.setattr(c, "CONTROLLER_LEASE_S", 600.0)
    assert over_s() < CANCEL_S  # shortened by what a cancellation has
    monkeypatch.setattr(c, "CANCEL_RESERVE_S", -3.0)
    assert over_s() > CANCEL_S
