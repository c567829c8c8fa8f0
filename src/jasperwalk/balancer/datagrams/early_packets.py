"""Packets that come before a balancer that has just started has routes.

After a loss of power the fabric sends packets as soon as the process listens, and routes come
once the control replicas have a leader again, some tenths of a second later. A packet that is
dropped meanwhile comes again only after its sender's time-out, which has doubled with every
copy that was lost before; so the packets are kept for that moment.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from jasperwalk.balancer.datagrams.arrived_packet import ArrivedPacket

MAX_HOLD_SECONDS = 0.9
"""A caller waits 1.4 s for an answer to its opening packet; older ones are not worth a host."""
MAX_PACKETS = 2048
"""Bound of the memory: about 2.5 MB of packets; the oldest go first."""


@dataclass(eq=False, repr=False)
class EarlyPackets:
    """Keeps the newest packets, for a moment."""

    _packets: deque[ArrivedPacket] = field(default_factory=lambda: deque(maxlen=MAX_PACKETS))

    def __len__(self) -> int:
        """Return how many packets are kept."""
        return len(self._packets)

    def hold(self, packet: bytes, now: float) -> None:
        """Keep a packet; a full store lets its oldest one go."""
        self._packets.append(ArrivedPacket(packet, now))

    def take(self, now: float) -> list[ArrivedPacket]:
        """Take all packets that are young enough, in the order of their coming."""
        oldest = now - MAX_HOLD_SECONDS
        taken = [early for early in self._packets if early.arrived_at >= oldest]
        self._packets.clear()
        return taken
