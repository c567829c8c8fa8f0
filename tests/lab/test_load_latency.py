"""Latencies are recorded by kind, in a histogram of bounded range."""

from __future__ import annotations

import pytest

from jasperwalk_lab.load.latency import Latencies


def test_percentiles_of_a_known_set():
    latencies = Latencies()
    for milliseconds in range(1, 1001):
        latencies.record("lookup", milliseconds / 1000)
    latencies.record("download", 500.0)
    summaries = latencies.summaries()
    lookup = summaries["lookup"]
    assert (lookup.count, summaries["download"].count) == (1000, 1)
    found = [lookup.p50_ms, lookup.p90_ms, lookup.p99_ms, lookup.max_ms]
    assert found == pytest.approx([500, 900, 990, 1000], rel=0.002)
    assert summaries["download"].max_ms == pytest.approx(120_000, rel=0.002)
