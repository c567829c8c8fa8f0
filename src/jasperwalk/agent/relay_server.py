"""Serves requests that other agents relay here, one framed TCP connection per request."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from jasperwalk.agent.relay_messages import (
    REQUEST_DECODER,
    RelayAnswer,
    RelayData,
    RelayEnd,
    RelayHead,
    RelayNotRun,
    RelayRequest,
    RelayUnknown,
)
from jasperwalk.agent.requests import (
    Answered,
    CallerGone,
    NotRun,
    Outcome,
    ResponseSink,
    Unknown,
)
from jasperwalk.agent.tasks import cancel
from jasperwalk.messages.codec import encode
from jasperwalk.transport.errors import TransportError
from jasperwalk.transport.framed import FramedConnection

RelayHandler = Callable[[RelayRequest, ResponseSink], Awaitable[Outcome]]
"""Runs a relayed request here."""
RECEIVE_TIMEOUT_SECONDS = 5.0
"""Time limit for the other agent to send its complete request."""


class RelaySink:
    """Sends an answer back over the connection; raises `CallerGone` if the connection is lost."""

    def __init__(self, connection: FramedConnection) -> None:
        self._connection = connection

    async def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head."""
        await self._send(RelayHead(status, headers))

    async def data(self, data: bytes) -> None:
        """Send a piece of the body."""
        await self._send(RelayData(data))

    async def end(self) -> None:
        """Send the end."""
        await self._send(RelayEnd())

    async def _send(self, answer: RelayAnswer) -> None:
        try:
            await self._connection.send(encode(answer))
        except TransportError as error:
            raise CallerGone from error


async def serve_relay(connection: FramedConnection, handler: RelayHandler) -> None:
    """Serve one relayed request; the handler is cancelled when the connection ends.

    Raises `RequestTimeout` if no request arrives.
    """
    relayed = REQUEST_DECODER.decode(await connection.receive_request(RECEIVE_TIMEOUT_SECONDS))
    await run_until_closed(connection, handler(relayed, RelaySink(connection)))


async def run_until_closed(connection: FramedConnection, run: Awaitable[Outcome]) -> None:
    """Run a request and send its outcome; cancel it when the connection ends first."""
    running = asyncio.ensure_future(run)
    ended = asyncio.ensure_future(wait_closed(connection))
    try:
        await asyncio.wait((running, ended), return_when=asyncio.FIRST_COMPLETED)
        if running.done():
            await send_outcome(connection, running.result())
    finally:
        ended.cancel()
        with contextlib.suppress(CallerGone):
            await cancel(running)


async def wait_closed(connection: FramedConnection) -> None:
    """Wait until the other side closes the connection or sends an unexpected frame."""
    with contextlib.suppress(TransportError):
        await connection.receive()


async def send_outcome(connection: FramedConnection, outcome: Outcome) -> None:
    """Send the outcome of a request; an answer has already been sent by its sink."""
    match outcome:
        case NotRun(reason=reason, retry_after_ms=retry_after_ms):
            await connection.send(encode(RelayNotRun(reason, retry_after_ms)))
        case Unknown(reason=reason):
            await connection.send(encode(RelayUnknown(reason)))
        case Answered():
            pass
