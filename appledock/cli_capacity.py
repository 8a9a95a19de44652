"""The command line for capacity shares: show, propose, apply, withdraw."""

from __future__ import annotations

import importlib
import itertools
import json
import time
import uuid
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import msgspec

from appledock.capacity.settings import schema
from appledock.cli_requests import API, FAILED, JSON, USAGE, ask, fail, show, table

CHANGES = click.argument("changes", nargs=-1, required=True, metavar="PARTITION.POOL=SHARE...")
REQUEST = click.option("--request", help="Name of the request; said again, it has no new effect.")
VERSION = click.option("--version", type=int, help="Fail if the shares are at another version.")


@click.group()
def capacity() -> None:
    """Machines shared among partitions of teams."""


@capacity.command("schema")
def print_schema() -> None:
    """Print the JSON schema of the file for --capacity."""
    click.echo(json.dumps(schema(), indent=2))


@capacity.command("show")
@API
@JSON
def show_capacity(api: str, as_json: bool) -> None:
    """Targets, holdings, use and machines that change hands."""
    reply = ask(api, "GET", "capacity")
    if not reply["enabled"]:
        fail("capacity shares are off: the controller was started without --capacity", FAILED)
    show_state(reply, as_json)


def show_state(reply: Any, as_json: bool) -> None:
    """Print the state of all pools."""
    rows = [
        {
            "pool": pool,
            "partition": name,
            "share": reply["shares"][name].get(pool, 0.0),
            **row,
            "leaving": [
                f"{x['machine']} ({x['tasks']}, {x['left_s']:g} s)" for x in row["leaving"]
            ],
        }
        for pool, state in reply["pools"].items()
        for name, row in state["partitions"].items()
    ]
    columns = ["pool", "partition", "share", "target", "held", "tasks", "controller", "leaving"]
    show(reply, as_json, rows, columns)
    if not as_json:
        state = "in force" if reply["in_force"] else "NOT in force yet"
        click.echo(f"\nversion {reply['version']}, {state}")


def wanted(changes: tuple[str, ...]) -> dict[str, dict[str, float]]:
    """The shares named on the command line."""
    shares: dict[str, dict[str, float]] = {}
    for change in changes:
        name, _, text = change.partition("=")
        partition, _, pool = name.partition(".")
        try:
            shares.setdefault(partition, {})[pool] = float(text)
        except ValueError:
            fail(f"{change}: PARTITION.POOL=SHARE is needed", USAGE)
    return shares


@capacity.command()
@API
@JSON
@CHANGES
def propose(api: str, as_json: bool, changes: tuple[str, ...]) -> None:
    """What a change would drain, and for how long by the estimates; changes nothing."""
    body = {"request": "proposal", "shares": wanted(changes)}
    reply = ask(api, "POST", "capacity/propose", body)
    if as_json:
        click.echo(json.dumps(reply, indent=2))
        return
    rows = [
        {"pool": pool, "partition": name, **row}
        for pool, by_partition in reply["pools"].items()
        for name, row in by_partition.items()
    ]
    table(rows, ["pool", "partition", "target", "holds", "drains", "tasks", "left_s"])


@capacity.command()
@API
@JSON
@REQUEST
@VERSION
@click.option("--deadline", type=float, help="Seconds after which tasks that save are stopped.")
@CHANGES
def apply(
    api: str,
    as_json: bool,
    request: str | None,
    version: int | None,
    deadline: float | None,
    changes: tuple[str, ...],
) -> None:
    """Change shares; machines change hands once their work has ended or moved."""
    body: dict[str, Any] = {
        "request": request or uuid.uuid4().hex,
        "version": version,
        "shares": wanted(changes),
        "deadline_s": deadline,
    }
    show_state(ask(api, "POST", "capacity/apply", body), as_json)


@capacity.command()
@API
@JSON
@REQUEST
@VERSION
def withdraw(api: str, as_json: bool, request: str | None, version: int | None) -> None:
    """Take the last change back, from wherever it has got to."""
    body = {"request": request or uuid.uuid4().hex, "version": version}
    show_state(ask(api, "POST", "capacity/withdraw", body), as_json)


@capacity.command()
@API
@click.option("--every", default=1.0, show_default=True, help="Seconds between two looks.")
@click.option("--seconds", type=float, help="How long; until it is interrupted without it.")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def history(api: str, every: float, seconds: float | None, file: Path) -> None:
    """Collect use against grant into a compressed file; an existing one is continued."""
    if every <= 0:
        fail("--every: a number above 0 is needed", USAGE)
    archive = history_module()
    looks = None if seconds is None else max(1, round(seconds / every))
    with archive.HistoryWriter(file) as writer:
        try:
            for look in itertools.count():
                if look == looks:
                    return
                if look:
                    time.sleep(every)
                reply = ask(api, "GET", "capacity")
                if not reply["enabled"]:
                    fail("capacity shares are off", FAILED)
                writer.add(archive.summary_rows(reply, round(time.time(), 3)))
        except KeyboardInterrupt:
            return


@capacity.command("read-history")
@JSON
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def read_history(as_json: bool, file: Path) -> None:
    """Print a collected history."""
    archive = history_module()
    try:
        rows = [
            {**msgspec.structs.asdict(row), "at": moment(row.at)} for row in archive.read_rows(file)
        ]
    except archive.HistoryError as error:
        fail(str(error), FAILED)
    show(rows, as_json, rows, list(archive.HistoryRow.__struct_fields__))


def moment(at: float) -> str:
    """A time of day as people read it."""
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


def history_module() -> Any:
    """The module of compressed files, whose library controllers do not have."""
    try:
        return importlib.import_module("appledock.capacity.history")
    except ModuleNotFoundError as error:
        fail(f"histories need requirements-console.txt: {error}", USAGE)
