"""Controllers that share a team's limit start its waiting jobs, whatever each one remembers.

The rule is the users': once all controllers are up again, no job waits for 90 s while a machine
that fits has room and its team is under its limit (`Judge.look`), and every accepted job is done.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest

from appledock.core.records.job import Job
from appledock.core.scheduling.queue_order import GuaranteeClass, QueueSortKey
from appledock.core.store.keys import JOBS_PREFIX
from tests.standins import deployment
from tests.standins.job_specs import ARRAY_SPEC
from tests.standins.node import Answer, Node
from tests.standins.versions import Code, before_shared_order, present
from tests.standins.world import World

TASK_CORES = 2.0
LIMIT_HELD_S = 25.0
"""run time of the tasks that hold a team's whole limit during the restarts"""
RESTART_S = 5.0
"""time from a controller's crash to its return"""
RESTART_INTERVAL_S = 7.0
"""time between the crashes of two controllers"""
SETTLED_S = 8.0
"""time from the last return until all controllers are members and the rule holds"""
WAIT_LIMIT_S = 90.0


def spec(job_id: str, team: str, tasks: int, run_s: float, needs: list[str]) -> dict[str, Any]:
    """Return the description of an array with tasks of `TASK_CORES`, as users submit it."""
    return {
        **ARRAY_SPEC,
        "id": job_id,
        "owner": team,
        "crates": tasks,
        "cores": TASK_CORES,
        "eta_s": run_s,
        "sail_s": None,
        "tethers": needs or None,
        "run_s": run_s,
    }


@dataclass
class LimitHistory:
    """Jobs that wait for their teams' limits while controllers restart.

    In each team one job holds the whole limit; behind it wait jobs that needed another one, which
    is done, and jobs that were submitted after that. Each of them could take the whole limit.
    """

    world: World
    pairs: int
    """waiting jobs of each of the two kinds in each team"""
    teams: tuple[str, ...] = ("red", "blue")
    last_number: int = 0
    dependents: list[str] = field(default_factory=list)
    successors: list[str] = field(default_factory=list)
    """jobs submitted once the prerequisites of `dependents` are done"""

    def limit_tasks(self, team: str) -> int:
        """Return how many tasks of `TASK_CORES` the team's limit admits."""
        return int(deployment.TEAMS[team][1] / TASK_CORES)

    def submit(self, team: str, tasks: int, run_s: float, needs: list[str]) -> str:
        """Submit a job, repeatedly until it is accepted, and return its id."""
        self.last_number += 1
        job_id = f"job-{self.last_number:06d}"
        self.world.submit(spec(job_id, team, tasks, run_s, needs))
        return job_id

    def start(self) -> None:
        """Let the limits be taken; submit the jobs with a prerequisite, and the others later."""
        clock, judge = self.world.clock, self.world.judge
        prerequisites = {team: self.submit(team, 1, 1.0, []) for team in self.teams}
        for team in self.teams:
            self.submit(team, self.limit_tasks(team), LIMIT_HELD_S, [])
        self.run_until(lambda: all(job in judge.accepted for job in prerequisites.values()))
        for team in self.teams:
            for _ in range(self.pairs):
                needs = [prerequisites[team]]
                self.dependents.append(self.submit_waiting(team, needs))
        self.run_until(lambda: all(job in judge.final for job in prerequisites.values()))
        clock.run(clock.now + 1.0)
        for team in self.teams:
            for _ in range(self.pairs):
                self.successors.append(self.submit_waiting(team))
        waiting = self.dependents + self.successors
        self.run_until(lambda: all(job in judge.accepted for job in waiting))

    def finish(self) -> None:
        """Let the rule hold from `SETTLED_S` after now on.

        Return once all jobs are done, or once a wait since then has broken the rule.
        """
        clock = self.world.clock
        clock.run(clock.now + SETTLED_S)
        self.world.peace()
        end = clock.now + WAIT_LIMIT_S + 10.0
        while clock.now < end and self.world.unfinished():
            clock.run(clock.now + 1.0)

    def restart_in_turn(self, names: list[str]) -> None:
        """Crash these controllers one after the other; each returns after `RESTART_S`.

        After each return every team submits one more job.
        """
        clock = self.world.clock
        for name in names:
            self.world.nodes[name].crash(RESTART_S)
            clock.run(clock.now + RESTART_INTERVAL_S)
            self.successors += [self.submit_waiting(team) for team in self.teams]

    def submit_waiting(self, team: str, needs: list[str] | None = None) -> str:
        """Submit a job that could take the team's whole limit."""
        return self.submit(team, self.limit_tasks(team), 2.0, needs or [])

    def draw_restarts(self, seconds: float) -> None:
        """Crash drawn controllers at drawn times, and submit jobs between, some of them chained."""
        clock, rng = self.world.clock, self.world.clock.rng
        end = clock.now + seconds
        while clock.now < end:
            clock.run(clock.now + 1.0 + 4.0 * rng.random())
            names = self.world.names if rng.random() < 0.2 else [rng.choice(self.world.names)]
            for name in names:
                self.world.nodes[name].crash(rng.choice([0.2, RESTART_S]))
            team = rng.choice(self.teams)
            needs = [rng.choice(self.dependents)] if rng.random() < 0.5 else []
            self.successors.append(self.submit_waiting(team, needs))

    def run_until(self, is_reached: Callable[[], bool]) -> None:
        """Let time pass until the condition holds."""
        clock = self.world.clock
        while not is_reached():
            assert clock.now < 60.0, "the jobs were not accepted or not done in time"
            clock.run(clock.now + 0.1)


