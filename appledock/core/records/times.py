"""Times of day in stored records."""

from __future__ import annotations

from appledock import constants


def stored_wall_time(wall_time: float) -> float:
    """Return a time of day (s) with the precision that stored records keep.

    A controller that creates a record takes this time itself too: every controller must order
    jobs by the same times, whether it wrote the record or has read it.
    """
    return round(wall_time, constants.STORED_WALL_TIME_DIGITS)
