"""Capacity shares on the whole simulated cluster: changes while jobs run, with troubles in them.

Looked at from the workers' side, ten times a second: no machine ever has tasks of two partitions,
no partition is on more machines than it holds or leaves, nothing is killed for a change, and the
new shares are reached.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from appledock.capacity.apportion import apportion
from appledock.core.capacity.drains import MachineDrainer
from appledock.core.capacity.machine_usage import MachineUsage
from appledock.core.capacity.partition_map import PartitionMap
from appledock.core.membership.format_upgrade import RecordFormatUpgrade
from appledock.core.records.capacity import CAPACITY_PREFIX
from tests.standins.sharing import (
    CHANGE_S,
    IN_FORCE_S,
    MACHINES,
    Shared,
    busy,
    lending,
    shares,
    started,
)
from tests.standins.spreading import outcomes
from tests.standins.spreading import rules as spreading

Patch = pytest.MonkeyPatch
Trouble = Callable[[Shared, str], None]
PEACE_S, END_S = 75.0, 170.0


def replicas_up(world: Shared) -> bool:
    """Is every replica on exactly one machine?"""
    return all(
        len(world.judge.on.get(f"{job}/{task}", ())) == 1
        for job, one in world.judge.jobs.items()
        if one["shape"] == "daemon" and job not in world.judge.asked_cancel
        for task in range(one["crates"])
    )


def state_outage(world: Shared, leader: str) -> None:
    world.state.outage(12.0)


def leader_ends(world: Shared, leader: str) -> None:
    world.nodes[leader].crash(5.0)


def leader_returns_at_once(world: Shared, leader: str) -> None:
    world.nodes[leader].crash(0.2)


def leader_freezes(world: Shared, leader: str) -> None:
    """Past its lease, between a batch and its effects: its writes leave late."""
    world.nodes[leader].freeze(25.0, mid_batch=True)


def all_end(world: Shared, leader: str) -> None:
    for node in world.nodes.values():
        node.crash(4.0)


def controllers_apart(world: Shared, leader: str) -> None:
    world.clock.cut({leader}, set(world.names) - {leader}, 20.0, False)


def leader_alone(world: Shared, leader: str) -> None:
    others = {name for name in world.names if name != leader}
    world.clock.cut({leader}, {"state", *others}, 25.0, True)


def outcomes_unknown(world: Shared, leader: str) -> None:
    world.state.lost_answers = 0.5


def writes_late(world: Shared, leader: str) -> None:
    world.state.late_writes = 0.3


def old_reports(world: Shared, leader: str) -> None:
    world.copies = 0.2


def machines_die(world: Shared, leader: str) -> None:
    for name in sorted(world.cloud.workers)[::4]:
        world.cloud.kill(name)


def zone_lost(world: Shared, leader: str) -> None:
    """Half of the pool is cut off for longer than a lease."""
    world.cut_zone("a", 15.0, hold=False)


def machines_hang(world: Shared, leader: str) -> None:
    for name in sorted(world.cloud.workers)[::3]:
        world.cloud.workers[name].hang(8.0)


TROUBLES: list[Trouble] = [
    state_outage,
    leader_ends,
    leader_returns_at_once,
    leader_freezes,
    all_end,
    controllers_apart,
    leader_alone,
    outcomes_unknown,
    writes_late,
    old_reports,
    machines_die,
    zone_lost,
    machines_hang,
]


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda trouble: trouble.__name__)
@pytest.mark.parametrize("after_s", [0.05, 1.2])
def test_shares_hold_through_a_change_with_troubles(trouble: Trouble, after_s: float) -> None:
    world = busy(1, controllers=after_s > 1)
    world.clock.at(CHANGE_S, lambda: world.insist(0.25, "r1"))
    world.clock.at(CHANGE_S + after_s, lambda: trouble(world, world.leader()))
    world.clock.at(PEACE_S, world.peace)
    world.clock.run(END_S)
    assert world.mixed == []
    assert world.judge.broken == []
    assert replicas_up(world) and world.unfinished() == []
    target = apportion(len(world.cloud.workers), {"sealing": 0.25, "front": 0.75})
    assert world.holders() == target
    assert len(world.used["sealing"]) <= target["sealing"]
    records = [row for key, row in world.state.rows.items() if key.startswith(CAPACITY_PREFIX)]
    assert sum(row[0].get("request") == "r1" for row in records) == 1


# --- drains, not kills -------------------------------------------------------
def test_a_share_shrinks_while_a_run_that_cannot_save_holds_all_its_machines() -> None:
    """Nothing is killed: it is waited for, and then the machines change hands."""
    world = started(2)
    world.array(1, "red", run_s=40.0, tasks=24)
    world.clock.run(CHANGE_S)
    assert len(world.used["sealing"]) == 6
    starts = world.judge.starts
    answers = world.apply("n0", 0.25, "r1")
    world.clock.run(CHANGE_S + 10.0)
    assert answers[0][0] == 200 and len(world.used["sealing"]) == 6
    assert world.judge.starts == starts, "none was stopped and started again"
    assert world.holders() == {"sealing": 3, "front": 6}
    state = world.nodes["n1"].engine.partition_summary.as_json()["pools"]["all"]["partitions"][
        "sealing"
    ]
    assert len(state["leaving"]) == 3 and state["target"] == 3
    assert all(0 < row["left_s"] <= 40.0 for row in state["leaving"])
    world.array(2, "red", run_s=5.0, tasks=20)
    world.clock.run(CHANGE_S + 60.0)
    assert world.holders() == {"sealing": 3, "front": 9}
    assert world.mixed == [] and world.judge.broken == [] and world.unfinished() == []
    assert world.judge.starts == 24 + 20


def test_replicas_move_to_the_partition_s_other_machines_one_after_the_other() -> None:
    world = started(3)
    for number in range(6):
        world.job(number, "red", tasks=1, memory_gb=9.0)  # one on each machine
    world.clock.run(CHANGE_S)
    for number in range(6):
        world.cancel(f"job-{number:06d}")
    for number in range(10, 16):
        world.job(number, "red", tasks=1)
    world.clock.run(CHANGE_S + 10.0)
    world.apply("n0", 0.25, "r1")
    world.clock.run(CHANGE_S + 50.0)
    assert world.holders() == {"sealing": 3, "front": 9}
    assert replicas_up(world) and world.mixed == [] and world.judge.broken == []


def crowded_change() -> dict[str, int]:
    """Replicas have to move while arrays of their own partition want every free core."""
    world = started(18)
    for number in range(6):
        world.job(number, "red", tasks=1, cores=2.0, memory_gb=8.5)  # one on each machine
    world.clock.run(IN_FORCE_S + 4.0)
    for number in range(10, 16):
        world.job(number, "red", tasks=1, cores=2.0, memory_gb=7.0)  # and one beside each
    world.clock.run(IN_FORCE_S + 8.0)
    for number in range(6):
        world.cancel(f"job-{number:06d}")
    for number in range(100):
        at = IN_FORCE_S + 9.0 + 1.2 * number
        apart = {0: 17.0, 1: 20.0, 2: 23.0}  # so that cores become free one by one
        world.clock.at(
            at, partial(world.array, 100 + number, "red", 20.0, 3, runs=apart, memory_gb=0.5)
        )
    world.clock.run(CHANGE_S)
    assert len(world.used["sealing"]) == 6
    world.insist(0.25, "r1")
    world.clock.run(CHANGE_S + 75.0)
    assert world.mixed == [] and world.judge.broken == [] and replicas_up(world)
    return world.holders()


def test_replicas_find_room_though_arrays_of_their_partition_want_all_of_it(
    monkeypatch: Patch,
) -> None:
    assert crowded_change() == {"sealing": 3, "front": 9}
    monkeypatch.setattr(MachineDrainer, "_reserve_for_replicas", lambda self: None)
    assert crowded_change() != {"sealing": 3, "front": 9}


def test_tasks_that_save_are_stopped_only_past_a_deadline_that_the_change_names() -> None:
    def left_at(seconds: float, **change: float) -> int:
        world = started(4)
        world.array(1, "red", run_s=300.0, tasks=24, saves=True)
        world.clock.run(CHANGE_S)
        world.apply("n0", 0.25, "r1", **change)
        world.clock.run(CHANGE_S + seconds)
        assert world.mixed == [] and world.judge.broken == []
        return world.holders()["front"]

    assert left_at(30.0) < 9
    assert left_at(8.0, deadline_s=20.0) < 9
    assert left_at(40.0, deadline_s=20.0) == 9


def test_a_change_is_withdrawn_midway() -> None:
    world = started(5)
    world.array(1, "red", run_s=60.0, tasks=24)
    world.clock.run(CHANGE_S)
    world.apply("n0", 0.25, "r1")
    world.clock.run(CHANGE_S + 5.0)
    assert world.holders()["sealing"] == 3
    answers = world.change("n2", "withdraw", request="r2")
    world.clock.run(CHANGE_S + 10.0)
    assert answers[0][0] == 200 and world.holders() == {"sealing": 6, "front": 6}
    assert world.judge.starts == 24 and world.mixed == []


# --- two changes at once -----------------------------------------------------
@pytest.mark.parametrize("parted", [False, True])
def test_of_two_changes_at_once_one_wins_and_the_other_hears_what_differs(parted: bool) -> None:
    world = started(6)
    if parted:
        world.clock.cut({"n0"}, {"n1", "n2"}, 10.0, False)
        world.clock.run(IN_FORCE_S + 1.0)
    first = world.apply("n0", 0.25, "first", version=0)
    second = world.apply("n1", 0.75, "second", version=0)
    world.clock.run(CHANGE_S)
    (won, lost) = sorted([first[0], second[0]], key=lambda answer: answer[0])
    assert (won[0], lost[0]) == (200, 409)
    assert lost[1]["version"] == won[1]["version"] > 0
    assert lost[1]["differs"]["sealing.all"]["present"] == won[1]["shares"]["sealing"]["all"]
    assert sorted(world.holders().values()) == [3, 9], "never a mixture"


def test_a_repeated_request_has_one_effect_wherever_it_is_said() -> None:
    world = started(7)
    first = world.apply("n0", 0.25, "same")
    world.clock.run(IN_FORCE_S + 3.0)
    version = first[0][1]["version"]
    for name in world.names:
        again = world.apply(name, 0.25, "same")
        world.clock.run(world.clock.now + 1.0)
        assert again[0] == (200, again[0][1]) and again[0][1]["version"] == version
    world.apply("n1", 0.5, "other")
    world.clock.run(world.clock.now + 1.0)
    late = world.apply("n2", 0.25, "same", version=version)
    world.clock.run(world.clock.now + 1.0)
    assert late[0][0] == 409, "a copy of an old request does not bring it back"


def test_wrong_changes_get_400_with_the_field_and_change_nothing() -> None:
    world = started(8)
    wrong: list[tuple[dict[str, Any], str]] = [
        ({}, "shares: an object of objects"),
        ({"shares": {"sealing": 1}}, "shares: an object of objects"),
        ({"request": "", "shares": {"sealing": {"all": 0.5}}}, "request: a text of 1 to 100"),
        ({"request": "r", "shares": {"sealing": {"all": 0.7}}}, "add up to 1.2"),
        ({"request": "r", "shares": {"sealing": {"all": "x"}}}, "$.shares.sealing.all"),
        ({"request": "r", "shares": {"nobody": {"all": 0.5}}}, "unknown partition 'nobody'"),
        ({"request": "r", "shares": {"sealing": {"b": 0.5}}}, "unknown pool 'b'"),
        ({"request": "r", "shares": {}, "version": "x"}, "version: an integer"),
        ({"request": "r", "shares": {}, "deadline_s": -1}, "deadline_s: allowed are 0 to"),
    ]
    for body, said in wrong:
        answers = world.change("n0", "apply", **body)
        world.clock.run(world.clock.now + 0.1)
        assert answers[0][0] == 400 and said in answers[0][1]["error"], body
    nothing = world.change("n0", "withdraw", request="r")
    world.clock.run(world.clock.now + 0.1)
    assert nothing[0][0] == 400
    assert f"{CAPACITY_PREFIX}agreed" not in world.state.rows


def test_a_change_while_the_state_service_is_silent_gets_503_and_nothing_is_half_applied() -> None:
    world = started(9)
    world.state.outage(20.0)
    answers = world.apply("n0", 0.25, "r1")
    world.clock.run(world.clock.now + 6.0)
    assert answers[0][0] == 503
    world.clock.run(world.clock.now + 30.0)
    assert f"{CAPACITY_PREFIX}agreed" not in world.state.rows
    assert world.holders() == {"sealing": 6, "front": 6}


def test_a_proposal_tells_what_would_drain_and_changes_nothing() -> None:
    world = started(10)
    world.array(1, "red", run_s=50.0, tasks=24)
    world.clock.run(CHANGE_S)
    body = {"sealing": {"all": 0.25}, "front": {"all": 0.75}}
    answers = world.change("n1", "propose", request="p", shares=body)
    world.clock.run(CHANGE_S + 5.0)
    sealing = answers[0][1]["pools"]["all"]["sealing"]
    assert sealing["target"] == 3 and len(sealing["drains"]) == 3 and sealing["tasks"] == 12
    assert 0 < sealing["left_s"] <= 50.0
    assert world.holders() == {"sealing": 6, "front": 6}


# --- loans -------------------------------------------------------------------
def test_idle_machines_are_lent_and_given_back_by_drains() -> None:
    world = lending(30, run_s=40.0)
    assert len(world.used["front"]) == 9 and world.holders()["front"] >= 9
    starts = world.judge.starts
    world.array(2, "red", run_s=20.0, tasks=6, memory_gb=15.0)
    world.clock.run(CHANGE_S + 6.0)
    assert world.judge.starts > starts, "what was left of its machines is there at once"
    assert world.holders()["sealing"] + 3 >= 6 and world.unfinished()
    world.clock.run(CHANGE_S + 60.0)
    assert world.unfinished() == [] and world.mixed == [] and world.judge.broken == []
    assert world.judge.starts == 18 + 6, "nothing was stopped for it"


def test_a_lender_in_need_has_its_machines_back_in_the_stated_time_where_work_saves() -> None:
    world = lending(31, run_s=300.0, saves=True)
    assert world.holders()["front"] >= 9
    world.array(2, "red", run_s=100.0, tasks=6, memory_gb=15.0)
    world.clock.run(CHANGE_S + 30.0)
    assert len(world.used["sealing"]) == 6 and world.holders() == {"sealing": 6, "front": 6}
    assert world.mixed == [] and world.judge.broken == []


def test_nothing_is_lent_unless_the_file_allows_it() -> None:
    world = started(32)
    world.array(1, "blue", run_s=40.0, tasks=18, memory_gb=7.8)
    world.clock.run(CHANGE_S)
    assert world.holders() == {"sealing": 6, "front": 6} and len(world.used["front"]) == 6


# --- preferred controllers ---------------------------------------------------
def owners(world: Shared, team: str) -> set[str]:
    engine = world.nodes[world.leader()].engine
    jobs = engine.replica.jobs.values()
    return {engine.replica.job_owner(job) for job in jobs if job.spec.team == team}


def test_jobs_belong_to_their_partition_s_controller_and_return_to_it() -> None:
    world = busy(11, controllers=True)
    world.clock.run(CHANGE_S)
    assert owners(world, "red") == {"n1"} and owners(world, "blue") == {"n2"}
    world.nodes["n1"].crash(30.0)
    world.clock.run(CHANGE_S + 25.0)
    assert "n1" not in owners(world, "red")
    world.job(30, "red", tasks=1)
    world.clock.run(CHANGE_S + 60.0)
    assert owners(world, "red") == {"n1"}
    assert replicas_up(world) and world.mixed == [] and world.judge.broken == []


def test_a_controller_that_comes_and_goes_gets_no_jobs_and_causes_no_burst_of_writes() -> None:
    world = busy(12, controllers=True)
    world.clock.run(CHANGE_S)
    for turn in range(8):
        world.clock.at(CHANGE_S + 4.0 * turn, lambda: world.nodes["n1"].crash(1.0))
    before = world.state.revision
    world.clock.run(CHANGE_S + 33.0)
    assert world.state.revision - before < 33 * 5
    world.clock.run(CHANGE_S + 70.0)
    assert owners(world, "red") == {"n1"}
    assert replicas_up(world) and world.mixed == [] and world.judge.broken == []


def test_consoles_are_told_target_holdings_and_drains_of_each_partition() -> None:
    world = started(17)
    world.array(1, "red", run_s=40.0, tasks=24)
    world.clock.run(CHANGE_S)
    world.apply("n0", 0.25, "r1")
    world.clock.run(CHANGE_S + 5.0)
    told = world.nodes["n2"].engine.admin.console_feed.changes_since("-", 0, 500).rows
    assert told["partition/sealing.all"] == [3, 3, 3, 24, ""]
    assert told["partition/front.all"] == [9, 6, 0, 0, ""]


# --- together with other parts ----------------------------------------------
def test_gangs_start_whole_within_their_share_or_not_at_all() -> None:
    world = started(40)
    for number in (1, 2):
        # Two of them at once do not fit: neither holds half of the machines against the other.
        world.array(number, "red", 12.0, 6, shape="group", memory_gb=9.0)
    largest = 0

    def look() -> None:
        nonlocal largest
        on = [sum(task.startswith(f"job-00000{n}/") for task in world.judge.on) for n in (1, 2)]
        assert min(on) == 0 or max(on) <= 6
        largest = max(largest, *on)
        world.clock.after(0.1, look)

    look()
    world.clock.run(80.0)
    assert largest == 6 and world.unfinished() == []
    assert world.mixed == [] and world.judge.broken == []


def test_a_move_for_balance_never_crosses_a_share() -> None:
    world = Shared(41, shares())
    world.rebalancing = spreading(moves={"cooldown_s": 5.0})
    for node in world.nodes.values():
        node.crash(0.1)
    world.clock.run(IN_FORCE_S + 6.0)
    assert world.in_force()
    for number in range(8):
        world.job(number, "red", tasks=2, memory_gb=1.0)
    world.clock.at(30.0, lambda: [world.cancel(f"job-{n:06d}") for n in (0, 1, 2)])
    world.clock.at(45.0, lambda: world.apply("n0", 0.75, "r1"))
    world.clock.run(110.0)
    assert outcomes(world).get("done", 0) > 0
    assert world.mixed == [] and world.judge.broken == [] and replicas_up(world)


def test_a_partition_without_any_machine_waits_and_holds_up_nobody() -> None:
    world = started(42)
    world.apply("n0", 0.0, "none")
    world.clock.run(CHANGE_S)
    assert world.holders() == {"front": 12}
    world.array(1, "red", 5.0, 4)
    world.array(2, "blue", 5.0, 20)
    world.clock.run(CHANGE_S + 20.0)
    assert world.unfinished() == ["job-000001"] and world.used["sealing"] == set()
    rows = world.nodes["n1"].engine.job_reader.read_all()
    assert [row["waits_for"] for row in rows if row["id"] == "job-000001"] != []
    world.apply("n0", 0.25, "some")
    world.clock.run(CHANGE_S + 50.0)
    assert world.unfinished() == [] and world.mixed == [] and world.judge.broken == []


@pytest.mark.parametrize("delay", [0.0, 0.002, 0.004, 0.2])
def test_the_controller_that_applies_a_change_ends_before_amid_and_after_its_write(
    delay: float,
) -> None:
    world = busy(43)
    world.clock.run(CHANGE_S)
    world.apply("n0", 0.25, "r1")
    world.clock.at(CHANGE_S + delay, lambda: world.nodes["n0"].crash(5.0))
    world.clock.run(CHANGE_S + 10.0)
    again = world.apply("n1", 0.25, "r1")
    world.clock.run(CHANGE_S + 60.0)
    assert again[0][0] == 200 and world.holders() == {"sealing": 3, "front": 9}
    assert world.mixed == [] and world.judge.broken == [] and replicas_up(world)


def test_cancellations_come_first_where_writes_are_so_scarce_that_drains_queue() -> None:
    world = busy(44)
    world.clock.run(CHANGE_S)
    world.state.write_rps = 3.0
    world.insist(0.25, "r1")
    for number in (1, 2, 11):
        world.cancel(f"job-{number:06d}")
    for number in range(50, 70):
        world.array(number, "blue", 4.0, 1)
    world.clock.run(CHANGE_S + 20.0)
    for number in (1, 2, 11):
        state, at = world.judge.final[f"job-{number:06d}"]
        assert state == "withdrawn" and at <= CHANGE_S + 10.0
    world.clock.run(CHANGE_S + 120.0)
    assert world.holders() == {"sealing": 3, "front": 9} and world.unfinished() == []
    assert world.mixed == [] and world.judge.broken == [] and replicas_up(world)


# --- who takes part ----------------------------------------------------------
def test_shares_are_in_force_only_once_every_controller_has_them() -> None:
    """One is started without the file: the others keep to nothing that it does not know."""
    world = Shared(13, shares())
    lacking = world.nodes["n2"]
    lacking.crash(0.1)
    world.shares = None
    world.clock.run(1.0)
    world.shares = shares()
    world.clock.run(40.0)
    assert lacking.engine.partitions.enabled is False
    assert not any(node.engine.partitions.is_in_force() for node in world.nodes.values())
    assert not any(key.startswith(CAPACITY_PREFIX) for key in world.state.rows)
    lacking.crash(0.5)
    world.clock.run(70.0)
    assert world.in_force() and sum(world.holders().values()) == MACHINES


def test_jobs_that_ran_before_shares_were_in_force_are_sorted_out_without_a_kill() -> None:
    world = Shared(14, shares())
    for number in range(8):
        world.clock.at(5.5 + number / 10, lambda n=number: world.job(n, "red", tasks=2))
        world.clock.at(5.5 + number / 10, lambda n=number: world.job(20 + n, "blue", tasks=2))
    world.clock.run(12.0)
    assert world.mixed
    world.clock.run(60.0)
    mixed = len(world.mixed)
    world.clock.run(100.0)
    assert len(world.mixed) == mixed and replicas_up(world) and world.judge.broken == []


def test_off_means_no_records_no_gates_and_the_format_of_before() -> None:
    world = Shared(15, None)
    world.job(1, "red", tasks=2)
    world.clock.run(40.0)
    assert not any(key.startswith(CAPACITY_PREFIX) for key in world.state.rows)
    assert all(node.engine.replica.record_format.value == 2 for node in world.nodes.values())
    rooms = [
        room
        for node in world.nodes.values()
        for room in node.engine.capacity_index.machines.values()
    ]
    assert rooms and all(room.admission is None and room.load is None for room in rooms)


# --- guards taken out --------------------------------------------------------
def late_step(seed: int, monkeypatch: Patch) -> Shared:
    """A step of the sealing partition's controller is held up in the network for seconds;
    meanwhile machines that it uses are handed over, and the front end starts there."""
    world = started(seed, controllers=True)
    # One task of it fits on a machine, and two of the front end beside it.
    world.array(1, "red", run_s=20.0, tasks=6, memory_gb=8.1)

    until = IN_FORCE_S + 8.0
    request = world.state.request

    def hold_up(node: str, method: str, path: str, body: bytes, answer: Any) -> None:
        late = path == "/txn" and b"job-000001" in body and b"groups" in body
        if late and world.clock.now < until:
            world.clock.at(until, lambda: request(node, method, path, body, lambda *_: None))
        else:
            request(node, method, path, body, answer)

    monkeypatch.setattr(world.state, "request", hold_up)
    world.clock.run(IN_FORCE_S + 1.0)
    world.apply("n0", 0.25, "r1")
    world.array(10, "blue", run_s=20.0, tasks=18, memory_gb=7.8)
    world.clock.run(IN_FORCE_S + 60.0)
    return world


def test_starts_are_conditional_on_who_holds_the_machine(monkeypatch: Patch) -> None:
    seeds = (20, 21, 22)
    for seed in seeds:
        world = late_step(seed, monkeypatch)
        assert world.mixed == [] and world.judge.broken == [] and world.unfinished() == []
    monkeypatch.setattr(PartitionMap, "conditions", lambda self, reserved: {})
    assert any(late_step(seed, monkeypatch).mixed for seed in seeds)


def test_a_machine_is_given_away_only_once_the_records_show_it_empty(monkeypatch: Patch) -> None:
    uses = MachineUsage.of_pool

    def look_empty(self: MachineUsage, pool: str) -> Any:
        return [type(use)(use.name, use.ownership) for use in uses(self, pool)]

    monkeypatch.setattr(MachineUsage, "of_pool", look_empty)
    world = started(2)
    world.array(1, "red", run_s=60.0, tasks=6, memory_gb=8.1)
    world.clock.run(CHANGE_S)
    world.apply("n0", 0.25, "r1")
    world.array(2, "blue", run_s=40.0, tasks=18, memory_gb=7.8)
    world.clock.run(CHANGE_S + 20.0)
    assert world.mixed


def unaware(seed: int, patch: Patch) -> Shared:
    """One controller does not hear for seconds that the format was raised; load comes then."""
    check = RecordFormatUpgrade.tick

    def later(self: RecordFormatUpgrade) -> None:
        if self._runtime.now > 12.0:
            check(self)

    patch.setattr(RecordFormatUpgrade, "tick", later)
    world = Shared(seed, shares())
    world.clock.at(11.5, lambda: world.state.silent.update(n1=22.0))
    world.clock.run(13.5)
    view = world.view()
    assert view is not None
    numbers = [n for n in range(200) if view.owner_of(f"job-{n:06d}") == "n1"][:16]
    for place, number in enumerate(numbers):
        team = "red" if place % 2 else "blue"
        at = 13.5 + place / 4
        world.clock.at(at, partial(world.array, number, team, 8.0, 1, node="n1"))
    world.clock.run(60.0)
    assert world.in_force()
    return world


def test_shares_wait_for_a_view_that_comes_after_the_format(monkeypatch: Patch) -> None:
    """Without that, a controller that has not heard of it yet starts whatever it likes."""
    world = unaware(1, monkeypatch)
    assert world.mixed == [] and world.judge.broken == [] and world.unfinished() == []

    def hasty(self: PartitionMap) -> bool:
        return self.enabled and self.is_format_raised()

    monkeypatch.setattr(PartitionMap, "is_in_force", hasty)
    assert unaware(1, monkeypatch).mixed


def test_the_stand_in_sees_two_partitions_on_one_machine() -> None:
    """The look from the workers' side can fail: without shares, machines are mixed."""
    world = Shared(16, None)
    for number in range(8):
        world.job(number, "red" if number % 2 else "blue", tasks=2)
    world.clock.run(30.0)
    assert world.mixed and world.sampled > 200
