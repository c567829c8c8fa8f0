"""Stand-in callers and the router in front of the balancers.

The router polls the readiness of every balancer twice a second and takes it out after two missed
polls. It picks a balancer by rendezvous hash of the flow, as the users' routers do: only the flows
of a lost balancer move. An open flow stays on its balancer until that process is gone, also while
it stops. Callers open flows, repeat requests until they are answered, and record how each ended.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.soak.history import (
    FlowRequested,
    OpenFlowReset,
    RequestEnded,
    RequestOutcome,
    RequestRefused,
    SoakHistory,
)
from jasperwalk_lab.soak.hosts import (
    ANSWER_MARK,
    NOT_RUN_MARK,
    REQUEST_MARK,
    SoakHost,
    flow_name,
)
from jasperwalk_lab.soak.http_calls import HttpCaller
from jasperwalk_lab.soak.relays import Address, DatagramReceiver
from jasperwalk_lab.soak.wire import (
    ACK,
    FIN,
    READY_PATH,
    RST,
    SYN,
    Packet,
    SoakRoute,
    decode,
)

READY_POLL_SECONDS = 0.5
MAX_MISSED_POLLS = 2
OPENING_SEND_SECONDS = (0.0, 0.2, 0.6)
"""When an opening packet and its copies are sent, counted from the first one."""
OPENING_TIMEOUT_SECONDS = 1.4
REQUEST_SEND_PAUSES_SECONDS = (0.0, 0.2, 0.4, 0.8)
"""Pauses before a request and its copies are sent."""
REQUEST_TIMEOUT_SECONDS = 2.5
MAX_TRIES = 3
FIRST_PORT = 10_000
LAST_PORT = 60_000
OK_STATUS = 200


@dataclass
class BalancerPlace:
    """Where a balancer receives callers' packets, and where its readiness is read."""

    name: str
    callers: Endpoint
    ready: Endpoint
    zone: str = ""


@dataclass
class Router:
    """Chooses the balancer for each packet."""

    balancers: list[BalancerPlace]
    exists: Callable[[str], bool]
    """Whether a balancer's process exists, also while it stops."""
    _misses: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Prepare the calls."""
        self._caller = HttpCaller()

    async def run(self) -> None:
        """Poll the balancers until cancelled."""
        while True:
            await asyncio.gather(*(self._poll(each) for each in self.balancers))
            await asyncio.sleep(READY_POLL_SECONDS)

    async def _poll(self, place: BalancerPlace) -> None:
        answer = await self._caller.call(place.ready, "GET", READY_PATH, seconds=READY_POLL_SECONDS)
        is_ready = answer.status == OK_STATUS
        self._misses[place.name] = 0 if is_ready else self._misses.get(place.name, 0) + 1

    def choose(self, key: bytes, last: BalancerPlace | None, zone: str = "") -> BalancerPlace:
        """Return the balancer of a flow, out of those that are ready, or of all if none is.

        `last` is the balancer of an open flow. Callers in a zone use its balancers, and others
        only where none of the zone is ready.
        """
        if last is not None and self.exists(last.name):
            return last
        reachable = [
            each for each in self.balancers if self._misses.get(each.name, 0) < MAX_MISSED_POLLS
        ]
        same_zone = [each for each in reachable if zone in ("", each.zone)]
        places = same_zone or reachable or self.balancers
        return max(places, key=lambda each: crc32(key + each.name.encode()))


@dataclass
class CallerFlow:
    """State of a flow at its caller."""

    endpoint: Endpoint
    listener: Endpoint
    sequence: int
    zone: str = ""
    """Where the caller is, empty where it may reach every balancer."""
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    acknowledged: int | None = None
    """Number after the host's answer to the opening packet, None before the answer."""
    was_reset: bool = False
    balancer: BalancerPlace | None = None
    """The balancer of the open flow, None while it is not open."""
    answer: bytes = b""
    expected: int = 0
    """Number that acknowledges the current request; answers to earlier ones have a lower one."""

    def key(self) -> bytes:
        """Return the bytes that the router hashes."""
        return self.endpoint.pack() + self.listener.pack()

    def name(self) -> str:
        """Return the name of the flow in the history."""
        return flow_name(self.endpoint, self.listener)


