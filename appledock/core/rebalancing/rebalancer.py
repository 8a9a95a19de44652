"""Interface of rebalancing to the core: scorers, mean loads, planning passes and summaries."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from appledock import constants, wire
from appledock.core.machines.capacity_index import CapacityIndex
from appledock.core.membership.membership import Membership
from appledock.core.operator_settings import OperatorSettings
from appledock.core.rebalancing.data_availability import DataAvailability
from appledock.core.rebalancing.move_planning import BlockedMachine, MovePlanning
from appledock.core.rebalancing.scoring import ScorerFactory, WeightedScorer
from appledock.core.rebalancing.snapshots import FleetSnapshots
from appledock.core.rebalancing.summary import move_summary, team_summaries, worker_summaries
from appledock.core.records.job import Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves import Moves
from appledock.core.store.replica import Replica
from appledock.core.workers import Workers
from appledock.rebalancing.locality import DataSets
from appledock.rebalancing.planner import Planner
from appledock.rebalancing.settings import Rebalancing
from appledock.rebalancing.snapshot import means
from appledock.rebalancing.speeds import MachineSpeeds


class Rebalancer:
    """Spreads load over machines; without settings it scores, plans and sends nothing."""

    def __init__(  # noqa: PLR0913 -- the inputs of snapshots and planning
        self,
        settings: Rebalancing | None,
        *,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        workers: Workers,
        capacity_index: CapacityIndex,
        machine_types: Mapping[str, wire.MachineType],
        operator_settings: OperatorSettings,
        moves: Moves,
    ) -> None:
        self._runtime = runtime
        self._membership = membership
        self._capacity_index = capacity_index
        self._operator_settings = operator_settings
        self._moves = moves
        self.settings = settings
        self.enabled = settings is not None
        self.speeds = MachineSpeeds()
        effective_settings = settings or Rebalancing()
        datasets = DataSets(effective_settings.datasets)
        self._scorer_factory = ScorerFactory(effective_settings, datasets, self.speeds.slowness)
        self._planner = Planner(effective_settings, datasets, runtime.rng)
        self._data_availability = DataAvailability(
            effective_settings.datasets, capacity_index, machine_types
        )
        self._snapshots = FleetSnapshots(
            runtime=runtime,
            replica=replica,
            workers=workers,
            capacity_index=capacity_index,
            moves=moves,
            is_movable=self._planner.is_movable,
        )
        self._planning = MovePlanning(
            runtime=runtime,
            replica=replica,
            membership=membership,
            operator_settings=operator_settings,
            settings=effective_settings,
            planner=self._planner,
            snapshots=self._snapshots,
            moves=moves,
            mean_loads=lambda: self._scorer_factory.means,
        )
        self._means_updated_at = constants.DISTANT_PAST

    # --- placement ----------------------------------------------------------
    def scorer(self, spec: wire.JobSpec) -> WeightedScorer | None:
        """Return the scorer for a job, or None if the default score applies."""
        return self._scorer_factory.scorer(spec) if self.enabled else None

    def is_movable(self, spec: wire.JobSpec) -> bool:
        """Return whether tasks of the job may be stopped to balance load."""
        return self._planner.is_movable(spec)

    def on_task_completed(self, machine: str, job: Job, seconds: float) -> None:
        """Record the run time of a task that a heartbeat reports as completed."""
        if self.enabled:
            self.speeds.add_run_time(machine, job.spec.job_class, seconds)

    def refresh_means(self) -> None:
        """Update the mean loads and the availability of data sets, at most once an interval."""
        now = self._runtime.now
        if not self.enabled or now < self._means_updated_at + constants.MEAN_LOAD_INTERVAL_S:
            return
        self._means_updated_at = now
        self._scorer_factory.means = means(
            (machine.type.cpus, machine.load)
            for machine in self._capacity_index.machines.values()
            if machine.load is not None
        )
        self._data_availability.check()

    # --- planning -----------------------------------------------------------
    def tick(self) -> None:
        """Run a planning pass if one is due and this controller may act."""
        if not self.enabled or not self._membership.can_act():
            return
        self._capacity_index.recompute()
        self.refresh_means()
        self._planning.tick()

    # --- operators ----------------------------------------------------------
    @property
    def blocked(self) -> Mapping[str, BlockedMachine]:
        """Overloaded machines from which no task could be moved, with the obstacle."""
        return self._planning.blocked

    def summary(self) -> dict[str, Any]:
        """Return loads, bounds, moves and obstacles as JSON values for the administration API."""
        if self.settings is None:
            return {"enabled": False}
        self._capacity_index.recompute()
        return {
            "enabled": True,
            "paused": bool(self._operator_settings["moves_paused"]),
            "dry_run": bool(self._operator_settings["moves_dry_run"]),
            "bound": self.settings.bound,
            "mean": round(self._scorer_factory.means.total, 4),
            "workers": worker_summaries(
                self._capacity_index, self._snapshots.smoothed, self.blocked
            ),
            "teams": self.team_summaries(),
            "datasets": self._data_availability.by_dataset,
            **move_summary(self._moves, self._runtime.now),
        }

    def team_summaries(self) -> list[dict[str, Any]]:
        """Return each team's mean load, its most loaded machine, and whether the bound is kept.

        All values are JSON values.
        """
        if self.settings is None:
            return []
        return team_summaries(self._capacity_index, self._scorer_factory.means, self.settings.bound)
