"""Queue of the flows that still have to get GOAWAY, because their agent is draining (sans-IO).

A caller that gets GOAWAY opens a new flow, and balancers place that one elsewhere. Until then,
and for callers that ignore it, requests on the old flow are relayed. A bounded number of flows
gets GOAWAY in each turn of the event loop, so that other packets of this agent do not wait for
thousands of them and not all callers reach the other members at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from jasperwalk.agent.service_view import ServiceView

FLOWS_PER_TURN = 64
"""Flows that get GOAWAY in one turn of the event loop."""


class PendingGoAways:
    """Queue of the flows, by number, that have not got GOAWAY yet."""

    def __init__(self) -> None:
        self._waiting: deque[int] = deque()

    def view_changed(
        self, before: ServiceView, after: ServiceView, open_flows: Iterable[int]
    ) -> None:
        """Queue all open flows when a drain starts; clear the queue when it ends."""
        if after.draining and not before.draining:
            self._waiting = deque(open_flows)
        if not after.draining:
            self._waiting.clear()

    def take(self) -> list[int]:
        """Remove the next flows from the queue and return them."""
        count = min(FLOWS_PER_TURN, len(self._waiting))
        return [self._waiting.popleft() for _ in range(count)]
