"""Slow start: limits the new flows of a cold host exactly, in every second.

A host is cold after its start, and so are the hosts of a zone that was drained for a while. Every
opening packet to the host passes its agent, so a log of the last second's packets enforces the
limit for all balancers together. A token bucket would not: a full bucket and its refill could fall
into one second.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from jasperwalk.fleet.messages import WarmUp

WINDOW_SECONDS = 1.05
"""The limit is per second; the rest is for packets that reach the host with varying delay."""


@dataclass(eq=False, repr=False)
class WarmUpLimit:
    """Limits the new flows of one host while it is cold.

    `floor` is how many flows a second any cold host can take, None where the settings name no
    number. An agent that has just started does not know what its predecessor forwarded, so the
    limit of its first second counts as used up.
    """

    floor: float | None
    started_at: float
    _warm_up: WarmUp | None = None
    """Warm-up of the service by the configuration, None before it has arrived."""
    _version: int = 0
    _zone_restored_at: float = float("-inf")
    _passed_at: deque[float] = field(default_factory=deque)

    def configure(self, version: int, warm_up: WarmUp) -> None:
        """Apply a version of the configuration; an older version changes nothing."""
        if version >= self._version:
            self._version = version
            self._warm_up = warm_up

    def on_zone_restored(self, now: float) -> None:
        """Count the host as cold from now on, though it may not have announced it yet."""
        self._zone_restored_at = now

    def record_opening(self, now: float) -> None:
        """Count an opening packet that goes to the host, also a copy."""
        self._passed_at.append(now)
        self._forget_old(now)

    def is_reached(self, slow_until: float, now: float) -> bool:
        """Tell whether the limit is reached; the host announced to be cold until `slow_until`."""
        most = self.bound(slow_until, now)
        if most is None:
            return False
        if now - self.started_at < WINDOW_SECONDS:
            return True
        self._forget_old(now)
        return len(self._passed_at) + 1 > most

    @property
    def slow_start_seconds(self) -> float:
        """How long a host of the service is cold after its start, 0 where unknown."""
        return 0.0 if self._warm_up is None else self._warm_up.seconds

    def bound(self, slow_until: float, now: float) -> float | None:
        """Return how many new flows a second the host may get now, None where there is no limit."""
        if not self._is_cold(slow_until, now):
            return None
        if self._warm_up is None:
            return self.floor
        if self._warm_up.flows_per_second <= 0:
            return None
        return max(self._warm_up.flows_per_second, self.floor or 0.0)

    def _is_cold(self, slow_until: float, now: float) -> bool:
        return now < max(slow_until, self._zone_restored_at + self.slow_start_seconds)

    def _forget_old(self, now: float) -> None:
        while self._passed_at and now - self._passed_at[0] >= WINDOW_SECONDS:
            self._passed_at.popleft()
