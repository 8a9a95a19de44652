"""Copies of requests that were carried out come once more, well after they should."""

from __future__ import annotations

import pytest

from appledock import wire
from appledock.core.workers.command_reconciler import CommandReconciler
from tests.standins.world import World


def moved_twice(seed: int) -> World:
    """Services that are stopped on one machine and go on on another, while the first
    launch, carried out long ago, reaches the first machine again."""
    world = World(seed, capacity=10)
    for number in range(4):
        world.submit(
            {
                **world.spec(number),
                "shape": "daemon",
                "rank": "production",
                "berth": "svc",
                "owner": "red",
                "crates": 1,
                "cores": 4.0,
                "quay": None,
                "together": False,
                "scatter": False,
                "sail_s": None,
                "run_s": 1e9,
            }
        )
    world.clock.run(40.0)
    copies = []
    for name, worker in world.cloud.workers.items():
        for (task, attempt), row in worker.tasks.items():
            if row["status"] == "running":
                copies.append(
                    (
                        worker,
                        {
                            "warrant": worker.token,
                            "shift": worker.session,
                            "orders": [{"verb": "launch", "crate": task, "try": attempt}],
                        },
                    )
                )
                for node in world.nodes.values():
                    if node.engine.replica.owner_of(name) == node.name:
                        node.engine.fleet.apply_operator_action(name, "drain")
    assert copies
    world.clock.run(55.0)
    for worker, orders in copies:
        worker.orders(orders, lambda *_: None)
    world.clock.run(70.0)
    return world


def test_a_repeated_launch_of_a_stopped_attempt_starts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The emptied machines stay, so that the copies find somebody.
    monkeypatch.setattr("appledock.core.fleet.deletions.MachineDeletions.delete", lambda *_: None)
    world = moved_twice(3)
    assert world.judge.broken == []
    # The guard taken out: the judge sees tasks on two machines.
    monkeypatch.setattr(CommandReconciler, "may_run_again", staticmethod(lambda *_: False))
    assert "ran_twice" in moved_twice(3).judge.kinds()


def test_completed_tasks_are_forgotten_once_a_copy_of_their_launch_is_void() -> None:
    """Until then a copy would put them on the machine again for a moment, which counts for
    the team's limit and the job's zones."""
    world = World(4)
    world.submit(
        {
            **world.spec(0),
            "shape": "batch",
            "owner": "red",
            "crates": 3,
            "cores": 2.0,
            "quay": None,
            "together": False,
            "scatter": False,
            "run_s": 3.0,
        }
    )
    world.clock.run(40.0)
    assert world.judge.final["job-000000"][0] == wire.DONE
    assert sum(len(worker.tasks) for worker in world.cloud.workers.values()) == 3
    for node in world.nodes.values():
        node.engine.view_requests.new_term = True
    world.clock.run(50.0)
    assert all(not worker.tasks for worker in world.cloud.workers.values())
