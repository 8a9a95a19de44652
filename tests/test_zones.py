"""Jobs with a rule of zone, and room that lies in the wrong zones."""

from __future__ import annotations

import pytest

from appledock import wire
from appledock.core.fleet.zone_distribution import ZoneDistribution, ZoneTasks
from appledock.core.machines.machine_capacity import (
    MachineCapacity,
    count_free_slots,
    is_allowed_on,
)
from appledock.core.records.job import Job
from appledock.core.scheduling import handoff
from tests.standins.world import World
from tests.test_decisions import room
from tests.test_grown import owner_of_nothing
from tests.test_requests import spec


def idle_machines(quays: str, **job: object) -> World:
    """One idle machine in each of the zones given; then the job, of tasks as large as a
    machine, is submitted."""
    world = World(5, capacity=20)
    base = {
        **world.spec(0),
        "shape": "daemon",
        "rank": "production",
        "berth": "svc",
        "owner": "red",
        "crates": 1,
        "cores": 4.0,
        "memory_gb": 2.0,
        "together": False,
        "scatter": False,
        "standby": False,
        "sail_s": None,
        "run_s": 1e9,
    }
    for number, quay in enumerate(quays, 1):
        world.submit({**base, "id": f"job-{number:06d}", "quay": quay}, 26.0)
    world.clock.run(42.0)
    world.submit({**base, "id": "job-000099", "quay": None, **job})
    world.clock.run(75.0)
    return world


def places(world: World) -> list[str]:
    return sorted(
        row["quay"]
        for task, there in world.judge.on.items()
        if task.startswith("job-000099/")
        for row in there.values()
    )


@pytest.mark.parametrize(
    ("quays", "job", "zones"),
    [
        ("aabb", {"together": True, "crates": 5}, 1),
        ("aaaa", {"scatter": True, "crates": 4}, 2),
        ("aabb", {"together": True, "crates": 5, "shape": "batch"}, 1),
        ("aaaa", {"scatter": True, "crates": 4, "shape": "batch"}, 2),
    ],
)
def test_machines_are_rented_in_the_zone_that_lacks_them(
    monkeypatch: pytest.MonkeyPatch, quays: str, job: dict[str, object], zones: int
) -> None:
    """Room of two zones counted as one: nothing was rented and nothing returned, while the
    service waited for ever."""
    world = idle_machines(quays, **job)
    assert len(set(places(world))) == zones and len(places(world)) == job["crates"]
    assert world.judge.broken == []
    monkeypatch.setattr(
        ZoneDistribution, "distribute", lambda self, job, tasks, supply: [ZoneTasks(None, tasks)]
    )
    assert len(places(idle_machines(quays, **job))) < job["crates"]  # type: ignore[operator]


def test_a_job_is_handed_to_room_in_a_zone_that_is_open_to_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its last task was passed round for ever between two controllers with room in the
    other zone, while a third one had room in the right zone."""
    job = {"together": True, "crates": 5, "shape": "batch"}
    assert places(idle_machines("aabb", **job)) in (["a"] * 5, ["b"] * 5)
    e = owner_of_nothing()
    rooms = [room("m1", 4, "b"), room("m2", 2, "b"), room("m3", 1, "a")]
    rooms[0].owner, rooms[1].owner, rooms[2].owner = "n1", "n1", "n2"
    last = Job(spec(crates=5, memory_gb=0.0, together=True), 0.0, 3)
    assert e.handoff.choose_target(last, rooms, 1, {"a": 4}) == "n2"
    monkeypatch.setattr(handoff, "count_free_slots", any_zone)
    assert e.handoff.choose_target(last, rooms, 1, {"a": 4}) == "n1"


def any_zone(spec: wire.JobSpec, rooms: list[MachineCapacity], zones: dict[str, int]) -> int:
    return sum(room.free_slots(spec) for room in rooms if is_allowed_on(spec, room))


@pytest.mark.parametrize(
    ("rule", "zones", "fit"),
    [
        ({}, {"a": 3}, 7),
        ({"together": True}, {}, 4),
        ({"together": True}, {"a": 1}, 3),
        ({"together": True}, {"a": 0, "b": 2}, 4),
        ({"together": True}, {"c": 1}, 0),
        ({"scatter": True}, {}, 4),
        ({"scatter": True}, {"a": 2}, 2),
        ({"scatter": True}, {"b": 1}, 3),
        ({"scatter": True, "together": True}, {}, 2),
        ({"scatter": True, "together": True}, {"a": 2}, 0),
    ],
)
def test_room_by_the_rules_of_zone(
    rule: dict[str, object], zones: dict[str, int], fit: int
) -> None:
    rooms = [room("m1", 2), room("m2", 1), room("m3", 4, "b")]
    assert count_free_slots(spec(crates=4, memory_gb=0.0, **rule), rooms, zones) == fit
