"""The command line: runs a controller, checks settings, and uses the administration API."""

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
from appledock.console.request_planner import RequestPlanner
from appledock.constants import CONSOLE_BYTES_PER_S
from appledock.rebalancing.settings import Rebalancing, RebalancingError, schema
from appledock.rebalancing.settings import load as load_rebalancing
from appledock.settings import Settings, SettingsError, load

LOG_LEVELS = {
    "error": logging.ERROR,
    "warning": logging.WARNING,
    "info": logging.INFO,
    "debug": logging.DEBUG,
}
ADDRESS_PATTERN = re.compile(r"[^\s:]+:[0-9]{1,5}")


def set_up_logging() -> None:
    """Log to standard error, at the level that the environment variable LOG_LEVEL names."""
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(name, logging.INFO),
        format="%(asctime)s %(levelname)s %(name)s %(message)s",
    )
    if name not in LOG_LEVELS:
        logging.getLogger().warning("unknown LOG_LEVEL %r, using info", name)


def read_settings(path: str) -> Settings:
    """Read the settings file; exit if it is invalid."""
    try:
        return load(path)
    except SettingsError as error:
        fail(f"{path}: {error}", EXIT_USAGE)


def read_rebalancing(path: str | None, settings: Settings) -> Rebalancing | None:
    """Read the file that enables rebalancing, if one is given; exit if it is invalid."""
    if path is None:
        return None
    try:
        return load_rebalancing(path, settings.cluster)
    except RebalancingError as error:
        fail(f"{path}: {error}", EXIT_USAGE)


def read_capacity(path: str | None, settings: Settings) -> Capacity | None:
    """Read the file that enables capacity shares, if one is given; exit if it is invalid."""
    if path is None:
        return None
    try:
        return load_capacity(path, settings)
    except CapacityError as error:
        fail(f"{path}: {error}", EXIT_USAGE)


def serve(path: str, rebalancing_path: str | None, capacity_path: str | None) -> None:
    """Run one controller until it is killed."""
    settings = read_settings(path)
    rebalancing = read_rebalancing(rebalancing_path, settings)
    capacity = read_capacity(capacity_path, settings)
    set_up_logging()

    async def start() -> None:
        from appledock.app import App  # noqa: PLC0415  (other commands start faster without it)

        await App(settings, rebalancing, capacity).run()

    try:
        asyncio.run(start())
    except KeyboardInterrupt:
        sys.exit(130)
    except OSError as error:
        fail(str(error), EXIT_FAILED)


REBALANCING_OPTION = click.option(
    "--rebalancing",
    metavar="FILE",
    help="Enable rebalancing with the rules in this file (docs/operations).",
)
CAPACITY_OPTION = click.option(
    "--capacity",
    metavar="FILE",
    help="Enable capacity shares as this file defines them (docs/operations).",
)


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="appledock")
@click.option("--config", metavar="FILE", help="Run a controller with this settings file.")
@REBALANCING_OPTION
@CAPACITY_OPTION
@click.pass_context
def main(
    context: click.Context, config: str | None, rebalancing: str | None, capacity: str | None
) -> None:
    """appledock, a cluster scheduler."""
    if context.invoked_subcommand is None:
        if config is None:
            click.echo(context.get_help())
            sys.exit(EXIT_USAGE)
        serve(config, rebalancing, capacity)


@main.command()
@click.option(
    "--config", metavar="FILE", required=True, help="Settings file, as the platform provides it."
)
@REBALANCING_OPTION
@CAPACITY_OPTION
def run(config: str, rebalancing: str | None, capacity: str | None) -> None:
    """Run a controller until it is killed."""
    serve(config, rebalancing, capacity)


@main.command()
@click.argument("file")
@REBALANCING_OPTION
@CAPACITY_OPTION
def check(file: str, rebalancing: str | None, capacity: str | None) -> None:
    """Check a settings file, and the files for --rebalancing and --capacity if given."""
    settings = read_settings(file)
    read_rebalancing(rebalancing, settings)
    read_capacity(capacity, settings)
    click.echo(f"{file}: good, {settings.name} of {settings.cluster.size} controllers")


@main.command()
@API_OPTION
@JSON_OPTION
def status(api: str, as_json: bool) -> None:
    """Show the state of the cluster as a controller knows it."""
    reply = send_request(api, "GET", "status")
    print_reply(
        reply, as_json, [{"what": k, "value": v} for k, v in reply.items()], ["what", "value"]
    )


