"""Command push: commands sent directly to a worker, without waiting for its next heartbeat."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from appledock import constants, wire
from appledock.core.commands import WorkerOutcome, WorkerReply
from appledock.core.effects import WorkerCall
from appledock.core.membership.membership import Membership
from appledock.core.runtime import Runtime
from appledock.core.workers.command_reconciler import CommandReconciler
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from appledock.core.workers.record import TaskKey, Worker
from appledock.core.workers.table import WorkerTable


@dataclass(frozen=True, slots=True)
class PushedLaunches:
    """The launches of one call, and the state of earlier launches when it was sent."""

    sent_at: float
    term: int
    keys: list[TaskKey]
    launched_before: dict[TaskKey, float]
    """copy of `SentCommands.launched_at` before the call"""
    unconfirmed_before: dict[TaskKey, int]
    """copy of `SentCommands.unconfirmed_launches` before the call"""


class CommandPusher:
    """Sends commands at once to the workers whose commands may have changed."""

    def __init__(
        self,
        runtime: Runtime,
        membership: Membership,
        table: WorkerTable,
        command_reconciler: CommandReconciler,
        intake: HeartbeatIntake,
    ) -> None:
        self.runtime = runtime
        self.membership = membership
        self.table = table
        self.command_reconciler = command_reconciler
        self.intake = intake
        self._due: set[str] = set()
        """workers whose commands may have changed"""

    def mark_due(self, machines: Iterable[str]) -> None:
        """Record that these machines' records have changed: their workers may need commands."""
        self._due.update(machines)

    def on_view(self) -> None:
        """Mark every worker as due, since launches have to be sent again under the new term."""
        for machine, worker in self.table.rows.items():
            worker.sent_commands.launched_at.clear()
            self._due.add(machine)

    def push_due(self) -> None:
        """Push commands to the workers that are due; a worker with a call in flight stays due."""
        due, self._due = self._due, set()
        if not self.membership.can_act():
            return
        for machine in sorted(due):
            worker = self.table.rows.get(machine)
            if worker is not None and self.table.owns(machine):
                if worker.reachability.calls_in_flight:
                    self._due.add(machine)
                else:
                    self._push(worker)

    def _push(self, worker: Worker) -> None:
        report = worker.report
        if report is None or not self._can_command(worker, report):
            return
        launched_before = dict(worker.sent_commands.launched_at)
        unconfirmed_before = dict(worker.sent_commands.unconfirmed_launches)
        commands = self.command_reconciler.commands_for(worker, pushed=True)
        if not commands:
            return
        term = self.membership.term
        keys = [
            (command.task, command.attempt) for command in commands if command.action == wire.LAUNCH
        ]
        pushed = PushedLaunches(self.runtime.now, term, keys, launched_before, unconfirmed_before)
        worker.sent_commands.unconfirmed_launches.update((key, term) for key in keys)
        worker.reachability.calls_in_flight += 1
        addr, orders = report.addr, wire.Orders(term, report.session, commands)
        self.runtime.call(
            lambda call_id: WorkerCall(call_id, addr, orders, constants.WORKER_COMMAND_TIMEOUT_S),
            lambda reply: self._on_reply(worker, pushed, reply),
        )

    def _can_command(self, worker: Worker, report: wire.Report) -> bool:
        return (
            not worker.reachability.calls_in_flight
            and self.membership.can_act()
            and report.session > worker.lease.expired_epoch
            and worker.id not in self.table.deleted_machines
        )

    def _on_reply(self, worker: Worker, pushed: PushedLaunches, reply: WorkerReply) -> None:
        worker.reachability.calls_in_flight -= 1
        if reply.outcome is WorkerOutcome.UNKNOWN:
            now = self.runtime.now
            worker.sent_commands.launched_at.update((key, now) for key in pushed.keys)
        else:
            executed = reply.outcome is WorkerOutcome.OK
            self._on_known_outcome(worker, pushed, executed)
        if reply.report is None:
            worker.reachability.probe_failed_at = self.runtime.now
        elif reply.report.worker == worker.id:
            self.intake.ingest_and_broadcast(reply.report)

    def _on_known_outcome(self, worker: Worker, pushed: PushedLaunches, executed: bool) -> None:
        sent_commands = worker.sent_commands
        if executed:
            sent_commands.replayable_launches.update((key, pushed.term) for key in pushed.keys)
        for key in pushed.keys:
            # If this call was not executed, that proves nothing about an earlier call with the
            # same launch, which may still be in flight or may have been executed.
            if sent_commands.unconfirmed_launches.get(key) == pushed.term and (
                executed or key not in pushed.unconfirmed_before
            ):
                del sent_commands.unconfirmed_launches[key]
            if not executed and sent_commands.launched_at.get(key) == pushed.sent_at:
                self._restore_launched(worker, pushed, key)

    @staticmethod
    def _restore_launched(worker: Worker, pushed: PushedLaunches, key: TaskKey) -> None:
        """Restore the time of the previous launch, since this one was not executed."""
        if key in pushed.launched_before:
            worker.sent_commands.launched_at[key] = pushed.launched_before[key]
        else:
            del worker.sent_commands.launched_at[key]
