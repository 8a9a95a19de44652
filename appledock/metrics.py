"""Latency histograms of one controller, read through the administration API."""

from __future__ import annotations

from typing import Any

from hdrh.histogram import HdrHistogram

from appledock import constants as c

PERCENTILES = (50.0, 90.0, 99.0, 100.0)


class Metrics:
    """Latency histograms, one for each kind of request, call and batch."""

    def __init__(self) -> None:
        self.histograms: dict[str, HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Add a duration to the histogram of this name; durations beyond its range are clamped."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = HdrHistogram(1, c.LATENCY_MAX_US, c.LATENCY_DIGITS)
        histogram.record_value(min(max(1, int(seconds * 1e6)), c.LATENCY_MAX_US))

    def summary(self) -> dict[str, Any]:
        """Return the count and the percentiles, in milliseconds, of each histogram by name."""
        return {
            "latency_ms": {
                name: {
                    "count": histogram.get_total_count(),
                    **{
                        f"p{p:g}": round(histogram.get_value_at_percentile(p) / 1000, 3)
                        for p in PERCENTILES
                    },
                }
                for name, histogram in sorted(self.histograms.items())
            }
        }
