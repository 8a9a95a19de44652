"""Jobs that need others: the whole cluster, judged by the plain model of the rules."""

from __future__ import annotations

from typing import Any

import pytest

from appledock import wire
from appledock.core.api.status_polls import StatusPolls
from appledock.core.commands import StoreReply, SubmitJob, Tick
from appledock.core.effects import Effect, Response
from appledock.core.records.dependencies import DependencyGraph
from appledock.core.records.job import Attempt, Job
from appledock.core.store.keys import FINAL_PREFIX, FORMAT_KEY, JOBS_PREFIX
from appledock.core.store.replica import Replica
from appledock.core.store_calls import GetKey, NotExecuted, Transaction, UnknownOutcome
from tests.standins.chains import (
    DEEP,
    DIAMONDS,
    WIDE,
    Stages,
    ask_at,
    cancel_at,
    day,
    note_taken_back,
    pipeline,
    submit_at,
)
from tests.standins.chains import spec as spec_of
from tests.standins.deployment import CANCEL_S
from tests.standins.world import World
from tests.test_requests import calls, engine, spec


def verdict(world: World) -> list[str]:
    return (
        world.judge.broken
        + world.judge.day_end(world.judge.peace)
        + [f"unfinished: {job}" for job in world.unfinished()]
    )


@pytest.mark.parametrize(
    ("seed", "faults"),
    [
        (1, ()),
        (2, ("crash", "late_writes")),
        (3, ("outage", "shut_out", "crash_all")),
        (4, ("alone", "cut", "die")),
        (5, ("isolate", "peers", "hang", "freeze")),
    ],
)
def test_chains_keep_the_rules(seed: int, faults: tuple[str, ...]) -> None:
    world = day(seed, *faults)
    assert verdict(world) == []
    chained = {
        job: state
        for job, (state, _) in world.judge.final.items()
        if world.judge.jobs[job].get("tethers")
    }
    assert sum(state == "done" for state in chained.values()) > 12
    assert (
        sum(
            state == "withdrawn" and job not in world.judge.asked_cancel
            for job, state in chained.items()
        )
        > 0
    )


def test_tasks_that_do_not_wait_are_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    check = DependencyGraph._update_state

    def ready(self: DependencyGraph, job_id: str) -> None:
        check(self, job_id)
        self.waiting_jobs.clear()

    monkeypatch.setattr(DependencyGraph, "_update_state", ready)
    assert "too_early" in day(1).judge.kinds()


def test_a_cascade_that_stops_is_noticed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(DependencyGraph, "_is_cancelled", lambda self, need: False)
    assert "orphaned" in day(1, until=60.0).judge.kinds()


def lagging(seed: int = 3) -> World:
    """A controller's watch stands still while a job is cancelled through another one, and
    users ask it about the jobs behind, after they were told elsewhere."""
    world = World(seed)
    world.clock.run(8.0)
    names = pipeline(world, 1, stages=[("first", []), ("join", [0]), ("join", [1]), ("last", [2])])
    world.clock.run(12.0)
    assert all(name in world.judge.accepted for name in names)
    world.judge.jobs[names[0]]["run_s"] = 300.0
    node = world.names[2]
    world.state.silent[node] = world.clock.now + 6.0
    world.clock.cut({node}, set(world.names) - {node}, 6.0, False)
    world.judge.asked_cancel.add(names[0])
    world._ask(names[0], "POST", f"/v2/runs/{names[0]}/cancel", b"", (200,), None, world.names[0])
    for step in range(20):
        for name in names[1:]:
            asked = world.names[0] if step < 4 else node
            world.clock.after(
                0.3 + step / 5,
                lambda name=name, asked=asked: world._ask(
                    name, "GET", f"/v2/runs/{name}", b"", (), None, asked
                ),
            )
    world.clock.run(60.0)
    return world


