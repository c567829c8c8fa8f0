"""The asyncio side of the QUIC endpoint: one UDP socket and one timer."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import cast

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.agent.outgoing import Outgoing, ProbeAgent, ToAgent, ToFabric

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
"""Requested size; the system may grant less."""


class DatagramPort(asyncio.DatagramProtocol):
    """Passes received datagrams to the endpoint and sends its output.

    `dispatch` is called after each batch of input. Datagrams that arrive in one turn of the
    event loop form one batch, so that the answers to them are sent together.
    """

    def __init__(self, endpoint: AgentEndpoint, fabric: Endpoint) -> None:
        self._endpoint = endpoint
        self._fabric = (fabric.host, fabric.port)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._pump_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due: float | None = None
        self.dispatch: Callable[[], None] = lambda: None
        self.is_alive: Callable[[Endpoint], Awaitable[bool]] = _assume_alive
        """Probes whether an agent is alive; set by the process."""
        self._probes: set[asyncio.Future[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | object, int]) -> None:
        """Pass one datagram to the endpoint."""
        self._endpoint.datagram_received(data, self._loop.time())
        self.schedule()

    def error_received(self, exc: Exception) -> None:
        """Ignore a peer's closed port: QUIC treats it as a lost packet."""

    def schedule(self) -> None:
        """Schedule processing later in this turn of the event loop."""
        if not self._pump_scheduled:
            self._pump_scheduled = True
            self._loop.call_soon(self._pump)

    def close(self) -> None:
        """Close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        for probe in self._probes:
            probe.cancel()
        if self._transport is not None:
            self._transport.close()

    def flush(self) -> None:
        """Send at once all output of the endpoint."""
        self._endpoint.flush(self._loop.time())
        for outgoing in self._endpoint.take_outgoing():
            self._send(outgoing)
        self._set_timer()

    def _pump(self) -> None:
        self._pump_scheduled = False
        self._endpoint.handle_timers(self._loop.time())
        self.dispatch()
        self.flush()
        if self._endpoint.has_events:  # a flow may end while its last datagrams are built
            self.schedule()

    def _send(self, outgoing: Outgoing) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        match outgoing:
            case ToFabric(data=data):
                self._transport.sendto(data, self._fabric)
            case ToAgent(address=address, data=data):
                self._transport.sendto(data, (address.host, address.port))
            case ProbeAgent(address=address):
                probe = asyncio.ensure_future(self._probe(address))
                self._probes.add(probe)
                probe.add_done_callback(self._probes.discard)

    async def _probe(self, address: Endpoint) -> None:
        answered = await self.is_alive(address)
        self._endpoint.probe_ended(address, answered, self._loop.time())
        self.schedule()

    def _set_timer(self) -> None:
        due = self._endpoint.next_timer()
        if due == self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_due = due
        if due is not None:
            self._timer = self._loop.call_at(due, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        self._timer_due = None
        self._pump()


async def _assume_alive(_: Endpoint) -> bool:
    """Assume that every agent is alive: without a probe no agent may be considered lost."""
    return True


async def open_datagram_port(
    endpoint: AgentEndpoint, listen: Endpoint, fabric: Endpoint
) -> tuple[DatagramPort, Endpoint]:
    """Bind the forwarding port; return it with its actual endpoint. Raises `OSError`."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.setblocking(False)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        opened.bind((listen.host, listen.port))
        host, port = opened.getsockname()
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_datagram_endpoint(
            lambda: DatagramPort(endpoint, fabric), sock=opened
        )
    except OSError:
        opened.close()
        raise
    return protocol, Endpoint(host, port)
