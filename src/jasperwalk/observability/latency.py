"""Latency histograms as plain integers, for processes without a metrics library."""

from __future__ import annotations

from bisect import bisect_left

LATENCY_BOUNDS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)


class LatencyHistogram:
    """How many durations fell into each bucket, and their sum in seconds."""

    __slots__ = ("counts", "total_seconds")

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return pairs (upper bound, count up to it), as the metrics text format has them."""
        bounds = [*(str(bound) for bound in LATENCY_BOUNDS_SECONDS), "+Inf"]
        sums, total = [], 0
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            sums.append((bound, float(total)))
        return sums
