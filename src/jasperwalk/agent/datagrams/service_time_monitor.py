"""Monitors the host's service times: refuses flows of a slow host, reports them to balancers."""

from __future__ import annotations

from dataclasses import dataclass, field

from jasperwalk.agent.datagrams.held_flow import HeldFlow
from jasperwalk.agent.datagrams.host import HostState
from jasperwalk.flows.codec import PacketCodec
from jasperwalk.flows.frames import OpeningTerms, RefusalReason
from jasperwalk.flows.service_time import UNKNOWN_SERVICE_TIME, encode_service_time
from jasperwalk.observability.decisions import DecisionLog
from jasperwalk.scheduling.host_service_times import HostServiceTimes
from jasperwalk.scheduling.slow_host import SlowHost


@dataclass(eq=False, repr=False)
class ServiceTimeMonitor:
    """Measures the host's requests by their listener; sans-IO, times are seconds.

    With `is_enabled` False it measures, reports and refuses nothing.
    """

    codec: PacketCodec
    host: HostState
    log: DecisionLog
    is_enabled: bool = True
    service_times: HostServiceTimes = field(default_factory=HostServiceTimes)

    def __post_init__(self) -> None:
        """Create the detection of a slow host."""
        self.slow_host = SlowHost(self.service_times)

    def record_request(self, flow: HeldFlow, packet: bytes, now: float) -> None:
        """Record that a packet with a request, or a further part of it, goes to the host."""
        if self.is_enabled:
            listener = self.codec.listener_of(self.codec.flow_key(packet))
            self.service_times.record_request(flow, listener, self.host.capacity, now)

    def record_answer(self, flow: HeldFlow, now: float) -> None:
        """Record that the host started to answer a request.

        A host announces its slow start itself; its service times then are not typical and not used.
        """
        if not self.is_enabled:
            return
        if now < self.host.slow_until:
            self.service_times.record_end(flow, self.host.capacity, now)
            return
        self.service_times.record_answer(flow, self.host.capacity, now)
        self.check(now)

    def record_end(self, flow: HeldFlow, now: float) -> None:
        """Record that a flow has no request in flight any more."""
        if self.is_enabled:
            self.service_times.record_end(flow, self.host.capacity, now)

    def record_admission(self, now: float) -> None:
        """Record that the host gets a new flow."""
        self.slow_host.record_admission(now)

    def on_host_replaced(self) -> None:
        """Discard the measurements: another host has taken the place of this one."""
        self.service_times.reset()
        self.slow_host.reset()

    def check(self, now: float) -> None:
        """Evaluate the host; log where it became slow or recovered."""
        if not self.is_enabled or not self.slow_host.evaluate(now):
            return
        self.log.note(
            "host-slow" if self.slow_host.is_slow() else "host-usual-again",
            pace_ms=self.service_time_ms(),
            usual_ms=round(1000 * (self.service_times.baseline_seconds() or 0.0), 1),
            samples=self.service_times.observations(),
            newest_ms=self._newest_age_ms(now),
            **self.host.describe(now),
        )

    def _newest_age_ms(self, now: float) -> int:
        """Return the age of the newest measured request, -1 where there is none."""
        age_seconds = self.service_times.newest_age_seconds(now)
        return -1 if age_seconds is None else round(1000 * age_seconds)

    def service_time_ms(self) -> float:
        """Return the service time of a typical request now, in milliseconds; 0.0 where unknown."""
        return round(1000 * (self.slow_host.service_seconds(None) or 0.0), 1)

    def encoded_service_time(self, flow_key: bytes, now: float) -> int:
        """Return the service time as encoded in the answer that accepts this flow."""
        if not self.is_enabled:
            return UNKNOWN_SERVICE_TIME
        self.check(now)
        return encode_service_time(self.slow_host.service_seconds(self.codec.listener_of(flow_key)))

    def refusal(
        self, flow_key: bytes | None, busy: int, terms: OpeningTerms, now: float
    ) -> RefusalReason | None:
        """Return why a slow host refuses a new flow, None where it takes it.

        Balancers that send terms know the reason `SLOW`; for others the host is full.
        """
        self.check(now)
        if terms.waits or not self.slow_host.is_slow():
            return None
        kind = None if flow_key is None else self.codec.listener_of(flow_key)
        remaining = _remaining_seconds(terms)
        if not self.slow_host.refuses(kind, busy, self.host.capacity, remaining, now):
            return None
        return RefusalReason.FULL if terms.route is None else RefusalReason.SLOW


def _remaining_seconds(terms: OpeningTerms) -> float | None:
    """Return the time until the caller's deadline, None where its route names no objective."""
    if terms.route is None or not terms.route.objective_seconds:
        return None
    return terms.route.objective_seconds - terms.age_seconds
