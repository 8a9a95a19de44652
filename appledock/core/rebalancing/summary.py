"""Summaries of load and moves for the administration API and the console."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from appledock import constants
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.messages import MoveOrder
from appledock.core.rebalancing.move_planning import BlockedMachine
from appledock.core.scheduling.moves import Moves
from appledock.rebalancing.snapshot import Load, Means


def move_summary(moves: Moves, now: float) -> dict[str, Any]:
    """Return the moves under way and those that ended last as JSON values."""
    return {
        "under_way": [
            {**_order_row(move.order), "for_s": round(now - move.started_at, 1)}
            for move in moves.requested.values()
        ],
        "ended": [
            {
                **_order_row(move.order),
                "at": round(move.ended_wall_time, 1),
                "outcome": move.outcome,
            }
            for move in moves.ended
        ],
        "outcomes": dict(moves.outcomes),
    }


def _order_row(order: MoveOrder) -> dict[str, Any]:
    return {
        "job": order.job,
        "task": order.task,
        "from": order.source,
        "to": order.destination,
    }


def worker_summaries(
    capacity_index: CapacityIndex,
    smoothed: Mapping[str, Load],
    blocked: Mapping[str, BlockedMachine],
) -> list[dict[str, Any]]:
    """Return the load of each machine and, if no task could be moved off it, the obstacle."""
    return [
        {
            "id": name,
            "owner": machine.owner,
            "load": round(machine.load.total, 4),
            "smoothed": round(smoothed.get(name, machine.load).total, 4),
            "teams": {team: round(share, 4) for team, share in sorted(machine.load.teams.items())},
            "stays": blocked[name].obstacle if name in blocked else None,
        }
        for name, machine in sorted(capacity_index.machines.items())
        if machine.load is not None
    ]


def team_summaries(
    capacity_index: CapacityIndex, mean_loads: Means, bound_ratio: float
) -> list[dict[str, Any]]:
    """Return each team's mean load, its most loaded machine, and whether the bound is kept.

    All values are JSON values.
    """
    rows = []
    for team, mean in sorted(mean_loads.teams.items()):
        most, machine, tasks = max(
            (machine.load.of_team(team), name, machine.load.task_counts.get(team, 0))
            for name, machine in capacity_index.machines.items()
            if machine.load is not None
        )
        bound = bound_ratio * mean
        rows.append(
            {
                "name": team,
                "mean": round(mean, 4),
                "most": round(most, 4),
                "machine": machine,
                "bound": round(bound, 4),
                "within": tasks <= 1 or most <= bound + constants.EPSILON,
            }
        )
    return rows