class Callers:
    """Runs all callers; `hosts` returns the running hosts, to find the host of a reset flow."""

    def __init__(
        self,
        address: Endpoint,
        router: Router,
        clock: Callable[[], float],
        history: SoakHistory,
        hosts: Callable[[], list[SoakHost]],
        route_of: Callable[[Endpoint], SoakRoute],
        rng: random.Random,
    ) -> None:
        """`address` is where balancers and agents send packets for callers."""
        self._address = address
        self._router = router
        self._clock = clock
        self._history = history
        self._hosts = hosts
        self._route_of = route_of
        self._rng = rng
        self._flows: dict[tuple[Endpoint, Endpoint], CallerFlow] = {}
        self._next_port = FIRST_PORT
        self._next_request = 0
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Bind; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self._receive),
            local_addr=(self._address.host, self._address.port),
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    async def request_repeatedly(self, listener: Endpoint, pause: float) -> None:
        """Send requests on one flow until cancelled; a lost flow is opened again."""
        flow: CallerFlow | None = None
        while True:
            flow = await self._request(listener, flow, is_last=False)
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.5))

    async def request_once(self, listener: Endpoint, zone: str = "") -> None:
        """Open a flow for one request."""
        await self._request(listener, None, is_last=True, zone=zone)

    async def _request(
        self, listener: Endpoint, flow: CallerFlow | None, is_last: bool, zone: str = ""
    ) -> CallerFlow | None:
        """Send a request until it is answered or tries run out; return the flow if it is open."""
        self._next_request += 1
        request_id = f"q{self._next_request}"
        began_at = self._clock()
        outcome = RequestOutcome.GIVEN_UP
        for attempt in range(MAX_TRIES):
            # Every further try has an ID of its own: the first may have run.
            attempt_id = request_id if attempt == 0 else f"{request_id}.{attempt}"
            flow = flow or await self._open(listener, attempt_id, zone)
            if flow is None:
                continue
            if await self._send_request(flow, attempt_id, is_last):
                if not flow.answer.startswith(NOT_RUN_MARK):
                    self._record_ended(
                        began_at, attempt_id, RequestOutcome.ANSWERED, _answered_id(flow)
                    )
                    return None if is_last else flow
                self._record_refused(flow, attempt_id, is_by_host=True)
                outcome = RequestOutcome.REFUSED
            elif flow.was_reset:
                outcome = RequestOutcome.FLOW_RESET
            self._forget(flow)
            flow = None
        self._record_ended(began_at, request_id, outcome, "")
        return None

    def _record_ended(
        self, began_at: float, name: str, outcome: RequestOutcome, answered: str
    ) -> None:
        ended = RequestEnded(began_at, self._clock(), name, outcome, answered)
        self._history.requests.append(ended)

    def _record_refused(self, flow: CallerFlow, request_id: str, is_by_host: bool) -> None:
        route = self._route_of(flow.listener)
        refused = RequestRefused(
            self._clock(), request_id, flow.name(), route.service, route.priority, is_by_host
        )
        self._history.refused.append(refused)

    async def _open(self, listener: Endpoint, request_id: str, zone: str) -> CallerFlow | None:
        endpoint = Endpoint(self._address.host, self._next_port)
        self._next_port = FIRST_PORT if self._next_port >= LAST_PORT else self._next_port + 1
        flow = CallerFlow(endpoint, listener, self._rng.randrange(2**31), zone)
        self._flows[(endpoint, listener)] = flow
        began_at = self._clock()
        self._history.asked.append(FlowRequested(began_at, flow.name()))
        for copy, at in enumerate((*OPENING_SEND_SECONDS, OPENING_TIMEOUT_SECONDS)):
            await self._wait(flow, began_at + at - self._clock())
            if flow.acknowledged is not None:
                return flow
            if flow.was_reset or at == OPENING_TIMEOUT_SECONDS:
                break
            self._send(flow, Packet(endpoint, listener, flow.sequence, copy, SYN))
        if flow.was_reset:
            self._record_refused(flow, request_id, is_by_host=False)
        self._forget(flow)
        return None

    async def _send_request(self, flow: CallerFlow, request_id: str, is_last: bool) -> bool:
        """Send a request until it is answered; False where the flow is lost or it times out."""
        data = REQUEST_MARK + request_id.encode()
        number = flow.sequence + 1
        flow.answer, flow.expected = b"", (number + len(data)) % 2**32
        assert flow.acknowledged is not None
        packet = Packet(flow.endpoint, flow.listener, number, flow.acknowledged, ACK, data)
        for pause in (
            *REQUEST_SEND_PAUSES_SECONDS,
            REQUEST_TIMEOUT_SECONDS - sum(REQUEST_SEND_PAUSES_SECONDS),
        ):
            await self._wait(flow, pause)
            if flow.answer or flow.was_reset:
                break
            self._send(flow, packet)
        if not flow.answer:
            return False
        flow.sequence += len(data)
        if is_last:
            ending = Packet(flow.endpoint, flow.listener, number, flow.acknowledged, ACK | FIN)
            self._send(flow, ending)
            self._forget(flow)
        return True

    async def _wait(self, flow: CallerFlow, seconds: float) -> None:
        """Wait for a packet of the flow, at most for `seconds`."""
        flow.answered.clear()
        if seconds <= 0 or flow.was_reset:
            return
        try:
            async with asyncio.timeout(seconds):
                await flow.answered.wait()
        except TimeoutError:
            return

    def _forget(self, flow: CallerFlow) -> None:
        self._flows.pop((flow.endpoint, flow.listener), None)

    def _send(self, flow: CallerFlow, packet: Packet) -> None:
        place = self._router.choose(flow.key(), flow.balancer, flow.zone)
        flow.balancer = place if flow.acknowledged is not None else None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(packet.encode(), (place.callers.host, place.callers.port))

    def _receive(self, datagram: bytes, _address: Address) -> None:
        packet = decode(datagram)
        if packet is None:
            return
        flow = self._flows.get((packet.target, packet.source))
        if flow is None:
            return
        if packet.flags & RST:
            self._record_reset(flow)
            flow.was_reset = True
        elif packet.flags & SYN:
            if flow.acknowledged is None:
                flow.acknowledged = packet.sequence + 1
        elif packet.data and packet.acknowledged == flow.expected:
            flow.answer = packet.data
        flow.answered.set()

    def _record_reset(self, flow: CallerFlow) -> None:
        """Record a reset of a flow that a running host holds open; hosts here never reset."""
        for host in self._hosts():
            held = host.flows.get((flow.endpoint, flow.listener))
            if host.is_alive and held is not None and held.is_open:
                reset = OpenFlowReset(self._clock(), flow.name(), host.start_id)
                self._history.resets.append(reset)


def _answered_id(flow: CallerFlow) -> str:
    return flow.answer.removeprefix(ANSWER_MARK).split(b" ")[0].decode("ascii", "replace")
