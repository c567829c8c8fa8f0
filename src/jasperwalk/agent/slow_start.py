"""Slow start: a cold agent diverts a falling share of its new flows to other agents (sans-IO).

The share falls linearly from 95% to zero over the service's `slow_start_ms`. The agent does
this by itself, so that control need not publish a series of rising weights after a restart.
"""

from __future__ import annotations

import math

from xxhash import xxh3_64_intdigest

MAX_DIVERTED_SHARE = 0.95
"""Share that is diverted at the start: the remaining flows warm up the host."""
HASH_SEED = 0x736C6F77
"""Makes the hash independent of the one that balancers use to choose candidates."""
HASH_SPAN = float(2**64)


class SlowStart:
    """Decides by a hash of the connection ID, so that retransmissions agree."""

    def __init__(self) -> None:
        self._started_at = -math.inf

    def start(self, now: float) -> None:
        """Record that this agent has just come online; `now` is in seconds."""
        self._started_at = now

    def diverts(self, connection_id: bytes, duration_seconds: float, now: float) -> bool:
        """Return whether the flow opened by this Initial goes to the other candidate."""
        elapsed = now - self._started_at
        if elapsed >= duration_seconds:
            return False
        share = MAX_DIVERTED_SHARE * (1 - elapsed / duration_seconds)
        return xxh3_64_intdigest(connection_id, HASH_SEED) < share * HASH_SPAN
