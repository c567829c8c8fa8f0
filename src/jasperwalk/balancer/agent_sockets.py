"""Connected UDP sockets towards agents.

Sending on a connected socket spares the kernel the route look-up for each datagram, which is the
most expensive part of `sendto`. The number of sockets is bounded: further agents are reached by
`sendto`, which costs more but needs no socket.
"""

from __future__ import annotations

import functools
import socket
from collections.abc import Callable
from typing import Final

from jasperwalk.balancer.outcomes import SocketAddress

MAX_SOCKETS: Final = 256
"""Connected sockets at a time, well below the usual limit of 1,024 open files."""

RENEWAL_SECONDS: Final = 60.0
"""A full set is cleared at most this often, so that it holds the agents in use."""

SOCKET_BUFFER_BYTES: Final = 4 * 1024 * 1024
"""Requested size of the kernel's buffers; the kernel may grant less (net.core.rmem_max)."""

SendDatagram = Callable[[bytes], int]
"""Sends one datagram to one agent; raises `OSError` when the kernel refuses it."""


class AgentSockets:
    """Finds or opens the socket for sending to an agent."""

    def __init__(self, unconnected: socket.socket) -> None:
        """Use `unconnected` for agents without a connected socket."""
        self.senders: dict[SocketAddress, SendDatagram] = {}
        """Send functions of connected sockets, by destination; used by the fast path."""
        self.connected: dict[SocketAddress, socket.socket] = {}
        """Connected sockets by destination, which can send several datagrams at once."""
        self._unconnected = unconnected
        self._full_since: float | None = None

    def open(self, destination: SocketAddress, now: float) -> SendDatagram:
        """Return a send function for an agent that is not in `senders`; `now` is in seconds."""
        if len(self.connected) >= MAX_SOCKETS:
            if self._full_since is None:
                self._full_since = now
            if now - self._full_since < RENEWAL_SECONDS:
                return self._through_unconnected(destination)
            self.close()
        try:
            sender = _connect(destination)
        except OSError:
            # No file descriptor is left, or no route exists: the send itself reports the reason.
            return self._through_unconnected(destination)
        self.connected[destination] = sender
        self.senders[destination] = sender.send
        return sender.send

    def close(self) -> None:
        """Close all connected sockets."""
        for sender in self.connected.values():
            sender.close()
        self.connected.clear()
        self.senders.clear()
        self._full_since = None

    def _through_unconnected(self, destination: SocketAddress) -> SendDatagram:
        return functools.partial(_send_to, self._unconnected, destination)


def _connect(destination: SocketAddress) -> socket.socket:
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sender.setblocking(False)
        sender.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        sender.connect(destination)
    except OSError:
        sender.close()
        raise
    return sender


def _send_to(sender: socket.socket, destination: SocketAddress, data: bytes) -> int:
    return sender.sendto(data, destination)
