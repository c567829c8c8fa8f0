"""Measures a host's load: requests in flight, counted from the packets that pass the agent."""

from __future__ import annotations

import math

AVERAGE_SECONDS = 1.0
"""Time constant of the average; long flows cause requests that no opening packet announces."""
CURRENT_SHARE = 0.6
"""Weight of the current count in the load; the rest is the average."""


class LoadMeter:
    """The number of requests in flight and its moving average."""

    __slots__ = ("_average", "_changed_at", "busy")

    def __init__(self, now: float) -> None:
        self.busy = 0
        self._average = 0.0
        self._changed_at = now

    def change(self, difference: int, now: float) -> None:
        """Count requests that started or ended."""
        self._settle(now)
        self.busy = max(0, self.busy + difference)

    def load(self, now: float) -> float:
        """Return the load in requests."""
        self._settle(now)
        return CURRENT_SHARE * self.busy + (1.0 - CURRENT_SHARE) * self._average

    def _settle(self, now: float) -> None:
        elapsed = max(0.0, now - self._changed_at)
        self._changed_at = now
        self._average += (self.busy - self._average) * (1.0 - math.exp(-elapsed / AVERAGE_SECONDS))
