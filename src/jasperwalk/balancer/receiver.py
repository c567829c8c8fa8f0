"""The balancer's UDP sockets: takes the fabric's datagrams and sends what the core decides.

The socket is read directly, many datagrams for each wake-up of the event loop: a datagram
protocol of asyncio costs a call, a source address and a task switch more for each of them.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Final, Protocol

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.agent_sockets import SOCKET_BUFFER_BYTES, AgentSockets
from jasperwalk.balancer.core import LARGEST_DATAGRAM
from jasperwalk.balancer.outcomes import DropReason, Forward

DATAGRAMS_PER_WAKE_UP: Final = 128
"""After so many datagrams the event loop gets a turn, for heartbeats and metrics."""

RECEIVE_BYTES: Final = LARGEST_DATAGRAM + 1
"""One byte more than the largest datagram, so that a longer one is seen to be longer."""


class DatagramHandler(Protocol):
    """Decides for one datagram."""

    def handle(self, datagram: bytes, now: float) -> Forward | DropReason:
        """Return where to send what, or why the datagram was dropped."""
        ...


class DatagramReceiver:
    """Owns the socket; `start` and `stop` attach it to the running event loop."""

    def __init__(
        self,
        listen: Endpoint,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Open and bind the socket; raises `OSError` when the port can't be had."""
        self.send_failures = 0
        self._clock = clock
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        try:
            self._socket.bind((listen.host, listen.port))
        except OSError:
            self._socket.close()
            raise
        self._agents = AgentSockets(self._socket)
        host, port = self._socket.getsockname()
        self.endpoint = Endpoint(host=host, port=port)

    def start(self, handler: DatagramHandler) -> None:
        """Give datagrams to `handler` from now on."""
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self.drain, handler)

    def stop(self) -> None:
        """Take no more datagrams and close the sockets."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self.close()

    def close(self) -> None:
        """Close the sockets of a receiver that isn't attached to a loop."""
        self._agents.close()
        self._socket.close()

    def drain(self, handler: DatagramHandler) -> None:
        """Handle the datagrams that wait, at most `DATAGRAMS_PER_WAKE_UP`."""
        receive = self._socket.recv
        senders = self._agents.senders
        handle = handler.handle
        now = self._clock()
        for _ in range(DATAGRAMS_PER_WAKE_UP):
            try:
                datagram = receive(RECEIVE_BYTES)
            except OSError:
                # Nothing waits any more, or a pending ICMP error, which recv has now cleared.
                return
            outcome = handle(datagram, now)
            if not isinstance(outcome, Forward):
                continue
            destination = outcome.destination
            send = senders.get(destination) or self._agents.open(destination, now)
            try:
                send(outcome.data)
            except OSError:
                # A full buffer or a port that is closed: UDP may lose it, QUIC sends it again.
                self.send_failures += 1
