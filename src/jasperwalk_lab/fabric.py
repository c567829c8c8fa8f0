"""Stand-in of the platform's fabric: sprays callers' datagrams over the balancers.

There is one UDP socket per listener (VIP and port). Each datagram of a caller goes to a healthy
balancer chosen at random, prefixed with a PROXY protocol v2 header (source caller, destination
VIP). Agents send answers to the return endpoint with a header of source VIP and destination
caller; the fabric forwards them to the caller from the VIP's socket. Balancers are probed on their
`/healthz` page.

One-way delays: a balancer's `delay_ms` is the delay from the caller to it plus the delay between
zones that follows; `return_delay_ms` is the delay of an answer to the caller.
"""

from __future__ import annotations

import asyncio
import math
import random
import socket
from dataclasses import dataclass

import aiohttp
import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.proxy_protocol import (
    HEADER_LENGTH,
    MalformedProxyHeader,
    decode_header,
    encode_header,
)
from jasperwalk_lab.fabric_core import (
    AgentSightings,
    DelayQueue,
    FabricBalancer,
    FabricCounters,
    Sprayer,
)

BATCH = 64
"""Maximum of datagrams read from one socket before the event loop serves the others."""
MAX_DATAGRAM_BYTES = 65_535
SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
TIMER_RESOLUTION_SECONDS = 0.001
PROBE_INTERVAL_SECONDS = 0.25
PROBE_TIMEOUT_SECONDS = 1.0

log = structlog.get_logger()


@dataclass(frozen=True)
class FabricSockets:
    """Endpoints that a running fabric listens on."""

    listeners: list[Endpoint]
    return_endpoint: Endpoint


class Fabric:
    """The running fabric: sockets, delayed datagrams and probes around a `Sprayer`."""

    def __init__(self, generator: random.Random, return_delay: float) -> None:
        self.sprayer = Sprayer(generator)
        self.counters = FabricCounters()
        self.return_delay = return_delay
        self._delayed = DelayQueue()
        self._timer: asyncio.Handle | None = None
        self._timer_due = math.inf
        self._sockets: list[socket.socket] = []
        self._channels: dict[Endpoint, int] = {}
        self.agents = AgentSightings()
        self._headers: dict[tuple[int, tuple[str, int]], bytes] = {}

    def start(self, listeners: list[Endpoint], return_endpoint: Endpoint) -> FabricSockets:
        """Bind all sockets and start to read them."""
        loop = asyncio.get_running_loop()
        bound = [self._open(listener) for listener in listeners]
        for channel, listener in enumerate(bound):
            self._channels[listener] = channel
            loop.add_reader(self._sockets[channel], self._read_callers, channel, listener)
        bound_return = self._open(return_endpoint)
        loop.add_reader(self._sockets[-1], self._read_answers, self._sockets[-1])
        return FabricSockets(listeners=bound, return_endpoint=bound_return)

    def stop(self) -> None:
        """Close all sockets."""
        for udp_socket in self._sockets:
            asyncio.get_running_loop().remove_reader(udp_socket)
            udp_socket.close()
        if self._timer is not None:
            self._timer.cancel()

    async def probe_forever(self) -> None:
        """Probe every balancer's health page until cancelled."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                probes = [self._probe(session, balancer) for balancer in self.sprayer.all()]
                await asyncio.gather(*probes)
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe(self, session: aiohttp.ClientSession, balancer: FabricBalancer) -> None:
        was_in_use = balancer.in_use
        try:
            async with session.get(f"http://{balancer.admin}/healthz") as response:
                healthy = response.status == 200  # noqa: PLR2004 - HTTP 200 OK
        except (aiohttp.ClientError, TimeoutError, OSError):
            healthy = False
        self.sprayer.record_probe(balancer.name, healthy)
        if balancer.in_use != was_in_use:
            log.info("balancer_health", balancer=balancer.name, in_use=balancer.in_use)

    def _open(self, endpoint: Endpoint) -> Endpoint:
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.setblocking(False)
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
        udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        udp_socket.bind((endpoint.host, endpoint.port))
        self._sockets.append(udp_socket)
        host, port = udp_socket.getsockname()
        return Endpoint(host=host, port=port)

    def _read_callers(self, channel: int, listener: Endpoint) -> None:
        udp_socket = self._sockets[channel]
        for _ in range(BATCH):
            try:
                payload, caller = udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            self._spray(channel, listener, caller, payload)

    def _spray(
        self, channel: int, listener: Endpoint, caller: tuple[str, int], payload: bytes
    ) -> None:
        balancer = self.sprayer.choose()
        if balancer is None:
            self.counters.dropped_without_balancer += 1
            return
        if balancer.cut:
            self.counters.dropped_by_cut += 1
            return
        header = self._headers.get((channel, caller))
        if header is None:
            header = encode_header(Endpoint(host=caller[0], port=caller[1]), listener)
            self._headers[(channel, caller)] = header
        self.counters.sprayed += 1
        balancer.sent += 1
        # Sent from the return socket: a balancer's ICMP errors must not fail reads from callers.
        self._send_after(
            balancer.delay, len(self._sockets) - 1, balancer.endpoint, header + payload
        )

    def _read_answers(self, udp_socket: socket.socket) -> None:
        for _ in range(BATCH):
            try:
                datagram, agent = udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            self._return_answer(datagram, agent)

    def _return_answer(self, datagram: bytes, agent: tuple[str, int]) -> None:
        try:
            vip, caller = decode_header(datagram)
        except MalformedProxyHeader:
            self.counters.malformed += 1
            return
        channel = self._channels.get(vip)
        if channel is None:
            self.counters.malformed += 1
            return
        if agent in self.agents.cut:
            self.counters.dropped_by_cut += 1
            return
        self.agents.record_answer(caller.port, agent, asyncio.get_running_loop().time())
        self.counters.answered += 1
        self._send_after(self.return_delay, channel, caller, datagram[HEADER_LENGTH:])

    def _send_after(
        self, delay: float, channel: int, destination: Endpoint, payload: bytes
    ) -> None:
        if delay <= 0:
            self._send(channel, destination, payload)
            return
        self._delayed.put(asyncio.get_running_loop().time() + delay, channel, destination, payload)
        self._start_timer()

    def _start_timer(self) -> None:
        due = self._delayed.next_due()
        if due is None or due >= self._timer_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = due
        self._timer = asyncio.get_running_loop().call_at(due, self._send_due)

    def _send_due(self) -> None:
        self._timer = None
        self._timer_due = math.inf
        # uvloop's timers have a resolution of 1 ms: also send what is due within half of that.
        latest = asyncio.get_running_loop().time() + TIMER_RESOLUTION_SECONDS / 2
        for datagram in self._delayed.take_due(latest):
            self._send(datagram.channel, datagram.destination, datagram.payload)
        self._start_timer()

    def _send(self, channel: int, destination: Endpoint, payload: bytes) -> None:
        try:
            self._sockets[channel].sendto(payload, (destination.host, destination.port))
        except OSError:  # a full buffer or a closed port drops the datagram, as a network does
            return
