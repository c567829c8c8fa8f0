"""Monitors the host's behaviour: feeds outlier detection and logs each change of its verdicts."""

from __future__ import annotations

from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.agent.datagrams.host_response import HostResponse
from jasperwalk.agent.datagrams.service_time_monitor import ServiceTimeMonitor
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.scheduling.request_outcomes import RequestOutcomes


class HostMonitor:
    """Passes observations to `response`, `requests` and `service_times`; sans-IO.

    Times are seconds.
    """

    def __init__(
        self, host: HostState, log: DecisionLog, service_times: ServiceTimeMonitor
    ) -> None:
        self._host = host
        self._log = log
        self.service_times = service_times
        self.response = HostResponse()
        self.requests = RequestOutcomes()

    def record_admission(self, now: float) -> None:
        """Record that the host gets an opening packet."""
        self.response.record_opening(now)
        self.requests.record_admission(now)
        self.service_times.record_admission(now)

    def record_answer(self, now: float) -> None:
        """Record that the host started to answer a request."""
        if self.requests.record_answer(now):
            self._log.note("host-serves-again", **self._host.describe(now))

    def record_failure(self, now: float) -> None:
        """Record that the host reset the flow of a request, or leaves it unanswered."""
        if self.requests.record_failure(now):
            counts = self.requests.counts(now)
            self._log.note(
                "host-failing",
                failed=counts.failed,
                answered=counts.answered,
                pause_ms=round(1000 * self.requests.pause_seconds),
                **self._host.describe(now),
            )

    def record_packet(self, now: float) -> None:
        """Record a packet from the host."""
        self.response.record_packet()
        self.check(now)

    def record_opening_returned(self, now: float) -> None:
        """Record that the host returned an opening packet."""
        if self.response.record_returned():
            self._log.note("host-returns-openings", **self._host.describe(now))

    def record_opening_taken(self, now: float) -> None:
        """Record that the host answered an opening packet."""
        if self.response.record_taken():
            self._log.note("host-takes-openings", **self._host.describe(now))

    def on_host_replaced(self) -> None:
        """Discard the observations: another host has taken the place of this one."""
        self.response.record_taken()
        self.requests.reset()
        self.service_times.on_host_replaced()

    def check(self, now: float) -> None:
        """Log whether the host became silent or slow, or recovered; call every second."""
        self.service_times.check(now)
        if self.response.has_silence_changed(now):
            event = "host-silent" if self.response.is_silent(now) else "host-answers-again"
            self._log.note(event, **self._host.describe(now))
