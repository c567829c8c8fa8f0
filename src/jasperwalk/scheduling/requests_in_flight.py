"""The requests at a host, and whether it has room for another one.

Load pattern: a host leaves some of its requests unanswered. Each would keep a place until its
caller gives up, and the few places of a host would soon all be taken, though the host answers the
others at once. So a request that has been there for much longer than is usual at this host keeps no
place any more.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

from jasperwalk.scheduling.smoothed_time import SmoothedTime

MIN_OVERDUE_SECONDS = 0.2
"""However fast a host is, one request in some takes several times as long as the others."""
MAX_OVERDUE_SECONDS = 1.0
"""However slow it is, a caller of most services has an answer by then, or has been lost."""
DEFAULT_ANSWER_SECONDS = 0.05
"""What a request takes at a host of which nothing is known yet."""


class RequestsInFlight:
    """Counts requests from when they were passed on; each is named by any hashable."""

    __slots__ = ("_answer_time", "_begun_at")

    def __init__(self) -> None:
        self._begun_at: OrderedDict[Hashable, float] = OrderedDict()
        """Those that keep a place, the oldest first."""
        self._answer_time = SmoothedTime()

    def start(self, request: Hashable, now: float) -> None:
        """Note a request that was passed on, or that goes on."""
        self._begun_at[request] = now
        self._begun_at.move_to_end(request)

    def end(self, request: Hashable) -> None:
        """Note that a request is over, whatever became of it."""
        self._begun_at.pop(request, None)

    def record_answer(self, seconds: float) -> None:
        """Note how long the host took to begin an answer."""
        self._answer_time.record(seconds)

    def reset_times(self) -> None:
        """Begin anew: another host has taken the place of this one."""
        self._answer_time.reset()

    @property
    def mean_seconds(self) -> float:
        """How long a request takes at this host on average."""
        return self._answer_time.mean or DEFAULT_ANSWER_SECONDS

    def overdue_seconds(self) -> float:
        """Return after how long a request keeps no place any more."""
        return self._answer_time.timeout_seconds(MIN_OVERDUE_SECONDS, MAX_OVERDUE_SECONDS)

    def count(self, now: float) -> int:
        """Return how many requests keep a place."""
        oldest_counted = now - self.overdue_seconds()
        while self._begun_at:
            request, begun_at = next(iter(self._begun_at.items()))
            if begun_at >= oldest_counted:
                break
            del self._begun_at[request]
        return len(self._begun_at)
