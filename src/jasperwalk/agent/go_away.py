"""Which flows are still to be told that their agent takes no new work (sans-IO).

A caller that gets GOAWAY opens its next flow anew, and balancers place that one elsewhere.
Until then, and for callers that ignore it, requests on the old flow are relayed. Flows are
told in bounded turns, so that neither this agent's packets wait for thousands of others nor
all callers come to the other members at once.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from jasperwalk.agent.service_view import ServiceView

FLOWS_PER_TURN = 64
"""Flows that are told in one turn."""


class PendingGoAways:
    """The numbers of the flows that have not been told yet."""

    def __init__(self) -> None:
        self._waiting: deque[int] = deque()

    def view_changed(
        self, before: ServiceView, after: ServiceView, open_flows: Iterable[int]
    ) -> None:
        """Queue all open flows where a drain begins; forget them where it ends."""
        if after.draining and not before.draining:
            self._waiting = deque(open_flows)
        if not after.draining:
            self._waiting.clear()

    def take(self) -> list[int]:
        """Return, and forget, the next flows to tell."""
        count = min(FLOWS_PER_TURN, len(self._waiting))
        return [self._waiting.popleft() for _ in range(count)]
