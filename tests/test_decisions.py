"""Placement, quota, preemption, budget: against plain references and on small cases."""

from __future__ import annotations

import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from appledock import constants as c
from appledock import wire
from appledock.core.fleet import MachineKind
from appledock.core.fleet.model import BootingMachine
from appledock.core.jobs.reconcile_queue import PendingReason
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.messages import ControllerHeartbeat
from appledock.core.quota.admission import QueuedDemand, admit_queue
from appledock.core.quota.resources import Resources
from appledock.core.records.job import Attempt, HandoffTarget, Job, decode_job
from appledock.core.records.membership_view import View
from appledock.core.scheduling import placement
from appledock.core.scheduling.objectives import ServiceLevelObjectives
from appledock.core.scheduling.placement import Sampling
from appledock.core.scheduling.victim_selection import Victim, select_victims
from appledock.core.store.keys import JOBS_PREFIX, TEAMS_PREFIX
from appledock.core.store.rate_limiter import Priority, QueuedCall, StoreRateLimiter, TokenBucket
from appledock.core.store.replica import Replica
from appledock.core.store_calls import Put, Transaction
from appledock.settings import Objective
from tests.test_grown import owner_of_nothing
from tests.test_requests import engine, spec

KIND = wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"], fetch_gb_per_s=0.5)
BIG = wire.MachineType("h8", 8, 16, 0.3, 0.2, 5, ["a"], fetch_gb_per_s=0.5)


def room(
    name: str,
    cpus: float,
    zone: str = "a",
    spot: bool = False,
    memory: float = 16,
    images: frozenset[str] = frozenset(),
) -> MachineCapacity:
    return MachineCapacity(name, KIND, zone, spot, 1, cpus, 0, memory, images)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.sampled_from("ab"), st.booleans(), st.integers(0, 8)),
        max_size=6,
    ),
    st.integers(1, 12),
    st.integers(1, 3),
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.sampled_from([None, "a", "b"]),
    st.integers(1, 20),
)
def test_placement_keeps_every_limit(
    rows: list[tuple[int, str, bool, int]],
    tasks: int,
    size: int,
    together: bool,
    scatter: bool,
    spot: bool,
    whole: bool,
    zone: str | None,
    sample: int,
) -> None:
    job = spec(
        crates=tasks,
        cores=float(size),
        memory_gb=2.0,
        together=together,
        scatter=scatter,
        standby=spot,
        quay=zone,
    )
    rooms = [room(f"m{i}", cpus, z, s, mem) for i, (cpus, z, s, mem) in enumerate(rows)]
    before = {r.name: (r.cpus, r.memory_gb) for r in rooms}
    fits = {
        r.name: r.free_slots(job) if (spot or not r.spot) and zone in (None, r.zone) else 0
        for r in rooms
    }
    placed = placement.place(job, tasks, rooms, Sampling(random.Random(1), sample), {}, whole)
    count = {r.name: n for r, n in placed}
    zones: dict[str, int] = {}
    for r, n in placed:
        assert 0 < n <= fits[r.name]
        zones[r.zone] = zones.get(r.zone, 0) + n
    total = sum(count.values())
    assert total <= tasks
    assert not together or len(zones) <= 1
    assert not scatter or max(zones.values(), default=0) <= (tasks + 1) // 2
    assert not whole or total in (0, tasks)
    for r in rooms:
        taken = count.get(r.name, 0)
        assert r.cpus == before[r.name][0] - size * taken
        assert r.memory_gb == before[r.name][1] - 2 * taken
    if not whole:  # the plain reference: how many fit at most
        cap = (tasks + 1) // 2 if scatter else tasks
        by_zone = [min(cap, sum(fits[r.name] for r in rooms if r.zone == z)) for z in "ab"]
        best = max(by_zone) if together else sum(by_zone)
        assert total == min(tasks, best)


