"""Runs a measurement so that an interrupt ends all processes and servers that it started."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


def run(measurement: Coroutine[Any, Any, Result]) -> Result:
    """Run the measurement and return its result.

    On SIGINT or SIGTERM, the measurement is cancelled, so that its context managers clean up, and
    the exit status is 130.
    """

    async def interruptible() -> Result:
        task = asyncio.create_task(measurement)
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    try:
        return asyncio.run(interruptible())
    except asyncio.CancelledError:
        raise SystemExit(130) from None