def waiting_history(seed: int, pairs: int, code: Code | None = None) -> LimitHistory:
    """Return a history up to the moment at which every waiting job is accepted."""
    world = World(seed, code=code)
    world.clock.run(6.0)
    history = LimitHistory(world, pairs)
    history.start()
    return history


def assert_rules_hold(history: LimitHistory) -> None:
    """Assert the users' rules: nothing is broken, and every accepted job is done."""
    assert history.world.judge.broken == []
    assert history.world.unfinished() == []


@pytest.mark.parametrize("seed", [2, 3, 5])
def test_jobs_submitted_at_one_moment_start_one_after_the_other(seed: int) -> None:
    """Guards against an order that depends on digits of a time that the record does not keep."""
    history = waiting_history(seed, pairs=4)
    history.finish()
    assert_rules_hold(history)


RESTARTS: dict[str, list[str]] = {
    "n0": ["n0"],
    "n1": ["n1"],
    "n2": ["n2"],
    "all": ["n0", "n1", "n2"],
    "all-reversed": ["n2", "n1", "n0"],
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("restarted", RESTARTS)
def test_no_job_waits_for_its_limit_after_controllers_restart(seed: int, restarted: str) -> None:
    """Guards against two jobs of a team that leave the limit to each other (review/1)."""
    history = waiting_history(seed, pairs=4)
    history.restart_in_turn(RESTARTS[restarted])
    history.finish()
    assert_rules_hold(history)


@pytest.mark.parametrize("seed", range(1, 11))
def test_no_job_waits_for_its_limit_after_drawn_restarts(seed: int) -> None:
    """Guards against the same in histories that nobody has arranged."""
    history = waiting_history(seed, pairs=2)
    history.draw_restarts(LIMIT_HELD_S)
    history.finish()
    assert_rules_hold(history)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_job_waits_for_its_limit_after_each_controller_orders_it_differently(seed: int) -> None:
    """Guards against any other cause for which controllers order a queue differently."""
    history = waiting_history(seed, pairs=2)
    for node in history.world.nodes.values():
        order_by_name(node)
    history.finish()
    assert_rules_hold(history)


def order_by_name(node: Node) -> None:
    """Make the controller order each queue in an order of its own, until it restarts."""

    def sort_key(job: Job) -> QueueSortKey:
        digest = hashlib.sha256(f"{node.name}/{job.id}".encode()).digest()
        return QueueSortKey(GuaranteeClass.WITHIN_GUARANTEE, 0, 0, float(digest[0]))

    node.engine.queue_order.sort_key = sort_key


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_job_waits_for_its_limit_after_a_rolling_upgrade(seed: int) -> None:
    """Ends that the earlier version recorded have no time, so orders differ until they have run."""
    history = waiting_history(seed, pairs=4, code=before_shared_order())
    for node in history.world.nodes.values():
        node.code = present()
    history.restart_in_turn(["n0", "n1", "n2"])
    history.finish()
    assert_rules_hold(history)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_job_waits_for_its_limit_beside_a_controller_of_the_earlier_version(seed: int) -> None:
    """Two of three controllers are new: of any two that differ, one is bound to go ahead."""
    history = waiting_history(seed, pairs=4, code=before_shared_order())
    for name in ("n1", "n2"):
        history.world.nodes[name].code = present()
    history.restart_in_turn(["n1", "n2", "n0"])
    history.finish()
    assert_rules_hold(history)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_job_waits_for_its_limit_after_the_write_of_its_step_was_lost(seed: int) -> None:
    """Guards against a lost write that holds the limit for the very job that it was to start."""
    world = World(seed)
    world.clock.run(6.0)
    history = LimitHistory(world, pairs=0)
    for team in history.teams:
        history.submit_waiting(team)
    history.run_until(lambda: len(world.judge.final) == len(history.teams))
    lost = lose_first_step_writes(world)
    jobs = [history.submit_waiting(team) for team in history.teams]
    history.finish()
    assert lost == set(jobs)
    assert_rules_hold(history)


def lose_first_step_writes(world: World) -> set[str]:
    """Let the first step of each job get lost on its way to the store; return the jobs so far."""
    lost: set[str] = set()
    request = world.state.request

    def lose_or_pass_on(node: str, method: str, path: str, body: bytes, answer: Answer) -> None:
        writes = json.loads(body)["writes"] if path == "/txn" else []
        jobs = {
            write["set"].removeprefix(JOBS_PREFIX)
            for write in writes
            if write.get("set", "").startswith(JOBS_PREFIX) and write["data"]["steps"] == 1
        }
        if jobs - lost:
            lost.update(jobs)
        else:
            request(node, method, path, body, answer)

    world.state.request = lose_or_pass_on  # type: ignore[method-assign]
    return lost


@pytest.mark.parametrize("seed", [1, 2])
def test_no_job_waits_behind_one_whose_machine_type_is_out_of_stock(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a limit that is kept for a job of the same controller without a machine."""
    large = {**deployment.TYPES[0], "name": "h8", "cores": 8}
    monkeypatch.setattr(deployment, "TYPES", [*deployment.TYPES, large])
    world = World(seed)
    refuse_machine_type(world, "h8")
    world.clock.run(6.0)
    keep_machine_in_use(world)
    urgent = {**spec("job-000100", "red", 12, 2.0, []), "rank": "urgent", "hulls": ["h8"]}
    world.submit(urgent)
    world.clock.run(world.clock.now + 2.0)
    other = id_with_owner_of(world, "job-000100")
    world.submit({**spec(other, "red", 12, 2.0, []), "hulls": ["h4"]})
    world.clock.run(world.clock.now + 3.0)
    world.peace()
    world.clock.run(world.clock.now + WAIT_LIMIT_S + 10.0)
    assert other in world.judge.accepted
    assert world.judge.broken == []


def refuse_machine_type(world: World, name: str) -> None:
    """Let the cloud have no capacity of the machine type."""
    request = world.cloud.request

    def refuse_or_pass_on(node: str, method: str, path: str, body: bytes, answer: Answer) -> None:
        if method == "POST" and json.loads(body or b"{}").get("hull") == name:
            answer(503, {"error": "no capacity"})
        else:
            request(node, method, path, body, answer)

    world.cloud.request = refuse_or_pass_on  # type: ignore[method-assign]


def keep_machine_in_use(world: World) -> None:
    """Let a service of the other team run on a machine that has room for more tasks."""
    service = spec("job-800001", "blue", 1, 1e9, [])
    service |= {"shape": "daemon", "rank": "production", "cores": 1.0, "hulls": ["h4"]}
    world.submit({**service, "standby": False})
    world.clock.run(world.clock.now + 19.0)


def id_with_owner_of(world: World, job_id: str) -> str:
    """Return an id of which the view derives the same owner as that of the job."""
    view = world.view()
    assert view is not None
    names = (f"job-{number:06d}" for number in range(201, 300))
    return next(name for name in names if view.owner_of(name) == view.owner_of(job_id))
