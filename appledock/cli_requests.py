"""Shared parts of the commands that use the administration API: requests, output, options."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any, NoReturn

import click

from appledock.net.http import Client, NoAnswer, NotSent
from appledock.settings import split_address

EXIT_FAILED, EXIT_USAGE = 1, 2
"""Exit codes: the request failed; the command line or a file is invalid."""


def fail(text: str, code: int) -> NoReturn:
    """Print an error message to standard error and exit with this code."""
    click.echo(f"appledock: {text}", err=True)
    sys.exit(code)


def send_request(api: str, method: str, path: str, body: Any = None) -> Any:
    """Send a request to the administration API and return its reply; exit if it fails."""

    async def exchange() -> tuple[int, bytes]:
        client = Client(*split_address(api))
        payload = b"" if body is None else json.dumps(body).encode()
        try:
            return await client.request(method, f"/admin/v1/{path}", payload, 5.0)
        finally:
            client.close()

    try:
        status, answer = asyncio.run(exchange())
        reply = json.loads(answer)
    except (NotSent, NoAnswer) as error:
        fail(f"{api}: {error}", EXIT_FAILED)
    except ValueError as error:
        # "invalid literal" is raised for a port that is no number, everything else for a reply
        # that is not JSON.
        fail(f"{api}: {error}", EXIT_USAGE if "literal" in str(error) else EXIT_FAILED)
    if status != 200:
        text = reply.get("error", answer.decode()) if isinstance(reply, dict) else answer.decode()
        fail(f"{status}: {text}", EXIT_FAILED)
    return reply


def format_cell(value: Any) -> str:
    """Return a value as text for a cell of a table."""
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


def print_table(rows: list[dict[str, Any]], columns: list[str]) -> None:
    """Print the rows as a table, with the names of the columns as headings."""
    lines = [columns, *([format_cell(row.get(name)) for name in columns] for row in rows)]
    widths = [max(len(line[i]) for line in lines) for i in range(len(columns))]
    for line in lines:
        click.echo(
            "  ".join(text.ljust(width) for text, width in zip(line, widths, strict=True)).rstrip()
        )


def print_reply(reply: Any, as_json: bool, rows: list[dict[str, Any]], columns: list[str]) -> None:
    """Print the whole reply as JSON, or these rows and columns as a table."""
    if as_json:
        click.echo(json.dumps(reply, indent=2))
    else:
        print_table(rows, columns)


API_OPTION = click.option(
    "--api",
    metavar="HOST:PORT",
    envvar="APPLEDOCK_API",
    default="127.0.0.1:8080",
    show_default=True,
    help="A controller's public address (or APPLEDOCK_API).",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
