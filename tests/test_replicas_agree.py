"""Controllers that hold the same version of a record hold the same record.

Each orders the queue from its own replica. A controller that keeps what it wrote in a form that
the store does not keep would order it differently from those that read it.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.standins import faults
from tests.standins.world import World


def job_fields(job: Any) -> tuple[object, ...]:
    """Return what a controller knows of a job from its record; attempts are in no order."""
    return (
        job.spec,
        job.submitted_wall_time,
        job.cancelled,
        job.cancelled_wall_time,
        job.last_step,
        list(job.completed_tasks),
        sorted((row.machine, row.attempt_number, sorted(row.tasks)) for row in job.attempts),
        job.handoff_target,
        job.consecutive_failures,
    )


def differing_records(world: World) -> list[str]:
    """Return the jobs and teams of which two controllers hold one version differently."""
    known: dict[tuple[str, int], object] = {}
    differing: list[str] = []
    for node in world.nodes.values():
        replica = node.engine.replica
        records = [(job.id, job.version, job_fields(job)) for job in replica.jobs.values()]
        records += [
            (team, record.version, (record.term, record.shares))
            for team, record in replica.allocations.items()
        ]
        for name, version, fields in records:
            if known.setdefault((name, version), fields) != fields:
                differing.append(f"{name} at version {version}")
    return differing


@pytest.mark.parametrize(("seed", "kinds"), [(2, ("crash",)), (7, ("peers", "cut", "late"))])
def test_the_same_version_is_the_same_record_at_all_controllers(
    seed: int, kinds: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a writer that keeps digits which its record does not (inc-rounded-times)."""
    differing: list[str] = []
    look = World._look

    def look_and_compare(world: World) -> None:
        look(world)
        differing.extend(differing_records(world) if hasattr(world, "nodes") else [])

    monkeypatch.setattr(World, "_look", look_and_compare)
    world = faults.play(seed, *kinds, seconds=100.0)
    assert differing == []
    assert world.judge.starts > 30
