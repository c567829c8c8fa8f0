"""Buffer for packets that arrive before a starting balancer has routes.

After a loss of power the fabric sends packets as soon as the process listens. Routes arrive some
tenths of a second later, when the control replicas have a leader again. A packet that is dropped
meanwhile is sent again only after its sender's time-out, which doubles with every lost copy. So
the packets are kept until the first routes are in force.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from jasperwalk.balancer.datagrams.arrived_packet import ArrivedPacket

MAX_HOLD_SECONDS = 0.9
"""A caller waits 1.4 s for an answer to its opening packet; older ones could not be served in
time."""
MAX_PACKETS = 2048
"""Bounds the memory to about 2.5 MB; beyond it the oldest packets are discarded."""


@dataclass(eq=False, repr=False)
class EarlyPackets:
    """Keeps the newest packets for up to `MAX_HOLD_SECONDS`."""

    _packets: deque[ArrivedPacket] = field(default_factory=lambda: deque(maxlen=MAX_PACKETS))

    def __len__(self) -> int:
        """Return how many packets are kept."""
        return len(self._packets)

    def hold(self, packet: bytes, now: float) -> None:
        """Keep a packet; a full buffer discards its oldest one."""
        self._packets.append(ArrivedPacket(packet, now))

    def take(self, now: float) -> list[ArrivedPacket]:
        """Remove all packets and return those that are young enough, in their arrival order."""
        oldest = now - MAX_HOLD_SECONDS
        taken = [early for early in self._packets if early.arrived_at >= oldest]
        self._packets.clear()
        return taken
