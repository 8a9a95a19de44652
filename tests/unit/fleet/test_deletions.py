"""Unit tests of machine deletions with fake collaborators, without a controller."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from appledock import constants
from appledock.core.cloud_calls import CloudOutcome
from appledock.core.fleet.cloud import CloudFailure
from appledock.core.fleet.cordons import NO_CORDON
from appledock.core.fleet.deletions import MachineDeletions
from appledock.core.fleet.model import ScaleInReason
from appledock.core.workers import Worker


class FakeCloud:
    """Records the requested deletions; the test answers them."""

    def __init__(self) -> None:
        self.deleted: list[list[str]] = []
        self.is_backed_off = False
        self.answer: Callable[[CloudFailure | None], None] = lambda _: None

    def delete(self, machines: list[str], on_result: Callable[[CloudFailure | None], None]) -> None:
        self.deleted.append(machines)
        self.answer = on_result

    def back_off(self) -> None:
        self.is_backed_off = True


class Fixture:
    """`MachineDeletions` with fake collaborators and one empty machine, `vm-1`."""

    def __init__(self) -> None:
        self.runtime: Any = SimpleNamespace(now=100.0)
        self.worker = Worker("vm-1")
        workers: Any = SimpleNamespace(table={"vm-1": self.worker}, deleted_machines={})
        self.cloud = FakeCloud()
        cloud: Any = self.cloud
        self.is_empty = True
        self.confirmed: list[list[str]] = []
        inventory: Any = SimpleNamespace(
            is_empty=lambda machine: self.is_empty, on_deleted=self.confirmed.append
        )
        self.cordons: list[tuple[str, str]] = []
        cordons: Any = SimpleNamespace(
            set_everywhere=lambda machine, reason: self.cordons.append((machine, str(reason))),
            announce=lambda machine, reason: self.cordons.append((machine, str(reason))),
        )
        self.deletions = MachineDeletions(self.runtime, workers, cloud, inventory, cordons)


def test_an_idle_machine_is_deleted_once_its_cordon_is_old_enough() -> None:
    fixture = Fixture()
    fixture.deletions.cordon("vm-1", ScaleInReason.IDLE)
    assert fixture.cordons == [("vm-1", "idle")]
    fixture.runtime.now += constants.DELETION_CORDON_S - 0.1
    fixture.deletions.delete_due()
    assert fixture.cloud.deleted == []
    fixture.runtime.now += 0.1
    fixture.deletions.delete_due()
    fixture.deletions.delete_due()  # no second request while a call is in flight
    assert fixture.cloud.deleted == [["vm-1"]]
    fixture.cloud.answer(None)
    assert fixture.confirmed == [["vm-1"]] and not fixture.deletions.pending


def test_a_machine_that_got_a_task_during_its_cordon_is_released() -> None:
    fixture = Fixture()
    fixture.deletions.cordon("vm-1", ScaleInReason.IDLE)
    fixture.is_empty = False
    fixture.runtime.now += constants.DELETION_CORDON_S
    fixture.deletions.delete_due()
    assert fixture.cloud.deleted == [] and not fixture.deletions.pending
    assert fixture.cordons[-1] == ("vm-1", NO_CORDON)


def test_a_refused_deletion_is_requested_again() -> None:
    fixture = Fixture()
    fixture.deletions.schedule_forced_deletion("vm-1", ScaleInReason.FAILED)
    fixture.deletions.delete_due()
    fixture.cloud.answer(CloudFailure(CloudOutcome.REFUSED))
    assert fixture.cloud.is_backed_off and fixture.confirmed == []
    fixture.deletions.delete_due()
    assert fixture.cloud.deleted == [["vm-1"], ["vm-1"]]


@pytest.mark.parametrize("reason", ScaleInReason)
def test_a_heartbeat_voids_only_deletions_for_the_lack_of_heartbeats(reason: ScaleInReason) -> None:
    fixture = Fixture()
    fixture.deletions.schedule_forced_deletion("vm-1", reason)
    fixture.worker.reachability.last_healthy_at = fixture.runtime.now + 0.1
    fixture.runtime.now += 1.0
    fixture.deletions.delete_due()
    is_kept = reason in {
        ScaleInReason.BOOT_FAILED,
        ScaleInReason.HEARTBEAT_TIMEOUT,
        ScaleInReason.UNRESPONSIVE,
    }
    assert (fixture.cloud.deleted == []) is is_kept
    assert ("vm-1" not in fixture.deletions.pending) is is_kept
