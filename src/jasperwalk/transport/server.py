"""A TCP server that exchanges Hellos and passes each framed connection to the handler of its kind.

It bounds the connections that wait, that are accepted in one turn of the event loop, and that
are open at once, and refuses peers whose version, cluster, certificate or kind does not fit.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import TYPE_CHECKING, Any

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError
from jasperwalk.transport.errors import TlsError, TransportError, UnhandledKind
from jasperwalk.transport.framed import HELLO_TIMEOUT_SECONDS, FramedConnection
from jasperwalk.transport.hello import ConnectionKind, Hello
from jasperwalk.transport.keep_alive import keep_alive

if TYPE_CHECKING:
    from jasperwalk.transport.tls import LinkTls

ConnectionHandler = Callable[[FramedConnection], Awaitable[None]]
"""Serves one connection; the server closes the connection when the handler returns."""

LISTEN_BACKLOG = 4_096
"""Connections that may wait to be accepted. With asyncio's default of 100, most processes of a
region that reconnect at once would have to retry. Current Linux has the same limit."""
ACCEPTED_PER_TURN = 32
"""Connections accepted in one turn of the event loop; the others wait in the kernel's backlog.
Without the bound, a fleet that reconnects at once would block the loop for seconds."""
MAX_CONNECTIONS = 16_384
"""Open connections of a server; further ones are dropped."""

logger = structlog.get_logger(__name__)


class FramedServer:
    """Listens on one end point. Invalid data on a connection ends that connection only."""

    def __init__(
        self,
        endpoint: Endpoint,
        hello: Hello,
        handlers: Mapping[ConnectionKind, ConnectionHandler],
        hello_timeout_seconds: float = HELLO_TIMEOUT_SECONDS,
        tls: LinkTls | None = None,
    ) -> None:
        self._requested_endpoint = endpoint
        self._hello = hello
        self._handlers = dict(handlers)
        self._hello_timeout_seconds = hello_timeout_seconds
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.endpoint = endpoint
        self.refused: dict[str, int] = {}
        """Number of connections that ended with an error, by the error's kind."""

    async def start(self) -> None:
        """Bind and listen; `endpoint` then holds the port in use. Raises `OSError`."""
        tls = self._tls
        listener = _bind(self._requested_endpoint)
        self._server = await asyncio.start_server(
            self._accept,
            sock=listener,
            backlog=ACCEPTED_PER_TURN,
            ssl=None if tls is None else tls.server_context(),
            ssl_handshake_timeout=None if tls is None else self._hello_timeout_seconds,
        )
        # asyncio also accepts up to its backlog in one turn, so the kernel's is set separately.
        listener.listen(LISTEN_BACKLOG)
        host, port = listener.getsockname()[:2]
        self.endpoint = Endpoint(host=host, port=port)

    async def close(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._tasks) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        keep_alive(writer)
        certificate = writer.get_extra_info("peercert")
        task = asyncio.ensure_future(self._serve(FramedConnection(reader, writer), certificate))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, connection: FramedConnection, certificate: Mapping[str, Any] | None
    ) -> None:
        try:
            if self._tls is not None:
                # Imported here, so that processes without TLS load no certificate library.
                from jasperwalk.transport.identity import identity_of  # noqa: PLC0415

                connection.identity = identity_of(certificate)
            await self._exchange_hello_and_handle(connection)
        except JasperwalkError as error:
            self._count_refusal(error)
        except asyncio.CancelledError:
            connection.abort()
            raise
        except Exception:
            # A fault in one handler must not end the listener or other connections.
            logger.exception("connection-handler-failed")
            connection.abort()
            return
        await connection.close()

    async def _exchange_hello_and_handle(self, connection: FramedConnection) -> None:
        peer = await connection.exchange_hello(self._hello, self._hello_timeout_seconds)
        if connection.identity is not None:
            from jasperwalk.transport.identity import check_client  # noqa: PLC0415

            check_client(connection.identity, peer)
        handler = self._handlers.get(peer.kind)
        if handler is None:
            raise UnhandledKind(connection_kind=peer.kind)
        await handler(connection)

    def _count_refusal(self, error: JasperwalkError) -> None:
        self.refused[error.kind] = self.refused.get(error.kind, 0) + 1
        if isinstance(error, TlsError):
            logger.warning("connection-refused", kind=error.kind, detail=error.describe())
        elif isinstance(error, TransportError):
            logger.debug("connection-ended", kind=error.kind, detail=error.describe())
        else:
            logger.info("connection-refused", kind=error.kind, detail=error.describe())


def _bind(endpoint: Endpoint) -> socket.socket:
    """Return a bound socket that does not listen yet; raises `OSError`."""
    family = socket.AF_INET6 if ":" in endpoint.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            listener.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        listener.bind((endpoint.host, endpoint.port))
    except OSError:
        listener.close()
        raise
    return listener
