"""Unit tests of the roles in moves of running tasks, with fakes around them."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from appledock import constants
from appledock.core.jobs.reconcile_queue import ReconcileQueue
from appledock.core.messages import MoveEnded, MoveMessage, MoveOrder, MoveRequested, MoveReserved
from appledock.core.records.job import Attempt, Job
from appledock.core.runtime import Runtime
from appledock.core.scheduling.moves import MoveOutcome, MovePolicy
from appledock.core.scheduling.moves.cooldowns import Cooldowns
from appledock.core.scheduling.moves.destination_owner import DestinationOwner
from appledock.core.scheduling.moves.job_owner import JobOwner
from appledock.core.scheduling.moves.order_check import OrderCheck
from appledock.core.scheduling.moves.requester import Requester
from appledock.core.scheduling.moves.reservations import MoveReservations
from appledock.rebalancing.planner import Proposal
from appledock.rebalancing.settings import Moves as MoveSettings
from tests.test_decisions import room
from tests.test_requests import settings, spec

PROPOSAL = Proposal("job-1", 0, 1, "vm-1", "vm-2", 0.5, 0.25)


class CapacityIndexFake:
    """Capacity index that records reservations and whose machines the test sets."""

    def __init__(self) -> None:
        self.machines: dict[str, Any] = {}
        self.move_reservations: dict[str, dict[str, Any]] = {}

    def recompute(self) -> None:
        pass

    def reserve_for_move(self, machine: str, job_spec: Any) -> None:
        self.move_reservations.setdefault(machine, {})[job_spec.id] = job_spec

    def release_move(self, machine: str, job_id: str) -> None:
        jobs = self.move_reservations.get(machine, {})
        jobs.pop(job_id, None)
        if not jobs:
            self.move_reservations.pop(machine, None)


class MoveRoles:
    """Builds the roles of controller n0, which owns `job-1` and all machines, with fakes."""

    def __init__(self) -> None:
        self.runtime = Runtime(settings("n0", ["n0", "n1"]), "x", random.Random(1))
        self.runtime.now = 100.0
        self.sent: list[tuple[str, MoveMessage]] = []
        self.stopped: list[tuple[str, str, set[int]]] = []
        self.is_draining = self.is_enabled = False
        self.running = 2
        self.index = CapacityIndexFake()
        self.queue = ReconcileQueue()
        self.job = Job(spec(id="job-1", shape="daemon", cores=1.0, memory_gb=0.0, crates=2), 0.0)
        self.job.attempts.append(Attempt("vm-1", 1, 1, 5, False, {0, 1}))
        self.replica: Any = SimpleNamespace(
            jobs={"job-1": self.job},
            is_cancelled=lambda job_id: False,
            owner_of=lambda machine: "n1",
            owns_job=lambda node, job: True,
            job_owner=lambda job: "n0",
        )
        self.membership: Any = SimpleNamespace(term=5, can_act=lambda: True)
        self.workers: Any = SimpleNamespace(
            owns=lambda machine: True,
            table={
                "vm-1": SimpleNamespace(
                    tasks={("job-1/0", 1): SimpleNamespace(state="running")},
                )
            },
        )
        self.policy = MovePolicy(
            settings=MoveSettings(cooldown_s=60.0),
            is_enabled=lambda: self.is_enabled,
            is_movable=lambda job_spec: True,
            must_leave=lambda job_spec, machine: False,
            is_draining=lambda machine: self.is_draining,
        )
        self.cooldowns = Cooldowns(self.runtime, self.policy)
        self.order_check = OrderCheck(self.membership, self.replica)
        index: Any = self.index
        self.reservations = MoveReservations(self.runtime, index, self.queue)

    def send(self, node: str, message: MoveMessage) -> None:
        self.sent.append((node, message))

    def requester(self) -> Requester:
        return Requester(
            runtime=self.runtime,
            replica=self.replica,
            membership=self.membership,
            cooldowns=self.cooldowns,
            send=self.send,
        )

    def destination_owner(self) -> DestinationOwner:
        index: Any = self.index
        return DestinationOwner(
            runtime=self.runtime,
            replica=self.replica,
            workers=self.workers,
            capacity_index=index,
            policy=self.policy,
            order_check=self.order_check,
            reservations=self.reservations,
            send=self.send,
        )

    def job_owner(self) -> JobOwner:
        index: Any = self.index
        zones: Any = SimpleNamespace(zone_of=lambda machine: "a")
        writer: Any = SimpleNamespace(can_write=lambda job: True)
        stop_requests: Any = SimpleNamespace(add=lambda *stop: self.stopped.append(stop))
        pacing: Any = SimpleNamespace(
            is_step_rate_limited=lambda: False, is_service_rate_limited=lambda: False
        )
        preemption: Any = SimpleNamespace(is_available_to=lambda machine, job: True)
        return JobOwner(
            runtime=self.runtime,
            replica=self.replica,
            workers=self.workers,
            zones=zones,
            capacity_index=index,
            writer=writer,
            stop_requests=stop_requests,
            pacing=pacing,
            preemption=preemption,
            policy=self.policy,
            order_check=self.order_check,
            reservations=self.reservations,
            cooldowns=self.cooldowns,
            count_running=lambda job: self.running,
            send=self.send,
        )


def order(number: int = 1, term: int = 5) -> MoveOrder:
    return MoveOrder("n0", number, term, "job-1", 0, 1, "vm-1", "vm-2", 0.25)


def test_requests_that_are_not_answered_are_repeated_with_doubling_backoff() -> None:
    roles = MoveRoles()
    requester = roles.requester()
    cooldowns_s = []
    for number in (1, 2, 3):
        requester.request(PROPOSAL)
        assert roles.sent[-1] == ("n1", MoveRequested(order(number)))
        roles.runtime.now += constants.MOVE_RESERVATION_S + constants.MOVE_CHECK_INTERVAL_S
        requester.tick()
        ended_at = roles.runtime.now
        while roles.cooldowns.is_cooling_down("job-1"):
            roles.runtime.now += 1.0
        cooldowns_s.append(roles.runtime.now - ended_at)
    assert cooldowns_s == [constants.MOVE_BACKOFF_S * factor for factor in (1, 2, 4)]
    assert requester.outcomes == {MoveOutcome.NO_ANSWER: 3} and not requester.requested


def test_the_cooldown_after_a_move_is_short_if_its_source_is_being_drained() -> None:
    for is_draining, cooldown_s in ((False, 60.0), (True, constants.DRAIN_MOVE_COOLDOWN_S)):
        roles = MoveRoles()
        roles.is_draining = is_draining
        requester = roles.requester()
        requester.request(PROPOSAL)
        requester.on_ended(order(number=7), MoveOutcome.DONE)
        assert requester.is_requested("job-1")  # the outcome was that of another order
        requester.on_ended(order(), MoveOutcome.DONE)
        assert not requester.is_requested("job-1")
        roles.runtime.now += cooldown_s - 0.1
        assert roles.cooldowns.is_cooling_down("job-1")
        roles.runtime.now += 0.1
        assert not roles.cooldowns.is_cooling_down("job-1")


def test_capacity_stays_reserved_until_neither_role_needs_it() -> None:
    roles = MoveRoles()
    reservations = roles.reservations
    reservations.reserve_as_destination_owner(order(), roles.job.spec)
    reservations.reserve_as_job_owner(order(), roles.job.spec)
    del reservations.as_destination_owner["job-1"]
    reservations.release(order())
    assert roles.index.move_reservations and reservations.has_any("job-1")
    del reservations.as_job_owner["job-1"]
    reservations.release(order())
    assert not roles.index.move_reservations and not reservations.has_any("job-1")
    assert roles.queue.placement_due


def test_the_destination_owner_reserves_for_one_move_at_a_time() -> None:
    roles = MoveRoles()
    owner = roles.destination_owner()
    assert owner.refusal(order()) is MoveOutcome.REBALANCING_OFF
    roles.is_enabled = True
    assert owner.refusal(order(term=4)) is MoveOutcome.STALE_VIEW
    assert owner.refusal(order()) is MoveOutcome.DESTINATION_UNAVAILABLE  # no such machine
    machine = room("vm-2", 4.0)
    roles.index.machines["vm-2"] = machine
    assert owner.refusal(order()) is MoveOutcome.LOAD_TOO_HIGH  # the machine's load is unknown
    roles.reservations.reserve_as_destination_owner(order(), roles.job.spec)
    owner.on_requested(order(number=2))
    assert roles.sent == [("n0", MoveEnded(order(number=2), MoveOutcome.MOVE_IN_PROGRESS))]
    roles.runtime.now += constants.MOVE_RESERVATION_S
    owner.tick()
    assert not roles.index.move_reservations


def test_the_job_owner_stops_the_task_and_places_its_next_attempt_after_settlement() -> None:
    roles = MoveRoles()
    roles.is_enabled = True
    roles.index.machines["vm-2"] = room("vm-2", 4.0)
    owner = roles.job_owner()
    roles.running = 1
    assert owner.refusal(order()) is MoveOutcome.TOO_FEW_REPLICAS
    roles.running = 2
    owner.on_reserved(order())
    assert roles.stopped == [("job-1", "vm-1", {0})] and roles.sent == []
    assert owner.refusal(order()) is MoveOutcome.MOVE_IN_PROGRESS
    # Nothing is placed while the stopped attempt is unsettled.
    assert owner.place_moved_task(roles.job, roles.job, {}) == []
    settled = Job(roles.job.spec, 0.0)
    placed = owner.place_moved_task(roles.job, settled, {})
    assert [(machine.name, tasks) for machine, tasks in placed] == [("vm-2", 1)]
    del roles.index.machines["vm-2"]
    assert owner.place_moved_task(roles.job, settled, {}) == []
    assert {node for node, _ in roles.sent} == {"n0", "n1"}
    assert all(
        message == MoveEnded(order(), MoveOutcome.DESTINATION_UNAVAILABLE)
        for _, message in roles.sent
    )
    assert roles.cooldowns.is_cooling_down("job-1") and not roles.index.move_reservations


def test_a_refusal_is_reported_to_the_requester_and_to_the_destination_owner() -> None:
    roles = MoveRoles()
    owner = roles.job_owner()
    owner.on_reserved(order())
    assert sorted(node for node, _ in roles.sent) == ["n0", "n1"]
    assert all(
        message == MoveEnded(order(), MoveOutcome.REBALANCING_OFF) for _, message in roles.sent
    )
    assert MoveReserved(order()) not in [message for _, message in roles.sent]
    assert not roles.cooldowns.is_cooling_down("job-1")
