"""Stand-in of a caller: an unmodified aioquic HTTP/3 client that records how every call ended."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any, cast

import msgspec
from aioquic.asyncio.client import connect
from aioquic.h3.connection import H3_ALPN
from aioquic.quic.configuration import QuicConfiguration

from jasperwalk.addresses import Endpoint
from jasperwalk_lab import answers
from jasperwalk_lab.certificates import SERVER_NAME
from jasperwalk_lab.http3_client import CallerProtocol, Exchange
from jasperwalk_lab.operations import (
    Answered,
    BreakReason,
    Broken,
    CallHistory,
    CallOutcome,
    CallRecord,
    Flow,
    NotRun,
    Operation,
    Submission,
    Unknown,
)

TICKET_PATH = "/.well-known/jasperwalk/tickets"
OUTCOME_HEADER = "jasperwalk-outcome"
MEMBER_HEADER = "jasperwalk-host"
IDLE_TIMEOUT_SECONDS = 30.0
CONNECT_TIMEOUT_SECONDS = 10.0


class TicketAnswer(msgspec.Struct, frozen=True):
    """Answer to a request for a ticket."""

    ticket: str
    expires_in: float


def classify(exchange: Exchange, broken: BreakReason | None) -> CallOutcome:
    """Return the outcome of an exchange as the caller sees it."""
    headers = exchange.headers
    host = headers.get(MEMBER_HEADER, headers.get(answers.HOST_HEADER, ""))
    if broken is not None:
        return Broken(reason=broken, host=host, heard_at=exchange.heard_at)
    match headers.get(OUTCOME_HEADER):
        case "not-run":
            return NotRun(retry_after_seconds=float(headers.get("retry-after", "1")))
        case "unknown":
            return Unknown(status=exchange.status)
        case _:
            return Answered(
                status=exchange.status,
                service=headers.get(answers.SERVICE_HEADER, ""),
                request_id=headers.get(answers.REQUEST_HEADER, ""),
                host=host,
                body=bytes(exchange.body),
            )


class Connection:
    """One connection of a caller to one service; every call is recorded."""

    def __init__(self, protocol: CallerProtocol, caller: Caller, service: str, flow: Flow) -> None:
        self.flow = flow
        self._protocol = protocol
        self._caller = caller
        self._service = service

    @property
    def alive(self) -> bool:
        """Return whether the connection has not ended."""
        return not self._protocol.terminated

    def send_ping(self) -> None:
        """Send a PING unless the connection has ended."""
        if self.alive:
            self._protocol.send_ping()

    async def call(
        self, operation: Operation, timeout: float, request_id: str | None = None
    ) -> CallRecord:
        """Make one call with a time-out in seconds; a submission asks for a ticket first."""
        request_id = request_id or self._caller.next_request_id()
        invoked = asyncio.get_running_loop().time()
        ticket: str | None = None
        outcome: CallOutcome | None = None
        if isinstance(operation, Submission):
            ticket, outcome = await self.ticket(timeout)
        if outcome is None:
            outcome = await self.send(operation, request_id, ticket, timeout)
        return self._caller.record(
            self._service, operation, request_id, invoked, outcome, self.flow
        )

    async def ticket(self, timeout: float) -> tuple[str | None, CallOutcome | None]:
        """Ask for a ticket; return it, or the outcome without one (then nothing ran)."""
        headers = self._headers("POST", TICKET_PATH, "")
        exchange, broken = await self._protocol.exchange(headers, b"", timeout)
        outcome = classify(exchange, broken)
        if not isinstance(outcome, Answered):
            return None, outcome
        try:
            return msgspec.json.decode(outcome.body, type=TicketAnswer).ticket, None
        except msgspec.MsgspecError:
            return None, outcome

    async def send(
        self, operation: Operation, request_id: str, ticket: str | None, timeout: float
    ) -> CallOutcome:
        """Send one request, with `ticket` as its Idempotency-Key if given."""
        headers = self._headers(operation.method, operation.path, request_id)
        if ticket is not None:
            headers.append((b"idempotency-key", ticket.encode()))
        exchange, broken = await self._protocol.exchange(headers, operation.body, timeout)
        return classify(exchange, broken)

    def _headers(self, method: str, path: str, request_id: str) -> list[tuple[bytes, bytes]]:
        headers = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", SERVER_NAME.encode()),
            (b":path", path.encode()),
        ]
        if request_id:
            headers.append((answers.REQUEST_HEADER.encode(), request_id.encode()))
        return headers


class Caller:
    """A caller with many connections; `name` makes its request IDs unique."""

    def __init__(self, name: str, ca_file: Path, history: CallHistory) -> None:
        self._name = name
        self._ca_file = ca_file
        self._history = history
        self._numbers = itertools.count()

    def next_request_id(self) -> str:
        """Return a request ID that this caller has not used."""
        return f"{self._name}-{next(self._numbers)}"

    @contextlib.asynccontextmanager
    async def connect(
        self, service: str, listener: Endpoint, attempts: list[Flow] | None = None
    ) -> AsyncIterator[Connection | None]:
        """Open a connection to a service's listener; yield None when it could not be opened.

        In both cases the flow is appended to `attempts`.
        """
        created: list[CallerProtocol] = []

        def create_protocol(*arguments: Any, **named: Any) -> CallerProtocol:
            created.append(CallerProtocol(*arguments, **named))
            return created[-1]

        opened = asyncio.get_running_loop().time()
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=H3_ALPN,
            server_name=SERVER_NAME,
            idle_timeout=IDLE_TIMEOUT_SECONDS,
        )
        configuration.load_verify_locations(cafile=str(self._ca_file))
        async with contextlib.AsyncExitStack() as stack:
            connected: CallerProtocol | None = None
            with contextlib.suppress(ConnectionError, TimeoutError):
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    protocol = await stack.enter_async_context(
                        connect(
                            listener.host,
                            listener.port,
                            configuration=configuration,
                            create_protocol=create_protocol,
                        )
                    )
                connected = cast(CallerProtocol, protocol)
            flow = Flow(caller_port=created[0].caller_port if created else 0, opened=opened)
            if attempts is not None:
                attempts.append(flow)
            if connected is not None:
                yield Connection(connected, self, service, flow)
            else:
                yield None

    def record_not_connected(
        self,
        service: str,
        operation: Operation,
        invoked: float,
        request_id: str | None = None,
        flow: Flow | None = None,
    ) -> CallRecord:
        """Record a call for which no connection could be opened."""
        outcome = Broken(reason=BreakReason.NOT_CONNECTED)
        request_id = request_id or self.next_request_id()
        return self.record(service, operation, request_id, invoked, outcome, flow)

    def record(
        self,
        service: str,
        operation: Operation,
        request_id: str,
        invoked: float,
        outcome: CallOutcome,
        flow: Flow | None = None,
    ) -> CallRecord:
        """Record the outcome of a call that has just ended."""
        record = CallRecord(
            request_id=request_id,
            service=service,
            operation=operation,
            invoked=invoked,
            completed=asyncio.get_running_loop().time(),
            outcome=outcome,
            flow=flow,
        )
        self._history.add(record)
        return record
