"""HTTP/3 requests over one QUIC connection of the unmodified aioquic client.

Beyond the library it recognises stateless resets, as browsers do, and reports for every request
whether its answer is complete or why it broke off.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

from aioquic.asyncio.protocol import QuicConnectionProtocol, QuicStreamHandler
from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.connection import NetworkAddress, QuicConnection
from aioquic.quic.events import ConnectionTerminated, QuicEvent, StreamReset

from jasperwalk_lab.operations import BreakReason

MIN_FINAL_STATUS = 200
"""Lower statuses are interim (1xx)."""
PING_IDENTITY = 0
"""Shared by all PINGs: nothing waits for their acknowledgements."""
LONG_HEADER_BIT = 0x80
RESET_TOKEN_LENGTH = 16
MIN_RESET_BYTES = 21
"""Length of the shortest stateless reset (RFC 9000, section 10.3)."""


@dataclass
class Exchange:
    """One request on its stream; the result of `ended` is None when the answer is complete.

    `heard_at` is when the last part of the answer arrived (seconds), 0 if none did.
    """

    ended: asyncio.Future[BreakReason | None]
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    heard_at: float = 0.0


class CallerProtocol(QuicConnectionProtocol):
    """HTTP/3 over one QUIC connection of the unmodified client."""

    def __init__(
        self, quic: QuicConnection, stream_handler: QuicStreamHandler | None = None
    ) -> None:
        super().__init__(quic, stream_handler)
        self._http = H3Connection(self._quic)
        self._exchanges: dict[int, Exchange] = {}
        self.terminated = False
        self.caller_port = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the local UDP port, which identifies the flow."""
        super().connection_made(transport)
        self.caller_port = transport.get_extra_info("sockname")[1]

    async def wait_connected(self) -> None:
        """Wait until the handshake is complete.

        When the wait is cancelled, the library's future is dropped: closing the connection would
        set an exception on it that nobody retrieves.
        """
        try:
            await super().wait_connected()
        except asyncio.CancelledError:
            self._connected_waiter = None
            raise

    def datagram_received(self, data: bytes | str, addr: NetworkAddress) -> None:
        """Handle one datagram; a stateless reset ends the connection at once.

        The library drops resets as packets that it can't decrypt, and would notice the lost
        connection only by its idle time-out; browsers detect resets (RFC 9000, section 10.3.1).
        """
        if isinstance(data, bytes) and is_stateless_reset(data, self._reset_tokens()):
            self._end_all(BreakReason.STATELESS_RESET)
            return
        super().datagram_received(data, addr)

    def _reset_tokens(self) -> set[bytes]:
        """Return the stateless reset tokens that the server sent with its connection IDs."""
        quic = self._quic
        connection_ids = (quic._peer_cid, *quic._peer_cid_available)
        return {each.stateless_reset_token for each in connection_ids}

    def _end_all(self, reason: BreakReason) -> None:
        self.terminated = True
        for exchange in self._exchanges.values():
            _end(exchange, reason)

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle one event of the QUIC connection."""
        if isinstance(event, ConnectionTerminated):
            self._end_all(BreakReason.CONNECTION_ENDED)
        elif isinstance(event, StreamReset) and event.stream_id in self._exchanges:
            _end(self._exchanges[event.stream_id], BreakReason.STREAM_RESET)
        for http_event in self._http.handle_event(event):
            self._http_event_received(http_event)

    def _http_event_received(self, event: H3Event) -> None:
        if not isinstance(event, HeadersReceived | DataReceived):
            return
        exchange = self._exchanges.get(event.stream_id)
        if exchange is None:
            return
        exchange.heard_at = asyncio.get_running_loop().time()
        if isinstance(event, DataReceived):
            exchange.body += event.data
        else:
            _store_headers(exchange, event)
        if event.stream_ended:
            _end(exchange, None)

    def send_ping(self) -> None:
        """Send a PING, as clients do to keep an open connection alive."""
        self._quic.send_ping(PING_IDENTITY)
        self.transmit()

    async def exchange(
        self, headers: list[tuple[bytes, bytes]], body: bytes, timeout: float
    ) -> tuple[Exchange, BreakReason | None]:
        """Send a request; return what arrived and why it broke off, None for a complete answer."""
        exchange = Exchange(ended=asyncio.get_running_loop().create_future())
        if self.terminated:
            return exchange, BreakReason.CONNECTION_ENDED
        stream_id = self._quic.get_next_available_stream_id()
        self._exchanges[stream_id] = exchange
        self._http.send_headers(stream_id, headers, end_stream=not body)
        if body:
            self._http.send_data(stream_id, body, end_stream=True)
        self.transmit()
        try:
            async with asyncio.timeout(timeout):
                return exchange, await exchange.ended
        except TimeoutError:
            self._cancel(stream_id)
            return exchange, BreakReason.TIMED_OUT
        finally:
            del self._exchanges[stream_id]

    def _cancel(self, stream_id: int) -> None:
        self._quic.stop_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
        self.transmit()


def is_stateless_reset(data: bytes, tokens: Collection[bytes]) -> bool:
    """Return whether a datagram ends with one of the peer's tokens and has a reset's form."""
    if len(data) < MIN_RESET_BYTES or data[0] & LONG_HEADER_BIT:
        return False
    return data[-RESET_TOKEN_LENGTH:] in tokens


def _store_headers(exchange: Exchange, event: HeadersReceived) -> None:
    headers = {name.decode(): value.decode() for name, value in event.headers}
    status = int(headers.get(":status", "0"))
    if status >= MIN_FINAL_STATUS:  # neither interim answers nor trailers
        exchange.status = status
        exchange.headers = headers


def _end(exchange: Exchange, reason: BreakReason | None) -> None:
    if not exchange.ended.done():
        exchange.ended.set_result(reason)
