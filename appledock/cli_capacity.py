"""The command line for capacity shares: show, propose, apply, withdraw."""

from __future__ import annotations

import json
import uuid
from typing import Any

import click

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
