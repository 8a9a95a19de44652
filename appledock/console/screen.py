"""The console's screen: controllers, teams, partitions, workers by load, and moves under way.

Only cells that have changed are redrawn, which also limits the traffic of a remote terminal.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, ClassVar

import msgspec
from textual import work
from textual.app import App, ComposeResult
from textual.binding import Binding, BindingType
from textual.widgets import DataTable, Footer, Static

from appledock import constants as c
from appledock.console.changes import Mirror
from appledock.console.request_planner import PlannedRequest, RequestPlanner
from appledock.console.rows import (
    Changes,
    ClusterRow,
    ControllerRow,
    MoveRow,
    PartitionRow,
    Row,
    TeamRow,
    WorkerRow,
)
from appledock.net.http import Client, NoAnswer, NotSent
from appledock.settings import split_address

LOAD_BAR_WIDTH = 10
COLUMNS = {
    "controller": ("controller", "role", "heard", "workers"),
    "team": ("team", "cores", "most on one", "worker", "in bound"),
    "partition": ("partition", "target", "held", "leaving", "tasks", "controller"),
    "worker": ("worker", "load", "", "owner", "teams", "note"),
    "move": ("move", "from", "to", "state"),
}
"""kind of row -> headings of its table"""


def format_row(name: str, row: Row) -> tuple[str, ...]:
    """Return the cells of a row, in the order of `COLUMNS`."""
    match row:
        case ControllerRow():
            return (name, row.role, "yes" if row.reachable else "NO", str(row.workers))
        case TeamRow():
            bound = "yes" if row.within_bound else "NO"
            return (
                name,
                f"{row.cpus:g}/{row.cpus_max:g}",
                f"{row.max_machine_share:.2f}",
                row.machine,
                bound,
            )
        case PartitionRow():
            counts = (str(row.target), str(row.held), str(row.leaving), str(row.tasks))
            return (name, *counts, row.controller)
        case WorkerRow():
            return (
                name,
                f"{row.load:.2f}",
                format_load_bar(row.load),
                row.owner,
                row.teams,
                row.note,
            )
        case MoveRow():
            return (name, row.source, row.destination, row.state)
        case ClusterRow():
            return (name,)


def format_load_bar(load: float) -> str:
    """Return a bar of fixed width for a load; a load of 1 or more fills it."""
    filled = min(LOAD_BAR_WIDTH, round(load * LOAD_BAR_WIDTH))
    return "#" * filled + "." * (LOAD_BAR_WIDTH - filled)


class Console(App[None]):
    """The console application: polls a controller and shows its rows."""

    CSS = """
    #cluster, #link { height: 1; }
    #link { color: $warning; }
    DataTable { height: auto; max-height: 8; margin-bottom: 1; }
    #worker { height: 1fr; max-height: 100%; }
    """
    BINDINGS: ClassVar[list[BindingType]] = [
        Binding("q", "quit", "Quit"),
        Binding("p", "pause", "Pause or resume moves"),
    ]

    def __init__(self, planner: RequestPlanner) -> None:
        super().__init__()
        self.planner = planner
        self.mirror = Mirror()
        self.clients: dict[str, Client] = {}
        # Widgets are kept as attributes, since looking them up fails if a response arrives while
        # the screen is being removed.
        self.cluster_line = Static("", id="cluster")
        self.failure_line = Static("", id="link")
        self.tables: dict[str, DataTable[str]] = {
            kind: DataTable(id=kind, cursor_type="row" if kind == "worker" else "none")
            for kind in COLUMNS
        }

    def compose(self) -> ComposeResult:
        """Yield the widgets of the screen, from top to bottom."""
        yield self.cluster_line
        yield self.failure_line
        yield from self.tables.values()
        yield Footer()

    def on_mount(self) -> None:
        """Add the headings and start to poll."""
        for kind, headings in COLUMNS.items():
            table = self.tables[kind]
            for column, heading in enumerate(headings):
                table.add_column(heading, key=str(column))
        self._update_header()
        self.poll_changes()

    # --- polling ----------------------------------------------------------
    @work(exclusive=True)
    async def poll_changes(self) -> None:
        """Request changes until the console ends."""
        while True:
            request = self.planner.next_request()
            await self._sleep_until(request.send_at)
            await self._poll(request)
            self._update_header()

    async def _sleep_until(self, wake_at: float) -> None:
        await asyncio.sleep(max(0.0, wake_at - time.monotonic()))

    async def _poll(self, request: PlannedRequest) -> None:
        mirror = self.mirror
        path = f"changes/{mirror.incarnation}/{mirror.version}/{request.max_rows}"
        try:
            status, body = await self._send_request(request.address, "GET", path)
            if status != 200:
                self.planner.on_failure(time.monotonic(), f"HTTP status {status}")
                return
            changes = msgspec.json.decode(body, type=Changes)
            changed, removed = mirror.apply(changes)
        except (NotSent, NoAnswer, msgspec.DecodeError) as error:
            self.planner.on_failure(time.monotonic(), str(error) or type(error).__name__)
            return
        count = len(changes.rows) + len(changes.dropped)
        self.planner.on_response(time.monotonic(), len(body), count, changes.more)
        self._update_tables(changed, removed)

    async def _send_request(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        client = self.clients.get(address)
        if client is None:
            client = self.clients[address] = Client(*split_address(address), max_connections=2)
        return await client.request(method, f"/admin/v1/{path}", body, c.CONSOLE_TIMEOUT_S)

    # --- display ----------------------------------------------------------
    def _update_tables(self, changed: set[str], removed: set[str]) -> None:
        for key in removed:
            kind, _, name = key.partition("/")
            if kind in COLUMNS and name in self.tables[kind].rows:
                self.tables[kind].remove_row(name)
        for key in sorted(changed):
            kind, _, name = key.partition("/")
            if kind in COLUMNS:
                self._update_row(self.tables[kind], name, format_row(name, self.mirror.rows[key]))
        if any(key.startswith("worker/") for key in changed | removed):
            self.tables["worker"].sort("1", reverse=True)

    @staticmethod
    def _update_row(table: DataTable[str], name: str, cells: tuple[str, ...]) -> None:
        if name not in table.rows:
            table.add_row(*cells, key=name)
            return
        for column, text in enumerate(cells):
            if table.get_cell(name, str(column)) != text:
                table.update_cell(name, str(column), text, update_width=True)

    def _update_header(self) -> None:
        """Update the two lines at the top: the cluster, and the controllers that failed."""
        row = self.mirror.rows.get("cluster/")
        if isinstance(row, ClusterRow):
            self.cluster_line.update(
                f"appledock  asked: {row.node}  jobs {row.jobs}  queued tasks {row.queued_tasks}"
                f"  mean load {row.mean_load:.2f}  moves {row.moves}, {row.moves_done} done"
            )
        failures = self.planner.describe_failures()
        if failures:
            failures = f"no answer from {failures}; asking {self.planner.address}"
        self.failure_line.update(failures)

    # --- keys -------------------------------------------------------------
    @work
    async def action_pause(self) -> None:
        """Pause moves, or resume them."""
        row = self.mirror.rows.get("cluster/")
        paused = isinstance(row, ClusterRow) and row.moves == "paused"
        body: dict[str, Any] = {"settings": {"moves_paused": None if paused else 1}}
        try:
            status, answer = await self._send_request(
                self.planner.address, "PATCH", "settings", msgspec.json.encode(body)
            )
        except (NotSent, NoAnswer) as error:
            self.notify(f"not changed: {error}", severity="error")
            return
        if status == 200:
            self.notify("moves resumed" if paused else "moves paused")
        else:
            self.notify(f"not changed: {answer.decode()}", severity="error")
