"""How many uploads a balancer carries at once on a thin link.

An upload sends as much as its caller may have under way, and each packet crosses the balancer's
link twice. A few of them together put a queue on the link that is longer than callers wait
before they send everything again, which makes the queue longer still; every other flow waits
behind it. So only as many uploads are opened as the link drains in a moment; further ones wait
here, the oldest first, and are reset before their callers give up.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from jasperwalk.flows.codec import PacketCodec
from jasperwalk.flows.routes import RouteEntry

QUEUE_SECONDS = 0.1
"""Queue that uploads together may put on the link; callers send again after 0.2 s."""
IDLE_SECONDS = 0.25
"""An upload without data for this long does not load the link."""
LONGEST_WAIT_SECONDS = 0.8
"""A caller waits 1.4 s for an answer to its opening packet."""
MAXIMUM_WAITING = 256
BITS_PER_MEGABIT = 1e6
BITS_PER_BYTE = 8


def uploads_at_once(link_megabits: float, window_bytes: int) -> int | None:
    """Return how many uploads a link carries together; None where nothing limits it.

    `link_megabits` is the link's rate in megabits a second, 0 where it is not known;
    `window_bytes` is what a caller may have under way.
    """
    if link_megabits <= 0:
        return None
    drained_bytes = link_megabits * BITS_PER_MEGABIT / BITS_PER_BYTE * QUEUE_SECONDS
    return max(1, int(drained_bytes / window_bytes))


class WaitingUpload(msgspec.Struct, frozen=True):
    """An upload's opening packet that waits for room on the link."""

    packet: bytes
    route: RouteEntry
    arrived_at: float


@dataclass(eq=False, repr=False)
class BulkAdmission:
    """Counts the uploads that load the link; `limit` is None where there is no limit."""

    codec: PacketCodec
    limit: int | None
    _active: dict[bytes, float] = field(default_factory=dict)
    """When each upload under way last sent data."""
    _waiting: OrderedDict[bytes, WaitingUpload] = field(default_factory=OrderedDict)

    def __contains__(self, key: bytes) -> bool:
        """Tell whether an upload waits."""
        return key in self._waiting

    def has_waiting(self) -> bool:
        """Tell whether any upload waits."""
        return bool(self._waiting)

    def counts(self) -> tuple[int, int]:
        """Return how many uploads are under way, and how many wait."""
        return len(self._active), len(self._waiting)

    def take(
        self, key: bytes, packet: bytes, route: RouteEntry, arrived_at: float, now: float
    ) -> bool:
        """Take a new upload; True if it may be opened now, False if it waits here."""
        if self.limit is None:
            return True
        if self._waiting or not self._has_room(now):
            self._waiting[key] = WaitingUpload(packet, route, arrived_at)
            return False
        self._active[key] = now
        return True

    def note_packet(self, key: bytes, packet: bytes, now: float) -> None:
        """Take note of a packet of an open upload."""
        if self.limit is None:
            return
        if self.codec.is_ending(packet) or self.codec.is_reset(packet):
            self._active.pop(key, None)
        elif self.codec.payload_bytes(packet):
            self._active[key] = now

    def take_due(self, now: float) -> list[tuple[bytes, WaitingUpload]]:
        """Take the uploads that may be opened now, the oldest first."""
        due = []
        while self._waiting and self._has_room(now):
            key, upload = self._waiting.popitem(last=False)
            self._active[key] = now
            due.append((key, upload))
        return due

    def take_late(self, now: float) -> list[tuple[bytes, WaitingUpload]]:
        """Take the uploads that have waited for too long, or are too many."""
        late = []
        while self._waiting:
            oldest = next(iter(self._waiting.values()))
            is_late = now - oldest.arrived_at > LONGEST_WAIT_SECONDS
            if not is_late and len(self._waiting) <= MAXIMUM_WAITING:
                break
            late.append(self._waiting.popitem(last=False))
        return late

    def _has_room(self, now: float) -> bool:
        assert self.limit is not None
        if len(self._active) < self.limit:
            return True
        for key in [key for key, at in self._active.items() if now - at > IDLE_SECONDS]:
            del self._active[key]
        return len(self._active) < self.limit
