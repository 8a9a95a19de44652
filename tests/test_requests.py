"""Answers to users: small cases that a day rarely hits."""

from __future__ import annotations

import random

import msgspec
import pytest

from appledock import wire
from appledock.adapters import http_requests
from appledock.core.api.submission_check import MACHINE_TYPES_UNKNOWN, SubmissionCheck
from appledock.core.commands import CancelJob, GetJobState, StoreReply, SubmitJob, Tick
from appledock.core.controller import Controller
from appledock.core.effects import Effect, Response, StoreCall
from appledock.core.records.job import Job
from appledock.core.store.keys import FINAL_PREFIX, FORMAT_KEY, JOBS_PREFIX, TEAMS_PREFIX
from appledock.core.store.rate_limiter import Priority
from appledock.core.store_calls import GetKey, NotExecuted, Transaction, WatchKeys
from tests.standins.deployment import settings

SPEC = {
    "id": "job-000001",
    "berth": "svc",
    "owner": "red",
    "shape": "batch",
    "rank": "standard",
    "crates": 2,
    "cores": 1.0,
    "cards": 0.0,
    "memory_gb": 1.0,
    "cargo": "img",
    "image_gb": 1.0,
    "hulls": None,
    "quay": None,
    "together": False,
    "scatter": False,
    "standby": True,
    "eta_s": 5.0,
    "stow_s": 0.0,
    "lash_s": 0.0,
    "sail_s": None,
}


def engine() -> Controller:
    e = Controller(settings("n0", ["n0", "n1", "n2"]), "x", random.Random(1))
    e.reader.loaded = True
    e.machine_types.update({"h4": wire.MachineType("h4", 4, 16, 0.2, 0.1, 5, ["a", "b"])})
    e.handle([], 100.0, 0.0)
    return e


def submission_check(e: Controller) -> SubmissionCheck:
    return SubmissionCheck(e.runtime, e.client, e.codec, e.machine_types)


def calls(effects: list[Effect], kind: type) -> list[StoreCall]:
    return [x for x in effects if isinstance(x, StoreCall) and isinstance(x.request, kind)]


def spec(**changes: object) -> wire.JobSpec:
    body = wire.encode({**SPEC, **changes})
    command = http_requests.parse_command(1, "POST", "/v2/runs", body)
    assert isinstance(command, SubmitJob)
    return command.spec


@pytest.mark.parametrize(
    "change",
    [
        {"id": "job-x"},
        {"id": "job-1\n"},
        {"id": 5},
        {"crates": 0},
        {"crates": 100_001},
        {"crates": 1.5},
        {"cores": -1},
        {"cores": "8"},
        {"shape": "other"},
        {"rank": "high"},
        {"together": 1},
        {"hulls": "g8"},
        {"cargo": ""},
        {"eta_s": None},
        {"crates": True},
    ],
)
def test_bad_submissions_are_refused_with_a_reason(change: dict[str, object]) -> None:
    with pytest.raises(http_requests.Refused) as refused:
        spec(**change)
    assert refused.value.status == 400
    assert refused.value.error


@pytest.mark.parametrize(
    ("method", "path", "body", "status"),
    [
        ("POST", "/v2/runs", b"{", 400),
        ("POST", "/v2/runs", b"[]", 400),
        ("POST", "/v2/runs", b"\xff", 400),
        ("POST", "/v2/runs", b"{}", 400),
        ("GET", "/v2/runs", b"", 405),
        ("GET", "/v2/runs/x", b"", 404),
        ("GET", "/nowhere", b"", 404),
        ("DELETE", "/healthz", b"", 405),
        ("GET", "/v2/runs/job-1/cancel", b"", 405),
        ("POST", "/v2/runs/job-1/stop", b"", 404),
        ("POST", "/agent/beat", b"{}", 400),
    ],
)
def test_bad_requests(method: str, path: str, body: bytes, status: int) -> None:
    with pytest.raises(http_requests.Refused) as refused:
        http_requests.parse_command(1, method, path, body)
    assert refused.value.status == status


