"""A simulated cluster whose machines are shared by two partitions, and who looks after that."""

from __future__ import annotations

import json
from functools import partial
from typing import Any

from appledock.capacity.settings import Capacity, Partition, Pool
from tests.standins.spreading import saving_array, service, set_options
from tests.standins.world import World

MACHINES = 12
IN_FORCE_S = 18.0
"""s; by then all controllers are up, and a view came after the format"""
CHANGE_S = 40.0
"""s; when shares are changed, usually"""
PARTITIONS = {"red": "sealing", "blue": "front"}
"""team -> its partition"""


def shares(sealing: float = 0.5, controllers: bool = False, **changes: Any) -> Capacity:
    """Sealing (team red) and the front end (team blue) share all machines."""
    return Capacity(
        pools=[Pool("all")],
        partitions=[
            Partition(
                "sealing",
                teams=["red"],
                controller="n1" if controllers else None,
                fractions={"all": sealing},
            ),
            Partition(
                "front",
                teams=["blue"],
                controller="n2" if controllers else None,
                fractions={"all": 1 - sealing},
            ),
        ],
        **changes,
    )


class Shared(World):
    """The cluster, with a look at every machine ten times a second.

    From the workers' side: which partitions' tasks are on which machine, whatever the
    controllers' records say.
    """

    def __init__(self, seed: int, settings: Capacity | None, machines: int = MACHINES) -> None:
        super().__init__(seed, capacity=0, shares=settings)
        self.cloud.add_machines(machines, 0.5)
        self.mixed: list[tuple[float, str, list[str]]] = []
        """when and where tasks of two partitions were on one machine"""
        self.used: dict[str, set[str]] = {}
        """partition -> machines with its tasks, at the last look"""
        self.most: dict[str, int] = {}
        """partition -> machines with its tasks, at most, since `count_anew`"""
        self.sampled = 0
        self.clock.at(2.0, lambda: set_options(self, idle_return_s=3600))
        self.clock.at(5.0, self._sample)

    def count_anew(self) -> None:
        self.most = {}

    def _sample(self) -> None:
        self.sampled += 1
        self.used = {name: set() for name in PARTITIONS.values()}
        for name, worker in self.cloud.workers.items():
            teams = {
                task["job"]["owner"]
                for task in worker.tasks.values()
                if task["status"] not in ("exited",)
            }
            for team in teams:
                self.used[PARTITIONS[team]].add(name)
            if len(teams) > 1:
                self.mixed.append((round(self.clock.now, 1), name, sorted(teams)))
        for partition, machines in self.used.items():
            self.most[partition] = max(self.most.get(partition, 0), len(machines))
        self.clock.after(0.1, self._sample)

    # --- load -------------------------------------------------------------
    def job(self, number: int, team: str, **changes: Any) -> dict[str, Any]:
        """One that runs on, unless it says otherwise."""
        spec = service(self, number, owner=team, **changes)
        self.submit(spec)
        return spec

    def array(
        self,
        number: int,
        team: str,
        run_s: float,
        tasks: int,
        saves: bool = False,
        node: str | None = None,
        **changes: Any,
    ) -> dict[str, Any]:
        """One whose tasks end by themselves; `node`: submitted there and nowhere else."""
        changes |= {"run_s": run_s, "eta_s": run_s}
        if not saves:
            changes |= {"stow_s": 0.0, "lash_s": 0.0}
        spec = saving_array(self, number, tasks, owner=team, **changes)
        if node is None:
            self.submit(spec)
            return spec
        job = spec["id"]
        self.judge.jobs[job] = spec
        self.judge.submitted.setdefault(job, self.clock.now)
        poll = partial(self._poll, job)
        self._ask(job, "POST", "/v2/runs", self._body(spec), (200, 201), poll, node)
        return spec

    # --- operators --------------------------------------------------------
    def change(self, node: str, action: str, **body: Any) -> list[tuple[int, Any]]:
        """Ask a controller; the list gets its answer."""
        answers: list[tuple[int, Any]] = []
        self.nodes[node].request(
            "POST",
            f"/admin/v1/capacity/{action}",
            json.dumps(body).encode(),
            lambda status, reply: answers.append((status, reply)),
        )
        return answers

    def apply(self, node: str, sealing: float, request: str, **body: Any) -> list[tuple[int, Any]]:
        """Change how much the sealing partition gets."""
        wanted = {"sealing": {"all": sealing}, "front": {"all": round(1 - sealing, 6)}}
        return self.change(node, "apply", request=request, shares=wanted, **body)

    def insist(self, sealing: float, request: str) -> list[list[tuple[int, Any]]]:
        """The change, said again at one controller after the other until it is taken."""
        asked: list[list[tuple[int, Any]]] = []

        def again() -> None:
            if not (asked and asked[-1] and asked[-1][0][0] == 200):
                asked.append(self.apply(self.names[len(asked) % 3], sealing, request))
                self.clock.after(3.0, again)

        again()
        return asked

    def holders(self) -> dict[str, int]:
        """Partition -> machines that it holds and does not leave, as stored."""
        counts: dict[str, int] = {}
        for key, (record, _, _) in self.state.rows.items():
            if "/capacity/held/" in key:
                for section in ("held", "lent"):
                    for partition, names in record.get(section, {}).items():
                        counts[partition] = counts.get(partition, 0) + len(names.split())
        return counts

    def in_force(self) -> bool:
        return all(
            node.runs.shares_in_force(node.engine) for node in self.nodes.values() if node.up
        )


def started(seed: int, *, controllers: bool = False, machines: int = MACHINES) -> Shared:
    """The cluster once its shares are in force, without load."""
    world = Shared(seed, shares(controllers=controllers), machines)
    world.clock.run(IN_FORCE_S)
    assert world.in_force() and world.holders() == {"sealing": 6, "front": 6}
    return world


def busy(seed: int, *, controllers: bool = False) -> Shared:
    """Services of both partitions, and arrays of the sealing one whose tasks cannot save."""
    world = started(seed, controllers=controllers)
    for number in range(4):
        world.job(number, "red", tasks=2)
        world.job(10 + number, "blue", tasks=2)
    world.array(20, "red", run_s=30.0, tasks=8)
    return world


def lending(seed: int, **changes: Any) -> Shared:
    """Sealing is idle and the front end has more to do than its machines take."""
    rules = shares(lend=True, lend_after_s=5.0, give_back_s=10.0)
    world = Shared(seed, rules)
    world.clock.run(IN_FORCE_S)
    world.array(1, "blue", tasks=18, memory_gb=7.8, **changes)
    world.clock.run(CHANGE_S)
    return world
