"""Planner of moves: few moves in a pass, each the one with the largest net gain."""

from __future__ import annotations

import enum
import heapq
import random
from collections.abc import Callable, Container, Sequence
from dataclasses import dataclass, field

from appledock import constants, wire
from appledock.rebalancing.locality import DataSets
from appledock.rebalancing.potential import move_gain
from appledock.rebalancing.settings import ClassWeights, Rebalancing
from appledock.rebalancing.snapshot import (
    MachineLoad,
    Means,
    RunningTask,
    exceeds_bound,
    task_share,
)


class Obstacle(enum.Enum):
    """Why no task is moved off an overloaded machine, in the order of the planner's checks."""

    NOTHING_MOVABLE = "no task on it may be stopped for balance"
    NO_ROOM = "no other machine has room for its tasks"
    TOO_LARGE = "its tasks are too large: moved, they would only load another machine"
    GAIN_TOO_SMALL = "a move would gain less than it costs"


@dataclass(frozen=True, slots=True)
class Proposal:
    """A move of one task that the planner proposes."""

    job: str
    task: int
    attempt: int
    source: str
    destination: str
    gain: float
    """Gain of the move less its cost, in the unit of the potential (see `potential`)."""
    destination_load: float
    """Load of the destination before the move, according to the planner."""


@dataclass(slots=True)
class Plan:
    """Result of one planning pass."""

    proposals: list[Proposal] = field(default_factory=list)
    obstacles: dict[str, Obstacle] = field(default_factory=dict)
    """Why no task is moved off an overloaded machine, by machine name."""
    comparisons: int = 0
    """Number of pairs of a task and a destination that were compared; measures the work done."""


ReadTasks = Callable[[MachineLoad], list[RunningTask]]
"""Returns the tasks on a machine; called only for machines considered as sources."""
OwnerFilter = Callable[[MachineLoad, MachineLoad], bool]
"""Returns whether the owners of a source and a destination permit moves between them."""


@dataclass(slots=True)
class _Candidate:
    """A move that gains enough, with its rank among the possible moves off one machine."""

    proposal: Proposal
    task: RunningTask
    destination: MachineLoad
    rank: tuple[bool, float]
    """The candidate with the highest rank is chosen: replicas first, then the highest net gain."""


