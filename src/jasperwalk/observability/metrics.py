"""Prometheus metrics of one process, under one naming scheme.

Every metric is called `jasperwalk_<process>_<name>`; counters end in `_total`, durations in
`_seconds`.
"""

from __future__ import annotations

from collections.abc import Sequence

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from jasperwalk.observability.latency import LATENCY_BOUNDS_SECONDS

DURATION_BUCKETS_SECONDS = (*LATENCY_BOUNDS_SECONDS, 10.0)


class MetricsRegistry:
    """The metrics of one process; `process` is its kind (control, balancer, agent)."""

    def __init__(self, process: str) -> None:
        self._prefix = f"jasperwalk_{process}"
        self.collectors = CollectorRegistry()
        ProcessCollector(registry=self.collectors)

    def counter(self, name: str, documentation: str, labels: Sequence[str] = ()) -> Counter:
        """Make a counter; prometheus-client adds `_total` to its name."""
        return Counter(f"{self._prefix}_{name}", documentation, labels, registry=self.collectors)

    def gauge(self, name: str, documentation: str, labels: Sequence[str] = ()) -> Gauge:
        """Make a gauge."""
        return Gauge(f"{self._prefix}_{name}", documentation, labels, registry=self.collectors)

    def histogram(self, name: str, documentation: str, labels: Sequence[str] = ()) -> Histogram:
        """Make a histogram of seconds."""
        return Histogram(
            f"{self._prefix}_{name}",
            documentation,
            labels,
            registry=self.collectors,
            buckets=DURATION_BUCKETS_SECONDS,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.collectors)