@main.command()
@API_OPTION
@JSON_OPTION
def jobs(api: str, as_json: bool) -> None:
    """List unfinished jobs and what they wait for."""
    reply = send_request(api, "GET", "jobs")
    print_reply(
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
@API_OPTION
@JSON_OPTION
def machines(api: str, as_json: bool) -> None:
    """List machines whose workers send heartbeats."""
    reply = send_request(api, "GET", "machines")
    print_reply(
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
@API_OPTION
@JSON_OPTION
def teams(api: str, as_json: bool) -> None:
    """Show the resources that each team holds, with its guarantees and limits."""
    reply = send_request(api, "GET", "teams")
    print_reply(
        reply,
        as_json,
        reply["teams"],
        ["name", "cpus_held", "cpus", "cpus_max", "gpus_held", "gpus", "gpus_max"],
    )


@main.command("load")
@API_OPTION
@JSON_OPTION
def show_load(api: str, as_json: bool) -> None:
    """Show the committed load of workers and teams, and why overloaded workers stay overloaded."""
    reply = fetch_rebalancing_state(api)
    workers = sorted(reply["workers"], key=lambda row: -row["load"])
    print_reply(reply, as_json, workers, ["id", "owner", "load", "smoothed", "teams", "stays"])
    if not as_json:
        click.echo(f"\nmean {reply['mean']:g}")
        print_table(reply["teams"], ["name", "mean", "most", "machine", "bound", "within"])
        for name, situation in sorted(reply["datasets"].items()):
            click.echo(f"data set {name}: {situation}")


@main.command()
@API_OPTION
@JSON_OPTION
def moves(api: str, as_json: bool) -> None:
    """List the moves of running tasks that a controller has requested, with their outcomes."""
    reply = fetch_rebalancing_state(api)
    rows = [*reply["ended"], *({**row, "outcome": "under way"} for row in reply["under_way"])]
    print_reply(reply, as_json, rows, ["job", "task", "from", "to", "outcome"])
    if not as_json:
        state = "paused" if reply["paused"] else "dry run" if reply["dry_run"] else "on"
        click.echo(f"\nmoves are {state}")
        for outcome, count in sorted(reply["outcomes"].items()):
            click.echo(f"{count:6d}  {outcome}")


def fetch_rebalancing_state(api: str) -> Any:
    """Return a controller's view of loads and moves; exit if rebalancing is off there."""
    reply = send_request(api, "GET", "rebalancing")
    if not reply["enabled"]:
        fail("rebalancing is off: the controller was started without --rebalancing", EXIT_FAILED)
    return reply


@main.command()
@click.option(
    "--api",
    "addresses",
    metavar="HOST:PORT",
    multiple=True,
    required=True,
    envvar="APPLEDOCK_API",
    help="A controller's public address; repeat for each controller, to allow failover.",
)
@click.option(
    "--bytes-per-second",
    default=CONSOLE_BYTES_PER_S,
    show_default=True,
    type=click.IntRange(min=200),
    help="Limit on the traffic that the console causes on its network link.",
)
def console(addresses: tuple[str, ...], bytes_per_second: int) -> None:
    """Watch workers, teams, moves and controllers on a terminal."""
    for address in addresses:
        if not ADDRESS_PATTERN.fullmatch(address):
            fail(f"{address}: HOST:PORT is needed", EXIT_USAGE)
    try:
        from appledock.console.screen import Console  # noqa: PLC0415  (controllers have no textual)
    except ModuleNotFoundError as error:
        fail(f"the console needs requirements-console.txt: {error}", EXIT_USAGE)
    Console(RequestPlanner(list(addresses), bytes_per_second)).run()


@main.command("rebalancing-schema")
def rebalancing_schema() -> None:
    """Print the JSON schema of the file for --rebalancing."""
    click.echo(json.dumps(schema(), indent=2))


@main.command()
@API_OPTION
@JSON_OPTION
def metrics(api: str, as_json: bool) -> None:
    """Show the latencies that a controller has measured, in milliseconds."""
    reply = send_request(api, "GET", "metrics")
    rows = [{"what": name, **values} for name, values in reply["latency_ms"].items()]
    print_reply(reply, as_json, rows, ["what", "count", "p50", "p90", "p99", "p100"])


@main.group()
def settings() -> None:
    """Read or change the operators' settings, which are kept in the state service."""


def print_settings(reply: Any, as_json: bool) -> None:
    """Print the operators' settings as JSON or as a table."""
    rows = [{"name": name, **row} for name, row in reply["settings"].items()]
    print_reply(
        reply, as_json, rows, ["name", "value", "default", "least", "most", "unit", "reason"]
    )


@settings.command("get")
@API_OPTION
@JSON_OPTION
def settings_get(api: str, as_json: bool) -> None:
    """Show the settings: values, defaults, ranges and reasons."""
    print_settings(send_request(api, "GET", "settings"), as_json)


@settings.command("set")
@API_OPTION
@JSON_OPTION
@click.option("--version", type=int, help="Fail unless the settings are at this version.")
@click.argument("changes", nargs=-1, required=True, metavar="NAME=VALUE...")
def settings_set(api: str, as_json: bool, version: int | None, changes: tuple[str, ...]) -> None:
    """Change settings on all controllers; `NAME=default` restores the default."""
    values: dict[str, Any] = {}
    for change in changes:
        name, equals, text = change.partition("=")
        try:
            values[name] = None if text == "default" else json.loads(text)
        except ValueError:
            equals = ""
        if not equals:
            fail(f"{change}: NAME=NUMBER or NAME=default is needed", EXIT_USAGE)
    body: dict[str, Any] = {"settings": values}
    if version is not None:
        body["version"] = version
    print_settings(send_request(api, "PATCH", "settings", body), as_json)


def add_machine_command(action: str, help_text: str) -> None:
    """Add a command that requests this action on a machine."""

    @API_OPTION
    @click.argument("machine")
    def command(api: str, machine: str) -> None:
        reply = send_request(api, "POST", f"machines/{machine}/{action}")
        click.echo(f"{machine}: {reply['cordoned'] or 'takes steps again'}")

    main.command(action, help=help_text)(command)


add_machine_command("cordon", "Stop placing tasks on a machine.")
add_machine_command("uncordon", "Allow tasks to be placed on a machine again.")
add_machine_command("drain", "Evict all tasks from a machine, then return it to the cloud.")


@main.command("log-level")
@API_OPTION
@click.argument("level", type=click.Choice(["error", "info", "debug"]))
def log_level(api: str, level: str) -> None:
    """Change the log level of a controller until it restarts."""
    click.echo(send_request(api, "PUT", "log-level", {"level": level})["level"])


main.add_command(capacity_commands)