@settings(derandomize=True, max_examples=300)
@given(
    st.integers(0, 30),
    st.lists(st.integers(0, 8), min_size=3, max_size=3),
    st.lists(st.integers(0, 8), min_size=3, max_size=3),
    st.lists(st.tuples(st.integers(0, 2), st.integers(1, 6)), max_size=5),
)
def test_a_teams_limit_against_dealing_one_by_one(
    spare: int, used: list[int], unused: list[int], queue: list[tuple[int, int]]
) -> None:
    """The walk decides a whole queue; the reference deals single cores in turn."""
    nodes = ["n0", "n1", "n2"]
    shares = {n: Resources(u + f) for n, u, f in zip(nodes, used, unused, strict=True)}
    held = {n: Resources(u) for n, u in zip(nodes, used, strict=True)}
    most = Resources(sum(used) + sum(unused) + spare)
    rows = [
        QueuedDemand(f"job-{i}", nodes[n], Resources(wish)) for i, (n, wish) in enumerate(queue)
    ]
    admission = admit_queue(most, shares, held, "n0", rows)
    allowed, release = admission.admitted, admission.releasable
    pool, free, lent, plain = spare, dict(zip(nodes, unused, strict=True)), 0, {}
    for job, owner, demand in rows:
        for _ in range(int(demand.cpus)):
            if free[owner]:
                free[owner] -= 1
            elif pool:
                pool -= 1
            elif owner != "n0" and free["n0"]:
                free["n0"] -= 1
                lent += 1
                continue
            else:
                continue
            if owner == "n0":
                plain[job] = plain.get(job, 0) + 1
    assert {job: amount.cpus for job, amount in allowed.items() if amount.cpus} == plain
    assert release.cpus == lent
    assert sum(plain.values()) <= unused[0] + spare


def test_image_at_hand_beats_a_tight_fit() -> None:
    job = spec(cores=1.0)
    rooms = [room("tight", 1), room("warm", 4, images=frozenset({"img"}))]
    assert placement.sample_best_fit(job, rooms, random.Random(1)).name == "warm"  # type: ignore[union-attr]
    assert (
        placement.sample_best_fit(job, [room("loose", 4), room("tight", 1)], random.Random(1)).name
        == "tight"
    )  # type: ignore[union-attr]


def test_victims_are_the_cheapest_that_suffice() -> None:
    job = spec(rank="production", cores=3.0)
    small = Job(spec(id="job-2", cores=2.0), 0)
    victims = [
        Victim(small, 0, 9.0),
        Victim(small, 1, 1.0),
        Victim(small, 2, 5.0),
    ]
    chosen = select_victims(job, room("m", 1), victims)
    assert [v.task for v in chosen or ()] == [1]
    chosen = select_victims(job, room("m", 0), victims)
    assert [v.task for v in chosen or ()] == [1, 2]
    assert select_victims(job, room("m", 0, memory=0.0), victims[:1]) is None
    chosen = select_victims(job, room("m", 4), victims, Resources(3.0))
    assert len(chosen or ()) == 2


def rate_limiter() -> StoreRateLimiter:
    return StoreRateLimiter(TokenBucket(10.0, 10.0), TokenBucket(4.0, 4.0), 4.0, 16.0)


def call(priority: Priority, writes: int, expires: float = 99.0) -> QueuedCall:
    return QueuedCall(Transaction(), priority, writes, 1.0, lambda reply: None, expires)


def test_rate_limiter_serves_by_priority_and_lets_reads_pass() -> None:
    b = rate_limiter()
    calls = [
        call(Priority.PROGRESS, 2),
        call(Priority.STEP, 3),
        call(Priority.USER, 2),
        call(Priority.STEP, 0),
        call(Priority.LEASE, 0),
    ]
    for each in calls:
        b.add(each)
    sent, _ = b.take_due(0.0)
    assert [calls.index(x) for x in sent] == [4, 2, 3]
    sent, _ = b.take_due(0.5)
    assert [calls.index(x) for x in sent] == [1]
    assert b.count_queued_up_to(Priority.STEP) == 0 and b.count_queued() == 1


