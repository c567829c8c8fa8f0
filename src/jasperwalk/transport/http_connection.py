"""One connection to the small HTTP server, as an asyncio protocol over the h11 state machine.

Requests are read completely into memory, handled one at a time, and answered in order.
"""

from __future__ import annotations

import asyncio
from typing import cast

import h11
import structlog

from jasperwalk.transport.http_messages import HttpHandler, HttpRequest, HttpResponse

MAX_BODY_BYTES = 2 * 1024 * 1024
IDLE_SECONDS = 20.0
"""A connection on which nothing is received for this long is closed."""

logger = structlog.get_logger(__name__)


class HttpConnection(asyncio.Protocol):
    """One client's connection; requests are answered one after the other."""

    def __init__(self, handler: HttpHandler, connections: set[HttpConnection]) -> None:
        self._handler = handler
        self._connections = connections
        self._parser = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._task: asyncio.Task[None] | None = None
        self._transport: asyncio.Transport | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._client_closed = False
        """True once the client has closed its sending side."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection and start its idle timer."""
        # uvloop's transports have the methods of asyncio's, but not its base class.
        self._transport = cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection; a handler that still runs ends by itself."""
        self._connections.discard(self)
        self._transport = None
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def _client_connected(self) -> bool:
        return self._transport is not None and not self._client_closed

    def abort(self) -> None:
        """Drop the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = asyncio.get_running_loop().call_later(IDLE_SECONDS, self.abort)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and handle the request once it is complete."""
        self._restart_idle_timer()
        self._parser.receive_data(data)
        self._process_events()

    def eof_received(self) -> bool:
        """Handle the end of the client's data; the connection stays open for a pending response."""
        self._client_closed = True
        self._parser.receive_data(b"")
        self._process_events()
        return self._task is not None

    def _process_events(self) -> None:
        while self._task is None and self._transport is not None:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError:
                self._send_bad_request()
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._transport.close()
                return
            self._handle_event(event)

    def _handle_event(self, event: object) -> None:
        if isinstance(event, h11.Request):
            self._request = event
            self._body.clear()
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > MAX_BODY_BYTES:
                self.abort()
        elif isinstance(event, h11.EndOfMessage) and self._request is not None:
            path = self._request.target.decode("ascii").partition("?")[0]
            method = self._request.method.decode("ascii")
            request = HttpRequest(method, path, bytes(self._body), self._client_connected)
            self._task = asyncio.ensure_future(self._answer(request))

    async def _answer(self, request: HttpRequest) -> None:
        try:
            response = await self._handler(request)
        except Exception:
            # A fault in a handler must not end the server.
            logger.exception("http-handler-failed", method=request.method, path=request.path)
            response = HttpResponse(500)
        self._task = None
        self._write(response)

    def _write(self, response: HttpResponse) -> None:
        if self._transport is None:
            return
        headers = [("Content-Length", str(len(response.body)))]
        if response.body and "Content-Type" not in response.headers:
            headers.append(("Content-Type", "application/json"))
        headers.extend(response.headers.items())
        try:
            self._transport.write(
                self._parser.send(h11.Response(status_code=response.status, headers=headers))
                + (self._parser.send(h11.Data(data=response.body)) or b"")
                + (self._parser.send(h11.EndOfMessage()) or b"")
            )
        except h11.LocalProtocolError:
            self.abort()
            return
        if self._parser.our_state is h11.MUST_CLOSE:
            self._transport.close()
            return
        self._parser.start_next_cycle()
        self._process_events()

    def _send_bad_request(self) -> None:
        if self._transport is not None:
            self._transport.write(b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n")
            self._transport.close()
