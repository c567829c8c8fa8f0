"""The calling processes of the agent's benchmark: handshakes, requests and held connections."""

from __future__ import annotations

import asyncio
import enum
import ssl
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from multiprocessing.connection import Connection
from typing import cast

import aiohttp
import uvloop
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from bench.agent_servers import agent_core
from bench.forwarders import ANY_PORT
from bench.traffic import VIP
from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.core import BalancerCore
from jasperwalk.balancer.outcomes import Forward
from jasperwalk.messages.proxy_protocol import encode_header
from jasperwalk_lab.certificates import SERVER_NAME
from jasperwalk_lab.http3_client import CallerProtocol

TIMEOUT_SECONDS = 10.0
CONNECTIONS = 4
"""Connections of one calling process with the workload of requests."""
HEADERS = [
    (b":method", b"GET"),
    (b":scheme", b"https"),
    (b":authority", SERVER_NAME.encode()),
    (b":path", b"/lookup"),
]


class Workload(enum.Enum):
    """Workload of a calling process."""

    HANDSHAKES = "handshakes"
    REQUESTS = "requests"
    HTTP1_REQUESTS = "http1-requests"
    """Requests straight to the backend."""
    HOLD = "hold"
    """Opens connections in two batches and keeps them open."""


@dataclass(frozen=True)
class CallerPlan:
    """The work of one calling process.

    With `through_balancer` it routes its packets to the agent `target` with a balancer's core;
    otherwise it sends them to the server `target`.
    """

    workload: Workload
    target: Endpoint
    through_balancer: bool
    seconds: float
    concurrency: int
    batches: tuple[int, ...] = ()


@dataclass(frozen=True)
class CallerResult:
    """Result of a calling process: steps completed and failed, and seconds taken."""

    completed: int
    failed: int
    seconds: float


class _BalancedTransport(asyncio.DatagramTransport):
    """Passes each datagram to a balancer's core and sends it as the core decides."""

    def __init__(self, transport: asyncio.DatagramTransport, core: BalancerCore) -> None:
        self._transport = transport
        self._core = core
        self._header = encode_header(Endpoint(*transport.get_extra_info("sockname")), VIP)

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self._transport.get_extra_info(name, default)

    def sendto(self, data: bytes | bytearray | memoryview, addr: object = None) -> None:
        outcome = self._core.handle(self._header + bytes(data), time.monotonic())
        if isinstance(outcome, Forward):
            self._transport.sendto(outcome.data, outcome.destination)

    def close(self) -> None:
        self._transport.close()


class _Caller(CallerProtocol):
    """An unmodified client, whose packets a balancer's core routes if there is one."""

    def __init__(
        self, quic: QuicConnection, core: BalancerCore | None, destination: Endpoint
    ) -> None:
        super().__init__(quic)
        self._core = core
        self._destination = (destination.host, destination.port)
        self._opened = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if self._core is not None:
            datagrams = cast(asyncio.DatagramTransport, transport)
            transport = _BalancedTransport(datagrams, self._core)
        super().connection_made(transport)

    def datagram_received(self, data: bytes | str, addr: object) -> None:
        # The client expects answers from the address that it sends to, not from the forwarding
        # process. Before `open`, only packets of an earlier flow with this port can arrive.
        if self._opened:
            super().datagram_received(data, self._destination)

    async def open(self) -> None:
        self._opened = True
        self.connect(self._destination)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await self.wait_connected()

    def end(self) -> None:
        self.close()
        if self._transport is not None:
            self._transport.close()


def run_caller(control: Connection, plan: CallerPlan) -> None:
    """Report readiness, wait for the start message, run the workload, and send the result."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_work(control, plan))


async def _work(control: Connection, plan: CallerPlan) -> None:
    opener = _ConnectionOpener(plan)
    if plan.workload is Workload.HOLD:
        await _hold(control, plan, opener)
        return
    if plan.workload is Workload.HTTP1_REQUESTS:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            await _repeat(control, plan, [lambda: _request_http1(session, plan.target)])
        return
    if plan.workload is Workload.HANDSHAKES:
        await _repeat(control, plan, [opener.complete_handshake])
        return
    connections = [await opener.open() for _ in range(CONNECTIONS)]
    await _repeat(control, plan, [_request_step(connection) for connection in connections])


async def _repeat(
    control: Connection, plan: CallerPlan, steps: list[Callable[[], Awaitable[bool]]]
) -> None:
    """Repeat the steps, `concurrency` of each at a time, for the plan's seconds."""
    control.send(None)
    control.recv()
    started = time.monotonic()
    counts = {True: 0, False: 0}

    async def loop(step: Callable[[], Awaitable[bool]]) -> None:
        while time.monotonic() - started < plan.seconds:
            counts[await step()] += 1

    await asyncio.gather(*(loop(step) for step in steps for _ in range(plan.concurrency)))
    seconds = time.monotonic() - started
    control.send(CallerResult(completed=counts[True], failed=counts[False], seconds=seconds))


async def _hold(control: Connection, plan: CallerPlan, opener: _ConnectionOpener) -> None:
    """Open each batch on a message, and report when all its connections are open."""
    held: list[_Caller] = []
    control.send(None)
    for batch in plan.batches:
        control.recv()
        for _ in range(batch):
            held.append(await opener.open())
        control.send(None)
    control.recv()
    for connection in held:
        connection.end()


class _ConnectionOpener:
    """Opens connections to the plan's target."""

    def __init__(self, plan: CallerPlan) -> None:
        self._core = agent_core(plan.target) if plan.through_balancer else None
        self._destination = VIP if plan.through_balancer else plan.target
        self._configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=["h3"],
            server_name=SERVER_NAME,
            verify_mode=ssl.CERT_NONE,
        )

    async def open(self) -> _Caller:
        """Open one connection; raises `TimeoutError` or `ConnectionError`."""
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_datagram_endpoint(
            self._make_caller, local_addr=(ANY_PORT.host, ANY_PORT.port)
        )
        await caller.open()
        return caller

    def _make_caller(self) -> _Caller:
        quic = QuicConnection(configuration=self._configuration)
        return _Caller(quic, self._core, self._destination)

    async def complete_handshake(self) -> bool:
        """Open one connection and end it; return whether it succeeded."""
        try:
            caller = await self.open()
        except (TimeoutError, ConnectionError):
            return False
        caller.end()
        return True


def _request_step(connection: _Caller) -> Callable[[], Awaitable[bool]]:
    async def ask() -> bool:
        exchange, broken = await connection.exchange(HEADERS, b"", TIMEOUT_SECONDS)
        return broken is None and exchange.status == HTTPStatus.OK

    return ask


async def _request_http1(session: aiohttp.ClientSession, backend: Endpoint) -> bool:
    async with session.get(f"http://{backend}/lookup") as response:
        await response.read()
        return response.status == HTTPStatus.OK
