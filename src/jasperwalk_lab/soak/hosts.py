"""Stand-in hosts: they announce themselves, accept or reject flows, run requests, drain, crash."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.soak.history import (
    HostColdPeriod,
    HostDrained,
    HostStarted,
    InvalidAnnouncementAccepted,
    OpeningReceived,
    RequestStarted,
    SoakHistory,
)
from jasperwalk_lab.soak.http_calls import HttpCaller
from jasperwalk_lab.soak.relays import Address, DatagramReceiver
from jasperwalk_lab.soak.wire import (
    ACK,
    FIN,
    RST,
    SYN,
    Heartbeat,
    Packet,
    SoakRoute,
    bounced,
    decode,
)

HEARTBEAT_SECONDS = 0.8
RETRY_SECONDS = 0.1
URGENT_SERVICE_SECONDS = (0.004, 0.03)
"""Shortest and longest service time of requests on the most urgent routes."""
NORMAL_SERVICE_SECONDS = (0.08, 0.16)
"""Shortest and longest service time of all other requests."""
COLD_SECONDS = 2.0
CAPACITY = 2
"""Requests that a host runs at once."""
MAX_QUEUED = 8
"""Further requests that a host queues; it answers others as not run."""
REQUEST_MARK = b"request "
ANSWER_MARK = b"answer "
NOT_RUN_MARK = b"not run "
OK_STATUS = 200


@dataclass
class HostFlow:
    """A flow at a host; `answers` are kept by request number, for copies of requests."""

    sequence: int
    is_open: bool = False
    answers: dict[int, bytes] = field(default_factory=dict)
    running: set[int] = field(default_factory=set)
    sent: int = 1


@dataclass
class HostPlace:
    """Where a host is: its own address, where it sends packets, and where it announces itself."""

    name: str
    service: str
    zone: str
    app: Endpoint
    packets: Endpoint
    calls: Endpoint


@dataclass
class SoakHost:
    """One start of a host, ended by a crash. A later start may have the same ID, but not the state.

    `start_id` identifies the start in the history, as several starts may share a `host_id`.
    """

    place: HostPlace
    number: int
    generation: int
    clock: Callable[[], float]
    history: SoakHistory
    route_of: Callable[[Endpoint], SoakRoute]
    rng: random.Random
    is_cold: bool = True
    rejects_openings: bool = False
    service_time_factor: float = 1.0
    """Factor on its service times."""
    is_draining: bool = False
    flows: dict[tuple[Endpoint, Endpoint], HostFlow] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Identify this start."""
        self.host_id = f"i-{self.place.name}-{self.number}"
        self.start_id = f"{self.host_id}.{self.generation}"
        self.started_unix_ms = 0
        self._caller = HttpCaller()
        self.is_alive = False
        self.started_at = 0.0
        self.cold_until = 0.0
        self._calls = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._announcing: asyncio.Task[None] | None = None
        self._running_requests: set[asyncio.Task[None]] = set()
        self._slots = asyncio.Semaphore(CAPACITY)

    async def start(self) -> None:
        """Listen, and announce the host periodically; raises `OSError`."""
        place, loop = self.place, asyncio.get_running_loop()
        self._server = await asyncio.start_server(_refuse_call, place.app.host, place.app.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self._receive), local_addr=(place.app.host, place.app.port)
        )
        self.is_alive = True
        self.started_at = self.clock()
        self.started_unix_ms = round(1000 * time.time())
        self.history.hosts_began.append(
            HostStarted(self.started_at, place.name, self.start_id, place.service)
        )
        if self.is_cold:
            self.go_cold()
        self._announcing = asyncio.create_task(self._announce_again())

    def go_cold(self) -> None:
        """Count as cold from now on, as after a start; the host keeps its flows."""
        now = self.clock()
        self.cold_until = now + COLD_SECONDS
        self.history.cold.append(HostColdPeriod(self.start_id, now, self.cold_until))

    async def crash(self) -> None:
        """End at once, without an announcement; all state is lost."""
        self.is_alive = False
        for task in (self._announcing, *self._running_requests):
            if task is not None:
                task.cancel()
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        self._caller.close()
        await asyncio.sleep(0)

    async def drain(self, seconds: float) -> None:
        """Announce that the host drains, go on serving for a while, deregister and end."""
        self.is_draining = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not await self._announce():
                    await asyncio.sleep(RETRY_SECONDS)
        await asyncio.sleep(seconds)
        await self._caller.call(self.place.calls, "DELETE", f"/instances/{self.host_id}")
        await self.crash()

    async def _announce_again(self) -> None:
        while True:
            taken = await self._announce()
            pause = HEARTBEAT_SECONDS * self.rng.uniform(0.8, 1.2) if taken else RETRY_SECONDS
            await asyncio.sleep(pause)

    async def _announce(self) -> bool:
        self._calls += 1
        is_draining = self.is_draining
        heartbeat = self._heartbeat()
        answer = await self._caller.call(
            self.place.calls, "PUT", heartbeat.path(), heartbeat.body()
        )
        is_acknowledged = answer.status == OK_STATUS
        if is_acknowledged and is_draining and self.is_alive:
            self._record_drained()
        return is_acknowledged

    def _heartbeat(self) -> Heartbeat:
        left = max(0.0, self.cold_until - self.clock())
        return Heartbeat(
            host_id=self.host_id,
            service=self.place.service,
            address=self.place.app,
            zone=self.place.zone,
            capacity=CAPACITY,
            is_draining=self.is_draining,
            cold_seconds=left,
            call_number=self._calls,
            started_unix_ms=self.started_unix_ms,
        )

    async def announce_late(self, is_draining: bool) -> None:
        """Deliver a call as if the host had sent it before it crashed."""
        self._calls += 1
        self.is_draining = is_draining
        heartbeat = self._heartbeat()
        caller = HttpCaller()
        await caller.call(self.place.calls, "PUT", heartbeat.path(), heartbeat.body())
        caller.close()

    async def announce_invalid(self) -> None:
        """Send invalid announcements under this host's ID; record those that are acknowledged."""
        heartbeat = self._heartbeat()
        for body in heartbeat.invalid_bodies():
            answer = await self._caller.call(self.place.calls, "PUT", heartbeat.path(), body)
            if answer.status == OK_STATUS:
                taken = InvalidAnnouncementAccepted(self.clock(), self.place.name, body[:200])
                self.history.unusable_taken.append(taken)

    def _record_drained(self) -> None:
        if all(each.host_id != self.start_id for each in self.history.drained):
            self.history.drained.append(HostDrained(self.clock(), self.start_id))

    # Packets

    def _receive(self, datagram: bytes, _address: Address) -> None:
        packet = decode(datagram)
        if packet is None or not self.is_alive:
            return
        key = (packet.source, packet.target)
        if packet.flags & SYN:
            self._handle_opening(key, packet, datagram)
            return
        flow = self.flows.get(key)
        if flow is None or not self._follows_handshake(flow, packet):
            self._send(bounced(datagram))
            return
        flow.is_open = True
        if packet.flags & (FIN | RST):
            del self.flows[key]
        elif packet.data:
            self._handle_request(key, flow, packet)

    def _follows_handshake(self, flow: HostFlow, packet: Packet) -> bool:
        """Tell whether the flow is open or the packet follows this host's opening answer."""
        return flow.is_open or (packet.acknowledged - flow.sequence) % 2**32 < 2**16

    def _handle_opening(
        self, key: tuple[Endpoint, Endpoint], packet: Packet, datagram: bytes
    ) -> None:
        route = self.route_of(packet.target)
        opening = OpeningReceived(
            self.clock(),
            self.start_id,
            self.place.service,
            route.service,
            self.place.zone,
            flow_name(packet.source, packet.target),
            route.priority,
        )
        self.history.openings.append(opening)
        if self.rejects_openings:
            self._send(bounced(datagram))
            return
        flow = self.flows.get(key)
        if flow is None:
            flow = self.flows[key] = HostFlow(self.rng.randrange(2**32))
        self._answer(key, flow.sequence, packet.sequence + 1, SYN | ACK, b"")

    def _handle_request(
        self, key: tuple[Endpoint, Endpoint], flow: HostFlow, packet: Packet
    ) -> None:
        number = packet.sequence
        if number in flow.answers:
            self._answer_request(key, flow, packet, flow.answers[number])
        elif number not in flow.running:
            if len(self._running_requests) >= CAPACITY + MAX_QUEUED:
                flow.answers[number] = NOT_RUN_MARK + _request_id(packet).encode()
                self._answer_request(key, flow, packet, flow.answers[number])
                return
            flow.running.add(number)
            task = asyncio.create_task(self._run(key, flow, packet))
            self._running_requests.add(task)
            task.add_done_callback(self._running_requests.discard)

    async def _run(self, key: tuple[Endpoint, Endpoint], flow: HostFlow, packet: Packet) -> None:
        request_id, route = _request_id(packet), self.route_of(packet.target)
        async with self._slots:
            run = RequestStarted(
                self.clock(),
                request_id,
                self.start_id,
                self.place.service,
                route.service,
                flow_name(*key),
            )
            self.history.runs.append(run)
            shortest, longest = NORMAL_SERVICE_SECONDS if route.priority else URGENT_SERVICE_SECONDS
            await asyncio.sleep(self.service_time_factor * self.rng.uniform(shortest, longest))
        answer = ANSWER_MARK + request_id.encode() + b" " + self.host_id.encode()
        flow.answers[packet.sequence] = answer
        self._answer_request(key, flow, packet, answer)

    def _answer_request(
        self, key: tuple[Endpoint, Endpoint], flow: HostFlow, packet: Packet, answer: bytes
    ) -> None:
        acknowledged = packet.sequence + len(packet.data)
        self._answer(key, flow.sequence + 1, acknowledged, ACK, answer)

    def _answer(
        self,
        key: tuple[Endpoint, Endpoint],
        sequence: int,
        acknowledged: int,
        flags: int,
        data: bytes,
    ) -> None:
        caller, listener = key
        self._send(Packet(listener, caller, sequence, acknowledged, flags, data).encode())

    def _send(self, datagram: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (self.place.packets.host, self.place.packets.port))


def flow_name(caller: Endpoint, listener: Endpoint) -> str:
    """Return the name of a flow in the history."""
    return f"{caller}>{listener}"


def _request_id(packet: Packet) -> str:
    return packet.data.removeprefix(REQUEST_MARK).decode("ascii", "replace")


async def _refuse_call(_reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Abort the connection: an open port shows that the host runs, and no call is expected here."""
    writer.transport.abort()