def test_answers_of_a_controller_that_lags_take_no_cancellation_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = lagging()
    assert world.judge.broken == []
    assert {world.judge.final[job][0] for job in world.judge.accepted} == {"withdrawn"}
    # Answered once its own record is proven, whatever the picture has of the others.
    monkeypatch.setattr(
        StatusPolls,
        "answer_at_revision",
        lambda self, request, revision: self.answer(request, is_absence_confirmed=False),
    )
    assert "went_back" in lagging().judge.kinds()


# --- deep, wide and diamond chains ---------------------------------------------
def cancelled_at_the_root(
    seed: int, stages: Stages, ends: bool = False
) -> tuple[World, list[str], list[str]]:
    """The root of a pipeline is cancelled through one controller in an outage, and users
    ask the others about all jobs behind it from then on; one of them lags. `ends`: the
    one that told the user is killed at that moment."""
    world = World(seed)
    taken_back = note_taken_back(world)
    clock, (first, second, third) = world.clock, world.names
    clock.run(8.0)
    names = pipeline(world, 1, stages=stages)
    world.judge.jobs[names[0]]["run_s"] = 300.0
    while not all(name in world.judge.accepted for name in names):
        clock.run(clock.now + 1.0)
    world.state.outage(5.0)
    world.state.silent[third] = clock.now + 9.0
    clock.cut({third}, {first, second}, 9.0, False)
    clock.after(0.5, lambda: cancel_at(world, names[0], first))
    for step in range(48):
        for name in clock.rng.sample(names[1:], 6):
            node = (second, third)[step % 2]
            clock.after(0.6 + step / 5, lambda name=name, node=node: ask_at(world, name, node))
    if ends:
        while names[0] not in world.judge.final:
            clock.run(clock.now + 0.01)
        world.nodes[first].crash(8.0)
    clock.run(clock.now + 7.0 + CANCEL_S)
    return world, names, taken_back


@pytest.mark.parametrize("ends", [False, True], ids=["", "who told it is killed"])
@pytest.mark.parametrize(
    "stages", [DEEP, WIDE, DIAMONDS], ids=["30 deep", "60 wide", "six diamonds"]
)
def test_a_root_cancelled_in_an_outage_cancels_the_whole_chain(stages: Stages, ends: bool) -> None:
    world, names, taken_back = cancelled_at_the_root(1, stages, ends)
    assert world.judge.broken == [] and taken_back == []
    assert {world.judge.final[name][0] for name in names} == {"withdrawn"}
    assert same_for_ever(world)


def same_for_ever(world: World) -> bool:
    """All controllers say the same of all jobs, also after they have started again; the
    judge sees an answer that differs from an earlier one."""
    world.ask_all()
    world.clock.run(world.clock.now + 3.0)
    before = dict(world.judge.final)
    for node in world.nodes.values():
        node.crash(0.5 + world.clock.rng.random())
    world.clock.run(world.clock.now + 8.0)
    world.judge.heard.clear()
    for _ in range(4):
        world.ask_all()
        world.clock.run(world.clock.now + 2.5)
    return (
        world.judge.broken == []
        and world.judge.final == before
        and set(world.judge.heard) == set(world.judge.accepted) == set(before)
    )


def test_answers_from_a_picture_that_lags_are_noticed_in_a_deep_chain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        StatusPolls,
        "answer_at_revision",
        lambda self, request, revision: self.answer(request, is_absence_confirmed=False),
    )
    assert cancelled_at_the_root(1, DEEP)[2] != []


def done_in_order(stages: Stages) -> tuple[World, list[str]]:
    """A pipeline with an outage in it, until all of it is over."""
    world = World(2)
    world.clock.run(8.0)
    names = pipeline(world, 1, stages=stages)
    world.clock.run(20.0)
    world.state.outage(6.0)
    while world.clock.now < 300 and not all(name in world.judge.final for name in names):
        world.clock.run(world.clock.now + 2.0)
    return world, names


@pytest.mark.parametrize("stages", [DEEP, WIDE, DIAMONDS], ids=["deep", "wide", "diamonds"])
def test_a_whole_chain_gets_done_in_its_order(stages: Stages) -> None:
    world, names = done_in_order(stages)
    assert world.judge.broken == []
    assert {world.judge.final[name][0] for name in names} == {"done"}


