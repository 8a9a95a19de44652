"""Feed of the consoles: rows of the cluster's state, and the changes in them."""

from __future__ import annotations

from collections import Counter

from appledock.console.changes import VersionedRows
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
from appledock.core.capacity.summary import PartitionSummary
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.membership.heartbeats import Heartbeats
from appledock.core.operator_settings import OperatorSettings
from appledock.core.quota.usage import QuotaUsage
from appledock.core.rebalancing.rebalancer import Rebalancer
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves import Moves
from appledock.core.store.replica import Replica
from appledock.core.workers import Worker, Workers


class ConsoleFeed:
    """Builds the rows that consoles show, only when a console requests them."""

    def __init__(  # noqa: PLR0913 -- consoles show the state of every component
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        workers: Workers,
        heartbeats: Heartbeats,
        capacity_index: CapacityIndex,
        quota_usage: QuotaUsage,
        operator_settings: OperatorSettings,
        rebalancer: Rebalancer,
        partition_summary: PartitionSummary,
        moves: Moves,
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._workers = workers
        self._heartbeats = heartbeats
        self._capacity_index = capacity_index
        self._quota_usage = quota_usage
        self._operator_settings = operator_settings
        self._rebalancer = rebalancer
        self._partition_summary = partition_summary
        self._moves = moves
        self._versioned_rows = VersionedRows(runtime.incarnation)

    def changes_since(self, incarnation: str, version: int, limit: int) -> Changes:
        """Return the changes after the version that a console has, at most `limit` rows."""
        self._versioned_rows.update(self._read_rows())
        return self._versioned_rows.changes_since(incarnation, version, limit)

    def _read_rows(self) -> dict[str, Row]:
        """Return all rows by key; the rows that a console shows first come first."""
        view = self._replica.view
        if view is None:
            return {"cluster/": self._read_cluster()}
        self._capacity_index.recompute()
        return {
            "cluster/": self._read_cluster(),
            **self._read_controllers(view),
            **self._read_teams(),
            **self._read_partitions(),
            **self._read_moves(),
            **self._read_placeable_workers(),
            **self._read_other_workers(),
        }

    def _read_cluster(self) -> ClusterRow:
        loads = [_load(capacity) for capacity in self._capacity_index.machines.values()]
        jobs = self._replica.jobs
        return ClusterRow(
            node=self._runtime.node,
            jobs=len(jobs),
            queued_tasks=sum(job.queued_task_count for job in jobs.values()),
            mean_load=round(sum(loads) / len(loads), 2) if loads else 0.0,
            moves=self._move_mode(),
            moves_done=self._moves.outcomes["done"],
        )

    def _move_mode(self) -> str:
        settings = self._rebalancer.settings
        if settings is None or not settings.moves.enabled:
            return "off"
        if self._operator_settings["moves_paused"]:
            return "paused"
        if self._operator_settings["moves_dry_run"]:
            return "dry run"
        return "on"

    def _read_controllers(self, view: View) -> dict[str, Row]:
        settings = self._runtime.settings
        worker_counts = Counter(self._replica.owner_of(name) for name in self._workers.table)
        names = [settings.name, *(peer.name for peer in settings.peers)]
        return {
            f"controller/{name}": ControllerRow(
                role=_controller_role(name, view),
                reachable=self._heartbeats.is_reachable(name),
                workers=worker_counts[name],
            )
            for name in sorted(names)
        }

    def _read_teams(self) -> dict[str, Row]:
        summaries = {row["name"]: row for row in self._rebalancer.team_summaries()}
        rows: dict[str, Row] = {}
        for name, team in sorted(self._runtime.teams.items()):
            summary = summaries.get(name)
            rows[f"team/{name}"] = TeamRow(
                cpus=round(self._quota_usage.held_by_team(name).cpus, 2),
                cpus_max=team.cpus_max,
                max_machine_share=round(summary["most"], 2) if summary else 0.0,
                machine=summary["machine"] if summary else "",
                within_bound=summary["within"] if summary else True,
            )
        return rows

    def _read_partitions(self) -> dict[str, Row]:
        summary = self._partition_summary.as_json()
        return {
            f"partition/{name}.{pool}": PartitionRow(
                target=row["target"],
                held=row["held"],
                leaving=len(row["leaving"]),
                tasks=row["tasks"],
                controller=row["controller"] or "",
            )
            for pool, state in summary.get("pools", {}).items()
            for name, row in state["partitions"].items()
        }

    def _read_moves(self) -> dict[str, Row]:
        orders = [move.order for move in self._moves.requested.values()]
        return {
            f"move/{order.job}/{order.task}": MoveRow(order.source, order.destination, "under way")
            for order in orders
        }

    def _read_placeable_workers(self) -> dict[str, Row]:
        """Return the workers on which tasks may be placed, the most loaded first."""
        machines = self._capacity_index.machines.values()
        by_load = sorted(machines, key=lambda capacity: (-_load(capacity), capacity.name))
        return {f"worker/{capacity.name}": self._read_placeable(capacity) for capacity in by_load}

    def _read_placeable(self, capacity: MachineCapacity) -> WorkerRow:
        teams = capacity.load.teams if capacity.load is not None else {}
        blocked = self._rebalancer.blocked.get(capacity.name)
        return WorkerRow(
            owner=capacity.owner,
            load=round(_load(capacity), 2),
            teams=", ".join(f"{team} {share:.2f}" for team, share in sorted(teams.items())),
            note=blocked[1] if blocked else "",
        )

    def _read_other_workers(self) -> dict[str, Row]:
        """Return the workers that have reported but on which no tasks may be placed."""
        names = self._workers.table.keys() - self._capacity_index.machines.keys()
        workers = [self._workers.table[name] for name in sorted(names)]
        return {
            f"worker/{worker.id}": WorkerRow(
                owner=self._replica.owner_of(worker.id),
                load=0.0,
                teams="",
                note=_worker_note(worker),
            )
            for worker in workers
            if worker.report is not None
        }


def _controller_role(controller: str, view: View) -> str:
    if controller == view.leader:
        return "leader"
    if controller in view.detached:
        return "detached"
    return "member" if controller in view.members else "not in the view"


def _worker_note(worker: Worker) -> str:
    reason = worker.placement.cordon_reason
    return f"cordoned: {reason}" if reason else "takes no steps"


def _load(capacity: MachineCapacity) -> float:
    """Return the committed share of the machine; that of its CPUs if load is not tracked."""
    if capacity.load is not None:
        return capacity.load.total
    cpus = capacity.type.cpus
    return 1 - max(0.0, capacity.cpus) / cpus if cpus else 0.0
