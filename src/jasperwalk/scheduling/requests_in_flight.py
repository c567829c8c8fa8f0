"""Counts the requests in flight at a host, for the decision whether it has a free place.

Load pattern: a host leaves some of its requests unanswered. Each would occupy a place until its
caller gives up, and the few places of the host would soon all be occupied, though it answers the
other requests at once. So a request that has been there for much longer than is usual at this host
is overdue and no longer counts.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from jasperwalk.scheduling.smoothed_time import SmoothedTime

MIN_OVERDUE_SECONDS = 0.2
"""However fast a host is, some requests take several times as long as the others."""
MAX_OVERDUE_SECONDS = 1.0
"""However slow a host is, at most services a request is answered by then or lost."""
DEFAULT_ANSWER_SECONDS = 0.05
"""Time of a request at a host without measurements."""


class RequestsInFlight:
    """Counts requests from when they were forwarded; any hashable value identifies one."""

    __slots__ = ("_answer_time", "_begun_at")

    def __init__(self) -> None:
        self._begun_at: OrderedDict[Hashable, float] = OrderedDict()
        """When each counted request was forwarded, the oldest first."""
        self._answer_time = SmoothedTime()

    def start(self, request: Hashable, now: float) -> None:
        """Record that a request, or a further part of it, was forwarded."""
        self._begun_at[request] = now
        self._begun_at.move_to_end(request)

    def end(self, request: Hashable) -> None:
        """Record that a request ended, with whatever outcome."""
        self._begun_at.pop(request, None)

    def record_answer(self, seconds: float) -> None:
        """Record how long the host took to start an answer."""
        self._answer_time.record(seconds)

    def reset_times(self) -> None:
        """Discard the measured times: another host has taken the place of this one."""
        self._answer_time.reset()

    @property
    def mean_seconds(self) -> float:
        """Average time of a request at this host."""
        return self._answer_time.mean or DEFAULT_ANSWER_SECONDS

    def overdue_seconds(self) -> float:
        """Return after how long a request no longer counts."""
        return self._answer_time.timeout_seconds(MIN_OVERDUE_SECONDS, MAX_OVERDUE_SECONDS)

    def count(self, now: float) -> int:
        """Return how many requests count as in flight."""
        oldest_counted = now - self.overdue_seconds()
        while self._begun_at:
            request, begun_at = next(iter(self._begun_at.items()))
            if begun_at >= oldest_counted:
                break
            del self._begun_at[request]
        return len(self._begun_at)
