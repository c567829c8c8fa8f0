"""How long ago the leader last had contact with a quorum, as a follower knows it.

A heartbeat may wait in a buffer while a process is frozen or a link is down, so its arrival does
not prove recent contact. The leader's and the follower's clocks are not compared. Instead the
smallest recent difference between receive time and send time counts as the normal delay, and
any excess over it counts as age.
"""

from __future__ import annotations

import math

DELAY_WINDOW_SECONDS = 60.0
"""Window of the smallest delay; short enough that clock drift is negligible."""


class QuorumContact:
    """The age of the leader's quorum contact, as a follower knows it."""

    def __init__(self) -> None:
        self._source = (0, 0)
        self._reset()

    def _reset(self) -> None:
        self._newest_sent_at = -math.inf
        self._contact_at = -math.inf
        self._window_started_at = -math.inf
        self._min_difference = math.inf
        self._min_difference_before = math.inf

    def record_leader_message(
        self, leader_id: int, term: int, sent_at: float, quorum_age: float, now: float
    ) -> None:
        """Record a message of the leader; a late duplicate changes nothing.

        Another leader has another clock, so everything is reset for it.
        """
        if self._source != (leader_id, term):
            self._source = (leader_id, term)
            self._reset()
        if sent_at <= self._newest_sent_at:
            return
        self._newest_sent_at = sent_at
        difference = now - sent_at
        if now - self._window_started_at > DELAY_WINDOW_SECONDS:
            self._min_difference_before = self._min_difference
            self._min_difference = math.inf
            self._window_started_at = now
        self._min_difference = min(self._min_difference, difference)
        extra_delay = difference - min(self._min_difference, self._min_difference_before)
        self._contact_at = max(self._contact_at, now - extra_delay - quorum_age)

    def age(self, now: float) -> float:
        """Return seconds since the leader last had contact with a quorum, inf when unknown."""
        return now - self._contact_at
