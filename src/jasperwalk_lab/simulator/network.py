"""The simulated network: datagrams and framed connections between processes.

Datagrams are lost, duplicated and delayed by a seeded random sequence. Frames of a connection
arrive in order and exactly once; losses and partitions only delay them.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from jasperwalk.addresses import Endpoint
from jasperwalk.transport.errors import ConnectFailed, ConnectionLost, RequestTimeout
from jasperwalk.transport.hello import Hello
from jasperwalk_lab.simulator.clock import SimulatedProcess

RETRANSMISSION_SECONDS = 0.2
"""Delay of a frame whose first transmission was lost."""
RESET_SECONDS = 0.001
"""Time until the kernel of a live machine resets the connections of a dead process."""
FRAME_SPACING_SECONDS = 1e-6
CUT_POLL_SECONDS = 0.1
"""Interval at which a connection checks whether a cut is over."""


@dataclass
class NetworkConditions:
    """Delays (seconds), and probabilities of loss and duplication of one message.

    The one-way delays `between_zones`, `to_clients` and `within_zone` are minima. Each message
    adds a random share of up to `jitter` times the minimum, so that datagrams are reordered.
    """

    between_zones: float
    to_clients: float
    within_zone: float = 0.0002
    jitter: float = 3.0
    loss: float = 0.0
    duplication: float = 0.0


CLIENT_ZONE = "clients"


class Network:
    """Carries all traffic between processes.

    `cuts` holds pairs of process names, sender and receiver, between which traffic is lost.
    """

    def __init__(self, random: Random, conditions: NetworkConditions) -> None:
        self.random = random
        self.conditions = conditions
        self.cuts: set[tuple[str, str]] = set()
        self.listeners: dict[Endpoint, Listener] = {}
        self.connections: defaultdict[str, list[Connection]] = defaultdict(list)

    def is_cut(self, sender: SimulatedProcess, receiver: SimulatedProcess) -> bool:
        """Tell whether the traffic from one process to the other is cut."""
        return (sender.name, receiver.name) in self.cuts

    def delay(self, sender: SimulatedProcess, receiver: SimulatedProcess) -> float:
        """Draw the one-way delay of a message, seconds."""
        zones = (sender.zone, receiver.zone)
        if CLIENT_ZONE in zones:
            base = self.conditions.to_clients
        elif zones[0] == zones[1]:
            base = self.conditions.within_zone
        else:
            base = self.conditions.between_zones
        return base * (1 + self.random.random() * self.conditions.jitter)

    def send_datagram(
        self,
        sender: SimulatedProcess,
        receiver: SimulatedProcess,
        deliver: Callable[..., Any],
        *arguments: Any,
    ) -> None:
        """Deliver one datagram after a delay, unless it is lost; it may be duplicated."""
        copies = 1 + (self.random.random() < self.conditions.duplication)
        for _ in range(copies):
            lost = self.random.random() < self.conditions.loss
            delay = self.delay(sender, receiver)
            if lost or self.is_cut(sender, receiver):
                continue
            deliver_at(delay, receiver, deliver, arguments)

    def send_once(
        self,
        sender: SimulatedProcess,
        receiver: SimulatedProcess,
        deliver: Callable[..., Any],
        *arguments: Any,
    ) -> None:
        """Deliver a message of a connection that is not modelled, unless the way is cut."""
        if not self.is_cut(sender, receiver):
            deliver_at(self.delay(sender, receiver), receiver, deliver, arguments)

    def listen(self, endpoint: Endpoint, listener: Listener) -> None:
        """Accept connections at an address; replaces any earlier listener."""
        self.listeners[endpoint] = listener

    async def connect(
        self, caller: SimulatedProcess, endpoint: Endpoint, hello: Hello, timeout_seconds: float
    ) -> Connection:
        """Open a connection, as `jasperwalk.transport.client.connect` does."""
        listener = self.listeners.get(endpoint)
        if listener is None or self._unreachable(caller, listener.process):
            await asyncio.sleep(timeout_seconds)
            raise ConnectFailed(endpoint=str(endpoint), reason="timed out")
        round_trip = self.delay(caller, listener.process) + self.delay(listener.process, caller)
        await asyncio.sleep(round_trip)
        if not listener.process.alive:
            raise ConnectFailed(endpoint=str(endpoint), reason="refused")
        if listener.process.frozen:
            await asyncio.sleep(timeout_seconds)
            raise ConnectFailed(endpoint=str(endpoint), reason="no hello")
        near, far = Connection(self, caller, None), Connection(self, listener.process, hello)
        near.other, far.other = far, near
        self.connections[caller.name].append(near)
        self.connections[listener.process.name].append(far)
        listener.process.call(listener.accept, far)
        return near

    async def accepts(
        self, caller: SimulatedProcess, endpoint: Endpoint, timeout_seconds: float
    ) -> bool:
        """Tell whether a connection would be accepted, like the client's `port_accepts`."""
        listener = self.listeners.get(endpoint)
        if listener is None or self._unreachable(caller, listener.process):
            await asyncio.sleep(timeout_seconds)
            return False
        round_trip = self.delay(caller, listener.process) + self.delay(listener.process, caller)
        await asyncio.sleep(round_trip)
        return bool(listener.process.alive)

    def process_ended(self, process: SimulatedProcess) -> None:
        """Reset the connections of a dead process, unless its machine was lost, too."""
        for connection in self.connections.pop(process.name, []):
            if not process.machine_lost:
                connection.abort()

    def _unreachable(self, one: SimulatedProcess, other: SimulatedProcess) -> bool:
        return self.is_cut(one, other) or self.is_cut(other, one)


