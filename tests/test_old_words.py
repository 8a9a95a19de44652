"""Reports and words of peers that arrive after they should, or not at all."""

from __future__ import annotations

import pytest

from appledock import constants as c
from appledock import wire
from appledock.core.cloud_calls import DeleteMachines
from appledock.core.commands import HeartbeatReceived, PeerMessageReceived, Tick
from appledock.core.effects import CloudCall
from appledock.core.fleet import PendingDeletion, ScaleInReason
from appledock.core.messages import UnchangedHeartbeat, UnchangedHeartbeats
from appledock.core.records.job import HandoffTarget
from tests.test_launches import NOW, leading, report, running


@pytest.mark.parametrize("direct", [True, False])
def test_a_copy_of_a_deleted_machines_report_does_not_bring_it_back(direct: bool) -> None:
    """Rows of deleted machines stayed for ever, silent: with enough of them the leader took
    every trouble for its own and deleted no silent machine any more."""
    e = leading()
    e.handle([HeartbeatReceived(1, report(1))], NOW, 0.0)
    assert e.fleet.unresponsive.are_most_workers_reporting()
    e.workers.mark_deleted(["vm-1"])
    if direct:  # to the controller itself, or as the late answer to a question
        e.handle([HeartbeatReceived(2, report(2))], NOW + 1, 0.0)
    else:
        e.workers.ingest_heartbeat(report(2))
    assert "vm-1" not in e.workers.table
    e.handle([], NOW + 60, 0.0)
    assert e.fleet.unresponsive.are_most_workers_reporting()


def test_a_report_whose_number_alone_is_known_is_news() -> None:
    """The link lost the report that showed the task's end; word came that the reports after
    it showed nothing new. Sent again when the link opened, it was dropped as known."""
    e = leading()
    task = wire.TaskReport("job-000001/0", 1, wire.RUNNING)
    over = wire.TaskReport("job-000001/0", 1, wire.EXITED, wire.DONE)
    e.workers.intake.ingest(report(5, tasks=[task]), 0.0)
    e.workers.on_peer_message(UnchangedHeartbeats([UnchangedHeartbeat("vm-1", 1, 7, 0.1, 0.1)]))
    assert not e.workers.intake.ingest(report(6, tasks=[task]), 0.0)
    assert e.workers.intake.ingest(report(7, tasks=[over]), 0.0)
    assert e.workers.table["vm-1"].tasks[("job-000001/0", 1)].state == wire.EXITED
    assert not e.workers.intake.ingest(report(7, tasks=[task]), 0.0)


def test_a_wish_to_stop_a_job_of_somebody_else_is_not_kept() -> None:
    """Sent under a view that is over, it was carried out when the job came back, minutes
    later, on whatever ran there then."""
    e = leading()
    view = e.replica.view
    assert view is not None
    view.members["n1"] = "y"
    job = running(e, 3)
    job.handoff_target = HandoffTarget("n1", "y")
    stop = {"kind": "stop", "job": job.id, "machine": "vm-1", "tasks": [0]}
    e.handle([PeerMessageReceived(stop)], NOW, 0.0)
    job.handoff_target = HandoffTarget("n0", "x.1")
    e.handle([PeerMessageReceived(stop)], NOW, 0.0)
    assert [bool(e.stop_requests.pending), bool(e.job_writer.queued_calls)] == [
        False,
        True,
    ]  # that one is written
    del e.job_writer.queued_calls[job.id]
    e.job_writer.jobs_in_flight.clear()
    job.handoff_target = HandoffTarget("n1", "y")
    e.handle([PeerMessageReceived(stop)], NOW + 1, 0.0)
    job.handoff_target = HandoffTarget("n0", "x.1")
    e.reconcile_queue.jobs.add(job.id)
    e.handle([Tick()], NOW + 2, 0.0)
    assert not e.job_writer.queued_calls


@pytest.mark.parametrize("why", ["mute", "silent", "never came up", "failed"])
def test_a_machine_that_is_well_again_is_not_deleted_when_the_cloud_answers(why: str) -> None:
    e = leading()
    e.handle([HeartbeatReceived(1, report(1))], NOW, 0.0)
    e.fleet.leader_since = NOW - 100
    e.fleet.deletions.pending["vm-1"] = PendingDeletion(
        NOW - c.DELETION_CORDON_S, ScaleInReason(why), True
    )
    e.fleet.cloud.paused_until = NOW + 5  # the cloud is down; meanwhile the machine goes on
    for seq in range(2, 6):
        e.handle([HeartbeatReceived(seq, report(seq))], NOW + seq, 0.0)
    e.fleet.delete_surplus([])
    deletes = [
        x
        for x in e.handle([], NOW + 6, 0.0)
        if isinstance(x, CloudCall) and isinstance(x.request, DeleteMachines)
    ]
    assert bool(deletes) is (why == "failed")


@pytest.mark.parametrize("steps", [True, False])
def test_a_machine_with_steps_came_up_whatever_an_old_list_says(steps: bool) -> None:
    """A leader that got its lead back, cut off from the others, went by its last list, in
    which the machine was starting, and deleted it with the services on it."""
    e = leading()
    e.fleet.leader_since = NOW - 1
    row = wire.Machine("vm-1", "h4", "a", wire.BOOTING, "10.0.0.9:1", False, 3.0)
    inventory = e.fleet.inventory
    inventory.listed, inventory.listed_at = {"vm-1": row}, NOW - 200
    if steps:
        running(e, 3)
    e.fleet.delete_surplus([])
    assert ("vm-1" in e.fleet.deletions.pending) is not steps
