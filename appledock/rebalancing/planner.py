"""Plans moves: few of them, each with the largest gain for the least lost work."""

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
    """Why nothing moves off an overloaded machine, in the order in which moves are checked."""

    NOTHING_MOVABLE = "no task on it may be stopped for balance"
    NO_ROOM = "no other machine has room for its tasks"
    TOO_LARGE = "its tasks are too large: moved, they would only load another machine"
    GAIN_TOO_SMALL = "a move would gain less than it costs"


@dataclass(frozen=True, slots=True)
class Proposal:
    """One move that the planner asks for."""

    job: str
    task: int
    attempt: int
    source: str
    destination: str
    gain: float
    destination_load: float
    """load of the destination before the move, as far as the planner knows"""


@dataclass(slots=True)
class Plan:
    """Result of one planning pass."""

    proposals: list[Proposal] = field(default_factory=list)
    obstacles: dict[str, Obstacle] = field(default_factory=dict)
    """overloaded machine -> why nothing moves off it"""
    comparisons: int = 0
    """pairs of a task and a destination that were compared: the work of the pass"""


ReadTasks = Callable[[MachineLoad], list[RunningTask]]
"""gives the tasks on a machine; asked only for machines that tasks may move from"""
OwnerFilter = Callable[[MachineLoad, MachineLoad], bool]
"""may tasks move from the first to the second machine, as far as owners go?"""


@dataclass(slots=True)
class _Candidate:
    proposal: Proposal
    task: RunningTask
    destination: MachineLoad
    rank: tuple[bool, float]


