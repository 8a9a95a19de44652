"""Summary of capacity partitions for the administration API."""

from __future__ import annotations

from typing import Any

from appledock.capacity.assignment import MachineUse
from appledock.core.capacity.machine_usage import MachineUsage
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.store.replica import Replica


class PartitionSummary:
    """Builds the body of `GET capacity`, whose keys are part of the administration API."""

    def __init__(self, replica: Replica, partitions: PartitionMap, usage: MachineUsage) -> None:
        self._replica = replica
        self._partitions = partitions
        self._usage = usage

    def as_json(self) -> dict[str, Any]:
        """Return fractions, owners, use and drains of machines, from this controller's replica."""
        settings = self._partitions.settings
        if settings is None:
            return {"enabled": False}
        agreed = self._replica.capacity.agreed_fractions
        return {
            "enabled": True,
            "in_force": self._partitions.is_in_force(),
            "version": agreed.version if agreed is not None else 0,
            "request": agreed.request_id if agreed is not None else None,
            "shares": self._partitions.agreed_fractions(),
            "pools": {pool.name: self._summarize_pool(pool.name) for pool in settings.pools},
        }

    def _summarize_pool(self, pool: str) -> dict[str, Any]:
        uses = self._usage.of_pool(pool)
        target = self._partitions.target_machines(pool, len(uses))
        return {
            "machines": len(uses),
            "unassigned": sum(use.ownership is None for use in uses),
            "partitions": {
                name: self._summarize_partition(name, target[name], uses) for name in target
            },
        }

    def _summarize_partition(
        self, name: str, target: int, uses: list[MachineUse]
    ) -> dict[str, Any]:
        settings = self._partitions.settings
        assert settings is not None
        owned = [
            (use, use.ownership)
            for use in uses
            if use.ownership is not None and use.ownership.partition == name
        ]
        return {
            "target": target,
            "held": sum(not ownership.is_being_handed_over for _, ownership in owned),
            "lent": sum(ownership.is_lent for _, ownership in owned),
            "leaving": [
                {
                    "machine": use.name,
                    "tasks": sum(use.task_counts.values()),
                    "left_s": round(use.drain_s, 1),
                }
                for use, ownership in owned
                if ownership.is_being_handed_over
            ],
            "tasks": sum(use.task_counts.get(name, 0) for use in uses),
            "controller": settings.partition(name).controller,
        }
