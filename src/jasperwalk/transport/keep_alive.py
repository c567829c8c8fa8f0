"""TCP keep-alive: ends idle connections whose other side can no longer be reached.

Links that carry signs of life of their own notice silence sooner; this is for those on which a side
may wait for long with good reason, such as a relayed answer that rests.
"""

from __future__ import annotations

import asyncio
import socket

IDLE_SECONDS = 10
"""Time without a packet after which the kernel asks the other side's kernel."""
PROBE_INTERVAL_SECONDS = 5
"""Time between two questions."""
PROBE_COUNT = 4
"""Unanswered questions after which the connection fails."""


def keep_alive(writer: asyncio.StreamWriter) -> None:
    """Let the kernel end this connection once the other side is silent for 30 s."""
    connection = writer.get_extra_info("socket")
    if connection is None:
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
