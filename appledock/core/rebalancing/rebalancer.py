"""Attaches the rebalancing policy: pictures for it, its pace, and what operators see of it."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING, Any

from appledock import constants as c
from appledock import wire
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.records.job import Job
from appledock.rebalancing.locality import DataSets, Place, situation
from appledock.rebalancing.planner import Plan, Planner, Proposal
from appledock.rebalancing.scoring import Scorer, Scoring
from appledock.rebalancing.settings import DataSet, Rebalancing
from appledock.rebalancing.snapshot import Load, MachineLoad, RunningTask, means
from appledock.rebalancing.speeds import Speeds

if TYPE_CHECKING:
    from appledock.core.controller import Controller

log = logging.getLogger(__name__)


class Rebalancer:
    """Off without settings: then nothing is scored, planned or sent."""

    def __init__(self, engine: Controller, settings: Rebalancing | None) -> None:
        self.engine = engine
        self.settings = settings
        self.enabled = settings is not None
        self.speeds = Speeds()
        rules = settings or Rebalancing()
        self.datasets = DataSets(rules.datasets)
        self.scoring = Scoring(rules, self.datasets, self.speeds.slowness)
        self.planner = Planner(rules, self.datasets, engine.rng)
        self.smoothed: dict[str, Load] = {}
        self.smoothed_at = c.LONG_AGO
        self.means_at = c.LONG_AGO
        self.next_pass = 0.0
        self.reviewed = 0
        """machines whose tasks were looked at for their data, modulo the fleet"""
        self.blocked: dict[str, tuple[float, str]] = {}
        """overloaded machine -> until when it is left alone, and why"""
        self.situations: dict[str, str] = {}
        """data set -> which grade of closeness can be had"""
        self.unknown_types: set[str] = set()

    # --- placement --------------------------------------------------------
    def scorer(self, spec: wire.JobSpec) -> Scorer | None:
        """What decides among the machines of a sample; None: as without rebalancing."""
        return self.scoring.scorer(spec) if self.enabled else None

    def is_movable(self, spec: wire.JobSpec) -> bool:
        """May tasks of the job be stopped for balance?"""
        return self.planner.is_movable(spec)

    def completed(self, machine: str, job: Job, seconds: float) -> None:
        """A report shows that a task of the job completed after so long."""
        if self.enabled:
            self.speeds.completed(machine, job.spec.job_class, seconds)

    def refresh_means(self) -> None:
        """Count mean loads, and see which data can be had; not more often than needed."""
        now = self.engine.now
        if not self.enabled or now < self.means_at + c.MEANS_EVERY_S:
            return
        self.means_at = now
        rooms = self.engine.capacity_index.machines.values()
        self.scoring.means = means(
            (room.type.cpus, room.load) for room in rooms if room.load is not None
        )
        self._look_at_data()

    def _look_at_data(self) -> None:
        """Say when the machines that hold data vanish or are full, and when they are back."""
        if not self.datasets.datasets:
            return
        places = [
            Place(
                room.name,
                room.type.name,
                room.zone,
                name not in self.engine.capacity_index.with_free_capacity,
            )
            for name, room in self.engine.capacity_index.machines.items()
        ]
        for data in self.datasets.datasets:
            found = situation(data, places)
            if self.situations.get(data.name) != found:
                self.situations[data.name] = found
                log.info("data set %s: %s", data.name, found)
            self._check_types(data)

    def _check_types(self, data: DataSet) -> None:
        """Say it once if the cloud does not offer a type that the file names.

        Only the cloud knows its types, so the file cannot be refused for them at the start.
        """
        for name in data.types:
            if (
                self.engine.machine_types
                and name not in self.engine.machine_types
                and name not in self.unknown_types
            ):
                self.unknown_types.add(name)
                log.error("data set %s: the cloud offers no type %s", data.name, name)

    # --- planning ---------------------------------------------------------
    def tick(self) -> None:
        """Plan moves, if it is time to."""
        engine, settings = self.engine, self.settings
        if settings is None or not engine.membership.can_act():
            return
        engine.capacity_index.recompute()
        self.refresh_means()
        if not settings.moves.enabled or engine.now < self.next_pass:
            return
        self.next_pass = engine.now + settings.moves.every_s * (0.9 + 0.2 * engine.rng.random())
        self._smooth(settings.moves.smooth_s)
        if engine.operator_settings["moves_paused"]:
            return
        self.blocked = {name: row for name, row in self.blocked.items() if row[0] > engine.now}
        self._plan_own()
        if engine.membership.is_leader():
            self._plan_between_owners()

    def _smooth(self, time_constant_s: float) -> None:
        """Follow the loads of all machines; a new machine counts as loaded as the fullest.

        Guards against machines that join and leave in waves: filled at once, each would give
        back seconds later what was just moved to it.
        """
        now = self.engine.now
        weight = 1 - math.exp(-(now - self.smoothed_at) / time_constant_s)
        self.smoothed_at = now
        smoothed: dict[str, Load] = {}
        fullest = Load()
        for load in self.smoothed.values():
            fullest = fullest.raised(load)
        for name, room in self.engine.capacity_index.machines.items():
            if room.load is not None:
                known = self.smoothed.get(name) or room.load.raised(fullest)
                smoothed[name] = known.followed(room.load, weight)
        self.smoothed = smoothed

    def _machine(self, room: MachineCapacity) -> MachineLoad:
        assert room.load is not None
        return MachineLoad(
            room.name,
            room.owner,
            room.zone,
            room.spot,
            room.type,
            room.load.copy(),
            self.smoothed.get(room.name, room.load).copy(),
            room.cpus,
            room.gpus,
            room.memory_gb,
            frozenset(room.images),
            failing=room.failure_count > 0,
            gate=room.admission,
        )

    def _plan_own(self) -> None:
        """Moves between our own machines, by the means of the whole fleet."""
        me = self.engine.settings.name
        machines = [
            self._machine(room)
            for _, room in sorted(self.engine.capacity_index.machines.items())
            if room.owner == me and room.load is not None
        ]
        plan = self.planner.plan(
            machines,
            self.scoring.means,
            self.tasks_on,
            self._left(),
            review=self._next_reviewed(machines),
            skip=self.blocked.keys(),
        )
        until = self.engine.now + c.MOVE_BLOCKED_S
        for name, obstacle in plan.obstacles.items():
            self.blocked[name] = (until, obstacle.value)
        self._carry_out(plan)

    def _plan_between_owners(self) -> None:
        """As the leader: moves from owners whose machines are fuller to those with emptier ones.

        Within one owner's machines that owner plans.
        """
        machines = [
            self._machine(room)
            for _, room in sorted(self.engine.capacity_index.machines.items())
            if room.load is not None
        ]
        by_owner: dict[str, list[MachineLoad]] = {}
        for machine in machines:
            by_owner.setdefault(machine.owner, []).append(machine)
        mean = {
            owner: means((m.machine_type.cpus, m.load) for m in theirs).total
            for owner, theirs in by_owner.items()
        }
        plan = self.planner.plan(
            machines,
            self.scoring.means,
            self.tasks_on,
            self._left(),
            pair=lambda source, destination: mean[source.owner] > mean[destination.owner],
        )
        plan.proposals = [p for p in plan.proposals if self._between_owners(p)]
        self._carry_out(plan)

    def _between_owners(self, proposal: Proposal) -> bool:
        owner_of = self.engine.replica.owner_of
        return owner_of(proposal.source) != owner_of(proposal.destination)

    def _left(self) -> int:
        """How many more moves of ours may be under way."""
        assert self.settings is not None
        return max(0, self.settings.moves.in_flight - len(self.engine.moves.requested))

    def _next_reviewed(self, machines: list[MachineLoad]) -> list[MachineLoad]:
        """A part of our machines, the next one each time, for tasks far from their data."""
        if not self.datasets.datasets or not machines:
            return []
        first = self.reviewed % len(machines)
        self.reviewed = first + c.MOVE_REVIEWED
        turned = machines[first:] + machines[:first]
        return turned[: c.MOVE_REVIEWED]

    def tasks_on(self, machine: MachineLoad) -> list[RunningTask]:
        """The running tasks on a machine; those that move or moved lately stay."""
        engine, result = self.engine, []
        worker = engine.workers.table.get(machine.name)
        if worker is None:
            return []
        for job_id, attempts in engine.replica.attempts_by_machine.get(machine.name, {}).items():
            job = engine.replica.jobs[job_id]
            free = (
                self.planner.is_movable(job.spec)
                and job.queued_task_count == 0
                and not engine.replica.is_cancelled(job_id)
                and not engine.moves.is_cooling_down(job_id)
                and engine.moves.is_reachable(engine.replica.job_owner(job))
            )
            for attempt in attempts:
                if attempt.stopping or attempt.agent_epoch != worker.agent_epoch:
                    continue
                for task in attempt.tasks:
                    key = (f"{job_id}/{task}", attempt.attempt_number)
                    shown = worker.tasks.get(key)
                    running = shown is not None and shown.state == wire.RUNNING
                    ran = engine.now - worker.status.running_since.get(key, engine.now)
                    lost = _lost_core_s(job.spec, ran)
                    result.append(
                        RunningTask(job.spec, task, attempt.attempt_number, lost, free and running)
                    )
        return result

    def _carry_out(self, plan: Plan) -> None:
        for proposal in plan.proposals:
            if self.engine.operator_settings["moves_dry_run"]:
                self.engine.moves.count_dry_run()
                log.info("dry run: %s", proposal)
            else:
                self.engine.moves.request(proposal)

    # --- operators --------------------------------------------------------
    def summary(self) -> dict[str, Any]:
        """Loads, bounds, moves and what stands against them, for the administration API."""
        if self.settings is None:
            return {"enabled": False}
        self.engine.capacity_index.recompute()
        moves = self.engine.moves
        return {
            "enabled": True,
            "paused": bool(self.engine.operator_settings["moves_paused"]),
            "dry_run": bool(self.engine.operator_settings["moves_dry_run"]),
            "bound": self.settings.bound,
            "mean": round(self.scoring.means.total, 4),
            "workers": self._workers(),
            "teams": self.teams(),
            "datasets": self.situations,
            "under_way": [
                {
                    "job": x.order.job,
                    "task": x.order.task,
                    "from": x.order.source,
                    "to": x.order.destination,
                    "for_s": round(self.engine.now - x.started_at, 1),
                }
                for x in moves.requested.values()
            ],
            "ended": [
                {
                    "job": x.order.job,
                    "task": x.order.task,
                    "from": x.order.source,
                    "to": x.order.destination,
                    "at": round(x.ended_wall, 1),
                    "outcome": x.outcome,
                }
                for x in moves.ended
            ],
            "outcomes": dict(moves.outcomes),
        }

    def _workers(self) -> list[dict[str, Any]]:
        rows = []
        for name, room in sorted(self.engine.capacity_index.machines.items()):
            if room.load is None:
                continue
            rows.append(
                {
                    "id": name,
                    "owner": room.owner,
                    "load": round(room.load.total, 4),
                    "smoothed": round(self.smoothed.get(name, room.load).total, 4),
                    "teams": {
                        team: round(share, 4) for team, share in sorted(room.load.teams.items())
                    },
                    "stays": self.blocked[name][1] if name in self.blocked else None,
                }
            )
        return rows

    def teams(self) -> list[dict[str, Any]]:
        """Each team's mean, its fullest machine, and whether that is within the bound."""
        if self.settings is None:
            return []
        rows = []
        for team, mean in sorted(self.scoring.means.teams.items()):
            most, machine, tasks = max(
                (room.load.of(team), name, room.load.counts.get(team, 0))
                for name, room in self.engine.capacity_index.machines.items()
                if room.load is not None
            )
            rows.append(
                {
                    "name": team,
                    "mean": round(mean, 4),
                    "most": round(most, 4),
                    "machine": machine,
                    "bound": round(self.settings.bound * mean, 4),
                    "within": tasks <= 1 or most <= self.settings.bound * mean + c.EPSILON,
                }
            )
        return rows


def _lost_core_s(spec: wire.JobSpec, ran_s: float) -> float:
    """Work that a stop throws away: replicas lose none, and what saves only the saving."""
    if spec.service:
        return 0.0
    return min(ran_s, spec.save_s) * spec.cpus