class Planner:
    """Plans moves over the machines of one snapshot."""

    def __init__(self, rebalancing: Rebalancing, datasets: DataSets, rng: random.Random) -> None:
        self.settings = rebalancing.moves
        self.bound = rebalancing.bound
        self.datasets = datasets
        self.rng = rng
        self.weights = {row.name: row for row in rebalancing.classes}

    def is_movable(self, spec: wire.JobSpec) -> bool:
        """May tasks of the job be stopped for balance?

        Replicas, and tasks that save their progress; never what would lose its work, nor
        one of a gang, which only runs whole.
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
        """Plan up to `max_moves` moves; the loads of the machines are changed as planned.

        `review`: machines whose tasks are looked at for their data, however even the load is.
        `skip`: machines off which nothing could be moved lately.
        """
        plan = Plan()
        if len(machines) < 2 or means.machines == 0:
            return plan
        sources = self._sources(machines, means, skip)
        overloaded = {machine.name for machine in sources}
        sources += [machine for machine in review if machine.name not in overloaded]
        moved: set[str] = set()
        for source in sources:
            if len(plan.proposals) >= max_moves:
                break
            source.tasks = read_tasks(source)
            best, obstacle = self._best(source, machines, means, owner_filter, moved, plan)
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
    def _sources(
        self, machines: list[MachineLoad], means: Means, skip: Container[str]
    ) -> list[MachineLoad]:
        """The machines furthest beyond the dead band, the worst first."""
        beyond = [
            (overload_ratio, machine.name, machine)
            for machine in machines
            if machine.name not in skip
            and (overload_ratio := self.overload_ratio(machine, means)) > 1.0
        ]
        return [machine for _, _, machine in heapq.nlargest(constants.MOVE_SOURCES_MAX, beyond)]

    def overload_ratio(self, machine: MachineLoad, means: Means) -> float:
        """Return the load, or the highest of a team, over the most that the dead band allows.

        A single task cannot be spread, however much of the machine it takes.
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
                lasting = min(share, machine.smoothed.of_team(team))
                overload_ratio = max(overload_ratio, lasting / (trigger * mean))
        return overload_ratio

    # --- choice -----------------------------------------------------------
    def _best(
        self,
        source: MachineLoad,
        machines: list[MachineLoad],
        means: Means,
        owner_filter: OwnerFilter | None,
        moved: set[str],
        plan: Plan,
    ) -> tuple[_Candidate | None, Obstacle]:
        """The best move off a machine, replicas first, or what stands against one."""
        best: _Candidate | None = None
        obstacle = Obstacle.NOTHING_MOVABLE
        for task in self._candidates(source, moved):
            weights = self.weights[task.spec.job_class]
            room = False
            for destination in self._destinations(task.spec, source, machines, owner_filter):
                plan.comparisons += 1
                room = True
                found, reason = self._weigh(task, weights, source, destination, means)
                if found is None:
                    obstacle = _later_obstacle(obstacle, reason)
                elif best is None or found.rank > best.rank:
                    best = found
            if not room:
                obstacle = _later_obstacle(obstacle, Obstacle.NO_ROOM)
        return best, obstacle

    def _candidates(self, source: MachineLoad, moved: set[str]) -> list[RunningTask]:
        """The task of each job that loses least; a bounded number of jobs."""
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

    def _destinations(
        self,
        spec: wire.JobSpec,
        source: MachineLoad,
        machines: list[MachineLoad],
        owner_filter: OwnerFilter | None,
    ) -> list[MachineLoad]:
        """The least loaded machines that may take a task, and those that hold its data."""
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
        # Half of the least loaded ones, at random: several planners with the same snapshot
        # would otherwise all choose the same machine.
        drawn = (
            least
            if len(least) <= constants.MOVE_DESTINATIONS_MAX
            else [least[0], *self.rng.sample(least[1:], constants.MOVE_DESTINATIONS_MAX - 1)]
        )
        if not self.datasets.read_by(spec):
            return drawn
        names = {machine.name for machine in drawn}
        holders = (m for m in fitting if m.name not in names and self._distance(spec, m) <= 0.0)
        return drawn + heapq.nsmallest(
            constants.MOVE_DESTINATIONS_MAX, holders, key=lambda m: (m.load.total, m.name)
        )

    def _distance(self, spec: wire.JobSpec, machine: MachineLoad) -> float:
        return self.datasets.distance(spec, machine.name, machine.machine_type.name, machine.zone)

    def _is_allowed(self, spec: wire.JobSpec, source: MachineLoad, machine: MachineLoad) -> bool:
        """Check the hard constraints; jobs with zone constraints move within their zone."""
        if machine.is_failing or (
            not self.settings.use_empty and machine.load.total <= constants.EPSILON
        ):
            return False
        if (spec.one_zone or spec.spread) and machine.zone != source.zone:
            return False
        if machine.admission is not None and not machine.admission.admits(spec):
            return False  # a move never crosses a capacity partition
        return (
            (spec.types is None or machine.machine_type.name in spec.types)
            and (spec.zone is None or spec.zone == machine.zone)
            and (spec.spot or not machine.spot)
        )

    def _weigh(
        self,
        task: RunningTask,
        weights: ClassWeights,
        source: MachineLoad,
        destination: MachineLoad,
        means: Means,
    ) -> tuple[_Candidate | None, Obstacle]:
        """One move: its gain, less what it costs, against what a move must gain."""
        spec, settings = task.spec, self.settings
        arrives = task_share(spec, destination.machine_type)
        if exceeds_bound(
            destination.load.of_team(spec.team), arrives, means.team(spec.team), self.bound
        ):
            return None, Obstacle.TOO_LARGE
        fetch_s = self.fetch_s(spec, destination)
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
    def fetch_s(spec: wire.JobSpec, machine: MachineLoad) -> float:
        """Return how long (s) the task would wait for its image there."""
        rate = machine.machine_type.fetch_gb_per_s
        if spec.image in machine.images or rate <= 0:
            return 0.0
        return spec.image_gb / rate


def _later_obstacle(known: Obstacle, found: Obstacle) -> Obstacle:
    """Return the obstacle of the attempt that came further."""
    order = list(Obstacle)
    return max(known, found, key=order.index)
