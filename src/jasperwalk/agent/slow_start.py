"""Slow start: a cold agent passes on a falling share of its new flows (sans-IO).

The share falls linearly from 95% to nothing over the service's `slow_start_ms`. The agent
does it by itself, so a restart costs control no deltas of rising weights.
"""

from __future__ import annotations

import math

from xxhash import xxh3_64_intdigest

MAX_DIVERTED_SHARE = 0.95
"""Share passed on at the very start: some flows have to warm the host up."""
HASH_SEED = 0x736C6F77
"""Makes the hash independent of the one by which balancers choose candidates."""
HASH_SPAN = float(2**64)


class SlowStart:
    """Decides by a hash of the connection ID, so that retransmissions agree."""

    def __init__(self) -> None:
        self._started_at = -math.inf

    def start(self, now: float) -> None:
        """Note that this agent came online just now; `now` is in seconds."""
        self._started_at = now

    def diverts(self, connection_id: bytes, duration_seconds: float, now: float) -> bool:
        """Tell whether the flow that this Initial opens goes to the other candidate."""
        elapsed = now - self._started_at
        if elapsed >= duration_seconds:
            return False
        share = MAX_DIVERTED_SHARE * (1 - elapsed / duration_seconds)
        return xxh3_64_intdigest(connection_id, HASH_SEED) < share * HASH_SPAN
