"""Client side of framed connections: TCP connect, TLS where configured, then the Hello exchange."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError
from jasperwalk.transport.errors import ConnectFailed, ConnectionLost
from jasperwalk.transport.framed import HELLO_TIMEOUT_SECONDS, FramedConnection, convert_ssl_error
from jasperwalk.transport.hello import Hello
from jasperwalk.transport.keep_alive import keep_alive

if TYPE_CHECKING:
    from jasperwalk.transport.tls import LinkTls

CONNECT_TIMEOUT_SECONDS = 2.0
"""Time-out of a TCP connect, with the TLS handshake where there is one."""


async def connect(
    endpoint: Endpoint,
    hello: Hello,
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    tls: LinkTls | None = None,
    hello_timeout_seconds: float = HELLO_TIMEOUT_SECONDS,
) -> FramedConnection:
    """Open a connection and exchange Hellos, over TLS where `tls` is given.

    Raises `ConnectFailed`, a `TlsError`, or what `FramedConnection.exchange_hello` raises.
    """
    context = None if tls is None else tls.client_context()
    try:
        async with asyncio.timeout(connect_timeout_seconds):
            reader, writer = await asyncio.open_connection(
                endpoint.host, endpoint.port, ssl=context
            )
    except TimeoutError as error:
        raise ConnectFailed(endpoint=str(endpoint), reason="timed out") from error
    except ssl.SSLError as error:
        raise convert_ssl_error(error) from error
    except OSError as error:
        raise ConnectFailed(endpoint=str(endpoint), reason=str(error)) from error
    keep_alive(writer)
    connection = FramedConnection(reader, writer)
    try:
        if tls is None:
            await connection.exchange_hello(hello, hello_timeout_seconds)
        else:
            certificate = writer.get_extra_info("peercert")
            await _exchange_hello_over_tls(connection, hello, hello_timeout_seconds, certificate)
    except ConnectionLost as error:
        connection.abort()
        if tls is None:
            raise
        # asyncio's server closes a handshake that it refuses without sending a TLS alert.
        raise tls.explain_close_after_handshake() from error
    except (JasperwalkError, asyncio.CancelledError):
        connection.abort()
        raise
    return connection


async def _exchange_hello_over_tls(
    connection: FramedConnection,
    hello: Hello,
    timeout_seconds: float,
    certificate: Mapping[str, Any] | None,
) -> None:
    """Exchange Hellos with a server, and check that its certificate may serve this kind."""
    # Imported here, so that processes without TLS load no certificate library.
    from jasperwalk.transport.identity import check_server, identity_of  # noqa: PLC0415

    connection.identity = identity_of(certificate)
    peer = await connection.exchange_hello(hello, timeout_seconds)
    check_server(connection.identity, peer, hello.kind)


async def port_accepts(endpoint: Endpoint, timeout_seconds: float) -> bool:
    """Tell whether a TCP connection to `endpoint` can be opened; nothing is sent on it.

    The kernel accepts for a process that is suspended, but not for one that has ended.
    """
    try:
        async with asyncio.timeout(timeout_seconds):
            _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except (TimeoutError, OSError):
        return False
    writer.transport.abort()
    return True
