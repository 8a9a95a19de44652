"""Settlement evidence, tested without a whole controller."""

from __future__ import annotations

import pytest

from appledock import wire
from appledock.core.records.attempt_verdict import AttemptVerdict
from appledock.core.workers.settlement_evidence import SettlementEvidence
from tests.unit.workers.fixture import MACHINE, TERM, WorkersFixture, heartbeat, task


def verdict(fixture: WorkersFixture, cancelled: bool = False) -> AttemptVerdict | None:
    job, attempt = fixture.open_attempt(cancelled=cancelled)
    evidence = SettlementEvidence(fixture.membership, fixture.table)
    return evidence.verdict(job, attempt, 0)


@pytest.mark.parametrize(
    ("state", "why", "expected"),
    [
        (wire.RUNNING, None, None),
        (wire.SAVING, None, None),
        (wire.EXITED, wire.DONE, AttemptVerdict.DONE),
        (wire.EXITED, wire.ERROR, AttemptVerdict.FAILED),
        (wire.EXITED, wire.UNKNOWN, AttemptVerdict.FAILED),
        (wire.EXITED, wire.STOPPED, AttemptVerdict.SETTLED),
    ],
)
def test_the_verdict_on_a_task_that_the_worker_reports(
    state: str, why: str | None, expected: AttemptVerdict | None
) -> None:
    fixture = WorkersFixture()
    fixture.intake.ingest(heartbeat(1, [task(state, why)]))
    assert verdict(fixture) is expected


def test_a_missing_heartbeat_proves_nothing_and_an_expired_epoch_settles_the_attempt() -> None:
    fixture = WorkersFixture()
    assert verdict(fixture) is None
    fixture.table.get_or_create(MACHINE)
    assert verdict(fixture) is None
    fixture.table.mark_expired(MACHINE, 1)
    assert verdict(fixture) is AttemptVerdict.SETTLED


def test_a_task_never_seen_is_settled_by_a_higher_fencing_token_or_a_record_that_forbids_it() -> (
    None
):
    fixture = WorkersFixture()
    fixture.intake.ingest(heartbeat(1))
    assert verdict(fixture) is None  # a launch may be in flight
    assert verdict(fixture, cancelled=True) is AttemptVerdict.SETTLED
    fixture.table.rows[MACHINE].sent_commands.launched_at["job-1/0", 1] = 99.0
    assert verdict(fixture, cancelled=True) is None
    fixture.intake.ingest(heartbeat(2, token=TERM + 1))
    assert verdict(fixture, cancelled=True) is AttemptVerdict.SETTLED


def test_the_deletion_of_a_machine_settles_its_attempts() -> None:
    fixture = WorkersFixture()
    fixture.intake.ingest(heartbeat(1, [task(wire.RUNNING)]))
    fixture.table.mark_deleted([MACHINE])
    assert verdict(fixture) is AttemptVerdict.SETTLED
