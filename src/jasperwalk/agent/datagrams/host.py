"""State of the host beside an agent, from the host's own announcements.

Decides which announcement is newer knowledge. Announcements may arrive late and out of order; each
carries a number that rises with every call of one start of a host. A start that has deregistered
never becomes ready again. A host may be started again under its ID, without state and with new
numbers; its start time distinguishes the starts. An announcement of an earlier start, which may
have crashed, may arrive after the present host has announced itself; a host that was considered
replaced and goes on announcing itself while the present one is silent becomes the present one
again. An agent that has just started knows nothing, and admits nothing until the host has announced
itself.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.fleet.messages import HostPhase

MAX_FORMER_HOSTS = 64
"""Starts of hosts that are kept as gone or replaced: announcements are late by seconds, and a
machine has few starts of its host in that time."""
MIN_SILENCE_BEFORE_RETURN_SECONDS = 2.0
"""Silence of the present host after which one that it replaced may become present again. Hosts
announce themselves about once a second, so a running one is not replaced by a late announcement."""
MIN_RETURN_SPAN_SECONDS = 1.0
"""Time between two calls from which a host counts as still running. Calls that were delayed by a
network partition arrive together, however long their sender has been gone."""
MAX_NEW_HOST_CALL_NUMBER = 10
"""Highest call number of another host that counts as just started: a running agent receives the
first calls of a new host."""


class HostStart(msgspec.Struct, frozen=True):
    """One start of a host; `unix_ms` is its start time by its own clock, 0 where unknown."""

    host_id: str = ""
    unix_ms: int = 0


class HostAnnouncement(msgspec.Struct, frozen=True):
    """One announcement. `call_number` rises with each call of the same start of the host."""

    host_id: str
    phase: HostPhase
    capacity: int
    slow_start_seconds: float
    call_number: int
    zone: str = ""
    """Where the host is, empty where not announced."""
    started_unix_ms: int = 0
    """When the host started, by its own clock; 0 where not announced."""
    service: str = ""
    """What the host serves, empty where not announced."""
    address: Endpoint | None = None
    """Where the host receives packets, None where not announced."""


class UnconfirmedCall(msgspec.Struct, frozen=True):
    """The first call of a start that may replace the present one if it goes on calling."""

    number: int
    at: float


class HostSummary(msgspec.Struct, frozen=True):
    """The announced state of a host; a change of it is announced at once."""

    start: HostStart
    phase: HostPhase
    zone: str
    is_cold: bool


@dataclass(eq=False, repr=False)
class HostState:
    """The host as last announced."""

    host_id: str = ""
    """The present host, empty where none has announced itself."""
    started_unix_ms: int = 0
    """When it started, by its own clock; 0 where unknown."""
    phase: HostPhase = HostPhase.UNKNOWN
    capacity: int = 1
    zone: str = ""
    slow_until: float = 0.0
    _earliest_slow_until: float = 0.0
    """The same by the announcement with the least delay, which is the earliest value; 0 where the
    host was not in slow start when it was first heard."""
    first_call_number: int = -1
    """Number of the first call that this agent received from the present start."""
    call_number: int = -1
    announced_at: float = 0.0
    _left: dict[str, int] = field(default_factory=dict)
    """Hosts that have deregistered, and the time of their last start that did."""
    _replaced: dict[HostStart, int] = field(default_factory=dict)
    """Starts that another one has replaced, and the number of their last call."""
    _unconfirmed: dict[HostStart, UnconfirmedCall] = field(default_factory=dict)
    """Starts that may be gone and that called since the present one's last call."""
    _is_confirmed: bool = False
    """Whether the present host has called more than once, and so was not itself a late call."""

    @property
    def start(self) -> HostStart:
        """The present host's start."""
        return HostStart(self.host_id, self.started_unix_ms)

    def announce(self, announcement: HostAnnouncement, now: float) -> bool:
        """Handle an announcement; return False for a stale one, which is ignored."""
        start = self._start_of(announcement)
        if self._has_deregistered(start):
            return False
        is_first_call = not self._is_present(start)
        if not is_first_call:
            if not self._is_newer_call(announcement):
                return False
            self._is_confirmed = True
        elif self.host_id:
            if not self._may_replace(start, announcement.call_number, now):
                return False
            self._record_replaced()
            self._is_confirmed = False
        self._unconfirmed.clear()
        self.host_id, self.started_unix_ms = start.host_id, start.unix_ms
        self.phase = announcement.phase
        self.capacity = max(announcement.capacity, 1)
        self.zone = announcement.zone
        if is_first_call:
            self.first_call_number = announcement.call_number
        self._record_slow_start(announcement, is_first_call, now)
        self.call_number = announcement.call_number
        self.announced_at = now
        return True

    def _start_of(self, announcement: HostAnnouncement) -> HostStart:
        """Return the start that called; one without a start time counts as the known one."""
        if announcement.host_id == self.host_id and not announcement.started_unix_ms:
            return self.start
        return HostStart(announcement.host_id, announcement.started_unix_ms)

    def _is_present(self, start: HostStart) -> bool:
        is_same_host = start.host_id == self.host_id
        return is_same_host and self.started_unix_ms in (0, start.unix_ms)

    def _has_deregistered(self, start: HostStart) -> bool:
        """Tell whether this start of the host, or a later one, has deregistered."""
        left = self._left.get(start.host_id)
        return left is not None and (left == 0 or start.unix_ms <= left)

    def _is_newer_call(self, announcement: HostAnnouncement) -> bool:
        """Tell whether the present host's call is newer than its last one."""
        is_back = self.phase is HostPhase.DRAINING and announcement.phase is HostPhase.READY
        return announcement.call_number > self.call_number and not is_back

    def _record_slow_start(
        self, announcement: HostAnnouncement, is_first_call: bool, now: float
    ) -> None:
        """Record until when the host is slow.

        A host that was first heard warm and is slow later has not started again: hosts also become
        cold while their zone is drained.
        """
        is_slow = announcement.slow_start_seconds > 0
        self.slow_until = now + announcement.slow_start_seconds
        if is_first_call:
            self._earliest_slow_until = self.slow_until if is_slow else 0.0
        elif is_slow and self._earliest_slow_until:
            self._earliest_slow_until = min(self._earliest_slow_until, self.slow_until)

    def started_at(self, slow_start_seconds: float) -> float | None:
        """Return when the present host started if it is slow because of its start.

        None where it was warm when it was first heard. `slow_start_seconds` is how long hosts of
        its service are slow after a start.
        """
        if not self._earliest_slow_until or not slow_start_seconds:
            return None
        return self._earliest_slow_until - slow_start_seconds

    def _may_replace(self, start: HostStart, call_number: int, now: float) -> bool:
        """Tell whether an announcement of another start is newer than the present one's.

        A call of a start that was replaced or started earlier is late, and so is one of a start
        that is not new and never called before: it counts only if the start goes on calling while
        the present one is silent. Its clock may have been set back since.
        """
        last_call_number = self._replaced.get(start)
        is_earlier = 0 < start.unix_ms < self.started_unix_ms
        is_known = last_call_number is not None or is_earlier
        is_new = call_number <= MAX_NEW_HOST_CALL_NUMBER or not self._is_confirmed
        if not is_known and is_new:
            return True
        if is_earlier and self.phase is HostPhase.DRAINING:
            return False
        if last_call_number is not None and call_number <= last_call_number:
            return False
        is_silent = now - self.announced_at > MIN_SILENCE_BEFORE_RETURN_SECONDS
        return self._is_repeated(start, call_number, now) and is_silent

    def _is_repeated(self, start: HostStart, call_number: int, now: float) -> bool:
        """Record an unconfirmed call; tell whether it follows one that arrived well before it."""
        first = self._unconfirmed.setdefault(start, UnconfirmedCall(call_number, now))
        _drop_oldest(self._unconfirmed)
        return call_number > first.number and now - first.at >= MIN_RETURN_SPAN_SECONDS

    def _record_replaced(self) -> None:
        if self.phase is HostPhase.DRAINING:
            self._record_left(self.start)
        self._replaced[self.start] = self.call_number
        _drop_oldest(self._replaced)

    def _record_left(self, start: HostStart) -> None:
        self._left[start.host_id] = start.unix_ms
        _drop_oldest(self._left)

    def leave(self, host_id: str) -> bool:
        """Record that a host deregistered; return False where it is not the present one."""
        if self.host_id not in ("", host_id):
            self._record_left(self._last_replaced(host_id))
            return False
        if not self.host_id:
            self.host_id = host_id
        self._record_left(self.start)
        self.phase = HostPhase.DRAINING
        return True

    def _last_replaced(self, host_id: str) -> HostStart:
        """Return the last known start of a host that another one has replaced."""
        times = [each.unix_ms for each in self._replaced if each.host_id == host_id]
        return HostStart(host_id, max(times, default=0))

    def has_left(self) -> bool:
        """Tell whether the present host has deregistered."""
        return self._has_deregistered(self.start)

    def is_leaving(self) -> bool:
        """Tell whether the host drains and has not deregistered yet."""
        return self.phase is HostPhase.DRAINING and not self.has_left()

    def describe(self, now: float) -> dict[str, object]:
        """Return the log fields of the host: its ID, its last call, and that call's age."""
        age_ms = round(1000 * (now - self.announced_at))
        return {"host": self.host_id, "host_call": self.call_number, "host_announced_ms": age_ms}

    def summary(self, now: float) -> HostSummary:
        """Return the announced state."""
        return HostSummary(self.start, self.phase, self.zone, now < self.slow_until)

    def slow_start_seconds(self, now: float) -> float:
        """Return how much longer the host is in slow start."""
        return max(0.0, self.slow_until - now)


def _drop_oldest(former: dict[Any, Any]) -> None:
    """Bound a record of former hosts."""
    while len(former) > MAX_FORMER_HOSTS:
        del former[next(iter(former))]
