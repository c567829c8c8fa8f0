"""Grace after the host stood still: its own stall is not the silence of others.

A busy or frozen process runs its timers late. What the others sent meanwhile waits in its
sockets and is read after the timers have run. A replica that took this for silence would
campaign against a working leader, and a leader would step down that has its quorum.
"""

from __future__ import annotations

import math

GRACE_HEARTBEATS = 2
"""Length of a grace in heartbeat intervals: time to read what waits, and one heartbeat."""


class StallGrace:
    """Tells from late ticks when judgements about the others' silence have to wait.

    There is one grace for a run of late ticks, so that a host that is always late still
    notices that its leader or its quorum is gone. It touches no promise: quorum ages are
    reported as they are. Times are in seconds.
    """

    def __init__(self, heartbeat_interval_seconds: float) -> None:
        self._max_tick_delay = heartbeat_interval_seconds
        self._length = GRACE_HEARTBEATS * heartbeat_interval_seconds
        self._was_late = False
        self._ends_at = -math.inf

    def tick(self, deadline: float, now: float) -> None:
        """Note a tick that was due at `deadline`."""
        is_late = now - deadline > self._max_tick_delay
        if is_late and not self._was_late:
            self._ends_at = now + self._length
        self._was_late = is_late

    def is_running(self, now: float) -> bool:
        """Tell whether silence must not be judged yet."""
        return now < self._ends_at

    @property
    def ends_at(self) -> float:
        """When the newest grace ends, -inf before the first."""
        return self._ends_at
