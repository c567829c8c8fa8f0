"""The byte budget of one link, as a token bucket."""

from __future__ import annotations


class TokenBucket:
    """A token bucket that may go into debt by one message.

    A message may be sent while any token is left, however long it is; the debt delays the
    next one. The rate therefore holds on average, and a message of any length can be sent.
    """

    __slots__ = ("_burst", "_filled_at", "_rate", "_tokens")

    def __init__(self, bytes_per_second: float, burst_bytes: float, now: float) -> None:
        self._rate = bytes_per_second
        self._burst = burst_bytes
        self._tokens = burst_bytes
        self._filled_at = now

    def allows(self, now: float) -> bool:
        """Return whether a message may be sent."""
        self._fill(now)
        return self._tokens > 0

    def spend(self, length: int) -> None:
        """Subtract the bytes of a message that was sent."""
        self._tokens -= length

    def ready_at(self, now: float) -> float:
        """Return the time at which a message may be sent, `now` or later."""
        self._fill(now)
        if self._tokens > 0:
            return now
        return now + (1 - self._tokens) / self._rate

    def _fill(self, now: float) -> None:
        elapsed = max(0.0, now - self._filled_at)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._filled_at = now
