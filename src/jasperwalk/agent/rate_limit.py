"""A rate limit on packets that unauthenticated senders can make the agent send (sans-IO)."""

from __future__ import annotations


class RateLimit:
    """Allows at most `per_second` events in each second of `now`."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._second = -1
        self._used = 0

    def allows(self, now: float) -> bool:
        """Count one event and return whether it is within the limit."""
        if int(now) != self._second:
            self._second = int(now)
            self._used = 0
        self._used += 1
        return self._used <= self._per_second
