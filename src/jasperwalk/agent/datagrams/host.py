"""What an agent knows of the host beside it, from the host's own announcements.

Announcements may come late and out of order; each carries a number that rises with every
call. A host that has said that it leaves never becomes ready again: every start of a host has
an ID of its own. An agent that has just started knows nothing, and admits nothing until the
host has spoken.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from jasperwalk.fleet.messages import HostPhase


class HostAnnouncement(msgspec.Struct, frozen=True):
    """One announcement. `call_number` rises with each call of the same host."""

    host_id: str
    phase: HostPhase
    capacity: int
    slow_start_seconds: float
    call_number: int


@dataclass(eq=False, repr=False)
class HostState:
    """The host as last announced."""

    host_id: str = ""
    phase: HostPhase = HostPhase.UNKNOWN
    capacity: int = 1
    slow_until: float = 0.0
    call_number: int = -1
    announced_at: float = 0.0
    _left: set[str] = field(default_factory=set)

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
            self._left.add(self.host_id)
        self.host_id = news.host_id
        self.phase = news.phase
        self.capacity = max(news.capacity, 1)
        self.slow_until = now + news.slow_start_seconds
        self.call_number = news.call_number
        self.announced_at = now
        return True

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

    def slow_start_seconds(self, now: float) -> float:
        """Return how much longer the host is slow from its start."""
        return max(0.0, self.slow_until - now)
