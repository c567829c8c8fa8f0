"""Passive health check: decides from the answers to opening packets whether the host is available.

A host answers an opening packet at once, however busy it is: it takes the flow or returns the
packet. One that has been silent for a while after such a packet has crashed, hangs or is
unreachable, though its last announcement said that it is ready. It then gets only single new flows
as trials, until a packet from it arrives; a host that still announces itself is tried more often.

A host that returns every opening packet takes no flows either, though it answers at once and so
looks idle: new flows would go to it rather than to others, and none would open. After a few in a
row it is treated in the same way, until it takes one.
"""

from __future__ import annotations

from dataclasses import dataclass

HOST_SILENCE_SECONDS = 0.4
"""Silence after an opening packet from which a host counts as silent."""
TRIAL_INTERVAL_SECONDS = 0.5
"""Time between trials of a host that has announced itself since it became silent."""
RARE_TRIAL_INTERVAL_SECONDS = 2.0
"""Time between trials of a host that has not."""
MAX_CONSECUTIVE_RETURNS = 3
"""Opening packets returned in a row from which a host counts as taking no flows. A host that is
full for a moment returns one or two between those that it takes."""
SILENT_LOAD_FACTOR = 16
"""Reported load of an unavailable host, in multiples of its capacity: balancers choose others."""


@dataclass(eq=False, repr=False)
class HostResponse:
    """Tracks the answers of one host; sans-IO, times are seconds."""

    _unanswered_since: float | None = None
    _tried_at: float = 0.0
    _was_silent: bool = False
    _consecutive_returns: int = 0

    def record_opening(self, now: float) -> None:
        """Record that the host got an opening packet."""
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._tried_at = now

    def record_packet(self) -> bool:
        """Record a packet from the host; return True where an answer was due."""
        was_waiting = self._unanswered_since is not None
        self._unanswered_since = None
        return was_waiting

    def record_returned(self) -> bool:
        """Record a returned opening packet; return True if the host is unavailable from now on."""
        self._consecutive_returns += 1
        return self._consecutive_returns == MAX_CONSECUTIVE_RETURNS

    def record_taken(self) -> bool:
        """Record that the host took a new flow; return True if it returned all before."""
        was_unable = self.returns_openings()
        self._consecutive_returns = 0
        return was_unable

    def returns_openings(self) -> bool:
        """Tell whether the host has returned the last opening packets."""
        return self._consecutive_returns >= MAX_CONSECUTIVE_RETURNS

    def unavailable_load(self, capacity: int) -> float:
        """Return the reported load of a host that takes no flows."""
        return float(SILENT_LOAD_FACTOR * capacity)

    def is_unavailable(self, now: float) -> bool:
        """Tell whether the host takes no new flows, judged by the last ones."""
        return self.returns_openings() or self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Tell whether the host does not answer."""
        since = self._unanswered_since
        return since is not None and now - since > HOST_SILENCE_SECONDS

    def has_silence_changed(self, now: float) -> bool:
        """Tell whether the host became silent, or answers again, since the last call."""
        was_silent, self._was_silent = self._was_silent, self.is_silent(now)
        return was_silent != self._was_silent

    def refuses_after_returns(self, now: float) -> bool:
        """Tell whether a new flow is refused because the host returns them."""
        return self.returns_openings() and now - self._tried_at < TRIAL_INTERVAL_SECONDS

    def refuses(self, announced_at: float, now: float) -> bool:
        """Tell whether a new flow is refused because the host is silent.

        The host last announced itself at `announced_at`.
        """
        since = self._unanswered_since
        if since is None or not self.is_silent(now):
            return False
        pause_seconds = (
            TRIAL_INTERVAL_SECONDS if announced_at > since else RARE_TRIAL_INTERVAL_SECONDS
        )
        return now - self._tried_at < pause_seconds
