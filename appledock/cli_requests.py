"""What the commands that talk to the administration API have in common."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any, NoReturn

import click

from appledock.net.http import Client, NoAnswer, NotSent
from appledock.settings import split_address

FAILED, USAGE = 1, 2
"""Exit codes: the request failed; the call or the file is wrong."""


def fail(text: str, code: int) -> NoReturn:
    """End the program with an error message."""
    click.echo(f"appledock: {text}", err=True)
    sys.exit(code)


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
