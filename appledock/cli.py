"""The command line: runs a controller, checks settings, talks to the administration API."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import re
import sys
from typing import Any

import click

from appledock import __version__
from appledock.capacity.settings import Capacity, CapacityError
from appledock.capacity.settings import load as load_capacity
from appledock.cli_capacity import capacity as capacity_commands
from appledock.cli_requests import API, FAILED, JSON, USAGE, ask, fail, show, table
from appledock.console.link import Link
from appledock.constants import CONSOLE_BYTES_PER_S
from appledock.rebalancing.settings import Rebalancing, RebalancingError, schema
from appledock.rebalancing.settings import load as load_rebalancing
from appledock.settings import Settings, SettingsError, load

LEVELS = {
    "error": logging.ERROR,
    "warning": logging.WARNING,
    "info": logging.INFO,
    "debug": logging.DEBUG,
}
ADDRESS = re.compile(r"[^\s:]+:[0-9]{1,5}")


def set_up_logging() -> None:
    """Log to standard error at the level of LOG_LEVEL."""
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(name, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
    )
    if name not in LEVELS:
        logging.getLogger().warning("unknown LOG_LEVEL %r, using info", name)


def read_settings(path: str) -> Settings:
    """Read the settings file, or end the program."""
    try:
        return load(path)
    except SettingsError as error:
        fail(f"{path}: {error}", USAGE)


def read_rebalancing(path: str | None, settings: Settings) -> Rebalancing | None:
    """Read the file that enables rebalancing, or end the program."""
    if path is None:
        return None
    try:
        return load_rebalancing(path, settings.cluster)
    except RebalancingError as error:
        fail(f"{path}: {error}", USAGE)


def read_capacity(path: str | None, settings: Settings) -> Capacity | None:
    """Read the file that enables capacity shares, or end the program."""
    if path is None:
        return None
    try:
        return load_capacity(path, settings)
    except CapacityError as error:
        fail(f"{path}: {error}", USAGE)


def serve(path: str, rebalancing_path: str | None, capacity_path: str | None) -> None:
    """Run one controller until it is killed."""
    settings = read_settings(path)
    rebalancing = read_rebalancing(rebalancing_path, settings)
    capacity = read_capacity(capacity_path, settings)
    set_up_logging()

    async def start() -> None:
        from appledock.app import App  # noqa: PLC0415  (the other commands start faster)

        await App(settings, rebalancing, capacity).run()

    try:
        asyncio.run(start())
    except KeyboardInterrupt:
        sys.exit(130)
    except OSError as error:
        fail(str(error), FAILED)


REBALANCING = click.option(
    "--rebalancing", metavar="FILE", help="Spread load as this file says (docs/operations)."
)
CAPACITY = click.option(
    "--capacity", metavar="FILE", help="Share machines as this file says (docs/operations)."
)


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="appledock")
@click.option("--config", metavar="FILE", help="Run a controller with this settings file.")
@REBALANCING
@CAPACITY
@click.pass_context
def main(
    context: click.Context, config: str | None, rebalancing: str | None, capacity: str | None
) -> None:
    """appledock, a cluster scheduler."""
    if context.invoked_subcommand is None:
        if config is None:
            click.echo(context.get_help())
            sys.exit(USAGE)
        serve(config, rebalancing, capacity)


@main.command()
@click.option("--config", metavar="FILE", required=True, help="The platform's settings file.")
@REBALANCING
@CAPACITY
def run(config: str, rebalancing: str | None, capacity: str | None) -> None:
    """Run a controller until it is killed."""
    serve(config, rebalancing, capacity)


@main.command()
@click.argument("file")
@REBALANCING
@CAPACITY
def check(file: str, rebalancing: str | None, capacity: str | None) -> None:
    """Check a settings file, and the files of parts with it."""
    settings = read_settings(file)
    read_rebalancing(rebalancing, settings)
    read_capacity(capacity, settings)
    click.echo(f"{file}: good, {settings.name} of {settings.cluster.size} controllers")


@main.command()
@API
@JSON
def status(api: str, as_json: bool) -> None:
    """What a controller knows of the cluster."""
    reply = ask(api, "GET", "status")
    show(reply, as_json, [{"what": k, "value": v} for k, v in reply.items()], ["what", "value"])


@main.command()
@API
@JSON
def jobs(api: str, as_json: bool) -> None:
    """Open jobs and what they wait for."""
    reply = ask(api, "GET", "jobs")
    show(
        reply,
        as_json,
        reply["jobs"],
        [
            "id",
            "class",
            "team",
            "priority",
            "tasks",
            "done",
            "open",
            "queued",
            "cancelled",
            "owner",
            "waits_for",
        ],
    )


@main.command()
@API
@JSON
def machines(api: str, as_json: bool) -> None:
    """Machines whose workers report."""
    reply = ask(api, "GET", "machines")
    show(
        reply,
        as_json,
        reply["machines"],
        [
            "id",
            "type",
            "zone",
            "spot",
            "owner",
            "session",
            "tasks",
            "free_cpus",
            "silent_s",
            "cordoned",
        ],
    )


@main.command()
@API
@JSON
def teams(api: str, as_json: bool) -> None:
    """What the teams hold of their guarantees and limits."""
    reply = ask(api, "GET", "teams")
    show(
        reply,
        as_json,
        reply["teams"],
        ["name", "cpus_held", "cpus", "cpus_max", "gpus_held", "gpus", "gpus_max"],
    )


@main.command("load")
@API
@JSON
def show_load(api: str, as_json: bool) -> None:
    """Committed load of workers and teams, and why overloaded workers stay so."""
    reply = rebalancing_state(api)
    workers = sorted(reply["workers"], key=lambda row: -row["load"])
    show(reply, as_json, workers, ["id", "owner", "load", "smoothed", "teams", "stays"])
    if not as_json:
        click.echo(f"\nmean {reply['mean']:g}")
        table(reply["teams"], ["name", "mean", "most", "machine", "bound", "within"])
        for name, situation in sorted(reply["datasets"].items()):
            click.echo(f"data set {name}: {situation}")


@main.command()
@API
@JSON
def moves(api: str, as_json: bool) -> None:
    """Moves of running tasks that a controller has asked for, and what came of them."""
    reply = rebalancing_state(api)
    rows = [*reply["ended"], *({**row, "outcome": "under way"} for row in reply["under_way"])]
    show(reply, as_json, rows, ["job", "task", "from", "to", "outcome"])
    if not as_json:
        state = "paused" if reply["paused"] else "dry run" if reply["dry_run"] else "on"
        click.echo(f"\nmoves are {state}")
        for outcome, count in sorted(reply["outcomes"].items()):
            click.echo(f"{count:6d}  {outcome}")


def rebalancing_state(api: str) -> Any:
    """What a controller knows of load and moves; ends the program where that is off."""
    reply = ask(api, "GET", "rebalancing")
    if not reply["enabled"]:
        fail("rebalancing is off: the controller was started without --rebalancing", FAILED)
    return reply


@main.command()
@click.option(
    "--api",
    "addresses",
    metavar="HOST:PORT",
    multiple=True,
    required=True,
    envvar="APPLEDOCK_API",
    help="A controller's public address; name all of them, it goes on with another one.",
)
@click.option(
    "--bytes-per-second",
    default=CONSOLE_BYTES_PER_S,
    show_default=True,
    type=click.IntRange(min=200),
    help="What it takes of its link at most.",
)
def console(addresses: tuple[str, ...], bytes_per_second: int) -> None:
    """Watch workers, teams, moves and controllers on a terminal."""
    for address in addresses:
        if not ADDRESS.fullmatch(address):
            fail(f"{address}: HOST:PORT is needed", USAGE)
    try:
        from appledock.console.screen import Console  # noqa: PLC0415  (not on controllers)
    except ModuleNotFoundError as error:
        fail(f"the console needs requirements-console.txt: {error}", USAGE)
    Console(Link(list(addresses), bytes_per_second)).run()


@main.command("rebalancing-schema")
def rebalancing_schema() -> None:
    """Print the JSON schema of the file for --rebalancing."""
    click.echo(json.dumps(schema(), indent=2))


@main.command()
@API
@JSON
def metrics(api: str, as_json: bool) -> None:
    """Latencies of a controller, in milliseconds."""
    reply = ask(api, "GET", "metrics")
    rows = [{"what": name, **values} for name, values in reply["latency_ms"].items()]
    show(reply, as_json, rows, ["what", "count", "p50", "p90", "p99", "p100"])


@main.group()
def settings() -> None:
    """Operators' settings, kept in the state service."""