def test_rate_limiter_tries_for_more_and_gives_way() -> None:
    b = rate_limiter()
    for _ in range(300):
        b.add(call(Priority.STEP, 2))
    for step in range(1, 100):
        b.take_due(step / 10)
    assert b.writes.rate == 16.0
    b.on_rate_limited()
    assert b.writes.rate == pytest.approx(16 * c.WRITE_RATE_DECREASE_FACTOR)
    for _ in range(9):
        b.on_rate_limited()
    assert b.writes.rate == 4.0


def test_rate_limiter_leaves_the_others_what_they_use_and_users_wait_for_nobody() -> None:
    b = rate_limiter()
    for _ in range(300):
        b.add(call(Priority.STEP, 2))
    for step in range(1, 100):
        b.take_due(step / 10)
    assert b.recent_write_rate == pytest.approx(16.0, rel=0.2)
    b.on_peer_write_rate(9.0, 20.0)
    assert b.writes.rate == b.max_write_rate == 11.0
    b.on_peer_write_rate(19.0, 20.0)
    assert b.writes.rate == b.guaranteed_write_rate
    b.take_due(10.0)
    user = call(Priority.USER, 1)
    b.add(user)
    assert b.take_due(10.0)[0] == [user]


def test_results_are_recorded_however_many_services_come() -> None:
    """Strict priorities starved the lists of finished tasks for 40 s."""
    b = rate_limiter()
    b.max_write_rate, b.writes.level = 4.0, 0.0
    late = call(Priority.PROGRESS, 1)
    for waiting in [late, *(call(Priority.URGENT, 1) for _ in range(6))]:
        b.add(waiting)
    sent: list[QueuedCall] = []
    for step in range(1, 40):  # five urgent writes a second where four can go
        urgent = call(Priority.URGENT, 1)
        urgent.queued_at = step / 5
        b.add(urgent)
        sent += b.take_due(step / 5)[0]
    assert 6 <= sent.index(late) < 20  # services have a head start, and no more


def test_tasks_that_are_over_are_no_victims() -> None:
    """Room was made of tasks that had ended already, again and again."""
    e = engine()
    e.replica.put("ad/live/view", {"term": 1, "members": {"n0": "x"}, "leader": "n0"}, 1)
    job = Job(spec(crates=2), 0, 5)
    job.attempts.append(Attempt("vm-1", 1, 1, 1, False, {0, 1}))
    e.replica.set_job(job)
    tasks = [
        wire.TaskReport(f"{job.id}/0", 1, wire.EXITED, wire.DONE),
        wire.TaskReport(f"{job.id}/1", 1, wire.RUNNING),
    ]
    e.workers.ingest_heartbeat(wire.Report("vm-1", "10.0.0.9:9", "h4", "a", 1, 1, 1, tasks=tasks))
    high = Job(spec(id="job-9", rank="production"), 0)
    found = e.preemption.preemptible_tasks(high, room("vm-1", 0))
    assert [victim.task for victim in found] == [1]


def test_full_queue_refuses_what_the_engine_asks_for_and_takes_what_users_do() -> None:
    """Hundreds of waiting steps turned users away, whose number is bounded elsewhere."""
    b = rate_limiter()
    most = int(max(c.CALL_QUEUE_LIMIT_MIN, c.CALL_QUEUE_LIMIT_S * b.requests.rate))
    assert all(b.add(call(Priority.STEP, 1)) for _ in range(most))
    for priority in (Priority.URGENT, Priority.FINAL, Priority.STEP, Priority.PROGRESS):
        assert not b.add(call(priority, 1))
    for priority in (Priority.LEASE, Priority.VIEW, Priority.USER):
        assert b.add(call(priority, 0))
    assert len(b.take_due(100.0)[1]) == most + 3  # what waited too long is given up


