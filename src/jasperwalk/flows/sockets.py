"""Non-blocking UDP sockets on an event loop, which read several datagrams per wake-up."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from jasperwalk.addresses import Endpoint
from jasperwalk.flows.codec import SocketAddress

DATAGRAMS_PER_WAKE_UP = 32
MAX_DATAGRAM_BYTES = 2048
MAX_PENDING_DATAGRAMS = 512
"""Most datagrams that one call of `read_pending` reads."""

DatagramHandler = Callable[[bytes, SocketAddress], None]


def _do_nothing() -> None:
    """Default for a callback that is not needed."""


class DatagramSocket:
    """A bound socket that passes received datagrams to a handler."""

    def __init__(
        self,
        bound: socket.socket,
        handler: DatagramHandler,
        after_receive: Callable[[], None] = _do_nothing,
    ) -> None:
        """Use a socket of `bound_sockets`. `after_receive` is called once per wake-up."""
        self._handler = handler
        self._after_receive = after_receive
        self._socket = bound
        self.dropped = 0
        """Datagrams that the kernel did not take; their senders send them again."""

    @property
    def endpoint(self) -> Endpoint:
        """The end point, with its real port."""
        host, port = self._socket.getsockname()[:2]
        return Endpoint(host, port)

    def start(self) -> None:
        """Receive on the running loop."""
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._receive)

    def read_pending(self) -> bool:
        """Read the datagrams that are waiting; return True if none waits any longer.

        Call it before acting on a missing answer: in a busy process the answer may have arrived
        without having been read.
        """
        return self._receive_some(MAX_PENDING_DATAGRAMS)

    def _receive(self) -> None:
        self._receive_some(DATAGRAMS_PER_WAKE_UP)
        self._after_receive()

    def _receive_some(self, count: int) -> bool:
        receive = self._socket.recvfrom
        handler = self._handler
        for _ in range(count):
            try:
                data, sender = receive(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return True
            except OSError:
                # ICMP reports that an earlier datagram reached no port; nothing was lost here.
                continue
            handler(data, sender)
        return False

    def send(self, data: bytes, address: SocketAddress) -> None:
        """Send one datagram; drop and count it if the kernel does not take it."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            self.dropped += 1

    def close(self) -> None:
        """Stop receiving and close."""
        with contextlib.suppress(RuntimeError, OSError):
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
