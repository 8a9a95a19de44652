"""Planning passes: when moves are planned, how many, and among which machines."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import NamedTuple

from appledock import constants
from appledock.core.membership.membership import Membership
from appledock.core.operator_settings import OperatorSettings
from appledock.core.rebalancing.snapshots import FleetSnapshots
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves import Moves
from appledock.core.store.replica import Replica
from appledock.rebalancing.planner import Plan, Planner, Proposal
from appledock.rebalancing.settings import Rebalancing
from appledock.rebalancing.snapshot import MachineLoad, Means, means

log = logging.getLogger(__name__)


class BlockedMachine(NamedTuple):
    """An overloaded machine that nothing could be moved off."""

    until: float
    """until when it is not planned for, on the steady clock"""
    obstacle: str


class MovePlanning:
    """Plans moves at intervals, within the number that may be under way."""

    def __init__(  # noqa: PLR0913 -- what a pass reads, and where its proposals go
        self,
        *,
        runtime: Runtime,
        replica: Replica,
        membership: Membership,
        operator_settings: OperatorSettings,
        settings: Rebalancing,
        planner: Planner,
        snapshots: FleetSnapshots,
        moves: Moves,
        mean_loads: Callable[[], Means],
    ) -> None:
        self._runtime = runtime
        self._replica = replica
        self._membership = membership
        self._operator_settings = operator_settings
        self._settings = settings
        self._planner = planner
        self._snapshots = snapshots
        self._moves = moves
        self._mean_loads = mean_loads
        self.blocked: dict[str, BlockedMachine] = {}
        self._next_pass_at = 0.0
        self._first_reviewed = 0
        """index of the first machine of the next review, modulo their number"""

    def tick(self) -> None:
        """Plan moves, if it is time to."""
        settings, now = self._settings.moves, self._runtime.now
        if not settings.enabled or now < self._next_pass_at:
            return
        # Jitter: controllers would otherwise keep planning at the same moment.
        self._next_pass_at = now + settings.every_s * (0.9 + 0.2 * self._runtime.rng.random())
        self._snapshots.update_smoothed(settings.smooth_s)
        if self._operator_settings["moves_paused"]:
            return
        self.blocked = {name: row for name, row in self.blocked.items() if row.until > now}
        self._plan_own()
        if self._membership.is_leader():
            self._plan_between_owners()

    def _plan_own(self) -> None:
        """Plan moves between this controller's machines, by the means of the whole fleet."""
        machines = self._snapshots.own_machines()
        plan = self._planner.plan(
            machines,
            self._mean_loads(),
            self._snapshots.running_tasks,
            self._remaining_moves(),
            review=self._next_reviewed(machines),
            skip=self.blocked.keys(),
        )
        until = self._runtime.now + constants.MOVE_SOURCE_BACKOFF_S
        for name, obstacle in plan.obstacles.items():
            self.blocked[name] = BlockedMachine(until, obstacle.value)
        self._carry_out(plan.proposals)

    def _plan_between_owners(self) -> None:
        """As the leader, plan moves from owners with higher mean load to those with lower.

        Each owner plans the moves within its own machines.
        """
        machines = self._snapshots.machines()
        mean = mean_load_by_owner(machines)
        plan: Plan = self._planner.plan(
            machines,
            self._mean_loads(),
            self._snapshots.running_tasks,
            self._remaining_moves(),
            owner_filter=lambda source, destination: mean[source.owner] > mean[destination.owner],
        )
        self._carry_out([move for move in plan.proposals if self._is_between_owners(move)])

    def _is_between_owners(self, proposal: Proposal) -> bool:
        owner_of = self._replica.owner_of
        return owner_of(proposal.source) != owner_of(proposal.destination)

    def _remaining_moves(self) -> int:
        """Return how many more moves of this controller may be under way."""
        return max(0, self._settings.moves.in_flight - len(self._moves.requested))

    def _next_reviewed(self, machines: list[MachineLoad]) -> list[MachineLoad]:
        """Return a few machines, the next ones each time, to review their tasks' locality."""
        if not self._settings.datasets or not machines:
            return []
        first = self._first_reviewed % len(machines)
        self._first_reviewed = first + constants.DATA_LOCALITY_MACHINES_MAX
        rotated = machines[first:] + machines[:first]
        return rotated[: constants.DATA_LOCALITY_MACHINES_MAX]

    def _carry_out(self, proposals: list[Proposal]) -> None:
        for proposal in proposals:
            if self._operator_settings["moves_dry_run"]:
                self._moves.count_dry_run()
                log.info("move not requested, dry run: %s", proposal)
            else:
                self._moves.request(proposal)


def mean_load_by_owner(machines: list[MachineLoad]) -> dict[str, float]:
    """Return the mean load of each owner's machines, weighted by their size."""
    by_owner: dict[str, list[MachineLoad]] = {}
    for machine in machines:
        by_owner.setdefault(machine.owner, []).append(machine)
    return {
        owner: means((machine.machine_type.cpus, machine.load) for machine in owned).total
        for owner, owned in by_owner.items()
    }
