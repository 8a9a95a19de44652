"""Runs a measurement so that an interrupt ends all that it started."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

Result = TypeVar("Result")


def run(measurement: Coroutine[Any, Any, Result]) -> Result:
    """Run it to its end; interrupted or terminated, it is cancelled, and its contexts end."""

    async def interruptible() -> Result:
        task = asyncio.create_task(measurement)
        for number in (signal.SIGINT, signal.SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await task

    try:
        return asyncio.run(interruptible())
    except asyncio.CancelledError:
        raise SystemExit(130) from None
