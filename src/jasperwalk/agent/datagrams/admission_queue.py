"""New flows that wait at the agent because the host is busy, and how many may.

A caller whose flow is refused everywhere tries again at once and has soon used up its tries;
after an outage all callers do so together. So a flow that every agent has refused may wait at
the least busy one, in a queue of a few flows for each of the host's slots.

The newest flow is admitted first. While more comes than the host can do, first come first
served would make every caller wait about as long as the oldest one and none be in time; newest
first serves those that come now in time, and what the host can do beyond them goes to the
ones before. A full queue lets its oldest flow go, whose caller has waited longest and is reset
at once, so that it tries again.
"""

from __future__ import annotations

from collections import OrderedDict

import msgspec

LONGEST_WAIT_SECONDS = 0.9
"""A caller waits 1.4 s for an answer to its opening packet; its flow is answered before."""
LONGEST_AGE_SECONDS = 1.2
"""The same, from when the caller began: its packet may have been on the way for long. A host
that works for a caller who has left works for nobody."""
WAITING_PER_SLOT = 7.2
"""Flows that wait for each of a host's slots at most. A queue twice as long, which followed the
host's measured pace, served no more callers after a loss of all power: the credit of such a day was
0.640 to 0.646 of what was owed, less prices, in three runs, and 0.649 to 0.665 with this length."""
COLD_WAIT_SECONDS = 0.6
"""The queue of a cold host takes what it bears in this time, where that is less."""


class WaitingFlow(msgspec.Struct, frozen=True):
    """An opening packet, when it came, and until when it may wait; seconds."""

    packet: bytes
    arrived_at: float
    expires_at: float


class AdmissionQueue:
    """Newest first; bounded by the host's slots."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[bytes, WaitingFlow] = OrderedDict()

    def __len__(self) -> int:
        """Return how many flows wait."""
        return len(self._waiting)

    def __contains__(self, key: bytes) -> bool:
        """Tell whether a flow waits."""
        return key in self._waiting

    def has_room(self, capacity: int, most_per_second: float | None = None) -> bool:
        """Tell whether one more flow may wait for a host with this many slots.

        `most_per_second` bounds what the host takes while it is cold, None where nothing does.
        """
        most = WAITING_PER_SLOT * capacity
        if most_per_second is not None:
            most = min(most, most_per_second * COLD_WAIT_SECONDS)
        return len(self._waiting) < most

    def add(self, key: bytes, packet: bytes, began_at: float, now: float) -> None:
        """Let a flow wait; a copy of its packet changes nothing."""
        expires_at = min(now + LONGEST_WAIT_SECONDS, began_at + LONGEST_AGE_SECONDS)
        self._waiting.setdefault(key, WaitingFlow(packet, now, expires_at))

    def discard(self, key: bytes) -> None:
        """Let a flow go whose caller needs no host any more."""
        self._waiting.pop(key, None)

    def pop_newest(self) -> tuple[bytes, WaitingFlow]:
        """Take the flow that came last."""
        return self._waiting.popitem(last=True)

    def pop_oldest(self) -> tuple[bytes, WaitingFlow]:
        """Take the flow that has waited longest."""
        return self._waiting.popitem(last=False)

    def take_expired(self, now: float) -> list[tuple[bytes, WaitingFlow]]:
        """Take the flows that have waited too long."""
        keys = [key for key, flow in self._waiting.items() if now > flow.expires_at]
        return [(key, self._waiting.pop(key)) for key in keys]

    def take_all(self) -> list[tuple[bytes, WaitingFlow]]:
        """Take every flow, because the host takes none any more."""
        waiting = list(self._waiting.items())
        self._waiting.clear()
        return waiting