def deliver_at(
    delay: float,
    receiver: SimulatedProcess,
    deliver: Callable[..., Any],
    arguments: tuple[Any, ...],
) -> None:
    """Call `deliver` in a process after a delay; a process that is dead by then skips it."""
    asyncio.get_running_loop().call_later(
        delay, receiver.call, deliver, *arguments, context=contextvars.Context()
    )


@dataclass(frozen=True)
class Listener:
    """A process that accepts connections, and its handler of new ones."""

    process: SimulatedProcess
    accept: Callable[[Connection], None]


class Connection:
    """One side of a connection, with the methods of `FramedConnection` that the product uses.

    Frames arrive complete and in order. A cut delays them without ending the connection. The
    end of a process resets the connection as soon as the network delivers the reset.
    """

    def __init__(self, network: Network, process: SimulatedProcess, peer: Hello | None) -> None:
        self.network = network
        self.process = process
        self.peer = peer
        self.identity = None
        """Simulated connections have no certificates."""
        self.other: Connection
        self.closed = False
        self.identity = None
        """Only set with TLS, which is not modelled."""
        self._inbox: deque[bytes] = deque()
        self._arrived = asyncio.Event()
        self._outbox: deque[bytes | None] = deque()
        self._next_arrival = 0.0
        self._resume_scheduled = False

    def limit_received_frames(self, max_frame_bytes: int) -> None:
        """Do nothing: simulated frames stay below the limit."""

    def write(self, payload: bytes) -> None:
        """Queue one frame; raise `ConnectionLost` if the connection is closed."""
        if self.closed:
            raise ConnectionLost(reason="closed on this side")
        self._outbox.append(payload)
        self._send_queued()

    async def send(self, payload: bytes) -> None:
        """Queue one frame; raise like `write`."""
        self.write(payload)
        await asyncio.sleep(0)

    async def receive(self) -> bytes:
        """Return the next frame; raise `ConnectionLost` after the last one."""
        while not self._inbox:
            if self.closed:
                raise ConnectionLost(reason="closed by the other side")
            self._arrived.clear()
            await self._arrived.wait()
        return self._inbox.popleft()

    async def receive_request(self, timeout_seconds: float) -> bytes:
        """Return the next frame; raise `RequestTimeout`, or like `receive`."""
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self.receive()
        except TimeoutError as error:
            raise RequestTimeout(timeout_seconds=timeout_seconds) from error

    def abort(self) -> None:
        """Reset the connection; frames that are still queued are discarded."""
        if not self.closed:
            self.closed = True
            self._outbox.clear()
            self._outbox.append(None)
            self._arrived.set()
            self._send_queued()

    async def close(self, timeout_seconds: float = 1.0) -> None:
        """Close the connection after the queued frames."""
        if not self.closed:
            self.closed = True
            self._outbox.append(None)
            self._arrived.set()
            self._send_queued()

    def _send_queued(self) -> None:
        """Send the queued frames in order; while the way is cut, try again periodically."""
        if self._resume_scheduled:
            return
        receiver = self.other.process
        loop = asyncio.get_running_loop()
        while self._outbox:
            if self.network.is_cut(self.process, receiver):
                self._resume_scheduled = True
                loop.call_later(
                    CUT_POLL_SECONDS, self._resume_sending, context=contextvars.Context()
                )
                return
            frame = self._outbox.popleft()
            delay = self.network.delay(self.process, receiver)
            if self.network.random.random() < self.network.conditions.loss:
                delay += RETRANSMISSION_SECONDS
            # Timers of equal times fire in an unspecified order, so arrivals are spaced.
            earliest = self._next_arrival + FRAME_SPACING_SECONDS
            self._next_arrival = max(earliest, loop.time() + delay)
            loop.call_at(self._next_arrival, self._arrive, frame, context=contextvars.Context())

    def _resume_sending(self) -> None:
        self._resume_scheduled = False
        self._send_queued()

    def _arrive(self, frame: bytes | None) -> None:
        receiver = self.other.process
        if receiver.alive:
            receiver.call(self.other.deliver, frame)
        elif not receiver.machine_lost:
            # The process has ended, and the kernel of its machine resets the connection.
            deliver_at(RESET_SECONDS, self.process, self.deliver, (None,))

    def deliver(self, frame: bytes | None) -> None:
        """Receive a frame of the other side; None is the end of the connection."""
        if frame is None:
            self.closed = True
        elif not self.closed:
            self._inbox.append(frame)
        self._arrived.set()