def test_records_survive_the_state_service() -> None:
    job = Job(
        spec(crates=9, hulls=["h4"]),
        5.0,
        3,
        4,
        cancelled=True,
        handoff_target=HandoffTarget("n1", "x"),
    )
    job.completed_tasks.add(0)
    job.attempts.append(Attempt("vm-1", 2, 4, 7, True, {1, 2, 5}))
    again = decode_job(msgspec.json.decode(wire.encode(job.encode())), 3)
    assert again.encode() == job.encode()
    assert (
        again.first_queued_tasks(9) == [3, 4, 6, 7, 8] and again.queued_task_count == 0
    )  # cancelled


def test_malformed_records_are_logged_and_left_out() -> None:
    replica = Replica()
    replica.put(JOBS_PREFIX + "job-1", {"spec": 5}, 3)
    replica.put(TEAMS_PREFIX + "red", [], 3)
    assert not replica.jobs and not replica.allocation_of("red").shares


def test_old_news_never_replace_newer() -> None:
    replica = Replica()
    job = Job(spec(), 0, 5)
    replica.set_job(job)
    replica.put(JOBS_PREFIX + job.id, Job(spec(crates=9), 0).encode(), 4)
    assert replica.jobs[job.id].spec.tasks == 2
    replica.drop(JOBS_PREFIX + job.id, 8)
    replica.put(JOBS_PREFIX + job.id, job.encode(), 7)
    assert not replica.jobs


@settings(derandomize=True, max_examples=50)
@given(st.sets(st.text("xyz", min_size=1, max_size=4), min_size=2, max_size=5))
def test_losing_a_member_moves_only_what_it_owned(nodes: set[str]) -> None:
    before = View(1, dict.fromkeys(nodes, "i"), "x")
    lost = min(nodes)
    after = View(2, {n: "i" for n in nodes if n != lost}, "x")
    for number in range(40):
        name = f"vm-{number}"
        if before.owner_of(name) != lost:
            assert after.owner_of(name) == before.owner_of(name)


def test_jobs_that_can_meet_their_deadline_go_first() -> None:
    e = engine()
    e.runtime.wall_time = 100.0
    hopeful = Job(spec(id="job-1", crates=9, sail_s=60.0, eta_s=30.0), 80.0)
    quick = Job(spec(id="job-2", crates=1, sail_s=60.0, eta_s=30.0), 80.0)
    late = Job(spec(id="job-3", crates=1, sail_s=20.0, eta_s=30.0), 50.0)
    service = Job(spec(id="job-4", shape="daemon", rank="production", crates=1), 99.0)
    order = sorted([late, hopeful, service, quick], key=e.queue_order.sort_key)
    assert [job.id for job in order] == ["job-4", "job-2", "job-1", "job-3"]
    # Ageing: of two that are too late the older; what has not begun within a minute
    # goes first in its rank, and in the end before all.
    older = Job(spec(id="job-5", crates=2, sail_s=20.0, eta_s=30.0), 45.0)
    aged = Job(spec(id="job-6", crates=90, sail_s=20.0, eta_s=30.0), 30.0)
    order = sorted([late, older, aged, service, quick], key=e.queue_order.sort_key)
    assert [job.id for job in order] == ["job-4", "job-6", "job-2", "job-5", "job-3"]
    e.runtime.wall_time = 190.0
    assert e.queue_order.sort_key(aged) < e.queue_order.sort_key(service)


