"""Opening framed connections."""

from __future__ import annotations

import asyncio
import ssl

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError
from jasperwalk.transport.errors import ConnectFailed
from jasperwalk.transport.framed import HELLO_TIMEOUT_SECONDS, FramedConnection, Hello

CONNECT_TIMEOUT_SECONDS = 2.0
"""Time within which a TCP connection has to stand."""


async def connect(
    endpoint: Endpoint,
    hello: Hello,
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    tls: ssl.SSLContext | None = None,
) -> FramedConnection:
    """Open a connection and exchange Hellos.

    Raises `ConnectFailed`, or what `FramedConnection.exchange_hello` raises.
    """
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(endpoint.host, endpoint.port, ssl=tls),
            timeout=connect_timeout_seconds,
        )
    except TimeoutError as error:
        raise ConnectFailed(endpoint=str(endpoint), reason="timed out") from error
    except OSError as error:
        raise ConnectFailed(endpoint=str(endpoint), reason=str(error)) from error
    connection = FramedConnection(reader, writer)
    try:
        await connection.exchange_hello(hello, HELLO_TIMEOUT_SECONDS)
    except (JasperwalkError, asyncio.CancelledError):
        connection.abort()
        raise
    return connection
