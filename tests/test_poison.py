"""Submissions that are well formed and odd: they must not harm anybody else."""

from __future__ import annotations

import pytest

from appledock import wire
from appledock.core.commands import GetJobState, Tick
from appledock.core.effects import StoreCall
from appledock.core.fleet import Fleet
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.quota.resources import Resources
from appledock.core.store_calls import Transaction
from tests.standins.world import World
from tests.test_launches import NOW, leading
from tests.test_requests import spec


@pytest.mark.parametrize("field", ["cores", "cards", "memory_gb"])
@pytest.mark.parametrize("size", [5e-324, 1e-320, 1e-300, 1e-12, 0.0])
def test_how_many_tasks_of_next_to_nothing_fit(field: str, size: float) -> None:
    """Dividing by it gave infinity, which no integer holds: the pass over the queue failed
    for every job, and so did the fleet's plan and, behind it, the answers to users."""
    job = spec(**{"crates": 7, "cores": 0.0, "memory_gb": 0.0, field: size})
    kind = wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a"], gpus=1.0)
    room = MachineCapacity("m", kind, "a", False, 1, 4, 1, 16)
    assert Resources(5.0, 1.0).count_tasks(job) == 7
    assert room.free_slots(job) == 100_000


@pytest.mark.parametrize(
    "odd",
    [
        {"cores": 5e-324},
        {"memory_gb": 1e-320},
        {"cores": 0.0, "memory_gb": 0.0},
        {"eta_s": 1e12},
        {"sail_s": 0.0},
        {"sail_s": 1e12},
        {"image_gb": 1e12},
        {"stow_s": 1e-320, "lash_s": 1e12},
        {"crates": 900, "cores": 1e-9, "memory_gb": 0.0},
        {"together": True, "scatter": True},
        {"together": True, "scatter": True, "shape": "daemon"},
        {"cards": 5e-324},
    ],
)
def test_others_run_whatever_one_submits(odd: dict[str, object]) -> None:
    world = World(7)
    first = {
        **world.spec(0),
        "shape": "batch",
        "owner": "red",
        "quay": None,
        "together": False,
        "scatter": False,
        "sail_s": None,
        "standby": True,
        "rank": "production",
        "berth": "arr",
        "crates": 3,
        "run_s": 2.0,
        **odd,
    }
    world.submit(first)
    for number in range(1, 7):
        other = {
            **world.spec(number),
            "shape": "batch",
            "owner": "red",
            "quay": None,
            "together": False,
            "scatter": False,
            "rank": "production",
            "cores": 1.0,
            "crates": 2,
            "run_s": 2.0,
        }
        world.clock.at(1.0 + number, lambda s=other: world.submit(s))
    world.clock.run(60.0)
    assert world.judge.broken == []
    assert [job for job in world.unfinished() if job != "job-000000"] == []
    # Odd or not, it is accepted, so it begins.
    assert "job-000000" in world.judge.begun


def test_users_are_answered_whatever_fails_in_the_fleet(monkeypatch: pytest.MonkeyPatch) -> None:
    e = leading()
    monkeypatch.setattr(Fleet, "tick", lambda self: 1 / 0)
    effects = e.handle([GetJobState(1, "job-000009"), Tick()], NOW, 0.0)
    requests = [x.request for x in effects if isinstance(x, StoreCall)]
    assert sum(isinstance(request, Transaction) for request in requests) == 1
