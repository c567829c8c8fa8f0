"""When a balancer on a thin link opens a new upload.

Load pattern: uploads come at random and each brings a whole window of packets as soon as it is
open. Opened all at once they would wait for the link longer than callers wait before they send
again, and every packet would cross the link twice. But an upload that waits for its host or for its
caller needs nothing of the link, and a place that is kept for it is lost to the others.

So what counts is the time that the link needs for the windows of the uploads that load it: those
that were opened a moment ago, that sent data a moment ago, or whose data wait for the link. The
next upload, the oldest first, is opened as soon as its own window fits in before callers send
again. One that cannot be opened while its caller still waits is reset, so that the caller tries
again while it can.

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
"""Part of the callers' time before they send again that a window may wait for the link; the rest
is the way to the host and back."""
FIRST_DATA_SECONDS = 0.25
"""An upload that has sent nothing for this long after it was opened is not expected to any more:
its caller has left, or its host lets it wait."""
LOADING_SECONDS = 0.05
"""An upload loads the link for this long after its last data: the next ones come within a round
trip to the caller, 10 ms as measured where zones are 0.5 ms and callers 3 ms away."""
MAX_WAIT_SECONDS = 0.8
"""A caller waits 1.4 s for an answer to its opening packet."""
MAX_WAITING_UPLOADS = 256


class WaitingUpload(msgspec.Struct, frozen=True):
    """An upload's opening packet that waits for room on the link."""

    packet: bytes
    route: RouteEntry
    arrived_at: float


@dataclass(eq=False, repr=False)
class UploadAdmission:
    """Decides for one link; `link` is None where there is no limit.

    `window_bytes` is what a caller may have under way, `resend_seconds` when it sends again what
    was not acknowledged.
    """

    codec: PacketCodec
    link: LinkPacer | None
    window_bytes: int
    resend_seconds: float
    _loading_until: dict[bytes, float] = field(default_factory=dict)
    """Until when each upload loads the link, if it sends no more."""
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
        """Take note of a packet of an open upload: its data, or its end."""
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
        """Take the uploads that have waited for too long, or are too many."""
        late = []
        while self._waiting:
            oldest = next(iter(self._waiting.values()))
            is_late = now - oldest.arrived_at > MAX_WAIT_SECONDS
            if not is_late and len(self._waiting) <= MAX_WAITING_UPLOADS:
                break
            late.append(self._waiting.popitem(last=False))
        return late

    def _has_capacity(self, link: LinkPacer, now: float) -> bool:
        """Tell whether one more window fits in; one always does where nothing is ahead of it."""
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
