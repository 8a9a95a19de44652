"""Moves of running tasks, with troubles in the very middle of one.

Each trouble strikes when the owner of a job has stopped its task and the next attempt is not
placed yet. No rule may break, every replica runs again, and the load ends up spread; taken
out, the guard that a trouble is there for lets the judge, or the count, notice.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from appledock import constants as c
from appledock.core.machines.capacity_index import CapacityIndex, StepReservation
from appledock.core.messages import MoveOrder, MoveRequested, MoveReserved
from appledock.core.scheduling.moves import MoveOutcome, Moves
from appledock.core.scheduling.moves.job_owner import JobOwner
from appledock.core.scheduling.placement import PlacedTasks
from appledock.core.store.keys import JOBS_PREFIX
from appledock.rebalancing.settings import Rebalancing
from tests.guards import disable_wait_for_lease_expiry
from tests.standins import machines
from tests.standins.spreading import (
    CORES,
    crowded,
    imbalance,
    loads,
    moving,
    outcomes,
    rules,
    service,
    set_options,
)
from tests.standins.versions import production
from tests.standins.world import World

Patch = pytest.MonkeyPatch
Trouble = Callable[[World, MoveOrder], None]
MOVES_FROM_S, PEACE_S, END_S = 26.0, 90.0, 170.0


def owner(world: World, job: str) -> str:
    """The controller that owns the job, by the newest view."""
    view = world.view()
    assert view is not None
    engine = world.nodes[view.leader].engine
    record = engine.replica.jobs.get(job)
    return engine.replica.job_owner(record) if record else view.owner_of(job)


def cut_source(world: World, order: MoveOrder) -> None:
    world.clock.cut({order.source}, set(world.names), 25.0, False)


def hold_source(world: World, order: MoveOrder) -> None:
    """Its reports and the commands to it are delivered, late."""
    world.clock.cut({order.source}, set(world.names), 8.0, True)


def hang_source(world: World, order: MoveOrder) -> None:
    world.cloud.workers[order.source].hang(machines.LEASE_S - 2.0)


def late_report(world: World, order: MoveOrder) -> None:
    """A report of before the stop reaches every controller after the move."""
    body = world.cloud.workers[order.source].body()
    for delay in (2.0, 6.0, 15.0):
        for name in world.names:
            world.late_copy(name, body, delay)


def job_owner_ends(world: World, order: MoveOrder) -> None:
    world.nodes[owner(world, order.job)].crash(5.0)


def job_owner_returns_at_once(world: World, order: MoveOrder) -> None:
    world.nodes[owner(world, order.job)].crash(0.2)


def job_owner_freezes(world: World, order: MoveOrder) -> None:
    world.nodes[owner(world, order.job)].freeze(20.0, mid_batch=True)


def leader_ends(world: World, order: MoveOrder) -> None:
    world.nodes[world.leader()].crash(5.0)


def controllers_apart(world: World, order: MoveOrder) -> None:
    name = owner(world, order.job)
    world.clock.cut({name}, set(world.names) - {name}, 20.0, False)


def state_outage(world: World, order: MoveOrder) -> None:
    world.state.outage(12.0)


def outcomes_unknown(world: World, order: MoveOrder) -> None:
    world.state.lost_answers = 0.5
    world.clock.after(6.0, lambda: setattr(world.state, "lost_answers", 0.0))


def writes_late(world: World, order: MoveOrder) -> None:
    world.state.late_writes = 0.4
    world.clock.after(6.0, lambda: setattr(world.state, "late_writes", 0.0))


def job_cancelled(world: World, order: MoveOrder) -> None:
    world.cancel(order.job)


def destination_dies(world: World, order: MoveOrder) -> None:
    world.cloud.kill(order.destination)


def destination_taken(world: World, order: MoveOrder) -> None:
    world.cloud.take(order.destination)


def destination_cordoned(world: World, order: MoveOrder) -> None:
    for node in world.nodes.values():
        node.engine.fleet.apply_operator_action(order.destination, "cordon")


def all_controllers_end(world: World, order: MoveOrder) -> None:
    for node in world.nodes.values():
        node.crash(4.0)


TROUBLES: list[Trouble] = [
    cut_source,
    hold_source,
    hang_source,
    late_report,
    job_owner_ends,
    job_owner_returns_at_once,
    job_owner_freezes,
    leader_ends,
    controllers_apart,
    state_outage,
    outcomes_unknown,
    writes_late,
    job_cancelled,
    destination_dies,
    destination_taken,
    destination_cordoned,
    all_controllers_end,
]


def play(
    seed: int,
    trouble: Trouble | None = None,
    rebalancing: Rebalancing | None = None,
    times: int = 2,
    arrays: int = 0,
    joining: int = 9,
    save_s: float = 1.0,
) -> tuple[World, list[MoveOrder]]:
    """A day on which the trouble strikes in the middle of moves, that many times."""
    world = crowded(seed, rebalancing or rules(), arrays=arrays, joining=joining, save_s=save_s)
    struck: list[MoveOrder] = []

    def look() -> None:
        under_way = moving(world)
        if trouble is not None and under_way and len(struck) < times:
            struck.append(under_way[0])
            trouble(world, under_way[0])
            world.clock.after(15.0, look)
        elif world.clock.now < PEACE_S:
            world.clock.after(0.02, look)

    world.clock.at(MOVES_FROM_S, look)
    world.clock.at(PEACE_S, world.peace)
    world.clock.run(END_S)
    return world, struck


def missing(world: World) -> list[str]:
    """Replicas of services that nobody cancelled and that are on no machine."""
    return [
        f"{job}/{task}"
        for job, spec in world.judge.jobs.items()
        if spec["shape"] == "daemon" and job not in world.judge.asked_cancel
        for task in range(spec["crates"])
        if len(world.judge.on.get(f"{job}/{task}", ())) != 1
    ]


def evenly_spread(world: World) -> bool:
    """No machine is above 1.5 times the mean, or holds more than a single task."""
    shares = list(loads(world).values())
    mean = sum(shares) / len(shares)
    return max(shares) <= max(1.5 * mean, 1.0 / CORES)


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda trouble: trouble.__name__)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_move_makes_a_job_answer_twice(trouble: Trouble, seed: int) -> None:
    world, struck = play(seed, trouble, arrays=2)
    assert struck
    assert world.judge.broken == []
    assert missing(world) == []
    assert world.judge.day_end(peace=PEACE_S) == []
    assert evenly_spread(world)


def job_done(world: World, order: MoveOrder) -> None:
    """All tasks of the job end at the very moment, the one that moves among them."""
    for worker in world.cloud.workers.values():
        for (task, _), row in worker.tasks.items():
            if task.startswith(order.job + "/") and "until" in row:
                row["until"] = world.clock.now


@pytest.mark.parametrize("seed", [1, 2])
def test_a_job_that_is_done_during_its_move_is_done_once(seed: int) -> None:
    world, struck = play(seed, job_done, arrays=6, save_s=3.0)
    assert struck
    assert world.judge.broken == [] and world.unfinished() == []
    assert all(world.judge.final[order.job][0] == "done" for order in struck)
    assert all(not node.engine.capacity_index.move_reservations for node in world.nodes.values())


@pytest.mark.parametrize("old", ["n0", "n1", "n2"])
def test_a_controller_of_the_version_in_production_takes_no_part_and_no_harm(old: str) -> None:
    """It ignores the messages, the room that was kept lapses, and the others go on."""
    world = crowded(10, rules())
    world.nodes[old].crash(0.2)
    world.nodes[old].code = production()
    world.clock.at(PEACE_S, world.peace)
    world.clock.run(END_S - c.MOVE_RESERVATION_S - 10.0)
    unanswered = outcomes(world).get(MoveOutcome.NO_ANSWER, 0)
    assert unanswered <= 3 * 6, "each of six jobs is asked for at doubling pauses"
    set_options(world, moves_paused=1)
    world.clock.run(END_S)
    assert world.nodes[old].runs is production()
    assert world.judge.broken == [] and missing(world) == []
    assert outcomes(world)[MoveOutcome.DONE] > 0
    assert not any(
        node.engine.capacity_index.move_reservations
        for node in world.nodes.values()
        if node.name != old
    )


def test_load_is_spread_without_troubles_and_stays_as_it_was_when_off() -> None:
    spread, _ = play(3)
    assert spread.judge.broken == [] and missing(spread) == []
    assert imbalance(spread) <= 1.5
    done = outcomes(spread)[MoveOutcome.DONE]
    assert 9 <= done <= 12, "one move for each machine that joined, hardly more"
    off = crowded(3, None)
    off.clock.run(END_S)
    assert imbalance(off) == 4.0 and outcomes(off) == {}


# --- guards taken out --------------------------------------------------------
def test_without_waiting_for_settlement_a_moved_task_runs_twice(monkeypatch: Patch) -> None:
    disable_wait_for_lease_expiry(monkeypatch, 2.0)
    world, struck = play(1, cut_source)
    assert struck and "ran_twice" in world.judge.kinds()


def test_without_room_that_is_kept_the_next_attempt_finds_none(monkeypatch: Patch) -> None:
    """Services want the very room that a task is moving to, while it saves for seconds."""

    def take_the_room(world: World, order: MoveOrder) -> None:
        for number in range(40, 60):
            world.submit(service(world, number, tasks=1))

    def outcome() -> str:
        only_one = rules(moves={"in_flight": 1})
        world, struck = play(4, take_the_room, only_one, 1, arrays=6, joining=1, save_s=6.0)
        assert world.judge.broken == []
        return next(
            ended.outcome
            for node in world.nodes.values()
            for ended in node.engine.moves.ended
            if ended.order == struck[0]
        )

    assert outcome() == MoveOutcome.DONE
    monkeypatch.setattr(CapacityIndex, "reserve_for_move", lambda self, machine, spec: None)
    monkeypatch.setattr(JobOwner, "place_moved_task", _place_without_hold)
    assert outcome() != MoveOutcome.DONE


def _place_without_hold(self: JobOwner, job: Any, rest: Any, zones: Any) -> list[Any]:
    """As `place_moved_task`, for a room that was not kept."""
    under_way = self._reservations.as_job_owner.get(job.id)
    if under_way is None or any(
        attempt.attempt_number == under_way.order.attempt for attempt in rest.attempts
    ):
        return []
    room = self._capacity_index.machines.get(under_way.order.destination)
    if room is None or not room.fits(job.spec):
        self._end(under_way.order, MoveOutcome.DESTINATION_UNAVAILABLE)
        return []
    room.reserve(job.spec)
    return [PlacedTasks(room, 1)]


def fewest_up(rebalancing: Rebalancing) -> int:
    """The fewest replicas of any service that were on machines while moves went on."""
    world = crowded(5, rebalancing)
    fewest = 99

    def look() -> None:
        nonlocal fewest
        for job, spec in world.judge.jobs.items():
            up = sum(bool(world.judge.on.get(f"{job}/{n}")) for n in range(spec["crates"]))
            fewest = min(fewest, up)
        world.clock.after(0.02, look)

    world.clock.at(MOVES_FROM_S, look)
    world.clock.run(90.0)
    assert outcomes(world)[MoveOutcome.DONE] >= 9
    return fewest


def test_a_service_keeps_its_replicas_up_less_a_stated_number(monkeypatch: Patch) -> None:
    eager = {"in_flight": 12, "cooldown_s": 0.1, "every_s": 0.5}
    assert fewest_up(rules(moves=eager)) == 1
    monkeypatch.setattr(JobOwner, "_refusal_by_replicas", lambda self, job: None)
    monkeypatch.setattr(Moves, "is_cooling_down", lambda self, job_id: False)
    assert fewest_up(rules(moves=eager)) == 0


def test_a_new_view_drops_the_plans_of_the_old() -> None:
    world, _ = play(6, job_owner_ends)
    engine = world.nodes["n0"].engine
    assert all(node.engine.moves.reservations.as_job_owner == {} for node in world.nodes.values())
    assert all(node.engine.capacity_index.move_reservations == {} for node in world.nodes.values())
    order = MoveOrder("n0", 1, engine.membership.term - 1, "job-000001", 0, 1, "a", "b", 0.0)
    for message in (MoveRequested(order), MoveReserved(order)):
        engine.moves.on_peer_message(message)
        assert (
            not engine.moves.reservations.as_job_owner
            and not engine.moves.reservations.as_destination_owner
        )


def test_two_controllers_choose_the_same_destination() -> None:
    """The second one is refused: the room is promised, though nothing is recorded yet."""
    world = crowded(7, rules(moves={"enabled": False}))
    world.clock.run(40.0)
    view = world.view()
    assert view is not None
    destination = next(name for name, load in loads(world).items() if load == 0.0)
    engine = world.nodes[view.owner_of(destination)].engine
    orders = []
    for number, (job, record) in enumerate(sorted(engine.replica.jobs.items())[:2]):
        attempt = record.attempts[0]
        task = min(attempt.tasks)
        source, term = attempt.machine, engine.membership.term
        orders.append(
            MoveOrder(
                "n9", number, term, job, task, attempt.attempt_number, source, destination, 0.0
            )
        )
    assert engine.moves.destination_owner.refusal(orders[0]) is None
    engine.moves.on_peer_message(MoveRequested(orders[0]))
    assert engine.moves.destination_owner.refusal(orders[1]) is MoveOutcome.MOVE_IN_PROGRESS
    engine.moves.reservations.as_destination_owner.clear()
    engine.capacity_index.release_move(destination, orders[0].job)
    engine.moves.reservations.as_job_owner.clear()
    stale = MoveOrder(**{**_fields(orders[1]), "term": orders[1].term - 1})
    assert engine.moves.destination_owner.refusal(stale) is MoveOutcome.STALE_VIEW
    fuller = MoveOrder(**{**_fields(orders[1]), "load": -0.5})
    assert engine.moves.destination_owner.refusal(fuller) is MoveOutcome.LOAD_TOO_HIGH


def test_room_that_a_step_of_the_job_s_owner_takes_is_not_moved_to() -> None:
    """The destination's owner does not know yet of a step that is being written."""
    world = crowded(7, rules(moves={"enabled": False}))
    world.clock.run(40.0)
    view = world.view()
    assert view is not None
    name, record = sorted(world.nodes[view.leader].engine.replica.jobs.items())[0]
    engine = world.nodes[owner(world, name)].engine
    attempt, term = record.attempts[0], engine.membership.term
    destination = next(machine for machine, load in loads(world).items() if load == 0.0)
    order = MoveOrder(
        "n9",
        1,
        term,
        name,
        min(attempt.tasks),
        attempt.attempt_number,
        attempt.machine,
        destination,
        0.0,
    )
    assert engine.moves.job_owner.refusal(order) is None
    others = [StepReservation(destination, record.spec, 4)]
    engine.capacity_index.reserve_step("job-000099", others)
    assert engine.moves.job_owner.refusal(order) is MoveOutcome.NO_CAPACITY
    engine.moves.on_peer_message(MoveReserved(order))
    assert not engine.moves.reservations.as_job_owner and not engine.stop_requests.pending


