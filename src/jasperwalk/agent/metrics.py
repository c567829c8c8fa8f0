"""The agent's metrics, read from its components when `/metrics` is requested."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from jasperwalk.agent.admission import Admission
from jasperwalk.agent.borrower import SlotBorrower
from jasperwalk.agent.dispatcher import Dispatcher
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.lender import SlotLender
from jasperwalk.agent.runner import RequestRunner

PREFIX = "jasperwalk_agent"


class AgentCollector(Collector):
    """Collects the counters and gauges of one agent."""

    def __init__(
        self,
        endpoint: AgentEndpoint,
        dispatcher: Dispatcher,
        runner: RequestRunner,
        admission: Admission,
        borrower: SlotBorrower,
        lender: SlotLender,
    ) -> None:
        self._endpoint = endpoint
        self._dispatcher = dispatcher
        self._runner = runner
        self._admission = admission
        self._borrower = borrower
        self._lender = lender

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics."""
        yield _gauge("open_flows", "Open QUIC connections.", self._endpoint.open_flows)
        yield _gauge("open_requests", "Requests in progress.", self._dispatcher.open_requests)
        yield _gauge("slots_used", "Slots in use.", self._admission.running)
        yield _gauge("queue_length", "Requests waiting for a slot.", self._admission.waiting)
        yield _counter("handed_over", "New flows passed on.", self._endpoint.handed_over)
        yield _counter("stateless_resets", "Stateless resets sent.", self._endpoint.resets_sent)
        yield _counter("relayed", "Requests relayed to another agent.", self._runner.relayed)
        yield _counter("retried", "Requests retried at another agent.", self._runner.retried)
        yield _counter("slots_asked", "Other members asked for a slot.", self._borrower.asked)
        yield _counter("slots_borrowed", "Slots that were granted.", self._borrower.borrowed)
        yield _counter("slots_lent", "Requests run in lent slots.", self._lender.lent)
        yield _counter("cancelled", "Requests given up by callers.", self._dispatcher.cancelled)
        yield self._outcomes()
        yield self._drops()

    def _outcomes(self) -> Metric:
        family = CounterMetricFamily(
            f"{PREFIX}_requests", "Requests by outcome.", labels=("outcome", "reason")
        )
        for label, count in self._dispatcher.outcomes.items():
            family.add_metric((label.kind, label.reason), count)
        return family

    def _drops(self) -> Metric:
        family = CounterMetricFamily(
            f"{PREFIX}_dropped_datagrams", "Datagrams dropped by reason.", labels=("reason",)
        )
        for reason, count in self._endpoint.drops.items():
            family.add_metric((reason,), count)
        return family


def _gauge(name: str, documentation: str, value: float) -> Metric:
    return GaugeMetricFamily(f"{PREFIX}_{name}", documentation, value=value)


def _counter(name: str, documentation: str, value: float) -> Metric:
    return CounterMetricFamily(f"{PREFIX}_{name}", documentation, value=value)
