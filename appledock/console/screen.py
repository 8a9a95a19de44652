"""The console's first screen: controllers, teams, workers by load, and moves under way.

Only cells that changed are drawn again, so the terminal's own link carries little as well.
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
from appledock.console.link import Ask, Link
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

BAR_CELLS = 10
COLUMNS = {
    "controller": ("controller", "role", "heard", "workers"),
    "team": ("team", "cores", "most on one", "worker", "in bound"),
    "partition": ("partition", "target", "held", "leaving", "tasks", "controller"),
    "worker": ("worker", "load", "", "owner", "teams", "note"),
    "move": ("move", "from", "to", "state"),
}
"""kind of rows -> headings of its table"""


def cells(name: str, row: Row) -> tuple[str, ...]:
    """The cells of a row, in the order of `COLUMNS`."""
    match row:
        case ControllerRow():
            return (name, row.role, "yes" if row.reached else "NO", str(row.workers))
        case TeamRow():
            bound = "yes" if row.within else "NO"
            return (name, f"{row.cpus:g}/{row.cpus_max:g}", f"{row.most:.2f}", row.machine, bound)
        case PartitionRow():
            counts = (str(row.target), str(row.held), str(row.leaving), str(row.tasks))
            return (name, *counts, row.controller)
        case WorkerRow():
            return (name, f"{row.load:.2f}", bar(row.load), row.owner, row.teams, row.note)
        case MoveRow():
            return (name, row.source, row.destination, row.state)
        case ClusterRow():
            return (name,)


def bar(load: float) -> str:
    """A load as a bar; beyond the whole it is full."""
    full = min(BAR_CELLS, round(load * BAR_CELLS))
    return "#" * full + "." * (BAR_CELLS - full)


class Console(App[None]):
    """The screen."""

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

    def __init__(self, link: Link) -> None:
        super().__init__()
        self.link = link
        self.mirror = Mirror()
        self.clients: dict[str, Client] = {}
        # Kept here, not looked up: an answer may come while the screen is taken down.
        self.cluster_line = Static("", id="cluster")
        self.link_line = Static("", id="link")
        self.tables: dict[str, DataTable[str]] = {
            kind: DataTable(id=kind, cursor_type="row" if kind == "worker" else "none")
            for kind in COLUMNS
        }

    def compose(self) -> ComposeResult:
        """The parts of the screen, from top to bottom."""
        yield self.cluster_line
        yield self.link_line
        yield from self.tables.values()
        yield Footer()

    def on_mount(self) -> None:
        """Add the headings and begin to ask."""
        for kind, headings in COLUMNS.items():
            table = self.tables[kind]
            for place, heading in enumerate(headings):
                table.add_column(heading, key=str(place))
        self._say()
        self.follow()

    # --- asking -----------------------------------------------------------
    @work(exclusive=True)
    async def follow(self) -> None:
        """Ask for changes until the console ends."""
        while True:
            ask = self.link.ask()
            await self._pause_until(ask.at)
            await self._ask(ask)
            self._say()

    async def _pause_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, at - time.monotonic()))

    async def _ask(self, ask: Ask) -> None:
        mirror = self.mirror
        path = f"changes/{mirror.incarnation}/{mirror.version}/{ask.rows}"
        try:
            status, body = await self._request(ask.address, "GET", path)
            if status != 200:
                self.link.failed(time.monotonic(), f"answers {status}")
                return
            changes = msgspec.json.decode(body, type=Changes)
            changed, gone = mirror.apply(changes)
        except (NotSent, NoAnswer, msgspec.DecodeError) as error:
            self.link.failed(time.monotonic(), str(error) or type(error).__name__)
            return
        count = len(changes.rows) + len(changes.dropped)
        self.link.answered(time.monotonic(), len(body), count, changes.more)
        self._show(changed, gone)

    async def _request(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        client = self.clients.get(address)
        if client is None:
            client = self.clients[address] = Client(*split_address(address), most=2)
        return await client.request(method, f"/admin/v1/{path}", body, c.CONSOLE_TIMEOUT_S)

    # --- showing ----------------------------------------------------------
    def _show(self, changed: set[str], gone: set[str]) -> None:
        for key in gone:
            kind, _, name = key.partition("/")
            if kind in COLUMNS and name in self.tables[kind].rows:
                self.tables[kind].remove_row(name)
        for key in sorted(changed):
            kind, _, name = key.partition("/")
            if kind in COLUMNS:
                self._show_row(self.tables[kind], name, cells(name, self.mirror.rows[key]))
        if any(key.startswith("worker/") for key in changed | gone):
            self.tables["worker"].sort("1", reverse=True)

    @staticmethod
    def _show_row(table: DataTable[str], name: str, shown: tuple[str, ...]) -> None:
        if name not in table.rows:
            table.add_row(*shown, key=name)
            return
        for place, text in enumerate(shown):
            if table.get_cell(name, str(place)) != text:
                table.update_cell(name, str(place), text, update_width=True)

    def _say(self) -> None:
        """The two lines at the top: the cluster, and the link."""
        row = self.mirror.rows.get("cluster/")
        if isinstance(row, ClusterRow):
            self.cluster_line.update(
                f"appledock  asked: {row.node}  jobs {row.jobs}  queued tasks {row.queued_tasks}"
                f"  mean load {row.mean_load:.2f}  moves {row.moves}, {row.moves_done} done"
            )
        trouble = self.link.trouble()
        if trouble:
            trouble = f"no answer from {trouble}; asking {self.link.address}"
        self.link_line.update(trouble)

    # --- keys -------------------------------------------------------------
    @work
    async def action_pause(self) -> None:
        """Pause moves, or resume them."""
        row = self.mirror.rows.get("cluster/")
        paused = isinstance(row, ClusterRow) and row.moves == "paused"
        body: dict[str, Any] = {"settings": {"moves_paused": None if paused else 1}}
        try:
            status, answer = await self._request(
                self.link.address, "PATCH", "settings", msgspec.json.encode(body)
            )
        except (NotSent, NoAnswer) as error:
            self.notify(f"not changed: {error}", severity="error")
            return
        if status == 200:
            self.notify("moves go on" if paused else "no new moves")
        else:
            self.notify(f"not changed: {answer.decode()}", severity="error")
