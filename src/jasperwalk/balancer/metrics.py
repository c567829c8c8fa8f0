"""The balancer's metrics, read from plain counters at each scrape."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Final

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from jasperwalk.balancer.outcomes import DatagramCounters
from jasperwalk.balancer.queues import QueueDrop

PREFIX: Final = "jasperwalk_balancer"


class BalancerCollector(Collector):
    """Exports the datagram counters and the state of the table."""

    def __init__(
        self,
        counters: DatagramCounters,
        send_failures: Callable[[], int],
        queue_drops: Callable[[], Mapping[QueueDrop, int]],
        revision: Callable[[], int],
        freshness_age_seconds: Callable[[], float],
    ) -> None:
        self._counters = counters
        self._send_failures = send_failures
        self._queue_drops = queue_drops
        self._revision = revision
        self._freshness_age_seconds = freshness_age_seconds

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics."""
        yield self._forwarded()
        yield self._dropped()
        yield CounterMetricFamily(
            f"{PREFIX}_send_failures",
            "Datagrams that the socket refused to send.",
            value=self._send_failures(),
        )
        yield GaugeMetricFamily(
            f"{PREFIX}_table_revision", "Revision of the table in force.", value=self._revision()
        )
        yield GaugeMetricFamily(
            f"{PREFIX}_table_freshness_age_seconds",
            "Seconds since the table was known to be the newest; infinite for never.",
            value=self._freshness_age_seconds(),
        )

    def _forwarded(self) -> CounterMetricFamily:
        family = CounterMetricFamily(
            f"{PREFIX}_datagrams_forwarded", "Datagrams forwarded.", labels=["class"]
        )
        family.add_metric(["established"], self._counters.established)
        family.add_metric(["new"], self._counters.new_flows)
        family.add_metric(["offline-agent"], self._counters.witnessed)
        return family

    def _dropped(self) -> CounterMetricFamily:
        family = CounterMetricFamily(
            f"{PREFIX}_datagrams_dropped", "Datagrams dropped.", labels=["reason"]
        )
        for reason, count in self._counters.dropped.items():
            family.add_metric([reason.value], count)
        for queue, count in self._queue_drops().items():
            family.add_metric([queue.value], count)
        return family
