"""Operators' actions on single machines: cordon, uncordon and drain."""

from __future__ import annotations

import enum
from collections.abc import Callable

from appledock.core.api.admin_responses import AdminResponder
from appledock.core.commands import AdminRequest
from appledock.core.membership.membership import Membership
from appledock.core.workers import Workers


class MachineAction(enum.StrEnum):
    """An action on a machine; its value is the last segment of the request's path."""

    CORDON = "cordon"
    UNCORDON = "uncordon"
    DRAIN = "drain"


class MachineActions:
    """Carries out operators' actions on machines."""

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
        """Carry out the action and answer with the reason for which the machine is now cordoned.

        The status is 404 if no worker of this name has reported, and 503 if this controller has no
        authority.
        """
        worker = self._workers.table.get(machine)
        if worker is None or worker.report is None:
            self._responder.refuse(request, 404, f"no such machine: {machine}")
        elif not self._membership.can_act():
            self._responder.refuse(request, 503, "this controller has no authority now")
        else:
            self._apply_operator_action(machine, action.value)
            reason = worker.placement.cordon_reason or None
            self._responder.answer(request, {"id": machine, "cordoned": reason})
