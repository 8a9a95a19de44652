"""The command line."""

from __future__ import annotations

import asyncio
import logging
import os
import sys

import click

from appledock import __version__
from appledock.settings import Settings, SettingsError, load

LEVELS = {"error": logging.ERROR, "warning": logging.WARNING, "info": logging.INFO,
          "debug": logging.DEBUG}


def set_up_logging() -> None:
    """Log to standard error at the level of LOG_LEVEL."""
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(stream=sys.stderr, level=LEVELS.get(name, logging.INFO),
                        format="%(asctime)s %(levelname)s %(name)s %(message)s")
    if name not in LEVELS:
        logging.warning("unknown LOG_LEVEL %r, using info", name)


def read_settings(path: str) -> Settings:
    try:
        return load(path)
    except SettingsError as error:
        click.echo(f"appledock: {path}: {error}", err=True)
        sys.exit(2)


def serve(path: str) -> None:
    """Run one controller until it is killed."""
    settings = read_settings(path)
    set_up_logging()

    async def start() -> None:
        from appledock.app import App

        await App(settings).run()

    try:
        asyncio.run(start())
    except KeyboardInterrupt:
        sys.exit(130)
    except OSError as error:
        click.echo(f"appledock: {error}", err=True)
        sys.exit(1)


@click.group(invoke_without_command=True, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="appledock")
@click.option("--config", metavar="FILE", help="Run a controller with this settings file.")
@click.pass_context
def main(context: click.Context, config: str | None) -> None:
    """appledock, a cluster scheduler."""
    if context.invoked_subcommand is None:
        if config is None:
            click.echo(context.get_help())
            sys.exit(2)
        serve(config)


@main.command()
@click.option("--config", metavar="FILE", required=True)
def run(config: str) -> None:
    """Run a controller."""
    serve(config)


@main.command()
@click.argument("file")
def check(file: str) -> None:
    """Check a settings file."""
    settings = read_settings(file)
    click.echo(f"{file}: good, {settings.name} of {settings.cluster.size} controllers")
