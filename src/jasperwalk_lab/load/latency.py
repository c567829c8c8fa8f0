"""Latency histograms (HdrHistogram) by kind of operation."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS = 1_000_000


class LatencySummary(msgspec.Struct, frozen=True):
    """Latencies of one kind of operation, in milliseconds."""

    count: int
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class Latencies:
    """One histogram for each kind of operation."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}

    def record(self, kind: str, seconds: float) -> None:
        """Add one latency."""
        histogram = self._histograms.get(kind)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[kind] = histogram
        microseconds = max(LOWEST_MICROSECONDS, int(seconds * MICROSECONDS))
        histogram.record_value(min(microseconds, HIGHEST_MICROSECONDS))

    def summaries(self) -> Mapping[str, LatencySummary]:
        """Return the percentiles of each kind."""
        return {kind: _summary(each) for kind, each in sorted(self._histograms.items())}


def _summary(histogram: HdrHistogram) -> LatencySummary:
    def at(percentile: float) -> float:
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    return LatencySummary(
        count=histogram.get_total_count(),
        p50_ms=at(50),
        p90_ms=at(90),
        p99_ms=at(99),
        p999_ms=at(99.9),
        max_ms=histogram.get_max_value() / 1000,
    )
