"""A launch that was sent before, and one of the same that was not sent."""

from __future__ import annotations

import pytest

from appledock import wire
from appledock.core.commands import HeartbeatReceived, WorkerOutcome, WorkerReply
from appledock.core.controller import Controller
from appledock.core.effects import Effect, Response, WorkerCall
from appledock.core.membership.membership import MembershipState
from appledock.core.records.job import Attempt, Job
from appledock.core.store.keys import MEMBERS_PREFIX, VIEW_KEY
from tests.test_requests import engine, spec

NOW = 200.0


def leading(now: float = NOW) -> Controller:
    """The only member of its view, with authority, and one machine that reports."""
    e = engine()
    e.reader.watching = True
    e.replica.put(MEMBERS_PREFIX + "n0", {"incarnation": "x.1", "lease": 1}, 1)
    e.replica.put(VIEW_KEY, {"term": 1, "members": {"n0": "x.1"}, "leader": "n0"}, 1)
    e.replica.advance(9)
    member = e.membership
    member.state, member.incarnation, member.lease = MembershipState.JOINED, "x.1", 1
    member.lease_renewed_at = member.view_confirmed_at = now
    e.handle([], now, 0.0)
    return e


def report(seq: int, token: int = 1, tasks: list[wire.TaskReport] | None = None) -> wire.Report:
    return wire.Report("vm-1", "10.0.0.9:1", "h4", "a", 1, seq, token, False, None, tasks or [])


def running(e: Controller, version: int, stopping: bool = False) -> Job:
    job = Job(spec(crates=1), 0, version, 1)
    job.attempts.append(Attempt("vm-1", 1, 1, 1, stopping, {0}))
    e.replica.set_job(job)
    return job


def worker_calls(effects: list[Effect]) -> list[WorkerCall]:
    return [x for x in effects if isinstance(x, WorkerCall) and x.orders is not None]


def told(effects: list[Effect]) -> list[str]:
    return [
        command.action
        for reply in effects
        if isinstance(reply, Response) and isinstance(reply.body, wire.ReportAnswer)
        for command in reply.body.commands
    ]


@pytest.mark.parametrize(
    "outcome", [WorkerOutcome.NOT_SENT, WorkerOutcome.STALE], ids=["not_sent", "stale"]
)
def test_a_launch_in_an_answer_is_remembered_when_the_same_is_not_sent_later(
    outcome: WorkerOutcome,
) -> None:
    """The answer to a report had launched the task. The machine then fell silent, a second
    launch did not reach it, and the stopped attempt counted as never launched: it was
    settled, and the next one ran elsewhere at the same time."""
    e = leading()
    e.handle([HeartbeatReceived(1, report(1))], NOW, 0.0)
    running(e, 3)
    assert told(e.handle([HeartbeatReceived(2, report(2))], NOW + 0.1, 0.0)) == [wire.LAUNCH]
    e.workers.request_commands(["vm-1"])  # another record of the machine changes
    (call,) = worker_calls(e.handle([], NOW + 1.5, 0.0))
    assert [x.action for x in call.orders.commands] == [wire.LAUNCH]  # type: ignore[union-attr]
    e.handle([WorkerReply(call.call_id, outcome)], NOW + 2.5, 0.0)
    job = running(e, 4, stopping=True)
    assert e.workers.verdict(job, job.attempts[0], 0) is None
    # It is sent again all the same, as long as the record wants it.
    running(e, 5)
    assert told(e.handle([HeartbeatReceived(3, report(3))], NOW + 2.6, 0.0)) == [wire.LAUNCH]


def test_a_launch_without_an_answer_stays_uncertain_when_the_same_is_not_sent_later() -> None:
    """The first launch was held up in the network, the second one refused. Then the first
    counted as sure: the attempt was settled, or forgotten, before it arrived."""
    e = leading()
    e.handle([HeartbeatReceived(1, report(1))], NOW, 0.0)
    running(e, 3)
    (call,) = worker_calls(e.handle([], NOW + 0.1, 0.0))
    e.handle([WorkerReply(call.call_id, WorkerOutcome.UNKNOWN)], NOW + 3.1, 0.0)
    e.workers.request_commands(["vm-1"])
    (call,) = worker_calls(e.handle([], NOW + 4.5, 0.0))
    e.handle([WorkerReply(call.call_id, WorkerOutcome.NOT_SENT)], NOW + 5.5, 0.0)
    job = running(e, 4, stopping=True)
    assert e.workers.verdict(job, job.attempts[0], 0) is None
    # Stopped by an answer, reported, recorded: still not to be forgotten under this term.
    e.replica.drop("ad/live/jobs/" + job.id, 5)
    over = [wire.TaskReport(f"{job.id}/0", 1, wire.EXITED, wire.STOPPED)]
    assert told(e.handle([HeartbeatReceived(2, report(2, 1, over))], NOW + 5.6, 0.0)) == []


def test_a_launch_that_was_never_sent_settles_at_once() -> None:
    e = leading()
    e.handle([HeartbeatReceived(1, report(1))], NOW, 0.0)
    running(e, 3)
    (call,) = worker_calls(e.handle([], NOW + 0.1, 0.0))
    e.handle([WorkerReply(call.call_id, WorkerOutcome.NOT_SENT)], NOW + 1.1, 0.0)
    job = running(e, 4, stopping=True)
    assert e.workers.verdict(job, job.attempts[0], 0) == "settled"
