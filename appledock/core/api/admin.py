"""Administration API, with which operators and consoles read and change the cluster's state.

Every controller answers from its own replica of the key-value store. Operators' tools rely on the
paths and JSON keys, so these must not change.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from appledock import constants
from appledock.core.api.admin_responses import AdminResponder
from appledock.core.api.admin_routes import (
    Handler,
    MethodNotAllowedError,
    Parameters,
    Route,
    RouteNotFoundError,
    RouteTable,
    route,
)
from appledock.core.api.capacity_api import CapacityAction, PartitionSharesApi
from appledock.core.api.console_feed import ConsoleFeed
from appledock.core.api.machine_actions import MachineAction, MachineActions
from appledock.core.api.settings_api import SettingsApi
from appledock.core.commands import AdminRequest
from appledock.core.effects import SetLogLevel
from appledock.core.runtime import Runtime

LOG_LEVELS = ("error", "info", "debug")

BodyReader = Callable[[], object]
"""Returns the JSON body of the answer to a `GET` request."""


class AdminApi:
    """Dispatches each request to the handler of its route."""

    def __init__(
        self,
        *,
        runtime: Runtime,
        responder: AdminResponder,
        readers: Mapping[str, BodyReader],
        console_feed: ConsoleFeed,
        settings: SettingsApi,
        machine_actions: MachineActions,
        capacity: PartitionSharesApi,
    ) -> None:
        self._runtime = runtime
        self._responder = responder
        self.console_feed = console_feed
        self._capacity = capacity
        self._routes = RouteTable(
            [
                *(route("GET", path, self._read_handler(read)) for path, read in readers.items()),
                route("GET", "settings", self._read_handler(settings.read)),
                route("PATCH", "settings", lambda request, _: settings.change(request)),
                route("GET", "changes/{incarnation}/{version}/{limit}", self._read_changes),
                *(self._capacity_route(action) for action in CapacityAction),
                *(_machine_route(machine_actions, action) for action in MachineAction),
                route("PUT", "log-level", self._set_log_level),
            ]
        )

    def handle(self, request: AdminRequest) -> None:
        """Answer a request.

        The status is 404 if the request has no route, and 405 if its path consists of one segment
        and exists with other methods only.
        """
        try:
            handler, parameters = self._routes.find(request.method, request.path)
        except MethodNotAllowedError:
            self._responder.refuse(request, 405, "method not allowed here")
        except RouteNotFoundError:
            self._responder.refuse(request, 404, "no such path")
        else:
            handler(request, parameters)

    # --- handlers ---------------------------------------------------------
    def _read_handler(self, read: BodyReader) -> Handler:
        return lambda request, _: self._responder.answer(request, read())

    def _capacity_route(self, action: CapacityAction) -> Route:
        return route(
            "POST",
            f"capacity/{action}",
            lambda request, _: self._capacity.handle(request, action),
        )

    def _read_changes(self, request: AdminRequest, parameters: Parameters) -> None:
        """Answer with the console rows that changed after the version that a console has.

        Each controller process counts versions of its own, so a console sends the incarnation
        along with the version.
        """
        incarnation, version, limit = parameters
        rows_max = constants.CONSOLE_ROWS_MAX
        if not version.isdecimal() or not limit.isdecimal() or not 1 <= int(limit) <= rows_max:
            error = f"changes/INCARNATION/VERSION/ROWS: integers, ROWS from 1 to {rows_max}"
            self._responder.refuse(request, 400, error)
            return
        changes = self.console_feed.changes_since(incarnation, int(version), int(limit))
        self._responder.answer(request, changes)

    def _set_log_level(self, request: AdminRequest, _: Parameters) -> None:
        level = request.body.get("level") if isinstance(request.body, dict) else None
        if level not in LOG_LEVELS:
            self._responder.refuse(request, 400, f"level: one of {', '.join(LOG_LEVELS)}")
            return
        self._runtime.emit(SetLogLevel(level))
        self._responder.answer(request, {"level": level})


def _machine_route(machine_actions: MachineActions, action: MachineAction) -> Route:
    return route(
        "POST",
        f"machines/{{name}}/{action}",
        lambda request, parameters: machine_actions.carry_out(request, parameters[0], action),
    )