@pytest.mark.parametrize(
    ("cores", "tasks", "spot", "kind"),
    [
        (4.0, 1, False, ("h4", "a", False)),
        (4.0, 2, False, ("h8", "a", False)),
        (4.0, 1, True, ("h4", "a", True)),
        (8.0, 1, True, ("h8", "a", True)),
    ],
)
def test_cheapest_machines_against_a_price_list(
    cores: float, tasks: int, spot: bool, kind: tuple[str, str, bool]
) -> None:
    e = engine()
    e.machine_types.update({"h4": KIND, "h8": BIG})
    offers = e.fleet.offers
    job = spec(cores=cores, standby=spot, crates=tasks, memory_gb=1.0)
    assert offers.cheapest(job, tasks) == kind
    prices = {
        k: (t.spot_price if s else t.price) / min(tasks, int(t.cpus // cores))
        for t in (KIND, BIG)
        for z in t.zones
        for s in ([True, False] if spot else [False])
        if t.cpus >= cores
        for k in [(t.name, z, s)]
    }
    assert prices[kind] == min(prices.values())
    offers.unavailable_until[MachineKind(*kind)] = e.runtime.now + 5
    assert offers.cheapest(job, tasks) != kind


def test_fresh_leader_keeps_machines_it_has_not_heard_of() -> None:
    """A restarted leader once deleted 19 machines whose reports went to its peers."""
    e = engine()
    e.fleet.leader_since = e.runtime.now
    running = wire.Machine("vm-1", "h4", "a", "running", age_s=500.0)
    starting = wire.Machine("vm-2", "h4", "a", wire.BOOTING, age_s=500.0)
    e.fleet.inventory.listed = {"vm-1": running, "vm-2": starting}
    booting = BootingMachine(MachineKind("h4", "a", False), 500.0)
    assert not e.fleet.inventory.has_failed_to_boot("vm-1", booting, e.fleet.leader_since)
    assert e.fleet.inventory.has_failed_to_boot("vm-2", booting, e.fleet.leader_since)


def test_stops_wait_while_the_victim_is_being_written() -> None:
    """Dropped stops left machines half cleared: one service took seven tries."""
    e = engine()
    job = Job(spec(crates=4), 0, 5)
    job.attempts.append(Attempt("vm-1", 1, 1, 1, False, {0, 1, 2}))
    e.job_writer.jobs_in_flight.add(job.id)
    e.stop_requests.add(job.id, "vm-1", {0})
    e.stop_requests.add(job.id, "vm-1", {2})
    assert e.stop_requests.mark_stopping(job)
    assert sorted((a.stopping, sorted(a.tasks)) for a in job.attempts) == [
        (False, [1]),
        (True, [0, 2]),
    ]


def test_only_work_that_can_save_itself_leaves_a_machine_about_to_be_taken() -> None:
    e = engine()
    e.replica.put("ad/live/view", {"term": 1, "members": {"n0": "x"}, "leader": "n0"}, 1)
    for number, checkpoint in ((1, 30.0), (2, 0.0)):
        job = Job(spec(id=f"job-{number}", stow_s=checkpoint), 0, 5)
        job.attempts.append(Attempt("vm-1", 1, 1, 1, False, {0}))
        e.replica.set_job(job)
    e.workers.ingest_heartbeat(
        wire.Report("vm-1", "10.0.0.9:9", "h4", "a", 1, 1, 1, True, notice_s=9.0)
    )
    e.fleet.cordons.enforce(())
    assert e.stop_requests.pending == {"job-1": {"vm-1": {0}}}


def test_machines_that_died_idle_are_given_back_too() -> None:
    """Nothing of ours was on them, so no session lapsed: they stayed in the table, and
    counted as up, for ever. Not while most machines are silent: that is our trouble."""
    e = engine()
    e.replica.put("ad/live/view", {"term": 1, "members": {"n0": "x"}, "leader": "n0"}, 1)
    e.fleet.leader_since = e.runtime.now
    for number in range(5):
        e.workers.ingest_heartbeat(wire.Report(f"vm-{number}", "10.0.0.9:9", "h4", "a", 1, 1, 1))
    e.runtime.now += 100.0
    e.fleet.delete_surplus(e.fleet.queued_demand())
    assert not e.fleet.deletions.pending
    for number in range(1, 5):
        worker = e.workers.table[f"vm-{number}"]
        worker.reachability.last_heartbeat_at = worker.reachability.last_healthy_at = (
            worker.reachability.last_direct_heartbeat_at
        ) = e.runtime.now
    e.fleet.delete_surplus(e.fleet.queued_demand())
    pending = e.fleet.deletions.pending
    assert "vm-0" in pending and pending["vm-0"].reason == "silent"


def test_a_step_finds_the_few_machines_that_have_the_image() -> None:
    """Of 300 machines 3 had it; a sample of 16 nearly always missed them, and every
    task waited for a fetch of half a minute."""
    job = spec(cores=1.0, crates=5)
    rooms = [
        room(f"m{i:03}", 2, images=frozenset({"img"} if i % 100 == 7 else ())) for i in range(300)
    ]
    placed = placement.place(job, 5, rooms, Sampling(random.Random(1), 16), {})
    assert sum(n for r, n in placed if "img" in r.images) == 5


def test_room_for_a_service_is_made_where_its_image_is() -> None:
    e = engine()
    e.machine_types.update({"h4": KIND})
    e.replica.put("ad/live/view", {"term": 1, "members": {"n0": "x"}, "leader": "n0"}, 1)
    for number in range(200):
        name, task = f"vm-{number:03}", f"job-{number + 100}"
        job = Job(spec(id=task, crates=1, cores=4.0, cargo="other"), 0, 5)
        job.attempts.append(Attempt(name, 1, 1, 1, False, {0}))
        e.replica.set_job(job)
        e.workers.ingest_heartbeat(
            wire.Report(
                name,
                "10.0.0.9:9",
                "h4",
                "a",
                1,
                1,
                1,
                tasks=[wire.TaskReport(f"{task}/0", 1, wire.RUNNING)],
            )
        )
    e.workers.table["vm-150"].status.image_seen_at["img"] = e.runtime.now
    e.capacity_index.mark_all_changed()
    e.capacity_index.recompute()
    assert e.capacity_index.machines_by_image["img"] == {"vm-150"}
    high = Job(spec(id="job-9", rank="production", shape="daemon", cores=4.0, crates=1), 0)
    assert e.preemption.find_owner_with_faster_start(high, [], {}) == "n0"
    assert e.preemption.claimed_machines == {"vm-150": "job-9"}


def test_idle_machines_are_kept_while_tasks_queue_that_fit_them() -> None:
    """At the start of a day a hundred submissions used up the writes; the machines that
    were up went back as idle before the first step, and all services waited for boots."""

    def returned(size: float) -> set[str]:
        e = engine()
        e.machine_types.update({"h4": KIND})
        e.replica.put("ad/live/view", {"term": 1, "members": {"n0": "x"}, "leader": "n0"}, 1)
        e.workers.ingest_heartbeat(wire.Report("vm-1", "10.0.0.9:9", "h4", "a", 1, 1, 1))
        e.workers.table["vm-1"].placement.idle_since = e.runtime.now - 20
        e.replica.set_job(Job(spec(cores=size), 0, 5))
        e.capacity_index.recompute()
        e.fleet.delete_surplus(e.fleet.queued_demand())
        return set(e.fleet.deletions.pending)

    assert returned(4.0) == set()
    assert returned(4.5) == {"vm-1"}


def test_arrays_hold_no_room_while_users_and_services_wait_for_writes() -> None:
    e = engine()
    assert not e.pacing.should_defer_arrays()
    for _ in range(5):
        e.client.limiter.add(call(Priority.USER, 1))
    held = []
    for _ in range(50):  # ten seconds
        e.runtime.now += 0.2
        held.append(e.pacing.should_defer_arrays())
    assert held[:14] == [True] * 14
    assert 2 <= held.count(False) <= 4  # held back, but not for ever


def test_arrays_make_way_for_services_of_other_controllers_too() -> None:
    """The state service's writes are shared: while one controller's services waited for
    them after a wave of lost machines, arrays of the others took two thirds."""
    e = engine()
    e.heartbeats.on_peer_message(
        ControllerHeartbeat("n1", 0.1, write_rate=9.0, is_service_rate_limited=True)
    )
    assert e.pacing.should_defer_arrays()
    e.runtime.now += c.CONTROLLER_HEARTBEAT_TIMEOUT_S + 1
    assert not e.pacing.should_defer_arrays()  # it may be over since: nobody is heard
    e.heartbeats.on_peer_message(
        ControllerHeartbeat("n1", 0.1, write_rate=9.0, is_service_rate_limited=False)
    )
    assert not e.pacing.should_defer_arrays()


def test_objectives_order_arrays_by_class_and_unknown_ones_are_ignored(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO")
    objectives = ServiceLevelObjectives(
        [
            Objective("deadline", "seal", times=1.5),
            Objective("deadline", "seal", times=1.0),
            Objective("finished", "seal", within_s=250.0),
            Objective("wait", "seal", within_s=100.0),
            Objective("wait", "gate", within_s=9.0),
            Objective("beauty", "seal", within_s=1.0),
        ]
    )
    assert "beauty" in caplog.text
    seal = spec(berth="seal", sail_s=70.0)
    assert objectives.deadline_limits_s(seal) == [70.0, 105.0]
    assert objectives.finish_limits_s(seal) == [250.0]
    assert objectives.ageing_threshold_s(seal) == c.AGEING_THRESHOLD_SHARE * 100.0
    assert objectives.deadline_limits_s(spec(berth="other", sail_s=70.0)) == [70.0]
    assert objectives.finish_limits_s(spec(berth="other", sail_s=70.0)) == []
    assert objectives.deadline_limits_s(spec(berth="other", sail_s=None)) == []
    assert objectives.ageing_threshold_s(spec(berth="other")) == c.AGEING_THRESHOLD_S
    assert objectives.ageing_threshold_s(spec(berth="gate", shape="daemon")) == c.AGEING_THRESHOLD_S


def test_a_job_that_was_only_handed_on_or_stopped_again_has_not_begun() -> None:
    """Passed round for minutes, a job of 32 tasks counted as begun with its first hand-off,
    and began after 323 s."""
    e = engine()
    e.runtime.wall_time = 1000.0
    young = Job(spec(id="job-000001", sail_s=500.0), 1000.0 - 5, 1)
    passed = Job(spec(id="job-000002", crates=9, sail_s=500.0), 1000.0 - 70, 1, last_step=3)
    assert e.queue_order.sort_key(passed) < e.queue_order.sort_key(young)
    passed.completed_tasks.add(0)
    assert e.queue_order.sort_key(passed) > e.queue_order.sort_key(young)


def test_waiting_steps_of_arrays_make_way_for_stops_and_services() -> None:
    """A step that waited for its write kept the record busy, so that stops came too late
    for those they made room for, and kept machines from services."""
    e = owner_of_nothing()
    e.machine_types.update({"h4": KIND})
    e.replica.put("ad/live/members/n0", {"incarnation": "x.1", "lease": 1}, 1)
    mine = [f"job-{i:06d}" for i in range(99) if e.replica.owner_of(f"job-{i:06d}") == "n0"]
    vm = next(f"vm-{i}" for i in range(99) if e.replica.owner_of(f"vm-{i}") == "n0")
    e.workers.ingest_heartbeat(wire.Report(vm, "10.0.0.9:9", "h4", "a", 1, 1, 5))
    array = Job(spec(id=mine[0], crates=4), 0.0, 2)
    e.replica.set_job(array)
    e.client.limiter.writes.rate, e.client.limiter.max_write_rate, e.client.limiter.writes.level = (
        0.0,
        0.0,
        -9.0,
    )
    e.handle([], e.runtime.now + 0.2, 0.0)
    assert (
        e.capacity_index.reserved_tasks == {vm: {mine[0]: 4}}
        and mine[0] in e.job_writer.jobs_in_flight
    )
    service = Job(spec(id=mine[1], crates=1, cores=4.0, rank="production", shape="daemon"), 0.0, 3)
    e.replica.set_job(service)
    for _ in range(3):
        e.membership.lease_renewed_at = e.membership.view_confirmed_at = e.runtime.now
        e.handle([], e.runtime.now + 0.11, 0.0)
    assert e.capacity_index.reserved_tasks == {vm: {mine[1]: 1}}
    assert mine[0] not in e.job_writer.jobs_in_flight and mine[1] in e.job_writer.jobs_in_flight
    # A stop takes the waiting write of its own job back too, but not an urgent one.
    e.stop_requests.add(mine[1], vm, {0})
    assert mine[1] in e.job_writer.jobs_in_flight


def test_lists_of_finished_tasks_are_written_often_only_for_a_team_at_its_limit() -> None:
    """Where the state service's writes are what lacks, they were most of them."""
    e = engine()
    one, other = Job(spec(id="job-000001"), 0.0, 1), Job(spec(id="job-000002"), 0.0, 2)
    e.replica.set_job(one)
    e.replica.set_job(other)
    assert e.pacing.progress_interval_s(one) == c.PROGRESS_INTERVAL_S
    e.reconcile_queue.pending_reasons["job-000002"] = PendingReason.TEAM_LIMIT
    e.client.limiter.writes.level = 0.0
    assert e.pacing.progress_interval_s(one) == c.PROGRESS_INTERVAL_TEAM_LIMITED_S
    e.client.limiter.writes.level = e.client.limiter.writes.rate
    assert (
        e.pacing.progress_interval_s(one) == c.PROGRESS_INTERVAL_SPARE_WRITES_S
    )  # nobody lacks these writes
    e.reconcile_queue.pending_reasons["job-000002"] = PendingReason.NO_CAPACITY
    for _ in range(c.WAITING_CALLS_THRESHOLD + 1):
        e.client.submit(Transaction({}, [Put("ad/x", 1)]), Priority.STEP, lambda reply: None)
    assert e.pacing.progress_interval_s(one) == c.PROGRESS_INTERVAL_RATE_LIMITED_S


def test_charges_are_given_back_soon_where_another_controllers_jobs_lack_the_limit() -> None:
    """Only jobs of our own were looked at: those of the others waited up to six seconds for
    what our finished tasks still held, with writes to spare."""
    e = engine()
    e.replica.put("ad/live/view", {"term": 1, "members": {"n0": "x"}, "leader": "n0"}, 1)
    limits = e.runtime.teams["red"]
    full = int(limits.cpus_max)
    running = Job(spec(id="job-000001", crates=full, owner="red", cores=1.0), 0.0, 1)
    running.attempts.append(Attempt("vm-1", 1, 1, 1, False, set(range(full - 1))))
    e.replica.set_job(running)
    e.quota_allocation.clear_caches()
    assert not e.quota_usage.is_limit_exhausted("red")  # one core is left, and one task waits
    waiting = Job(spec(id="job-000002", crates=1, owner="red", cores=2.0), 0.0, 2)
    e.replica.set_job(waiting)
    e.quota_allocation.clear_caches()
    assert e.quota_usage.is_limit_exhausted("red") and not e.reconcile_queue.pending_reasons
    e.client.limiter.writes.level = e.client.limiter.writes.rate
    assert e.pacing.progress_interval_s(running) == c.PROGRESS_INTERVAL_SPARE_WRITES_S


def test_a_launch_of_an_earlier_term_asks_for_no_further_one() -> None:
    """The worker had yet to show the new term, and every ten seconds it was given another:
    each view costs every team's record and every step under way."""
    e = engine()
    e.replica.put("ad/live/view", {"term": 5, "members": {"n0": "x"}, "leader": "n0"}, 1)
    tasks = [
        wire.TaskReport(f"job-000009/{number}", 1, wire.EXITED, wire.DONE)
        for number in range(c.RETAINED_ATTEMPTS_MAX + 1)
    ]
    e.workers.ingest_heartbeat(wire.Report("vm-1", "10.0.0.9:9", "h4", "a", 1, 1, 4, tasks=tasks))
    worker = e.workers.table["vm-1"]
    for term, wanted in ((4, False), (5, True)):
        worker.sent_commands.replayable_launches = dict.fromkeys(worker.tasks, term)
        e.view_requests.new_term = False
        assert (
            e.workers.command_reconciler.commands_for(worker, pushed=False) == []
        )  # nothing is forgotten
        assert e.view_requests.new_term == wanted
