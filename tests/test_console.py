"""The terminal console: rows and their changes, whom it asks and how much, and the screen."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from appledock import constants as c
from appledock.cli import main
from appledock.console.changes import Mirror, VersionedRows
from appledock.console.request_planner import RequestPlanner
from appledock.console.rows import Changes, ClusterRow, ControllerRow, Row, TeamRow, WorkerRow
from appledock.console.screen import Console
from appledock.core.commands import AdminRequest, HeartbeatReceived
from appledock.core.effects import Response
from appledock.net.http import NotSent
from tests.standins.spreading import crowded, rules
from tests.test_launches import NOW, leading, report

Patch = pytest.MonkeyPatch


def worker(load: float) -> WorkerRow:
    return WorkerRow("n0", load, "", "")


# --- changes -----------------------------------------------------------------
turns = st.lists(
    st.tuples(
        st.dictionaries(st.sampled_from(["worker/a", "worker/b", "worker/c"]), st.integers(0, 2)),
        st.integers(1, 3),
        st.booleans(),
        st.booleans(),
    ),
    max_size=12,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(turns=turns)
def test_a_mirror_that_has_caught_up_shows_the_rows(turns: Any) -> None:
    """Against the plainest model: the rows themselves. Controllers end, consoles lag."""
    changes, mirror, lives = VersionedRows("x.0"), Mirror(), 0
    rows: dict[str, Row] = {}
    for loads, limit, asks, ends in turns:
        if ends:
            lives += 1
            changes = VersionedRows(f"x.{lives}")
        rows = {key: worker(load) for key, load in loads.items()}
        changes.update(rows)
        if asks:
            mirror.apply(changes.changes_since(mirror.incarnation, mirror.version, limit))
    for _ in range(30):
        told = over_the_wire(changes.changes_since(mirror.incarnation, mirror.version, 1))
        assert len(told.rows) + len(told.dropped) <= 1
        mirror.apply(told)
        if not told.more and not told.rows and not told.dropped:
            break
    assert mirror.rows == rows


def over_the_wire(changes: Changes) -> Changes:
    return msgspec.json.decode(msgspec.json.encode(changes), type=Changes)


def test_rows_that_are_gone_are_remembered_within_a_bound(monkeypatch: Patch) -> None:
    monkeypatch.setattr(c, "CONSOLE_TOMBSTONES_MAX", 10)
    changes, mirror, lagging = VersionedRows("x"), Mirror(), Mirror()
    changes.update({"worker/old": worker(1.0), "worker/kept": worker(0.5)})
    for one in (mirror, lagging):
        one.apply(changes.changes_since(one.incarnation, one.version, 100))
    for number in range(100):
        changes.update({f"worker/{number}": worker(0.1), "worker/kept": worker(0.5)})
        mirror.apply(changes.changes_since(mirror.incarnation, mirror.version, 100))
    assert len(changes._rows) <= 13
    told = changes.changes_since(lagging.incarnation, lagging.version, 100)
    assert told.full, "it begins anew"
    lagging.apply(told)
    assert lagging.rows == mirror.rows


def test_rows_of_a_later_version_are_passed_over() -> None:
    changes = Changes("x", 3, True, {"comet/1": [1], "worker/a": ["n0", 0.5, "", "", 9]}, [], False)
    mirror = Mirror()
    assert mirror.apply(changes) == ({"worker/a"}, set())
    with pytest.raises(msgspec.ValidationError):
        mirror.apply(Changes("x", 4, False, {"worker/a": ["n0", "much", "", ""]}, [], False))


# --- the link ----------------------------------------------------------------
def test_it_takes_no_more_of_its_link_than_was_said() -> None:
    rng, now, received = random.Random(1), 0.0, 0
    planner = RequestPlanner(["a:1"], 1000.0)
    while now < 600.0:
        request = planner.next_request()
        now = max(now, request.send_at) + 0.05
        rows = min(request.max_rows, rng.choice([0, 3, 40, 500]))
        size = 150 + sum(rng.randint(40, 200) for _ in range(rows))
        received += size + c.CONSOLE_HEADERS_BYTES
        planner.on_response(now, size, rows, more=rows == request.max_rows)
    assert received <= 1000.0 * (600.0 + 2 * c.CONSOLE_RESPONSE_TARGET_S)
    assert received >= 0.3 * 1000.0 * 600.0


def test_it_goes_on_with_another_controller_and_says_which_it_tried() -> None:
    planner = RequestPlanner(["a:1", "b:1", "c:1"], 1000.0)
    planner.on_failure(10.0, "refused")
    assert (planner.next_request().address, planner.next_request().send_at) == ("b:1", 10.0)
    planner.on_failure(14.0, "no answer")
    planner.on_failure(14.1, "refused")
    assert (
        planner.next_request().address == "a:1"
        and planner.next_request().send_at == 14.1 + c.CONSOLE_RETRY_DELAY_S
    )
    assert planner.describe_failures() == "a:1: refused; b:1: no answer; c:1: refused"
    planner.on_response(20.0, 500, 5, False)
    assert planner.describe_failures() == "" and planner.next_request().address == "a:1"


# --- the screen --------------------------------------------------------------
class Cluster:
    """Controllers that answer from rows, or not at all."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {
            "cluster/": ClusterRow("n0", 3, 0, 0.4, "on", 7),
            "controller/n0": ControllerRow("leader", True, 2),
            "team/red": TeamRow(4.0, 24.0, 0.5, "vm-1", False),
            "worker/vm-1": worker(0.9),
            "worker/vm-2": worker(0.1),
        }
        self.changes = {name: VersionedRows(name) for name in ("a:1", "b:1")}
        self.down: set[str] = set()
        self.asked: list[tuple[str, str]] = []

    async def request(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        self.asked.append((address, method))
        if address in self.down:
            raise NotSent("refused")
        if method == "PATCH":
            return 200, b"{}"
        _, incarnation, version, limit = path.split("/")
        self.changes[address].update(self.rows)
        told = self.changes[address].changes_since(incarnation, int(version), int(limit))
        return 200, msgspec.json.encode(told)


def on_screen(patch: Patch, play: Callable[[Cluster, Console, Any], Any]) -> None:
    """Play something on a console that is fast and has no terminal."""
    cluster = Cluster()
    for name in ("CONSOLE_POLL_INTERVAL_S", "CONSOLE_RETRY_DELAY_S"):
        patch.setattr(c, name, 0.01)
    patch.setattr(Console, "_send_request", cluster.request)

    async def run() -> None:
        console = Console(RequestPlanner(["a:1", "b:1"], 1e9))
        async with console.run_test(size=(120, 40)) as pilot:
            await play(cluster, console, pilot)

    asyncio.run(run())


async def shows(pilot: Any, reached: Callable[[], bool]) -> None:
    for _ in range(400):
        await pilot.pause(0.02)
        if reached():
            return
    raise AssertionError("the screen does not show it")


def names(console: Console, kind: str) -> list[str]:
    table = console.tables[kind]
    return [str(table.get_row_at(place)[0]) for place in range(table.row_count)]


def line(console: Console, name: str) -> str:
    shown = console.cluster_line if name == "cluster" else console.failure_line
    return str(shown.content)


def test_the_screen_follows_the_rows_the_fullest_first(monkeypatch: Patch) -> None:
    async def play(cluster: Cluster, console: Console, pilot: Any) -> None:
        await shows(pilot, lambda: names(console, "worker") == ["vm-1", "vm-2"])
        assert "moves on, 7 done" in line(console, "cluster")
        assert names(console, "team") == ["red"] and names(console, "controller") == ["n0"]
        cluster.rows["worker/vm-3"] = worker(0.95)
        cluster.rows["worker/vm-1"] = worker(0.05)
        await shows(pilot, lambda: names(console, "worker") == ["vm-3", "vm-2", "vm-1"])
        del cluster.rows["worker/vm-2"]
        await shows(pilot, lambda: names(console, "worker") == ["vm-3", "vm-1"])

    on_screen(monkeypatch, play)


def test_the_screen_stays_usable_while_controllers_fail(monkeypatch: Patch) -> None:
    async def play(cluster: Cluster, console: Console, pilot: Any) -> None:
        await shows(pilot, lambda: len(names(console, "worker")) == 2)
        cluster.down = {"a:1", "b:1"}
        await shows(pilot, lambda: "b:1: refused" in line(console, "link"))
        assert "a:1: refused" in line(console, "link")
        assert names(console, "worker") == ["vm-1", "vm-2"], "what is known stays on the screen"
        cluster.down = {"a:1"}
        cluster.rows["worker/vm-9"] = worker(0.3)
        await shows(pilot, lambda: "vm-9" in names(console, "worker"))
        assert line(console, "link") == "" and console.planner.address == "b:1"
        await pilot.press("p")
        await shows(pilot, lambda: ("b:1", "PATCH") in cluster.asked)

    on_screen(monkeypatch, play)


# --- controllers and command line --------------------------------------------
def test_a_controller_tells_rows_whether_load_is_spread_or_not() -> None:
    engine = leading()
    engine.handle([HeartbeatReceived(1, report(1))], NOW, 0.0)
    told = engine.admin.console_feed.changes_since("-", 0, 100)
    assert told.full and not told.more and told.rows["cluster/"][4] == "off"
    assert told.rows["worker/vm-1"][:2] == ["n0", 0.0]
    assert engine.admin.console_feed.changes_since(told.incarnation, told.version, 100).rows == {}
    world = crowded(1, rules())
    world.clock.run(31.0)
    feed = world.nodes["n0"].engine.admin.console_feed
    told = feed.changes_since("-", 0, 500)
    assert told.rows["cluster/"][4] == "on"
    assert sum(key.startswith("worker/") for key in told.rows) == 12
    assert sum(key.startswith("controller/") for key in told.rows) == 3


def test_wrong_questions_get_400_and_change_nothing() -> None:
    engine = leading()
    for path in (("x", "-1", "5"), ("x", "0", "0"), ("x", "0", "501"), ("x", "0", "many")):
        (reply,) = engine.handle([AdminRequest(1, "GET", ("changes", *path), None)], NOW, 0.0)
        assert isinstance(reply, Response) and reply.status == 400
        assert "ROWS from 1 to 500" in reply.body["error"]


def test_wrong_calls_of_the_console_end_with_one_line() -> None:
    for args in (["--api", "nowhere"], ["--api", "127.0.0.1"]):
        result = CliRunner().invoke(main, ["console", *args])
        assert result.exit_code == 2 and "HOST:PORT is needed" in result.stderr
    assert CliRunner().invoke(main, ["console"]).exit_code == 2
