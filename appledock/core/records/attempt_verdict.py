"""Result of an attempt of a task that is proven to have ended."""

from __future__ import annotations

import enum


class AttemptVerdict(enum.StrEnum):
    """Result of an ended attempt, as proven by a worker, by an expired lease or by the cloud."""

    DONE = "done"
    """The task was completed."""
    FAILED = "error"
    """The task ended with an error, which counts as a failure of the job."""
    SETTLED = "settled"
    """The attempt ended without a result, so the task can be attempted again."""
