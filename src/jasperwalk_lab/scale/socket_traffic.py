"""Bytes and segments of a TCP connection, as the kernel counts them (Linux's TCP_INFO)."""

from __future__ import annotations

import os
import socket
import struct
from dataclasses import dataclass

TCP_INFO_LENGTH = 192
COUNTERS = struct.Struct("=QQII")
COUNTERS_OFFSET = 120
"""Offset of tcpi_bytes_acked in `struct tcp_info`; the received bytes and segments follow it."""


@dataclass(frozen=True)
class SocketTraffic:
    """What went over one connection: payload bytes and segments each way."""

    received_bytes: int
    sent_bytes: int
    received_segments: int
    sent_segments: int


def read_socket_traffic(descriptor: int) -> SocketTraffic:
    """Read the counters of the TCP socket behind a file descriptor; raise `OSError`."""
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        info = duplicate.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LENGTH)
    acknowledged, received, sent_segments, received_segments = COUNTERS.unpack_from(
        info, COUNTERS_OFFSET
    )
    return SocketTraffic(
        received_bytes=received,
        sent_bytes=acknowledged,
        received_segments=received_segments,
        sent_segments=sent_segments,
    )
