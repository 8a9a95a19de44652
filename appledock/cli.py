"""The command line: runs a controller, checks settings, talks to the administration API."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import sys
from typing import Any, NoReturn

import click

from appledock import __version__
from appledock.net.http import Client, NoAnswer, NotSent
from appledock.settings import Settings, SettingsError, load, split_address

LEVELS = {
    "error": logging.ERROR,
    "warning": logging.WARNING,
    "info": logging.INFO,
    "debug": logging.DEBUG,
}
FAILED, USAGE = 1, 2
"""Exit codes: the request failed; the call or the file is wrong."""


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


def fail(text: str, code: int) -> NoReturn:
    """End the program with an error message."""
    click.echo(f"appledock: {text}", err=True)
    sys.exit(code)


def read_settings(path: str) -> Settings:
    """Read the settings file, or end the program."""
    try:
        return load(path)
    except SettingsError as error:
        fail(f"{path}: {error}", USAGE)


def serve(path: str) -> None:
    """Run one controller until it is killed."""
    settings = read_settings(path)
    set_up_logging()

    async def start() -> None:
        from appledock.app import App  # noqa: PLC0415  (the other commands start faster)

        await App(settings).run()

    try:
        asyncio.run(start())
    except KeyboardInterrupt:
        sys.exit(130)
    except OSError as error:
        fail(str(error), FAILED)


# --- the administration API -----------------------------------------------
def ask(api: str, method: str, path: str, body: Any = None) -> Any:
    """One request to the administration API; ends the program if it fails."""

    async def request() -> tuple[int, bytes]:
        client = Client(*split_address(api))
        payload = b"" if body is None else json.dumps(body).encode()
        try:
            return await client.request(method, f"/admin/v1/{path}", payload, 5.0)
        finally:
            client.close()

    try:
        status, answer = asyncio.run(request())
        reply = json.loads(answer)
    except (NotSent, NoAnswer) as error:
        fail(f"{api}: {error}", FAILED)
    except ValueError as error:
        fail(f"{api}: {error}", USAGE if "literal" in str(error) else FAILED)
    if status != 200:
        text = reply.get("error", answer.decode()) if isinstance(reply, dict) else answer.decode()
        fail(f"{status}: {text}", FAILED)
    return reply


def cell(value: Any) -> str:
    """A value as a table shows it."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, dict):
        return " ".join(f"{k}={v}" for k, v in value.items()) or "-"
    if isinstance(value, list):
        return " ".join(map(str, value)) or "-"
    return str(value)


def table(rows: list[dict[str, Any]], columns: list[str]) -> None:
    """Rows under their headings."""
    lines = [columns, *([cell(row.get(name)) for name in columns] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        click.echo(
            "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        )


def show(reply: Any, as_json: bool, rows: list[dict[str, Any]], columns: list[str]) -> None:
    """Print a reply as JSON or as a table."""
    if as_json:
        click.echo(json.dumps(reply, indent=2))
    else:
        table(rows, columns)


API = click.option(
    "--api",
    metavar="HOST:PORT",
    envvar="APPLEDOCK_API",
    default="127.0.0.1:8080",
    show_default=True,
    help="A controller's public address (or APPLEDOCK_API).",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="appledock")
@click.option("--config", metavar="FILE", help="Run a controller with this settings file.")
@click.pass_context
def main(context: click.Context, config: str | None) -> None:
    """appledock, a cluster scheduler."""
    if context.invoked_subcommand is None:
        if config is None:
            click.echo(context.get_help())
            sys.exit(USAGE)
        serve(config)


@main.command()
@click.option("--config", metavar="FILE", required=True, help="The platform's settings file.")
def run(config: str) -> None:
    """Run a controller until it is killed."""
    serve(config)


@main.command()
@click.argument("file")
def check(file: str) -> None:
    """Check a settings file."""
    settings = read_settings(file)
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
