"""Summarizes the durations that many runs measured: p50, p99 and maximum."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import fields

import msgspec

from jasperwalk_lab.simulator.verdicts import Measures

MEDIAN, P99 = 0.5, 0.99


class Distribution(msgspec.Struct):
    """Virtual seconds over all occasions; zeros if there was none."""

    occasions: int
    p50_seconds: float
    p99_seconds: float
    longest_seconds: float


def distributions(measures: Iterable[Measures]) -> dict[str, Distribution]:
    """Return the distribution of each field of `Measures` over all runs, by its name."""
    kept = list(measures)
    return {
        each.name: _distribution([value for one in kept for value in getattr(one, each.name)])
        for each in fields(Measures)
    }


def _distribution(values: list[float]) -> Distribution:
    ordered = sorted(values)
    if not ordered:
        return Distribution(0, 0.0, 0.0, 0.0)
    return Distribution(
        len(ordered),
        _percentile(ordered, MEDIAN),
        _percentile(ordered, P99),
        round(ordered[-1], 4),
    )


def _percentile(ordered: list[float], share: float) -> float:
    """Return the smallest value that is at least as large as `share` of all values."""
    return round(ordered[max(0, math.ceil(share * len(ordered)) - 1)], 4)
