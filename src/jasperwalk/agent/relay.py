"""Relays requests to other agents of the service, one framed TCP connection per request.

Closing the connection cancels the request. The target applies its own admission control and
never relays the request further, so there can be no relay loop.
"""

from __future__ import annotations

import asyncio

import msgspec

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.relay_messages import (
    ANSWER_DECODER,
    RelayData,
    RelayEnd,
    RelayHead,
    RelayNotRun,
    RelayRequest,
    RelayUnknown,
)
from jasperwalk.agent.requests import (
    Answered,
    AnswerProgress,
    CallerGone,
    NotRun,
    NotRunReason,
    Outcome,
    Request,
    ResponseSink,
    Unknown,
    UnknownReason,
)
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages.codec import encode
from jasperwalk.transport.client import connect, port_accepts
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.tls import LinkTls

CONNECT_TIMEOUT_SECONDS = 1.0
PROBE_ATTEMPTS = 2
"""A single lost SYN, which TCP repeats after a second, does not mean that the host is lost."""
PROBE_TIMEOUT_SECONDS = 0.6
ANSWER_MARGIN_SECONDS = 0.25
"""Time beyond the deadline for the target's own time-out answer to arrive."""


class RelayClient:
    """Opens connections to other agents, and sends requests over them."""

    def __init__(self, name: str, cluster_id: str, tls: LinkTls | None = None) -> None:
        self._tls = tls
        self._name = name
        self._cluster_id = cluster_id

    async def run(
        self, target: Endpoint, service_id: int, request: Request, sink: ResponseSink
    ) -> Outcome:
        """Run a request at `target`; cancelling the task cancels it there."""
        try:
            connection = await self.open(target, ConnectionKind.RELAY, CONNECT_TIMEOUT_SECONDS)
        except JasperwalkError:
            return NotRun(NotRunReason.RELAY_UNREACHABLE)
        try:
            return await run_exchange(connection, RelayRequest(service_id, request), request, sink)
        finally:
            connection.abort()

    async def is_alive(self, target: Endpoint) -> bool:
        """Return whether the agent at `target` is alive: whether its port accepts a connection.

        A suspended agent counts as alive: it may resume at any time, and its flows with it.
        """
        for _ in range(PROBE_ATTEMPTS):
            if await port_accepts(target, PROBE_TIMEOUT_SECONDS):
                return True
        return False

    async def open(
        self, target: Endpoint, kind: ConnectionKind, timeout_seconds: float
    ) -> FramedConnection:
        """Open a connection to `target`; raises as `connect` does."""
        hello = make_hello(kind, self._name, self._cluster_id)
        return await connect(target, hello, timeout_seconds, self._tls)


async def run_exchange(
    connection: FramedConnection, first: msgspec.Struct, request: Request, sink: ResponseSink
) -> Outcome:
    """Send `first`, the frame that contains `request`, and forward the answer to `sink`."""
    progress = AnswerProgress()
    seconds = request.deadline_ms / 1000 + ANSWER_MARGIN_SECONDS
    try:
        async with asyncio.timeout(seconds) as timeout:
            await connection.send(encode(first))
            return await _forward_answer(connection, request, sink, timeout, progress)
    except TimeoutError:
        return Unknown(UnknownReason.DEADLINE, head_sent=progress.head_sent)
    except CallerGone:
        raise
    except JasperwalkError:
        return Unknown(UnknownReason.RELAY_FAILED, head_sent=progress.head_sent)


async def _forward_answer(
    connection: FramedConnection,
    request: Request,
    sink: ResponseSink,
    timeout: asyncio.Timeout,
    progress: AnswerProgress,
) -> Outcome:
    status = 0
    while True:
        answer = ANSWER_DECODER.decode(await connection.receive())
        match answer:
            case RelayHead():
                if not request.deadline_by_caller:
                    timeout.reschedule(None)
                status = answer.status
                progress.head_sent = True
                await sink.head(status, answer.headers)
            case RelayData(data=data):
                await sink.data(data)
            case RelayEnd():
                await sink.end()
                return Answered(status)
            case RelayNotRun(reason=reason, retry_after_ms=retry_after_ms):
                return NotRun(reason, retry_after_ms)
            case RelayUnknown(reason=reason):
                return Unknown(reason, head_sent=progress.head_sent)
