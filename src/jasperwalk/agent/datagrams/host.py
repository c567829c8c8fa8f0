"""What an agent knows of the host beside it, from the host's own announcements.

Announcements may come late and out of order; each carries a number that rises with every
call. A host that has said that it leaves never becomes ready again: every start of a host has
an ID of its own. An announcement of an earlier start may come after the present host has announced
itself; a host that was taken for replaced and goes on announcing itself counts again. An agent
that has just started knows nothing, and admits nothing until the host has spoken.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from jasperwalk.fleet.messages import HostPhase

RETURN_SECONDS = 2.0
"""Silence of the present host after which one that it replaced may take its place again. Hosts
announce themselves about once a second, so a living one is not replaced by a late announcement."""


class HostAnnouncement(msgspec.Struct, frozen=True):
    """One announcement. `call_number` rises with each call of the same host."""

    host_id: str
    phase: HostPhase
    capacity: int
    slow_start_seconds: float
    call_number: int
    zone: str = ""
    """Where the host is, empty where it does not say."""


class HostSummary(msgspec.Struct, frozen=True):
    """What others learn of a host; a change of it is announced at once."""

    host_id: str
    phase: HostPhase
    zone: str
    is_cold: bool


@dataclass(eq=False, repr=False)
class HostState:
    """The host as last announced."""

    host_id: str = ""
    phase: HostPhase = HostPhase.UNKNOWN
    capacity: int = 1
    zone: str = ""
    slow_until: float = 0.0
    _slow_until_at_most: float = 0.0
    """The same, of all announcements the one that was least late."""
    call_number: int = -1
    announced_at: float = 0.0
    _left: set[str] = field(default_factory=set)
    """Hosts that have said that they leave."""
    _replaced: dict[str, int] = field(default_factory=dict)
    """Hosts whose place another one has taken, and the number of their last call."""

    def announce(self, news: HostAnnouncement, now: float) -> bool:
        """Take an announcement; return False for one that newer knowledge has overtaken."""
        if news.host_id in self._left:
            return False
        if news.host_id == self.host_id:
            if news.call_number <= self.call_number:
                return False
            if self.phase is HostPhase.DRAINING and news.phase is HostPhase.READY:
                return False
        elif self.host_id:
            if not self._may_replace(news, now):
                return False
            self._note_replaced()
            self._slow_until_at_most = 0.0
        self.host_id = news.host_id
        self.phase = news.phase
        self.capacity = max(news.capacity, 1)
        self.zone = news.zone
        self._note_slow_start(news, now)
        self.call_number = news.call_number
        self.announced_at = now
        return True

    def _note_slow_start(self, news: HostAnnouncement, now: float) -> None:
        self.slow_until = now + news.slow_start_seconds
        if news.slow_start_seconds:
            known = self._slow_until_at_most or self.slow_until
            self._slow_until_at_most = min(known, self.slow_until)

    def started_at(self, slow_start_seconds: float) -> float | None:
        """Return when the present host started, None where it has not been in slow start here.

        `slow_start_seconds` is how long hosts of its service are slow after a start.
        """
        if not self._slow_until_at_most or not slow_start_seconds:
            return None
        return self._slow_until_at_most - slow_start_seconds

    def _may_replace(self, news: HostAnnouncement, now: float) -> bool:
        """Tell whether an announcement of another host is newer than the present one's."""
        last_call_number = self._replaced.get(news.host_id)
        if last_call_number is None:
            return True
        is_silent = now - self.announced_at > RETURN_SECONDS
        return is_silent and news.call_number > last_call_number

    def _note_replaced(self) -> None:
        if self.phase is HostPhase.DRAINING:
            self._left.add(self.host_id)
        self._replaced[self.host_id] = self.call_number

    def leave(self, host_id: str) -> bool:
        """Note that a host is ending; return False where it is not the present one."""
        self._left.add(host_id)
        if self.host_id not in ("", host_id):
            return False
        self.host_id = host_id
        self.phase = HostPhase.DRAINING
        return True

    def has_left(self) -> bool:
        """Tell whether the present host has said that it is gone."""
        return self.host_id in self._left

    def is_leaving(self) -> bool:
        """Tell whether the host drains and has not deregistered yet."""
        return self.phase is HostPhase.DRAINING and not self.has_left()

    def describe(self, now: float) -> dict[str, object]:
        """Return what a log line tells of the host: who, its last call, and that call's age."""
        age_ms = round(1000 * (now - self.announced_at))
        return {"host": self.host_id, "host_call": self.call_number, "host_announced_ms": age_ms}

    def summary(self, now: float) -> HostSummary:
        """Return what is announced."""
        return HostSummary(self.host_id, self.phase, self.zone, now < self.slow_until)

    def slow_start_seconds(self, now: float) -> float:
        """Return how much longer the host is slow from its start."""
        return max(0.0, self.slow_until - now)
