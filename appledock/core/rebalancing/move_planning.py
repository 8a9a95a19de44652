"""Planning passes: when moves are planned, how many, and between which machines."""

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
    """An overloaded machine from which the planner could not move any task."""

    retry_at: float
    """Time from which the machine is considered again (s, steady clock)."""
    obstacle: str
    """Why no task could be moved, as a text for operators."""


class MovePlanning:
    """Plans moves at intervals, up to the number that may be under way at a time."""

    def __init__(  # noqa: PLR0913 -- the inputs of a pass and the receiver of its proposals
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
        """Machine -> why no task could be moved off it; not a source until its `retry_at`."""
        self._next_pass_at = 0.0
        self._review_offset = 0
        """Index of the first machine to review in the next pass, modulo the number of machines."""

    def tick(self) -> None:
        """Run a planning pass if one is due."""
        settings, now = self._settings.moves, self._runtime.now
        if not settings.enabled or now < self._next_pass_at:
            return
        # Jitter prevents the controllers from planning at the same moment in every pass.
        self._next_pass_at = now + settings.every_s * (0.9 + 0.2 * self._runtime.rng.random())
        self._snapshots.update_smoothed(settings.smooth_s)
        if self._operator_settings["moves_paused"]:
            return
        self.blocked = {
            name: machine for name, machine in self.blocked.items() if machine.retry_at > now
        }
        self._plan_within_own_machines()
        if self._membership.is_leader():
            self._plan_between_owners()

    def _plan_within_own_machines(self) -> None:
        """Plan moves between this controller's machines, relative to the fleet's mean loads."""
        machines = self._snapshots.own_machines()
        plan = self._planner.plan(
            machines,
            self._mean_loads(),
            self._snapshots.running_tasks,
            self._remaining_moves(),
            review=self._next_machines_to_review(machines),
            skip=self.blocked.keys(),
        )
        retry_at = self._runtime.now + constants.MOVE_SOURCE_BACKOFF_S
        for name, obstacle in plan.obstacles.items():
            self.blocked[name] = BlockedMachine(retry_at, obstacle.value)
        self._request_moves(plan.proposals)

    def _plan_between_owners(self) -> None:
        """As the leader, plan moves from owners with a higher mean load to those with a lower one.

        Moves between machines of one owner are left to that owner.
        """
        machines = self._snapshots.machines()
        mean_loads = mean_load_by_owner(machines)
        plan: Plan = self._planner.plan(
            machines,
            self._mean_loads(),
            self._snapshots.running_tasks,
            self._remaining_moves(),
            owner_filter=lambda source, destination: (
                mean_loads[source.owner] > mean_loads[destination.owner]
            ),
        )
        self._request_moves([move for move in plan.proposals if self._is_between_owners(move)])

    def _is_between_owners(self, proposal: Proposal) -> bool:
        owner_of = self._replica.owner_of
        return owner_of(proposal.source) != owner_of(proposal.destination)

    def _remaining_moves(self) -> int:
        """Return how many further moves this controller may request now."""
        return max(0, self._settings.moves.in_flight - len(self._moves.requested))

    def _next_machines_to_review(self, machines: list[MachineLoad]) -> list[MachineLoad]:
        """Return the machines whose tasks this pass reviews for data locality.

        Consecutive passes take consecutive parts of the list.
        """
        if not self._settings.datasets or not machines:
            return []
        first = self._review_offset % len(machines)
        self._review_offset = first + constants.DATA_LOCALITY_MACHINES_MAX
        rotated = machines[first:] + machines[:first]
        return rotated[: constants.DATA_LOCALITY_MACHINES_MAX]

    def _request_moves(self, proposals: list[Proposal]) -> None:
        for proposal in proposals:
            if self._operator_settings["moves_dry_run"]:
                self._moves.count_dry_run()
                log.info(
                    "move not requested, dry run: job=%s task=%s attempt=%s"
                    " source=%s destination=%s gain=%s destination_load=%s",
                    proposal.job,
                    proposal.task,
                    proposal.attempt,
                    proposal.source,
                    proposal.destination,
                    proposal.gain,
                    proposal.destination_load,
                )
            else:
                self._moves.request(proposal)


def mean_load_by_owner(machines: list[MachineLoad]) -> dict[str, float]:
    """Return the mean load of each owner's machines, weighted by their CPUs."""
    by_owner: dict[str, list[MachineLoad]] = {}
    for machine in machines:
        by_owner.setdefault(machine.owner, []).append(machine)
    return {
        owner: means((machine.machine_type.cpus, machine.load) for machine in owned).total
        for owner, owned in by_owner.items()
    }
