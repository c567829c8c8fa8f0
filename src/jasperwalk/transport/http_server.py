"""A small HTTP/1.1 server: one handler, bodies in memory, idle connections closed.

It serves the few plain calls of the datagram plane (readiness, heartbeats of hosts, operators)
in processes that have to start within a tenth of a second. `http_connection` parses requests
and writes responses.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING

from jasperwalk.addresses import Endpoint
from jasperwalk.transport.http_messages import HttpHandler

if TYPE_CHECKING:
    from jasperwalk.transport.http_connection import HttpConnection

LISTEN_BACKLOG = 512


class HttpServer:
    """Serves one end point until closed."""

    def __init__(self, endpoint: Endpoint, handler: HttpHandler) -> None:
        self._endpoint = endpoint
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[HttpConnection] = set()

    async def start(self) -> None:
        """Listen; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._connect,
            self._endpoint.host,
            self._endpoint.port,
            backlog=LISTEN_BACKLOG,
        )

    def _connect(self) -> HttpConnection:
        """Return the protocol of a new connection.

        Its module is imported with the first connection: h11 takes a fourteenth of a balancer's
        start-up time, during which packets wait.
        """
        from jasperwalk.transport.http_connection import HttpConnection  # noqa: PLC0415

        return HttpConnection(self._handler, self._connections)

    @property
    def endpoint(self) -> Endpoint:
        """The end point, with the bound port once `start` has run."""
        if self._server is None:
            return self._endpoint
        host, port = self._server.sockets[0].getsockname()[:2]
        return Endpoint(host, port)

    async def close(self) -> None:
        """Stop listening and drop the connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()


@contextlib.asynccontextmanager
async def serving(*servers: HttpServer | None) -> AsyncIterator[None]:
    """Start servers and close them on exit; those that the settings leave out are None."""
    present = [server for server in servers if server is not None]
    try:
        for server in present:
            await server.start()
        yield
    finally:
        for server in present:
            await server.close()
