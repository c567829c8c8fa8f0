"""A token bucket without debt; the one in `distribution.token_bucket` may go into debt."""

from __future__ import annotations


class TokenBucket:
    """Allows `rate_per_second` events a second, and `burst` at once after an idle time.

    Time is a parameter, in seconds from any origin; it never has to be the wall clock.
    """

    def __init__(self, rate_per_second: float, burst: float, now: float) -> None:
        self._rate_per_second = rate_per_second
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def take(self, now: float, count: float = 1) -> bool:
        """Take `count` tokens together; False, and none taken, when there are fewer."""
        elapsed = now - self._updated_at
        if elapsed > 0:
            self._tokens = min(self._burst, self._tokens + elapsed * self._rate_per_second)
            self._updated_at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True
