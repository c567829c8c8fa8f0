"""Admission control of subscribers that need a snapshot, with retry times for refused ones.

Snapshots take far more of a replica's processor time than anything else that a subscriber needs.
If a whole fleet joined at once, consensus would be starved of the event loop, the quorum would be
lost, and the fleet would leave and join again. So the number of joins at one time is limited, and
refused subscribers are given retry times one after the other.
"""

from __future__ import annotations

from collections import OrderedDict

from jasperwalk.distribution.publisher_events import PublisherConfig

MILLISECONDS_PER_SECOND = 1000


class JoinAdmission:
    """Joins in progress by subscriber ID, and the next retry time for a refused one.

    A join ends with the first acknowledgement, with the connection, or after
    `join_seconds`. Times are in seconds of one monotonic clock.
    """

    def __init__(self, config: PublisherConfig) -> None:
        self._config = config
        self._started_at: OrderedDict[int, float] = OrderedDict()
        self._next_retry_at = 0.0

    def has_capacity(self, now: float) -> bool:
        """Return whether one more subscriber may join now."""
        self._remove_overdue(now)
        return len(self._started_at) < self._config.join_limit

    def start(self, subscriber_id: int, now: float) -> None:
        """Record that a subscriber joins."""
        self._started_at[subscriber_id] = now

    def end(self, subscriber_id: int) -> None:
        """Record that a subscriber has joined, or is gone."""
        self._started_at.pop(subscriber_id, None)

    def retry_after_ms(self, now: float) -> int:
        """Return after how many milliseconds a refused subscriber may retry, a time of its own."""
        config = self._config
        earliest = now + config.retry_after_ms / MILLISECONDS_PER_SECOND
        latest = now + config.max_retry_after_ms / MILLISECONDS_PER_SECOND
        retry_at = max(self._next_retry_at, earliest)
        if retry_at > latest:
            # Past the latest time they start over: late subscribers share times with early ones.
            retry_at = earliest
        self._next_retry_at = retry_at + 1 / config.retries_per_second
        return round((retry_at - now) * MILLISECONDS_PER_SECOND)

    def _remove_overdue(self, now: float) -> None:
        limit = now - self._config.join_seconds
        while self._started_at and next(iter(self._started_at.values())) <= limit:
            self._started_at.popitem(last=False)
