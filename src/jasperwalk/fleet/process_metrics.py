"""Counters, gauges and latency histograms of a process, in the Prometheus text format.

Counters are plain integers, so that a process on a small machine loads no metrics library before
the first scrape; prometheus-client then renders them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from jasperwalk.addresses import Endpoint
from jasperwalk.observability.latency import LatencyHistogram
from jasperwalk.transport.http_messages import HttpRequest, HttpResponse
from jasperwalk.transport.http_server import HttpServer

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

PROMETHEUS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass(eq=False, repr=False)
class ProcessMetrics:
    """The metrics of one process; `counters` returns its current counts by name."""

    process: str
    counters: Callable[[], Mapping[str, int]]
    gauges: Mapping[str, Callable[[], float]] = field(default_factory=dict)
    latencies: Mapping[str, LatencyHistogram] = field(default_factory=dict)

    def render(self) -> bytes:
        """Return the metrics as text."""
        # Imported at the first scrape only: most processes are never scraped.
        from prometheus_client import CollectorRegistry, generate_latest  # noqa: PLC0415

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterable[Metric]:
        """Yield the metrics as prometheus-client's families."""
        from prometheus_client.metrics_core import (  # noqa: PLC0415
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        prefix = f"jasperwalk_{self.process}"
        for name, value in self.counters().items():
            yield CounterMetricFamily(f"{prefix}_{name}", _sentence(name), value=value)
        for name, read in self.gauges.items():
            yield GaugeMetricFamily(f"{prefix}_{name}", _sentence(name), value=read())
        for name, latency in self.latencies.items():
            yield HistogramMetricFamily(
                f"{prefix}_{name}_seconds",
                _sentence(name),
                buckets=latency.cumulative(),
                sum_value=latency.total_seconds,
            )


def _sentence(name: str) -> str:
    return name.replace("_", " ").capitalize() + "."


def metrics_server(address: str, path: str, metrics: ProcessMetrics) -> HttpServer | None:
    """Return the server of a process's metrics, None if the settings name no address."""
    if not address:
        return None

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path != path:
            return HttpResponse(404)
        return HttpResponse(200, metrics.render(), {"Content-Type": PROMETHEUS_CONTENT_TYPE})

    return HttpServer(Endpoint.parse(address), handle)