class Planner:
    """Plans moves between the machines of a snapshot."""

    def __init__(self, rebalancing: Rebalancing, datasets: DataSets, rng: random.Random) -> None:
        self.settings = rebalancing.moves
        self.bound = rebalancing.bound
        self.datasets = datasets
        self.rng = rng
        self.weights = {row.name: row for row in rebalancing.classes}

    def is_movable(self, spec: wire.JobSpec) -> bool:
        """Return whether tasks of the job may be stopped to balance load.

        Replicas of services and tasks that write checkpoints may, if the weight `spread` of their
        class is positive. A task without checkpoints would lose its work, and a gang runs only as a
        whole, so these may not.
        """
        weights = self.weights.get(spec.job_class)
        return (
            weights is not None
            and weights.spread > 0
            and not spec.gang
            and (spec.service or spec.checkpoint_s > 0)
        )

    def plan(
        self,
        machines: list[MachineLoad],
        means: Means,
        read_tasks: ReadTasks,
        max_moves: int,
        owner_filter: OwnerFilter | None = None,
        review: Sequence[MachineLoad] = (),
        skip: Container[str] = (),
    ) -> Plan:
        """Plan up to `max_moves` moves and apply them to the loads of the given machines.

        Moves are planned off overloaded machines, except those named in `skip`, off which no task
        could be moved recently, and off the machines in `review`, whose tasks may move closer to
        their data at any load.
        """
        plan = Plan()
        if len(machines) < 2 or means.machines == 0:
            return plan
        sources = self._overloaded_machines(machines, means, skip)
        overloaded = {machine.name for machine in sources}
        sources += [machine for machine in review if machine.name not in overloaded]
        moved: set[str] = set()
        for source in sources:
            if len(plan.proposals) >= max_moves:
                break
            source.tasks = read_tasks(source)
            best, obstacle = self._best_move(source, machines, means, owner_filter, moved, plan)
            if best is None:
                if source.name in overloaded:
                    plan.obstacles[source.name] = obstacle
                continue
            moved.add(best.proposal.job)
            source.add_tasks(best.task.spec, -1)
            best.destination.add_tasks(best.task.spec, 1)
            plan.proposals.append(best.proposal)
        return plan

    # --- sources ----------------------------------------------------------
    def _overloaded_machines(
        self, machines: list[MachineLoad], means: Means, skip: Container[str]
    ) -> list[MachineLoad]:
        """Return a bounded number of the machines furthest beyond the dead band, worst first."""
        overloaded = [
            (overload_ratio, machine.name, machine)
            for machine in machines
            if machine.name not in skip
            and (overload_ratio := self.overload_ratio(machine, means)) > 1.0
        ]
        return [machine for _, _, machine in heapq.nlargest(constants.MOVE_SOURCES_MAX, overloaded)]

    def overload_ratio(self, machine: MachineLoad, means: Means) -> float:
        """Return the load of a machine divided by the upper limit of the dead band.

        This is the maximum over the total load and the load of each team, each the lower of the
        present and the smoothed one. A load that consists of a single task is ignored: it cannot
        be spread, however large its share of the machine is.
        """
        trigger = self.settings.trigger
        overload_ratio = 0.0
        if means.total > constants.EPSILON and machine.load.task_count > 1:
            overload_ratio = min(machine.load.total, machine.smoothed.total) / (
                trigger * means.total
            )
        for team, share in machine.load.teams.items():
            mean = means.team(team)
            if mean > constants.EPSILON and machine.load.task_counts[team] > 1:
                sustained = min(share, machine.smoothed.of_team(team))
                overload_ratio = max(overload_ratio, sustained / (trigger * mean))
        return overload_ratio

    # --- choice -----------------------------------------------------------
    def _best_move(
        self,
        source: MachineLoad,
        machines: list[MachineLoad],
        means: Means,
        owner_filter: OwnerFilter | None,
        moved: set[str],
        plan: Plan,
    ) -> tuple[_Candidate | None, Obstacle]:
        """Return the best move off a machine, or None and the obstacle."""
        best: _Candidate | None = None
        obstacle = Obstacle.NOTHING_MOVABLE
        for task in self._candidate_tasks(source, moved):
            weights = self.weights[task.spec.job_class]
            has_destination = False
            for destination in self._candidate_destinations(
                task.spec, source, machines, owner_filter
            ):
                plan.comparisons += 1
                has_destination = True
                found, reason = self._evaluate_move(task, weights, source, destination, means)
                if found is None:
                    obstacle = _later_obstacle(obstacle, reason)
                elif best is None or found.rank > best.rank:
                    best = found
            if not has_destination:
                obstacle = _later_obstacle(obstacle, Obstacle.NO_ROOM)
        return best, obstacle

    def _candidate_tasks(self, source: MachineLoad, moved: set[str]) -> list[RunningTask]:
        """Return, for a bounded number of jobs, the task that would lose the least work."""
        cheapest: dict[str, RunningTask] = {}
        for task in source.tasks:
            if not task.is_movable or task.spec.id in moved:
                continue
            known = cheapest.get(task.spec.id)
            if known is None or task.lost_core_s < known.lost_core_s:
                cheapest[task.spec.id] = task
        return heapq.nsmallest(
            constants.MOVE_JOBS_MAX,
            cheapest.values(),
            key=lambda task: (not task.spec.service, task.lost_core_s, task.spec.id),
        )

    def _candidate_destinations(
        self,
        spec: wire.JobSpec,
        source: MachineLoad,
        machines: list[MachineLoad],
        owner_filter: OwnerFilter | None,
    ) -> list[MachineLoad]:
        """Return some of the least loaded machines that may take a task, and some with its data."""
        fitting = [
            machine
            for machine in machines
            if machine is not source
            and machine.fits(spec)
            and self._is_allowed(spec, source, machine)
            and (owner_filter is None or owner_filter(source, machine))
        ]
        least = heapq.nsmallest(
            2 * constants.MOVE_DESTINATIONS_MAX, fitting, key=lambda m: (m.load.total, m.name)
        )
        # The least loaded machine and a random sample of the next ones, about half of them:
        # several planners with the same snapshot would otherwise all choose the same machine.
        sampled = (
            least
            if len(least) <= constants.MOVE_DESTINATIONS_MAX
            else [least[0], *self.rng.sample(least[1:], constants.MOVE_DESTINATIONS_MAX - 1)]
        )
        if not self.datasets.read_by(spec):
            return sampled
        names = {machine.name for machine in sampled}
        holders = (m for m in fitting if m.name not in names and self._distance(spec, m) <= 0.0)
        return sampled + heapq.nsmallest(
            constants.MOVE_DESTINATIONS_MAX, holders, key=lambda m: (m.load.total, m.name)
        )

    def _distance(self, spec: wire.JobSpec, machine: MachineLoad) -> float:
        return self.datasets.distance(spec, machine.name, machine.machine_type.name, machine.zone)

    def _is_allowed(self, spec: wire.JobSpec, source: MachineLoad, machine: MachineLoad) -> bool:
        """Return whether a task may move to a machine; with zone constraints, only in its zone."""
        if machine.is_failing or (
            not self.settings.use_empty and machine.load.total <= constants.EPSILON
        ):
            return False
        if (spec.one_zone or spec.spread) and machine.zone != source.zone:
            return False
        if machine.admission is not None and not machine.admission.admits(spec):
            return False  # a move must not cross the boundary of a capacity partition
        return (
            (spec.types is None or machine.machine_type.name in spec.types)
            and (spec.zone is None or spec.zone == machine.zone)
            and (spec.spot or not machine.spot)
        )

    def _evaluate_move(
        self,
        task: RunningTask,
        weights: ClassWeights,
        source: MachineLoad,
        destination: MachineLoad,
        means: Means,
    ) -> tuple[_Candidate | None, Obstacle]:
        """Compare the net gain of one move with the minimum gain.

        Return a candidate, or None and the obstacle. The obstacle beside a candidate is unused.
        """
        spec, settings = task.spec, self.settings
        added_share = task_share(spec, destination.machine_type)
        if exceeds_bound(
            destination.load.of_team(spec.team), added_share, means.team(spec.team), self.bound
        ):
            return None, Obstacle.TOO_LARGE
        fetch_s = self.image_fetch_s(spec, destination)
        if fetch_s > settings.fetch_s:
            return None, Obstacle.GAIN_TOO_SMALL
        found = move_gain(spec, weights, source, destination, self.datasets)
        if found.now <= 0:
            return None, Obstacle.TOO_LARGE
        cost = (task.lost_core_s + fetch_s * spec.cpus) / settings.payback_s
        net = found.minimum - cost
        if net < settings.min_gain * max(spec.cpus, constants.MOVE_MIN_CORES):
            return None, Obstacle.GAIN_TOO_SMALL
        proposal = Proposal(
            spec.id,
            task.task,
            task.attempt,
            source.name,
            destination.name,
            round(net, 4),
            destination.load.total,
        )
        return _Candidate(
            proposal, task, destination, (spec.service, net)
        ), Obstacle.NOTHING_MOVABLE

    @staticmethod
    def image_fetch_s(spec: wire.JobSpec, machine: MachineLoad) -> float:
        """Return how long a task would wait for its image on the machine (s)."""
        rate = machine.machine_type.fetch_gb_per_s
        if spec.image in machine.images or rate <= 0:
            return 0.0
        return spec.image_gb / rate


def _later_obstacle(known: Obstacle, found: Obstacle) -> Obstacle:
    """Return the obstacle that occurs later in the order of the checks."""
    order = list(Obstacle)
    return max(known, found, key=order.index)
