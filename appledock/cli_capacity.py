"""The `capacity` commands: show, propose, apply and withdraw shares, and record their history."""

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
from appledock.cli_requests import (
    API_OPTION,
    EXIT_FAILED,
    EXIT_USAGE,
    JSON_OPTION,
    fail,
    print_reply,
    print_table,
    send_request,
)

CHANGES_ARGUMENT = click.argument(
    "changes", nargs=-1, required=True, metavar="PARTITION.POOL=SHARE..."
)
REQUEST_OPTION = click.option(
    "--request", help="ID of the request; a repetition with the same ID has no further effect."
)
VERSION_OPTION = click.option(
    "--version", type=int, help="Fail unless the shares are at this version."
)


@click.group()
def capacity() -> None:
    """Show or change how machines are shared among partitions."""


@capacity.command("schema")
def print_schema() -> None:
    """Print the JSON schema of the file for --capacity."""
    click.echo(json.dumps(schema(), indent=2))


@capacity.command("show")
@API_OPTION
@JSON_OPTION
def show_capacity(api: str, as_json: bool) -> None:
    """Show targets, machines held, tasks, and machines that are leaving a partition."""
    reply = send_request(api, "GET", "capacity")
    if not reply["enabled"]:
        fail("capacity shares are off: the controller was started without --capacity", EXIT_FAILED)
    print_state(reply, as_json)


def print_state(reply: Any, as_json: bool) -> None:
    """Print the state of all pools as JSON or as a table."""
    rows = [
        {
            "pool": pool,
            "partition": name,
            "share": reply["shares"][name].get(pool, 0.0),
            **row,
            "leaving": [
                f"{machine['machine']} ({machine['tasks']}, {machine['left_s']:g} s)"
                for machine in row["leaving"]
            ],
        }
        for pool, state in reply["pools"].items()
        for name, row in state["partitions"].items()
    ]
    columns = ["pool", "partition", "share", "target", "held", "tasks", "controller", "leaving"]
    print_reply(reply, as_json, rows, columns)
    if not as_json:
        state = "in force" if reply["in_force"] else "NOT in force yet"
        click.echo(f"\nversion {reply['version']}, {state}")


def parse_shares(changes: tuple[str, ...]) -> dict[str, dict[str, float]]:
    """Return the shares given on the command line, by partition and pool."""
    shares: dict[str, dict[str, float]] = {}
    for change in changes:
        name, _, text = change.partition("=")
        partition, _, pool = name.partition(".")
        try:
            shares.setdefault(partition, {})[pool] = float(text)
        except ValueError:
            fail(f"{change}: PARTITION.POOL=SHARE is needed", EXIT_USAGE)
    return shares


@capacity.command()
@API_OPTION
@JSON_OPTION
@CHANGES_ARGUMENT
def propose(api: str, as_json: bool, changes: tuple[str, ...]) -> None:
    """Show what a change would drain and the estimated time, without changing anything."""
    body = {"request": "proposal", "shares": parse_shares(changes)}
    reply = send_request(api, "POST", "capacity/propose", body)
    if as_json:
        click.echo(json.dumps(reply, indent=2))
        return
    rows = [
        {"pool": pool, "partition": name, **row}
        for pool, by_partition in reply["pools"].items()
        for name, row in by_partition.items()
    ]
    print_table(rows, ["pool", "partition", "target", "holds", "drains", "tasks", "left_s"])


@capacity.command()
@API_OPTION
@JSON_OPTION
@REQUEST_OPTION
@VERSION_OPTION
@click.option(
    "--deadline",
    type=float,
    help="Seconds after which tasks with checkpoints may be stopped for the change.",
)
@CHANGES_ARGUMENT
def apply(
    api: str,
    as_json: bool,
    request: str | None,
    version: int | None,
    deadline: float | None,
    changes: tuple[str, ...],
) -> None:
    """Change shares; a machine changes partition once its tasks have ended or moved."""
    body: dict[str, Any] = {
        "request": request or uuid.uuid4().hex,
        "version": version,
        "shares": parse_shares(changes),
        "deadline_s": deadline,
    }
    print_state(send_request(api, "POST", "capacity/apply", body), as_json)


@capacity.command()
@API_OPTION
@JSON_OPTION
@REQUEST_OPTION
@VERSION_OPTION
def withdraw(api: str, as_json: bool, request: str | None, version: int | None) -> None:
    """Withdraw the last change, whether or not it is complete."""
    body = {"request": request or uuid.uuid4().hex, "version": version}
    print_state(send_request(api, "POST", "capacity/withdraw", body), as_json)


@capacity.command()
@API_OPTION
@click.option("--every", default=1.0, show_default=True, help="Seconds between two samples.")
@click.option(
    "--seconds", type=float, help="Seconds to record; without this option, until interrupted."
)
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
def history(api: str, every: float, seconds: float | None, file: Path) -> None:
    """Record targets, machines and tasks of partitions in a compressed file, or append to it."""
    if every <= 0:
        fail("--every: a number above 0 is needed", EXIT_USAGE)
    history_file = import_history_module()
    sample_count = None if seconds is None else max(1, round(seconds / every))
    with history_file.HistoryWriter(file) as writer:
        try:
            for number in itertools.count():
                if number == sample_count:
                    return
                if number:
                    time.sleep(every)
                reply = send_request(api, "GET", "capacity")
                if not reply["enabled"]:
                    fail("capacity shares are off", EXIT_FAILED)
                writer.add(history_file.summary_rows(reply, round(time.time(), 3)))
        except KeyboardInterrupt:
            return


@capacity.command("read-history")
@JSON_OPTION
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
def read_history(as_json: bool, file: Path) -> None:
    """Print a recorded history."""
    history_file = import_history_module()
    try:
        rows = [
            {**msgspec.structs.asdict(row), "at": format_wall_time(row.at)}
            for row in history_file.read_rows(file)
        ]
    except history_file.HistoryError as error:
        fail(str(error), EXIT_FAILED)
    print_reply(rows, as_json, rows, list(history_file.HistoryRow.__struct_fields__))


def format_wall_time(wall_time: float) -> str:
    """Return a time of day, in seconds since the epoch, as ISO 8601 in UTC."""
    return datetime.fromtimestamp(wall_time, UTC).isoformat(timespec="milliseconds")


def import_history_module() -> Any:
    """Return the module for history files; its library is not installed on controllers."""
    try:
        return importlib.import_module("appledock.capacity.history")
    except ModuleNotFoundError as error:
        fail(f"histories need requirements-console.txt: {error}", EXIT_USAGE)
