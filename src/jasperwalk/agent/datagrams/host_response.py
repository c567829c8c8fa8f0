"""Whether the host answers opening packets: passive health, without a probe.

A host answers an opening packet at once, however busy it is: it takes the flow or hands the
packet back. One that has been silent for a while after such a packet has crashed, stands still
or is cut off, though its last announcement said that it is ready. It gets no new flows then but
one now and then, until a packet of it comes; a host that still announces itself is tried more
often.

A host that hands every opening packet back takes no flows either, though it answers at once and so
looks idle: new flows would go to it rather than to others, and none would open. After a few in a
row it is treated in the same way, until it takes one.
"""

from __future__ import annotations

from dataclasses import dataclass

HOST_SILENCE_SECONDS = 0.4
"""Silence after an opening packet from which a host does not answer."""
TRIAL_INTERVAL_SECONDS = 0.5
"""Pace of trials of a host that has announced itself since it fell silent."""
RARE_TRIAL_INTERVAL_SECONDS = 2.0
"""Pace of trials of a host that has not."""
MAX_CONSECUTIVE_RETURNS = 3
"""Opening packets handed back one after the other from which a host takes no flows. A host that is
full for a moment hands one or two back between those that it takes."""
SILENT_LOAD_FACTOR = 16
"""Load that is reported of a silent host, in multiples of its capacity: balancers choose others."""


@dataclass(eq=False, repr=False)
class HostResponse:
    """Watches one host; sans-IO, times are seconds."""

    _unanswered_since: float | None = None
    _tried_at: float = 0.0
    _was_silent: bool = False
    _consecutive_returns: int = 0

    def record_opening(self, now: float) -> None:
        """Note that the host got an opening packet."""
        if self._unanswered_since is None:
            self._unanswered_since = now
        self._tried_at = now

    def record_packet(self) -> bool:
        """Note a packet of the host; return True where it had not answered before."""
        was_waiting = self._unanswered_since is not None
        self._unanswered_since = None
        return was_waiting

    def record_returned(self) -> bool:
        """Note an opening packet handed back; return True if the host now counts as unable."""
        self._consecutive_returns += 1
        return self._consecutive_returns == MAX_CONSECUTIVE_RETURNS

    def record_taken(self) -> bool:
        """Note that the host took a new flow; return True where it counted as unable before."""
        was_unable = self.returns_openings()
        self._consecutive_returns = 0
        return was_unable

    def returns_openings(self) -> bool:
        """Tell whether the host has handed the last opening packets back."""
        return self._consecutive_returns >= MAX_CONSECUTIVE_RETURNS

    def unavailable_load(self, capacity: int) -> float:
        """Return the load that is told of a host that takes no flows."""
        return float(SILENT_LOAD_FACTOR * capacity)

    def is_unavailable(self, now: float) -> bool:
        """Tell whether the host takes no new flows, by what it did with the last ones."""
        return self.returns_openings() or self.is_silent(now)

    def is_silent(self, now: float) -> bool:
        """Tell whether the host does not answer."""
        since = self._unanswered_since
        return since is not None and now - since > HOST_SILENCE_SECONDS

    def has_silence_changed(self, now: float) -> bool:
        """Tell whether the host has fallen silent, or answers again, since the last call."""
        was_silent, self._was_silent = self._was_silent, self.is_silent(now)
        return was_silent != self._was_silent

    def refuses_after_returns(self, now: float) -> bool:
        """Tell whether a new flow is kept from a host that hands them back."""
        return self.returns_openings() and now - self._tried_at < TRIAL_INTERVAL_SECONDS

    def refuses(self, announced_at: float, now: float) -> bool:
        """Tell whether a new flow is kept from the host, which last announced itself then."""
        since = self._unanswered_since
        if since is None or not self.is_silent(now):
            return False
        pause_seconds = (
            TRIAL_INTERVAL_SECONDS if announced_at > since else RARE_TRIAL_INTERVAL_SECONDS
        )
        return now - self._tried_at < pause_seconds
