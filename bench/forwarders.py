"""The measured processes: a bare UDP forwarder and the balancer's forwarding loop."""

from __future__ import annotations

import asyncio
import enum
import socket
import time
from dataclasses import dataclass
from ipaddress import IPv4Network
from multiprocessing.connection import Connection
from typing import cast

import psutil
import uvloop

from bench.traffic import LOST_AGENT_HOST, table_entries
from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.agent_sockets import SOCKET_BUFFER_BYTES
from jasperwalk.balancer.core import BalancerCore
from jasperwalk.balancer.outcomes import Forward
from jasperwalk.balancer.receiver import RECEIVE_BYTES, DatagramReceiver
from jasperwalk.distribution.follower_table import FollowerTable

ANY_PORT = Endpoint("127.0.0.1", 0)
UNLIMITED_FLOWS_PER_SECOND = 1e9
LIMITED_FLOWS_PER_SECOND = 5_000
"""The product's default; importing its settings would add memory to the figures."""


class Command(enum.Enum):
    """Commands of the benchmark to a forwarder."""

    SNAPSHOT = "snapshot"
    STOP = "stop"


@dataclass(frozen=True)
class Snapshot:
    """State of a forwarder: datagrams handled so far, its clocks in seconds, its memory."""

    handled: int
    established: int
    new_flows: int
    wall_seconds: float
    cpu_seconds: float
    memory_bytes: int


class ReaderKind(enum.Enum):
    """Ways to read datagrams from the socket."""

    DIRECT_SOCKET = "direct-socket"
    """The product's own: `loop.add_reader` and many reads for each wake-up."""
    DATAGRAM_PROTOCOL = "datagram-protocol"
    """asyncio's datagram protocol, for comparison."""
    LIMITED = "limited"
    """The product's own, with the product's default limit on new flows."""
    LIMITED_ONE_QUEUE = "limited-one-queue"
    """The same where new flows and established ones share a queue, for comparison."""


def run_bare(control: Connection, sink: Endpoint, count: int) -> None:
    """Forward `count` datagrams with nothing but recv and sendto, for each command.

    Sends its endpoint, then a snapshot before and one after each such round.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    listener.bind((ANY_PORT.host, ANY_PORT.port))
    control.send(Endpoint(*listener.getsockname()))
    destination = (sink.host, sink.port)
    receive = listener.recv
    send = listener.sendto
    while control.recv() is Command.SNAPSHOT:
        send(receive(RECEIVE_BYTES), destination)
        control.send(_snapshot(0, 0, 0))
        for _ in range(count):
            send(receive(RECEIVE_BYTES), destination)
        control.send(_snapshot(count, count, 0))


def run_balancer_loop(control: Connection, sink: Endpoint, kind: ReaderKind) -> None:
    """Run the balancer's core and socket; send its endpoint, then a snapshot per command."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(control, sink, kind))


def make_core(
    sink: Endpoint, new_flows_per_second: float = UNLIMITED_FLOWS_PER_SECOND
) -> BalancerCore:
    """Return a core with the benchmark's table."""
    table = FollowerTable()
    lost = Endpoint(LOST_AGENT_HOST, sink.port)
    table.replace(1_000, table_entries(sink, lost=lost))
    networks = [IPv4Network("127.0.0.0/8")]
    core = BalancerCore(table, networks, new_flows_per_second, now=time.monotonic())
    core.accept_new_flows()
    return core


async def _serve(control: Connection, sink: Endpoint, kind: ReaderKind) -> None:
    limited = kind in (ReaderKind.LIMITED, ReaderKind.LIMITED_ONE_QUEUE)
    core = make_core(sink, LIMITED_FLOWS_PER_SECOND if limited else UNLIMITED_FLOWS_PER_SECOND)
    loop = asyncio.get_running_loop()
    if kind is ReaderKind.DATAGRAM_PROTOCOL:
        endpoint = await _start_protocol(core)
    else:
        separate_openings = kind is not ReaderKind.LIMITED_ONE_QUEUE
        receiver = DatagramReceiver(ANY_PORT, separate_openings=separate_openings)
        receiver.start(core)
        endpoint = receiver.endpoint
    stopped = asyncio.Event()

    def answer() -> None:
        if control.recv() is Command.STOP:
            stopped.set()
            return
        counters = core.counters
        dropped = sum(counters.dropped.values())
        handled = counters.established + counters.new_flows + counters.witnessed + dropped
        control.send(_snapshot(handled, counters.established, counters.new_flows))

    control.send(endpoint)
    loop.add_reader(control.fileno(), answer)
    await stopped.wait()


class _Protocol(asyncio.DatagramProtocol):
    """The datagram protocol of the comparison."""

    def __init__(self, core: BalancerCore) -> None:
        self._core = core
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transport has the methods of asyncio's, but does not derive from it.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        outcome = self._core.handle(data, time.monotonic())
        if isinstance(outcome, Forward) and self._transport is not None:
            self._transport.sendto(outcome.data, outcome.destination)


async def _start_protocol(core: BalancerCore) -> Endpoint:
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: _Protocol(core), local_addr=(ANY_PORT.host, ANY_PORT.port)
    )
    listener = transport.get_extra_info("socket")
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    return Endpoint(*listener.getsockname())


def _snapshot(handled: int, established: int, new_flows: int) -> Snapshot:
    return Snapshot(
        handled=handled,
        established=established,
        new_flows=new_flows,
        wall_seconds=time.perf_counter(),
        cpu_seconds=time.process_time(),
        memory_bytes=psutil.Process().memory_info().rss,
    )
