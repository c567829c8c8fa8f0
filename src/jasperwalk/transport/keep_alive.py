"""TCP keep-alive: ends idle connections whose other side can no longer be reached.

Links with heartbeats of their own detect silence sooner. This is for connections on which a side
may wait long with good reason, such as a relayed response that pauses.
"""

from __future__ import annotations

import asyncio
import socket

IDLE_SECONDS = 10
"""Idle time after which the kernel sends the first keep-alive probe."""
PROBE_INTERVAL_SECONDS = 5
"""Time between two probes."""
PROBE_COUNT = 4
"""Unanswered probes after which the connection fails."""


def keep_alive(writer: asyncio.StreamWriter) -> None:
    """Have the kernel end this connection once the other side is silent for 30 s."""
    connection = writer.get_extra_info("socket")
    if connection is None:
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
