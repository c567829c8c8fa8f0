"""A caller's packet that waits in the balancer, with its arrival time."""

from __future__ import annotations

import msgspec


class ArrivedPacket(msgspec.Struct, frozen=True):
    """A packet and when it was read from the socket, seconds."""

    packet: bytes
    arrived_at: float
