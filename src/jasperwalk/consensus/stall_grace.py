"""Grace period after a stall of this process, so that it is not taken for silence of the others.

A busy or frozen process runs its timers late. Messages that arrived meanwhile wait in its
sockets and are read after the timers have run. Without the grace period a follower would
campaign against a working leader, and a leader that has its quorum would step down.
"""

from __future__ import annotations

import math

GRACE_HEARTBEATS = 2
"""Heartbeat intervals of a grace period: time to read buffered messages, and one heartbeat."""


class StallGrace:
    """Tells from late ticks when decisions about the others' silence have to wait.

    A run of late ticks gets one grace period, so that a process that is always late still
    notices that its leader or its quorum is gone. Quorum ages are reported unchanged. Times
    are in seconds.
    """

    def __init__(self, heartbeat_interval_seconds: float) -> None:
        self._max_tick_delay = heartbeat_interval_seconds
        self._length = GRACE_HEARTBEATS * heartbeat_interval_seconds
        self._was_late = False
        self._ends_at = -math.inf

    def tick(self, deadline: float, now: float) -> None:
        """Record a tick that was due at `deadline`."""
        is_late = now - deadline > self._max_tick_delay
        if is_late and not self._was_late:
            self._ends_at = now + self._length
        self._was_late = is_late

    def is_running(self, now: float) -> bool:
        """Tell whether the silence of others is to be ignored for now."""
        return now < self._ends_at

    @property
    def ends_at(self) -> float:
        """When the newest grace period ends, -inf before the first."""
        return self._ends_at
