"""What operators do with single machines: cordon, uncordon, drain."""

from __future__ import annotations

import enum
from collections.abc import Callable

from appledock.core.api.admin_responses import AdminResponder
from appledock.core.commands import AdminRequest
from appledock.core.membership.membership import Membership
from appledock.core.workers import Workers


class MachineAction(enum.StrEnum):
    """The last segment of the request's path."""

    CORDON = "cordon"
    UNCORDON = "uncordon"
    DRAIN = "drain"


class MachineActions:
    """Carries out the actions of operators on machines."""

    def __init__(
        self,
        workers: Workers,
        membership: Membership,
        responder: AdminResponder,
        apply_operator_action: Callable[[str, str], None],
    ) -> None:
        self._workers = workers
        self._membership = membership
        self._responder = responder
        self._apply_operator_action = apply_operator_action

    def carry_out(self, request: AdminRequest, machine: str, action: MachineAction) -> None:
        """Act and answer with the machine's cordon; 404 unless its worker has reported."""
        worker = self._workers.table.get(machine)
        if worker is None or worker.report is None:
            self._responder.refuse(request, 404, f"no such machine: {machine}")
        elif not self._membership.can_act():
            self._responder.refuse(request, 503, "this controller has no authority now")
        else:
            self._apply_operator_action(machine, action.value)
            reason = worker.placement.cordon_reason or None
            self._responder.answer(request, {"id": machine, "cordoned": reason})
