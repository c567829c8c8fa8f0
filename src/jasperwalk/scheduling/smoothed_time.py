"""Smooths a repeatedly measured time: a moving average, a deviation, and a time-out from both.

The weights are those of a retransmission timer (RFC 6298).
"""

from __future__ import annotations

NEWEST_WEIGHT = 0.125
"""Weight of the newest sample in the average."""
DEVIATION_WEIGHT = 0.25
"""Weight of the newest sample in the deviation."""
DEVIATIONS = 4.0
"""Deviations above the average at which the time-out lies."""


class SmoothedTime:
    """Smooths samples in seconds."""

    __slots__ = ("_deviation", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0

    def record(self, seconds: float) -> None:
        """Record one sample."""
        if not self._mean:
            self._mean, self._deviation = seconds, seconds / 2
            return
        deviation = abs(seconds - self._mean)
        self._deviation += DEVIATION_WEIGHT * (deviation - self._deviation)
        self._mean += NEWEST_WEIGHT * (seconds - self._mean)

    def reset(self) -> None:
        """Discard all samples."""
        self._mean = self._deviation = 0.0

    @property
    def mean(self) -> float:
        """The average, 0.0 before the first sample."""
        return self._mean

    def timeout_seconds(self, shortest: float, longest: float) -> float:
        """Return after how long a sample is no longer expected, within the two bounds.

        Without samples it is the longer bound.
        """
        if not self._mean:
            return longest
        return min(max(self._mean + DEVIATIONS * self._deviation, shortest), longest)
