"""Admission control for uploads at a balancer on a thin link: opens, queues or sheds each.

Load pattern: uploads arrive at random, and each sends a full window of packets as soon as it is
open. Opened all at once, their packets would wait for the link longer than callers wait before they
send again, and every packet would cross the link twice. But an upload that waits for its host or
for its caller does not use the link, and capacity reserved for it is lost to the others.

So the decision rests on the time that the link needs for the windows of the uploads that load it:
those that were opened or sent data a moment ago, or whose data wait for the link. The next upload,
the oldest first, is opened as soon as its own window can also cross before callers send again. One
that cannot be opened while its caller still waits is reset, so that the caller can try again in
time.

Sans-IO; times are seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from jasperwalk.flows.codec import PacketCodec
from jasperwalk.flows.routes import RouteEntry
from jasperwalk.scheduling.link_pacer import LinkPacer

MAX_QUEUEING_SHARE = 0.85
"""Part of the time before callers send again that a window may wait for the link; the rest is for
the way to the host and back."""
FIRST_DATA_SECONDS = 0.25
"""An upload that has sent nothing for this long after its opening no longer counts: its caller has
left, or its host lets it wait."""
LOADING_SECONDS = 0.05
"""An upload loads the link for this long after its last data: the next data follow within a round
trip to the caller, 10 ms where zones are 0.5 ms and callers 3 ms away."""
MAX_WAIT_SECONDS = 0.8
"""Longest wait of an upload: its caller waits 1.4 s for an answer to its opening packet."""
MAX_WAITING_UPLOADS = 256


class WaitingUpload(msgspec.Struct, frozen=True):
    """An upload's opening packet that waits for capacity of the link."""

    packet: bytes
    route: RouteEntry
    arrived_at: float


@dataclass(eq=False, repr=False)
class UploadAdmission:
    """Decides for one link; `link` is None where there is no limit.

    `window_bytes` is what a caller may have in flight, `resend_seconds` the time after which it
    sends again what was not acknowledged.
    """

    codec: PacketCodec
    link: LinkPacer | None
    window_bytes: int
    resend_seconds: float
    _loading_until: dict[bytes, float] = field(default_factory=dict)
    """Until when each upload counts as loading the link, if it sends no more."""
    _waiting: OrderedDict[bytes, WaitingUpload] = field(default_factory=OrderedDict)

    def __contains__(self, key: bytes) -> bool:
        """Tell whether an upload waits."""
        return key in self._waiting

    def has_waiting(self) -> bool:
        """Tell whether any upload waits."""
        return bool(self._waiting)

    def counts(self) -> tuple[int, int]:
        """Return how many uploads load the link, and how many wait."""
        return len(self._loading_until), len(self._waiting)

    def take(
        self, key: bytes, packet: bytes, route: RouteEntry, arrived_at: float, now: float
    ) -> bool:
        """Take a new upload; True if it may be opened now, False if it waits here."""
        if self.link is None:
            return True
        if self._waiting or not self._has_capacity(self.link, now):
            self._waiting[key] = WaitingUpload(packet, route, arrived_at)
            return False
        self._loading_until[key] = now + FIRST_DATA_SECONDS
        return True

    def record_packet(self, key: bytes, packet: bytes, now: float) -> None:
        """Record a packet of an open upload: its data, or its end."""
        if self.link is None:
            return
        if self.codec.is_ending(packet) or self.codec.is_reset(packet):
            self._loading_until.pop(key, None)
        elif self.codec.payload_bytes(packet):
            self._loading_until[key] = now + LOADING_SECONDS

    def take_due(self, now: float) -> list[tuple[bytes, WaitingUpload]]:
        """Take the uploads that may be opened now, the oldest first."""
        due = []
        while self._waiting and self.link is not None and self._has_capacity(self.link, now):
            key, upload = self._waiting.popitem(last=False)
            self._loading_until[key] = now + FIRST_DATA_SECONDS
            due.append((key, upload))
        return due

    def take_shed(self, now: float) -> list[tuple[bytes, WaitingUpload]]:
        """Take the uploads to shed: those that waited too long, the oldest where too many wait."""
        late = []
        while self._waiting:
            oldest = next(iter(self._waiting.values()))
            is_late = now - oldest.arrived_at > MAX_WAIT_SECONDS
            if not is_late and len(self._waiting) <= MAX_WAITING_UPLOADS:
                break
            late.append(self._waiting.popitem(last=False))
        return late

    def _has_capacity(self, link: LinkPacer, now: float) -> bool:
        """Tell whether one more window can cross in time; True where nothing is ahead of it."""
        self._remove_idle(link, now)
        windows_bytes = len(self._loading_until) * self.window_bytes
        ahead_bytes = max(link.backlog_bytes(), windows_bytes)
        if not ahead_bytes:
            return True
        longest_seconds = MAX_QUEUEING_SHARE * self.resend_seconds
        return (ahead_bytes + self.window_bytes) / link.rate <= longest_seconds

    def _remove_idle(self, link: LinkPacer, now: float) -> None:
        resting = [
            key for key, until in self._loading_until.items() if now > until and not link.waits(key)
        ]
        for key in resting:
            del self._loading_until[key]