@pytest.mark.parametrize(
    ("change", "never"),
    [
        ({}, False),
        ({"owner": "nobody"}, True),
        ({"cores": 5.0}, True),
        ({"hulls": ["h9"]}, True),
        ({"hulls": []}, True),
        ({"quay": "z"}, True),
        ({"crates": 100}, False),
        ({"hulls": ["h4", *(f"g{number}" for number in range(900))]}, True),
        ({"crates": 24, "shape": "daemon"}, False),
        ({"crates": 25, "shape": "daemon"}, True),
    ],
)
def test_what_can_never_run(change: dict[str, object], never: bool) -> None:
    assert bool(submission_check(engine()).refusal(spec(**change))) is never


def test_types_that_no_zone_offers_are_no_machines() -> None:
    """Jobs were accepted that no machine could ever be rented for."""
    e = engine()
    e.machine_types.update({"h4": msgspec.structs.replace(e.machine_types["h4"], zones=[])})
    refusal = submission_check(e).refusal(spec())
    assert refusal == submission_check(e).refusal(spec(quay="a"))
    assert refusal is not None and refusal != MACHINE_TYPES_UNKNOWN


def test_a_repeated_submission_of_a_long_description_is_not_refused() -> None:
    """Refused only once it is proven that nobody accepted it before."""
    e = engine()
    asked = spec(hulls=["h4", *(f"g{number}" for number in range(900))])
    effects = e.handle([SubmitJob(1, asked)], 100.0, 0.0)
    assert not any(isinstance(x, Response) for x in effects)
    effects = e.handle([Tick()], 100.2, 0.0)
    proof = next(x for x in calls(effects, Transaction) if not x.request.writes)
    assert set(proof.request.conditions) == {JOBS_PREFIX + asked.id, FINAL_PREFIX + asked.id}
    effects = e.handle([StoreReply(proof.call_id, wire.Committed(1))], 100.3, 0.0)
    (reply,) = (x for x in effects if isinstance(x, Response))
    assert reply.status == 422


def test_unknown_fields_are_ignored_and_absent_is_null() -> None:
    body = {k: v for k, v in SPEC.items() if v is not None}
    assert http_requests.parse_command(
        1, "POST", "/v2/runs", wire.encode({**body, "new": 1})
    ) == SubmitJob(1, spec())


@pytest.mark.parametrize(
    ("method", "path", "body"),
    [
        (
            "POST",
            "/v2/runs",
            wire.encode(SPEC)[:-1] + b',"new":' + b"[" * 20_000 + b"]" * 20_000 + b"}",
        ),
        ("POST", "/v2/runs", b"[" * 60_000),
        ("PATCH", "/admin/v1/settings", b"[" * 60_000),
    ],
)
def test_deeply_nested_bodies_are_malformed(method: str, path: str, body: bytes) -> None:
    """They were answered 500, which users repeat."""
    with pytest.raises(http_requests.Refused) as refused:
        http_requests.parse_command(1, method, path, body)
    assert refused.value.status == 400


def test_open_record_is_read_before_the_final_one() -> None:
    """Read at the same time, a job ending in between showed in neither: 404."""
    e = engine()
    e.handle([CancelJob(1, "job-000001")], 100.0, 0.0)
    effects = e.handle([Tick()], 100.1, 0.0)
    first = calls(effects, GetKey)
    assert [x.request for x in first] == [GetKey(JOBS_PREFIX + "job-000001")] or not first


def test_end_seen_in_one_event_list_is_remembered() -> None:
    """The drop of the open record came first, and the final state was ignored."""
    e = engine()
    e.reader.watching = False
    effects = e.handle([Tick()], 101.0, 0.0)
    (watch,) = calls(effects, WatchKeys)
    events = [
        wire.Event(7, delete=JOBS_PREFIX + "job-000001"),
        wire.Event(7, put=FINAL_PREFIX + "job-000001", value={"state": "done"}),
    ]
    e.handle([StoreReply(watch.call_id, wire.Watched(7, events))], 101.1, 0.0)
    effects = e.handle([GetJobState(5, "job-000001")], 101.2, 0.0)
    (reply,) = (x for x in effects if isinstance(x, Response))
    assert (reply.status, reply.body.state) == (200, "done")


