"""What a controller tells consoles: rows of its picture, and what changed in them."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from appledock.console.changes import RowChanges
from appledock.console.rows import (
    Changes,
    ClusterRow,
    ControllerRow,
    MoveRow,
    PartitionRow,
    Row,
    TeamRow,
    WorkerRow,
)
from appledock.core.machines.machine_capacity import MachineCapacity

if TYPE_CHECKING:
    from appledock.core.controller import Controller


class ConsoleFeed:
    """Rows are counted anew when a console asks, and not otherwise."""

    def __init__(self, engine: Controller) -> None:
        self.engine = engine
        self.changes = RowChanges(engine.incarnation)

    def since(self, incarnation: str, version: int, limit: int) -> Changes:
        """What has changed since a version that a console knows."""
        self.changes.update(self._rows())
        return self.changes.since(incarnation, version, limit)

    def _rows(self) -> dict[str, Row]:
        """All rows; what is asked for first comes first."""
        if self.engine.replica.view is None:
            return {"cluster/": self._cluster()}
        self.engine.capacity_index.recompute()
        return {
            "cluster/": self._cluster(),
            **self._controllers(),
            **self._teams(),
            **self._partitions(),
            **self._moves(),
            **self._workers(),
        }

    def _cluster(self) -> ClusterRow:
        engine = self.engine
        rebalancer = engine.rebalancer
        moves = "on"
        if rebalancer.settings is None or not rebalancer.settings.moves.enabled:
            moves = "off"
        elif engine.operator_settings["moves_paused"]:
            moves = "paused"
        elif engine.operator_settings["moves_dry_run"]:
            moves = "dry run"
        shares = [_load(room) for room in engine.capacity_index.machines.values()]
        return ClusterRow(
            engine.settings.name,
            len(engine.replica.jobs),
            sum(job.queued_task_count for job in engine.replica.jobs.values()),
            round(sum(shares) / len(shares), 2) if shares else 0.0,
            moves,
            engine.moves.outcomes["done"],
        )

    def _controllers(self) -> dict[str, Row]:
        engine = self.engine
        view = engine.replica.view
        assert view is not None
        workers = Counter(engine.replica.owner_of(name) for name in engine.workers.table)
        names = [engine.settings.name, *(peer.name for peer in engine.settings.peers)]
        rows: dict[str, Row] = {}
        for name in sorted(names):
            role = "member" if name in view.members else "not in the view"
            if name == view.leader:
                role = "leader"
            elif name in view.detached:
                role = "detached"
            reached = name == engine.settings.name or engine.heartbeats.is_reachable(name)
            rows[f"controller/{name}"] = ControllerRow(role, reached, workers[name])
        return rows

    def _teams(self) -> dict[str, Row]:
        engine = self.engine
        bounds = {row["name"]: row for row in engine.rebalancer.teams()}
        rows: dict[str, Row] = {}
        for name, team in sorted(engine.teams.items()):
            held = engine.quota_usage.held_by_team(name)
            bound = bounds.get(name)
            rows[f"team/{name}"] = TeamRow(
                round(held.cpus, 2),
                team.cpus_max,
                round(bound["most"], 2) if bound else 0.0,
                bound["machine"] if bound else "",
                bound["within"] if bound else True,
            )
        return rows

    def _partitions(self) -> dict[str, Row]:
        summary = self.engine.partition_summary.as_json()
        return {
            f"partition/{name}.{pool}": PartitionRow(
                row["target"],
                row["held"],
                len(row["leaving"]),
                row["tasks"],
                row["controller"] or "",
            )
            for pool, state in summary.get("pools", {}).items()
            for name, row in state["partitions"].items()
        }

    def _moves(self) -> dict[str, Row]:
        return {
            f"move/{x.order.job}/{x.order.task}": MoveRow(
                x.order.source, x.order.destination, "under way"
            )
            for x in self.engine.moves.requested.values()
        }

    def _workers(self) -> dict[str, Row]:
        """Workers, the fullest first; those that take no steps last."""
        engine, table = self.engine, self.engine.capacity_index.machines
        rows: dict[str, Row] = {}
        for room in sorted(table.values(), key=lambda room: (-_load(room), room.name)):
            teams = room.load.teams if room.load is not None else {}
            parts = [f"{team} {share:.2f}" for team, share in sorted(teams.items())]
            blocked = engine.rebalancer.blocked.get(room.name)
            rows[f"worker/{room.name}"] = WorkerRow(
                room.owner, round(_load(room), 2), ", ".join(parts), blocked[1] if blocked else ""
            )
        for name in sorted(engine.workers.table.keys() - table.keys()):
            worker = engine.workers.table[name]
            if worker.report is not None:
                note = (
                    f"cordoned: {worker.placement.cordon_reason}"
                    if worker.placement.cordon_reason
                    else "takes no steps"
                )
                rows[f"worker/{name}"] = WorkerRow(engine.replica.owner_of(name), 0.0, "", note)
        return rows


def _load(room: MachineCapacity) -> float:
    """Committed share; where load is not spread, that of the processors."""
    if room.load is not None:
        return room.load.total
    return 1 - max(0.0, room.cpus) / room.type.cpus if room.type.cpus else 0.0
