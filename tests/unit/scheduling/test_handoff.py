"""Unit tests of the hand-off policy: which controller a job is handed off to."""

from __future__ import annotations

import random

from appledock import constants
from appledock.core.machines.machine_capacity import MachineCapacity
from appledock.core.records.job import HandoffTarget, Job
from appledock.core.records.membership_view import View
from appledock.core.runtime import Runtime
from appledock.core.scheduling.handoff import HandoffPolicy
from appledock.core.store.replica import Replica
from tests.test_decisions import room
from tests.test_requests import settings, spec


def handoff_policy(leader: str = "n2") -> tuple[HandoffPolicy, Runtime]:
    """Return the policy of controller n0, and its runtime, in a view of three controllers."""
    runtime = Runtime(settings("n0", ["n0", "n1", "n2"]), "x", random.Random(1))
    replica = Replica()
    replica.view = View(1, {"n0": "x", "n1": "y", "n2": "z"}, leader)
    return HandoffPolicy(runtime, replica), runtime


def machine(owner: str, cpus: float) -> MachineCapacity:
    """Return a machine of this owner with `cpus` free CPUs."""
    result = room(f"vm-of-{owner}", cpus)
    result.owner = owner
    return result


def job(**changes: object) -> Job:
    return Job(spec(cores=1.0, memory_gb=0.0, **changes), 0.0)


def test_an_array_goes_to_the_peer_with_most_free_slots_if_it_has_enough() -> None:
    handoff, _ = handoff_policy()
    machines = [machine("n0", 9), machine("n1", 1), machine("n2", 2), machine("gone", 9)]
    assert handoff.choose_target(job(crates=4), machines, 4, {}) == "n2"
    assert handoff.choose_target(job(crates=40), machines, 40, {}) is None


def test_an_array_handed_to_this_controller_stays_there_during_the_cooldown() -> None:
    handoff, runtime = handoff_policy()
    received = job(crates=4)
    received.handoff_target = HandoffTarget("n0", "x")
    handoff.on_job_owned(received)
    runtime.now += constants.HANDOFF_COOLDOWN_S
    assert handoff.choose_target(received, [machine("n1", 4)], 4, {}) is None
    runtime.now += 0.1
    assert handoff.choose_target(received, [machine("n1", 4)], 4, {}) == "n1"


def test_a_gang_is_handed_to_a_peer_on_which_it_fits_whole_or_else_to_the_leader() -> None:
    handoff, _ = handoff_policy()
    gang = job(crates=4, shape="group")
    assert handoff.choose_target(gang, [machine("n1", 4), machine("n2", 3)], 4, {}) == "n1"
    assert handoff.choose_target(gang, [machine("n1", 2), machine("n0", 2)], 4, {}) == "n2"
    assert handoff.choose_target(gang, [machine("n1", 2), machine("n0", 1)], 4, {}) is None
    here, _ = handoff_policy(leader="n0")
    assert here.choose_target(gang, [machine("n1", 2), machine("n0", 2)], 4, {}) is None