def _fields(order: MoveOrder) -> dict[str, Any]:
    return {name: getattr(order, name) for name in order.__struct_fields__}


# --- operators ---------------------------------------------------------------
def test_moves_can_be_paused_resumed_and_played_dry() -> None:
    world = crowded(8, rules())
    world.clock.at(10.0, lambda: set_options(world, moves_paused=1))
    world.clock.run(45.0)
    assert outcomes(world) == {} and imbalance(world) == 4.0
    set_options(world, moves_paused=0, moves_dry_run=1)
    world.clock.run(55.0)
    assert outcomes(world).keys() == {"dry run"} and imbalance(world) == 4.0
    set_options(world, moves_dry_run=0)
    world.clock.run(110.0)
    assert outcomes(world)[MoveOutcome.DONE] > 0 and imbalance(world) <= 1.5


def test_nothing_is_stored_for_moves() -> None:
    """Only records that earlier versions know: nothing to read for a version without moves."""
    world, _ = play(9)
    kinds = {
        key.removeprefix("ad/").removeprefix("live/").partition("/")[0] for key in world.state.rows
    }
    assert outcomes(world)[MoveOutcome.DONE] > 0
    assert kinds <= {"jobs", "teams", "members", "view", "catalogue", "settings", "format", "final"}
    assert any(key.startswith(JOBS_PREFIX) for key in world.state.rows)
