"""Answers to workers' heartbeats: commands from the owner, or a redirect to the owner."""

from __future__ import annotations

from appledock import wire
from appledock.core.effects import Response
from appledock.core.membership.membership import Membership
from appledock.core.runtime import Runtime
from appledock.core.workers.command_reconciler import CommandReconciler
from appledock.core.workers.heartbeat_intake import HeartbeatIntake
from appledock.core.workers.observers import WorkerObservers
from appledock.core.workers.record import NOT_MISDIRECTED
from appledock.core.workers.redirects import Redirects
from appledock.core.workers.table import WorkerTable


class HeartbeatResponder:
    """Answers heartbeats within the authority of this controller.

    An answer renews the worker's lease. So it is given only while this controller has authority,
    and only to a worker that it owns and whose agent epoch has not expired. Each answer raises
    `renewable_until`, since lease expiry counts from the last possible answer.
    """

    def __init__(
        self,
        runtime: Runtime,
        membership: Membership,
        table: WorkerTable,
        intake: HeartbeatIntake,
        command_reconciler: CommandReconciler,
        redirects: Redirects,
        observers: WorkerObservers,
    ) -> None:
        self.runtime = runtime
        self.membership = membership
        self.table = table
        self.intake = intake
        self.command_reconciler = command_reconciler
        self.redirects = redirects
        self.observers = observers

    def on_heartbeat(self, request_id: int, report: wire.Report) -> None:
        """Apply a heartbeat received directly from its worker, and answer it."""
        if not self.membership.can_act():
            self._ingest_without_authority(report)
            self._refuse(request_id, "not entitled")
        elif report.worker in self.table.deleted_machines:
            self._refuse(request_id, "machine is gone")
        elif self.table.owns(report.worker):
            self._answer_as_owner(request_id, report)
        else:
            self.runtime.emit(Response(request_id, 421, self.redirects.redirect(report)))

    def _refuse(self, request_id: int, reason: str) -> None:
        self.runtime.emit(Response(request_id, 503, {"error": reason}))

    def _ingest_without_authority(self, report: wire.Report) -> None:
        """Apply a heartbeat that this controller must not answer.

        The heartbeat still shows which tasks have ended, and which tasks of cancelled jobs have
        not.
        """
        worker = self.table.rows.get(report.worker)
        if worker is not None and worker.report is not None:
            self.intake.ingest(report)
        self.observers.on_unanswerable_heartbeat(report)

    def _answer_as_owner(self, request_id: int, report: wire.Report) -> None:
        worker = self.table.get_or_create(report.worker)
        worker.reachability.misdirected = NOT_MISDIRECTED
        if report.token > self.membership.term:
            # A newer view exists, and the worker would reject an answer with an older token.
            self.observers.on_view_confirmation_needed()
            self._refuse(request_id, "newer view")
            return
        if report.session <= worker.lease.expired_epoch or not self.intake.ingest_and_broadcast(
            report
        ):
            self._refuse(request_id, "outdated report")
            return
        commands = self.command_reconciler.commands_for(worker, pushed=False)
        worker.lease.renewable_until = max(worker.lease.renewable_until, self.runtime.now)
        self.runtime.emit(
            Response(request_id, 200, wire.ReportAnswer(self.membership.term, commands))
        )
