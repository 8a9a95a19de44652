"""Tests of planning passes, with fakes of the planner, the snapshots and the moves."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from appledock import constants, wire
from appledock.core.operator_settings import OperatorSettings
from appledock.core.rebalancing.move_planning import MovePlanning, mean_load_by_owner
from appledock.core.runtime import Runtime
from appledock.rebalancing.planner import Obstacle, Plan, Proposal
from appledock.rebalancing.settings import Moves as MoveSettings
from appledock.rebalancing.settings import Rebalancing
from appledock.rebalancing.snapshot import Load, MachineLoad, Means
from tests.test_requests import settings

OWNERS = {"vm-1": "n0", "vm-2": "n0", "vm-3": "n1"}


def machine(name: str, load: float, cpus: float = 4.0) -> MachineLoad:
    machine_type = wire.MachineType("t", cpus, 16.0, 1.0, 0.5, 5.0, ["a"])
    return MachineLoad(
        name, OWNERS[name], "a", False, machine_type, Load(load), Load(load), 0.0, 0.0, 0.0
    )


def proposal(source: str, destination: str) -> Proposal:
    return Proposal("job-1", 0, 1, source, destination, 0.5, 0.0)


class PlanningFixture:
    """The planning passes of controller n0; the fake planner returns `plans` in turn."""

    def __init__(self, *plans: Plan, is_leader: bool = False) -> None:
        self.plans = list(plans)
        self.calls: list[dict[str, Any]] = []
        self.smoothing_count = 0
        self.requested: list[Proposal] = []
        self.dry_run_count = 0
        self.runtime = Runtime(settings("n0", ["n0", "n1"]), "x", random.Random(1))
        self.runtime.now = 100.0
        self.operator_settings = OperatorSettings()
        fleet = [machine("vm-1", 0.9), machine("vm-2", 0.1), machine("vm-3", 0.2)]
        snapshots: Any = SimpleNamespace(
            machines=lambda: fleet,
            own_machines=lambda: fleet[:2],
            running_tasks=lambda machine_load: [],
            update_smoothed=self._update_smoothed,
        )
        self.moves: Any = SimpleNamespace(
            requested={}, request=self.requested.append, count_dry_run=self._count_dry_run
        )
        planner: Any = SimpleNamespace(plan=self._plan)
        replica: Any = SimpleNamespace(owner_of=OWNERS.__getitem__)
        membership: Any = SimpleNamespace(is_leader=lambda: is_leader)
        self.planning = MovePlanning(
            runtime=self.runtime,
            replica=replica,
            membership=membership,
            operator_settings=self.operator_settings,
            settings=Rebalancing(moves=MoveSettings(every_s=10.0, in_flight=3)),
            planner=planner,
            snapshots=snapshots,
            moves=self.moves,
            mean_loads=Means,
        )

    def _plan(
        self, machines: list[MachineLoad], means: Means, tasks: Any, max_moves: int, **options: Any
    ) -> Plan:
        self.calls.append(
            {"machines": [row.name for row in machines], "max_moves": max_moves, **options}
        )
        return self.plans.pop(0)

    def _update_smoothed(self, time_constant_s: float) -> None:
        self.smoothing_count += 1

    def _count_dry_run(self) -> None:
        self.dry_run_count += 1


def test_a_controller_plans_among_its_own_machines_within_the_moves_that_may_be_under_way() -> None:
    own = proposal("vm-1", "vm-2")
    fixture = PlanningFixture(Plan([own]), Plan())
    fixture.moves.requested = {1: None, 2: None}
    fixture.planning.tick()
    assert fixture.requested == [own]
    assert fixture.calls[0]["machines"] == ["vm-1", "vm-2"] and fixture.calls[0]["max_moves"] == 1
    fixture.runtime.now += 8.9
    fixture.planning.tick()
    assert len(fixture.calls) == 1  # the next pass is not due
    fixture.runtime.now += 2.2
    fixture.planning.tick()
    assert len(fixture.calls) == 2


def test_the_leader_requests_only_moves_between_owners() -> None:
    between, within = proposal("vm-1", "vm-3"), proposal("vm-1", "vm-2")
    fixture = PlanningFixture(Plan(), Plan([between, within]), is_leader=True)
    fixture.planning.tick()
    assert fixture.requested == [between]
    owner_filter = fixture.calls[1]["owner_filter"]
    assert owner_filter(machine("vm-1", 0.0), machine("vm-3", 0.0))  # mean loads 0.5 and 0.2
    assert not owner_filter(machine("vm-3", 0.0), machine("vm-1", 0.0))


def test_a_machine_that_no_task_can_be_moved_off_is_skipped_during_its_backoff() -> None:
    fixture = PlanningFixture(Plan(obstacles={"vm-1": Obstacle.NO_ROOM}), Plan(), Plan())
    fixture.planning.tick()
    assert fixture.planning.blocked["vm-1"].obstacle == Obstacle.NO_ROOM.value
    fixture.runtime.now += 11.1
    fixture.planning.tick()
    assert set(fixture.calls[1]["skip"]) == {"vm-1"}
    fixture.runtime.now += constants.MOVE_SOURCE_BACKOFF_S
    fixture.planning.tick()
    assert set(fixture.calls[2]["skip"]) == set()


def test_operators_can_pause_moves_or_only_count_them_while_loads_are_still_smoothed() -> None:
    fixture = PlanningFixture(Plan([proposal("vm-1", "vm-2")]))
    fixture.operator_settings.apply({"moves_paused": 1})
    fixture.planning.tick()
    assert fixture.calls == [] and fixture.smoothing_count == 1
    fixture.operator_settings.apply({"moves_dry_run": 1})
    fixture.runtime.now += 11.1
    fixture.planning.tick()
    assert fixture.dry_run_count == 1 and fixture.requested == [] and fixture.smoothing_count == 2


def test_the_mean_load_of_an_owner_weighs_machines_by_their_size() -> None:
    machines = [machine("vm-1", 0.9, cpus=3.0), machine("vm-2", 0.1, cpus=1.0)]
    assert round(mean_load_by_owner(machines)["n0"], 6) == 0.7