def show_settings(reply: Any, as_json: bool) -> None:
    """Print the operators' settings."""
    rows = [{"name": name, **row} for name, row in reply["settings"].items()]
    show(reply, as_json, rows, ["name", "value", "default", "least", "most", "unit", "reason"])


@settings.command("get")
@API
@JSON
def settings_get(api: str, as_json: bool) -> None:
    """Values, defaults, ranges and reasons."""
    show_settings(ask(api, "GET", "settings"), as_json)


@settings.command("set")
@API
@JSON
@click.option("--version", type=int, help="Fail if the settings are at another version by now.")
@click.argument("changes", nargs=-1, required=True, metavar="NAME=VALUE...")
def settings_set(api: str, as_json: bool, version: int | None, changes: tuple[str, ...]) -> None:
    """Change settings on all controllers; `NAME=default` takes a change back."""
    values: dict[str, Any] = {}
    for change in changes:
        name, equals, text = change.partition("=")
        try:
            values[name] = None if text == "default" else json.loads(text)
        except ValueError:
            equals = ""
        if not equals:
            fail(f"{change}: NAME=NUMBER or NAME=default is needed", USAGE)
    body: dict[str, Any] = {"settings": values}
    if version is not None:
        body["version"] = version
    show_settings(ask(api, "PATCH", "settings", body), as_json)


def machine_command(action: str, text: str) -> None:
    """Add a command that does something to one machine."""

    @API
    @click.argument("machine")
    def command(api: str, machine: str) -> None:
        reply = ask(api, "POST", f"machines/{machine}/{action}")
        click.echo(f"{machine}: {reply['cordoned'] or 'takes steps again'}")

    main.command(action, help=text)(command)


machine_command("cordon", "Place no more steps on a machine.")
machine_command("uncordon", "Let a machine take steps again.")
machine_command("drain", "Move the work of a machine elsewhere, then return it.")


@main.command("log-level")
@API
@click.argument("level", type=click.Choice(["error", "info", "debug"]))
def log_level(api: str, level: str) -> None:
    """Change how much a controller logs, until it restarts."""
    click.echo(ask(api, "PUT", "log-level", {"level": level})["level"])


main.add_command(capacity_commands)
