"""How an attempt of a task is proven to be over."""

from __future__ import annotations

import enum


class AttemptVerdict(enum.StrEnum):
    """What a worker, a lease or the cloud has proven of an attempt that is over."""

    DONE = "done"
    """completed"""
    FAILED = "error"
    """ended with an error; counts as a failure of the job"""
    SETTLED = "settled"
    """over without a result: it can be attempted again"""