def test_given_up_requests_are_answered_at_once_with_retry_after() -> None:
    e = engine()
    effects = e.handle([SubmitJob(1, spec())], 100.0, 0.0)
    (txn,) = calls(effects, Transaction)
    effects = e.handle([StoreReply(txn.call_id, NotExecuted())], 100.01, 0.0)
    (reply,) = (x for x in effects if isinstance(x, Response))
    assert reply.status == 503
    assert reply.headers == {"Retry-After": "1"}


def test_conflicts_are_counted_by_kind_of_key() -> None:
    e = engine()
    e.client.submit(
        Transaction({TEAMS_PREFIX + "red": 1, FINAL_PREFIX + "job-1": 0}),
        Priority.USER,
        lambda reply: None,
    )
    call = calls(e.handle([], 100.0, 0.0), Transaction)[0]
    e.handle(
        [StoreReply(call.call_id, wire.Conflict(list(call.request.conditions)))],
        100.1,
        0.0,
    )
    assert e.client.conflicts == {"teams": 1, "final": 1}


def interleaved(e: Controller, effects: list[Effect], job: str) -> list[Effect]:
    """The job's open record is read and is there. Before its final one is read and is not,
    the job ends, and the read of another request shows that the open record is gone."""
    (read,) = calls(effects, GetKey)
    assert read.request == GetKey(JOBS_PREFIX + job)
    record = wire.encode(Job(spec(id=job), 0.0, 5).encode())
    row = wire.Row(JOBS_PREFIX + job, msgspec.json.decode(record), 5)
    effects = e.handle([StoreReply(read.call_id, row)], 100.3, 0.0)
    (read,) = calls(effects, GetKey)
    assert read.request == GetKey(FINAL_PREFIX + job)
    e.replica.drop(JOBS_PREFIX + job, 7)
    return e.handle([StoreReply(read.call_id, wire.Missing(6))], 100.4, 0.0)


def read_again(e: Controller, effects: list[Effect], job: str) -> list[Effect]:
    """Nobody was told anything; both records are read once more."""
    assert not [x for x in effects if isinstance(x, Response)]
    (read,) = calls(effects, GetKey)
    assert read.request == GetKey(JOBS_PREFIX + job)
    effects = e.handle([StoreReply(read.call_id, wire.Missing(8))], 100.5, 0.0)
    (read,) = calls(effects, GetKey)
    row = wire.Row(FINAL_PREFIX + job, {"state": wire.CANCELLED}, 7)
    return e.handle([StoreReply(read.call_id, row)], 100.6, 0.0)


def status_of(effects: list[Effect]) -> list[int]:
    return [x.status for x in effects if isinstance(x, Response)]


def test_a_poll_whose_read_is_overtaken_by_the_jobs_end_is_not_answered_404() -> None:
    """Two reads of one job at a controller whose watch lagged: the second one's news that the
    open record was gone met the first one's that there was no final one yet."""
    e = engine()
    e.replica.set_job(Job(spec(), 0.0, 3))
    e.handle([GetJobState(1, "job-000001")], 100.0, 0.0)
    (proof,) = calls(e.handle([Tick()], 100.2, 0.0), Transaction)
    conflict = wire.Conflict([JOBS_PREFIX + "job-000001"], 5)
    effects = e.handle([StoreReply(proof.call_id, conflict)], 100.25, 0.0)
    effects = interleaved(e, effects, "job-000001")
    assert status_of(read_again(e, effects, "job-000001")) == [200]


def test_a_cancellation_whose_read_is_overtaken_by_the_jobs_end_is_not_answered_404() -> None:
    e = engine()
    effects = e.handle([CancelJob(1, "job-000001")], 100.2, 0.0)
    effects = interleaved(e, effects, "job-000001")
    assert status_of(read_again(e, effects, "job-000001")) == [200]


def test_a_need_that_ends_while_it_is_read_was_accepted_all_the_same() -> None:
    e = engine()
    e.replica.put(FORMAT_KEY, {"format": 2}, 1)
    effects = e.handle([SubmitJob(1, spec(tethers=["job-7"]))], 100.2, 0.0)
    effects = interleaved(e, effects, "job-7")
    (creation,) = calls(read_again(e, effects, "job-7"), Transaction)
    assert [write.key for write in creation.request.writes] == [JOBS_PREFIX + "job-000001"]
