"""The table of the flows at the host, and of their requests in flight.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.agent.datagrams.half_open import HalfOpenFlows
from jasperwalk.agent.datagrams.held_flow import HeldFlow
from jasperwalk.agent.datagrams.load import LoadMeter
from jasperwalk.flows.codec import SocketAddress
from jasperwalk.scheduling.requests_in_flight import RequestsInFlight

LIFETIME_SLACK_SECONDS = 10.0


@dataclass(eq=False, repr=False)
class HeldFlows:
    """Owns the flows; `meter` counts those with a request in flight.

    `lifetime_seconds` is how long a flow may last.
    """

    meter: LoadMeter
    lifetime_seconds: float
    on_request_end: Callable[[HeldFlow, float], None] | None = None
    """Called with each flow whose request in flight has ended, if set."""
    half_open: HalfOpenFlows = field(default_factory=HalfOpenFlows)
    in_flight: RequestsInFlight = field(default_factory=RequestsInFlight)
    """The requests that occupy a place at the host, identified by their flows."""
    _flows: dict[bytes, HeldFlow] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    def get(self, key: bytes) -> HeldFlow | None:
        """Return a flow, None where it is unknown."""
        return self._flows.get(key)

    def add_unconfirmed(self, key: bytes, sender: SocketAddress, now: float) -> HeldFlow:
        """Add a flow that only a balancer expects at the host."""
        flow = self._flows[key] = HeldFlow(sender, now, now, confirmed=False)
        return flow

    def admit(self, key: bytes, sender: SocketAddress, now: float) -> None:
        """Add a flow whose opening packet goes to the host; it counts as a request in flight."""
        old = self._flows.get(key)
        if old is not None:
            self.set_busy(old, False, now)
        flow = self._flows[key] = HeldFlow(sender, now, now, followed_up=False)
        self.set_busy(flow, True, now)
        self.half_open.add(key, flow)

    def set_busy(self, flow: HeldFlow, busy: bool, now: float) -> None:
        """Set whether a flow has a request in flight."""
        if flow.busy != busy:
            flow.busy = busy
            self.meter.change(1 if busy else -1, now)
            if busy:
                self.in_flight.start(flow, now)
                return
            self.in_flight.end(flow)
            if self.on_request_end is not None:
                self.on_request_end(flow, now)

    def record_request(self, flow: HeldFlow, now: float) -> None:
        """Record that a request, or a further part of one, goes to the host."""
        flow.requested_at = now
        if flow.busy:
            self.in_flight.start(flow, now)
        else:
            self.set_busy(flow, True, now)

    def record_answer(self, flow: HeldFlow, now: float) -> None:
        """Record that the host has started to answer a request."""
        self.in_flight.record_answer(now - flow.requested_at)

    def drop(self, key: bytes, flow: HeldFlow, now: float) -> None:
        """Remove a flow."""
        self.set_busy(flow, False, now)
        self.half_open.discard(key)
        del self._flows[key]

    def unconfirm_all(self, now: float) -> None:
        """Count no flow as confirmed: another host may run, and only packets show what it holds."""
        for flow in self._flows.values():
            self.set_busy(flow, False, now)
            flow.confirmed = False

    def expire_half_open(self, now: float) -> int:
        """Stop counting flows whose callers had left; return how many there were."""
        abandoned = self.half_open.take_abandoned(now)
        for flow in abandoned:
            self.set_busy(flow, False, now)
        return len(abandoned)

    def take_unanswered(self, now: float) -> list[tuple[bytes, HeldFlow]]:
        """Return the flows with a request that the host leaves unanswered, each request once."""
        unanswered = [each for each in self._flows.items() if each[1].is_unanswered(now)]
        for _, flow in unanswered:
            flow.unanswered_counted = True
        return unanswered

    def sweep(self, now: float) -> None:
        """Remove flows that ended or cannot be alive any longer."""
        longest = self.lifetime_seconds + LIFETIME_SLACK_SECONDS
        for key, flow in list(self._flows.items()):
            if flow.is_stuck(now):
                self.set_busy(flow, False, now)
            if flow.is_over(now, longest):
                self.set_busy(flow, False, now)
                del self._flows[key]