@pytest.mark.parametrize("stages", [DEEP, DIAMONDS], ids=["deep", "diamonds"])
def test_a_chain_that_does_not_wait_or_not_end_is_noticed(
    stages: Stages, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as changed:
        changed.setattr(DependencyGraph, "_is_cancelled", lambda self, need: False)
        assert "orphaned" in cancelled_at_the_root(1, stages)[0].judge.kinds()
    check = DependencyGraph._update_state

    def ready(self: DependencyGraph, job_id: str) -> None:
        check(self, job_id)
        self.waiting_jobs.clear()

    monkeypatch.setattr(DependencyGraph, "_update_state", ready)
    assert "too_early" in done_in_order(stages)[0].judge.kinds()


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize("end", ["cancelled", "done", "both at once"])
def test_dependents_submitted_as_their_need_ends_share_its_end(end: str, seed: int) -> None:
    """Through all controllers, from a little before to a little after: done or cancelled,
    as their need, for ever, whoever was told what first."""
    world = World(seed)
    clock, rng = world.clock, world.clock.rng
    taken_back = note_taken_back(world)
    clock.run(8.0)
    need = {**spec_of(world, "job-000500", "first", [], False), "crates": 1}
    need["run_s"] = 300.0 if end == "cancelled" else 6.0
    world.submit(need)
    moment: list[float] = []

    def now(_: str = "") -> None:
        if moment:
            return
        moment.append(clock.now)
        if end != "done":
            clock.after(0.3 * rng.random(), lambda: cancel_at(world, need["id"], world.names[0]))
        for number in range(12):
            one = spec_of(world, f"job-00060{number:02d}", "join", [need["id"]], True)
            if number % 3 == 2:  # behind another one that comes at the same time
                one["tethers"] = [f"job-00060{number - 1:02d}"]
            node = world.names[number % 3]
            clock.after(0.6 * rng.random(), lambda one=one, node=node: submit_at(world, one, node))

    world.judge.when_complete = now
    if end == "cancelled":
        clock.at(16.0, now)
    clock.run(75.0)
    assert moment and world.judge.broken == [] and taken_back == []
    ends = {world.judge.final[job][0] for job in world.judge.accepted}
    assert len(world.judge.accepted) == 13 and len(ends) == 1
    assert end == "both at once" or ends == {{"cancelled": "withdrawn", "done": "done"}[end]}
    assert same_for_ever(world)


def test_a_cancelled_job_cancels_all_behind_it_at_any_distance_and_width() -> None:
    world = World(5)
    world.clock.run(8.0)
    stages: list[tuple[str, list[int]]] = [("first", [])]
    stages += [("wide", [0])] * 12 + [("join", [number]) for number in range(1, 13)]
    stages += [("join", [12 + number]) for number in range(1, 13)] + [("last", [25, 30])]
    names = pipeline(world, 1, cancel=0, cancel_after=1.0, stages=stages)
    world.judge.jobs.get(names[0], {})["run_s"] = 300.0
    world.clock.run(8.0 + CANCEL_S)
    assert [name for name in names if world.judge.final.get(name, ("",))[0] != "withdrawn"] == []
    # One that names a cancelled job is accepted all the same, and cancelled.
    late = {**world.judge.jobs[names[1]], "id": "job-000777", "tethers": [names[0], names[30]]}
    world.submit(late)
    world.clock.run(60.0)
    assert world.judge.final["job-000777"][0] == "withdrawn"
    assert world.judge.broken == []
    assert not any(key.startswith(JOBS_PREFIX) for key in world.state.rows)


def test_a_cancellation_answered_with_done_lets_the_rest_go_on() -> None:
    world = World(6)
    names = pipeline(world, 1, stages=[("first", []), ("last", [0])])
    world.clock.run(8.0)
    while names[0] not in world.judge.final:
        world.clock.run(world.clock.now + 0.5)
    world.cancel(names[0])
    world.clock.run(60.0)
    assert [world.judge.final[name][0] for name in names] == ["done", "done"]
    assert world.judge.broken == []


# --- submissions ------------------------------------------------------------
def ready_engine() -> Any:
    e = engine()
    e.replica.put(FORMAT_KEY, {"format": 2}, 1)
    return e


def replies(effects: list[Effect]) -> list[Response]:
    return [x for x in effects if isinstance(x, Response)]


@pytest.mark.parametrize(
    "needs",
    [
        "job-1",
        ["job-x"],
        [5],
        [None],
        {"job-1": 1},
        ["job-000001"],
        [""],
        7,
        True,
        ["job-1\n"],
    ],
)
def test_malformed_needs_are_refused(needs: object) -> None:
    from appledock.adapters import http_requests

    with pytest.raises(http_requests.Refused) as refused:
        spec(tethers=needs)
    assert refused.value.status == 400


def test_absent_null_and_empty_mean_none_and_a_name_counts_once() -> None:
    assert spec().needs is spec(tethers=None).needs is spec(tethers=[]).needs is None
    assert spec(tethers=["job-7", "job-8", "job-7"]).needs == ["job-7", "job-8"]


def test_a_job_never_accepted_gets_422_only_from_reads_that_succeeded() -> None:
    e = ready_engine()
    effects = e.handle([SubmitJob(1, spec(tethers=["job-7"]))], 100.0, 0.0)
    (read,) = calls(effects, GetKey)
    assert read.request == GetKey(JOBS_PREFIX + "job-7")
    effects = e.handle([StoreReply(read.call_id, wire.Missing(5))], 100.0, 0.0)
    (read,) = calls(effects, GetKey)
    assert read.request == GetKey(FINAL_PREFIX + "job-7")
    effects = e.handle([StoreReply(read.call_id, wire.Missing(5))], 100.0, 0.0)
    assert not replies(effects)  # it may have been accepted itself, long ago
    effects = e.handle([Tick()], 100.2, 0.0)
    proof = next(x for x in calls(effects, Transaction) if not x.request.writes)
    effects = e.handle([StoreReply(proof.call_id, wire.Committed(6))], 100.3, 0.0)
    assert [reply.status for reply in replies(effects)] == [422]


def test_a_job_that_was_over_before_its_creation_was_answered_is_not_called_pending() -> None:
    """Its owner saw it in the watch and ended it with its need; so did this controller."""
    e = ready_engine()
    e.replica.add_final_state("job-7", wire.CANCELLED)
    (create,) = calls(e.handle([SubmitJob(1, spec(tethers=["job-7"]))], 100.0, 0.0), Transaction)
    (write,) = create.request.writes
    e.replica.put(write.key, write.value, 5)
    e.replica.drop(write.key, 6)
    effects = e.handle([StoreReply(create.call_id, wire.Committed(5))], 100.2, 0.0)
    assert replies(effects) == []
    (read,) = calls(effects, GetKey)
    effects = e.handle([StoreReply(read.call_id, wire.Missing(7))], 100.2, 0.0)
    (read,) = calls(effects, GetKey)
    assert read.request == GetKey(FINAL_PREFIX + "job-000001")
    row = wire.Row(read.request.key, {"state": wire.CANCELLED}, 6)
    (reply,) = replies(e.handle([StoreReply(read.call_id, row)], 100.3, 0.0))
    assert (reply.status, reply.body.state) == (200, wire.CANCELLED)


@pytest.mark.parametrize("outcome", [NotExecuted(), UnknownOutcome()], ids=["refused", "unknown"])
def test_needs_that_cannot_be_read_give_503_and_a_time_to_come_back(
    outcome: NotExecuted | UnknownOutcome,
) -> None:
    e = ready_engine()
    effects = e.handle([SubmitJob(1, spec(tethers=["job-7"]))], 100.0, 0.0)
    effects = e.handle([StoreReply(calls(effects, GetKey)[0].call_id, outcome)], 100.0, 0.0)
    (reply,) = replies(effects)
    assert reply.status == 503 and reply.headers == {"Retry-After": "1"}


def test_before_all_nodes_know_dependencies_nothing_is_asked_of_the_old_ones() -> None:
    e = engine()
    (reply,) = replies(e.handle([SubmitJob(1, spec(tethers=["job-7"]))], 100.0, 0.0))
    assert reply.status == 503 and reply.headers == {"Retry-After": "1"}


def test_more_needs_than_a_record_holds_are_refused() -> None:
    e = ready_engine()
    needs = [f"job-{number:09d}" for number in range(900)]
    e.handle([SubmitJob(1, spec(tethers=needs))], 100.0, 0.0)
    effects = e.handle([Tick()], 100.2, 0.0)
    proof = next(x for x in calls(effects, Transaction) if not x.request.writes)
    effects = e.handle([StoreReply(proof.call_id, wire.Committed(6))], 100.3, 0.0)
    assert [(reply.status, reply.body) for reply in replies(effects)] == [
        (400, {"error": "needs: more than the record can hold"})
    ]


def test_a_long_way_back_to_a_job_done_before_this_controller_started() -> None:
    """It is read; until then the job behind it is neither placed nor answered for."""
    e = ready_engine()
    e.replica.set_job(Job(spec(id="job-2", tethers=["job-1"]), 0.0, 3))
    assert "job-2" not in e.replica.queued_jobs and e.replica.dependencies.has_unknown_outcome(
        "job-2"
    )
    effects = e.handle([Tick()], 100.1, 0.0)
    read = next(x for x in calls(effects, GetKey) if x.request.key.startswith(JOBS_PREFIX))
    effects = e.handle([StoreReply(read.call_id, wire.Missing(9))], 100.2, 0.0)
    read = next(x for x in calls(effects, GetKey) if x.request == GetKey(FINAL_PREFIX + "job-1"))
    e.handle(
        [StoreReply(read.call_id, wire.Row(FINAL_PREFIX + "job-1", {"state": "done"}, 2))],
        100.3,
        7.0,
    )
    assert "job-2" in e.replica.queued_jobs
    assert e.queue_order.waiting_since(e.replica.jobs["job-2"]) == 7.0  # not its submission


def test_what_a_job_waits_for_is_shown() -> None:
    e = ready_engine()
    replica: Replica = e.replica
    replica.set_job(Job(spec(id="job-1"), 0.0, 2))
    replica.set_job(Job(spec(id="job-2", tethers=["job-1"]), 0.0, 3))
    first, second = e.job_reader.read_all()
    assert (first["needed_by"], second["needs_left"]) == (["job-2"], ["job-1"])
    assert second["waits_for"] == "jobs that it needs"


def test_a_job_that_others_need_is_spared_as_they_are_and_stops_nobody_for_their_sake() -> None:
    e = ready_engine()
    room = type("Place", (), {"name": "vm-1", "agent_epoch": 1})()
    e.workers.worker_table.get_or_create("vm-1")
    running = [Attempt("vm-1", 1, 1, 1, False, {0})]
    e.replica.set_job(
        Job(spec(id="job-1", rank="best_effort", sail_s=None), 0.0, 2, attempts=running)
    )
    standard = Job(spec(id="job-5", rank="standard"), 0.0, 3)
    assert [victim.job.id for victim in e.preemption.preemptible_tasks(standard, room)] == ["job-1"]
    e.replica.set_job(Job(spec(id="job-2", rank="urgent", tethers=["job-1"]), 0.0, 4))
    assert e.replica.dependencies.inherited_rank(e.replica.jobs["job-1"]) == wire.RANKS["urgent"]
    assert e.preemption.preemptible_tasks(standard, room) == []
    # Nor does its inherited rank stop others: that of `standard` is lower than urgent.
    e.replica.set_job(
        Job(
            spec(id="job-6", rank="standard"),
            0.0,
            5,
            attempts=[Attempt("vm-2", 1, 1, 1, False, {0})],
        )
    )
    e.workers.worker_table.get_or_create("vm-2")
    other = type("Place", (), {"name": "vm-2", "agent_epoch": 1})()
    assert e.preemption.preemptible_tasks(e.replica.jobs["job-1"], other) == []
