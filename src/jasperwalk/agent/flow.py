"""One flow: a QUIC connection with its HTTP/3 side and its timers (sans-IO)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from jasperwalk.agent.connection import RoutableServerConnection
from jasperwalk.agent.http3 import Http3Flow

KEEPALIVE_INTERVAL_SECONDS = 15.0
"""Interval of pings while a request is open, so that a quiet stream meets no idle time-out."""
HANDSHAKE_TIMEOUT_SECONDS = 10.0
"""Time limit of a handshake: an Initial without a follow-up must not hold memory longer."""


@dataclass(slots=True)
class Flow:
    """One QUIC connection.

    `vip` is the packed endpoint that answers come from. `next_timer_at` is the earliest entry
    for the flow in the timer heap of the flow table. Times are in seconds.
    """

    number: int
    service_id: int
    vip: bytes
    connection: RoutableServerConnection
    http: Http3Flow
    opened_at: float
    pinged_at: float = -math.inf
    handshake_complete: bool = False
    connection_ids: set[bytes] = field(default_factory=set)
    next_timer_at: float = math.inf

    def next_timer(self) -> float:
        """Return when `run_timers` has to be called next, inf for never."""
        due = self.connection.get_timer()
        if due is None:
            return math.inf
        if not self.handshake_complete:
            return min(due, self.opened_at + HANDSHAKE_TIMEOUT_SECONDS)
        if self.http.open_requests:
            return min(due, self._keepalive_at())
        return due

    def run_timers(self, now: float) -> None:
        """Run the connection's timer, and ping while a request is open."""
        due = self.connection.get_timer()
        if due is not None and due <= now:
            self.connection.handle_timer(now)
        if self.http.open_requests and now >= self._keepalive_at():
            self.connection.send_ping(self.number)
            self.pinged_at = now

    def handshake_overdue(self, now: float) -> bool:
        """Return whether the caller did not complete the handshake in time."""
        return not self.handshake_complete and now >= self.opened_at + HANDSHAKE_TIMEOUT_SECONDS

    def _keepalive_at(self) -> float:
        return max(self.opened_at, self.pinged_at) + KEEPALIVE_INTERVAL_SECONDS
