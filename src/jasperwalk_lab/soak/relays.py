"""Loopback relays in the links between the product's processes, which inject link faults.

Replicas and agents advertise the address of their relay. A TCP relay forwards each connection to
its replica; a UDP relay forwards datagrams to its agent from one socket per sender, so that answers
can be returned to the sender. A relay can delay or lose data, be silent in both directions or one,
or reset connections. A TCP relay can also silence its open connections for good while new ones
work.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from jasperwalk.addresses import Endpoint

CHUNK_BYTES = 64 * 1024
SILENCE_POLL_SECONDS = 0.05


@dataclass
class LinkCondition:
    """Faults that a relay applies to its traffic; `forward` is towards the process behind it."""

    loss: float = 0.0
    delay_seconds: float = 0.0
    silent_forward: bool = False
    silent_backward: bool = False

    def is_silent(self, forward: bool) -> bool:
        """Tell whether nothing gets through in that direction."""
        return self.silent_forward if forward else self.silent_backward


class TcpRelay:
    """Forwards connections from `listen` to `target`; silence holds data back and closes none."""

    def __init__(self, listen: Endpoint, target: Endpoint) -> None:
        self._listen = listen
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._connection_conditions: list[LinkCondition] = []
        """The condition of each open connection alone, in addition to `condition`."""
        self.condition = LinkCondition()

    async def start(self) -> None:
        """Start to listen; raises `OSError`."""
        self._server = await asyncio.start_server(
            self._accept, self._listen.host, self._listen.port
        )

    async def close(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()
        while self._connection_conditions:
            await asyncio.sleep(SILENCE_POLL_SECONDS)

    def reset(self) -> None:
        """Reset every connection, also those that were silenced."""
        for own_condition in self._connection_conditions:
            own_condition.silent_forward = own_condition.silent_backward = False
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open_connections(self, forward: bool = True, backward: bool = True) -> None:
        """Silence the open connections in these directions, without closing them."""
        for own_condition in self._connection_conditions:
            own_condition.silent_forward |= forward
            own_condition.silent_backward |= backward

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._target.host, self._target.port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        own_condition = LinkCondition()
        self._connection_conditions.append(own_condition)
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, own_condition, forward=True)),
            asyncio.create_task(self._pump(far_reader, writer, own_condition, forward=False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            self._writers -= {writer, far_writer}
            self._connection_conditions = [
                each for each in self._connection_conditions if each is not own_condition
            ]
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own_condition: LinkCondition,
        forward: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.condition.delay_seconds:
                    await asyncio.sleep(self.condition.delay_seconds)
                while self.condition.is_silent(forward) or own_condition.is_silent(forward):
                    await asyncio.sleep(SILENCE_POLL_SECONDS)
                writer.write(data)
                await writer.drain()
        while own_condition.is_silent(forward):
            await asyncio.sleep(SILENCE_POLL_SECONDS)


Address = tuple[str, int]
"""Address of a socket as asyncio has it: host and port."""


class DatagramReceiver(asyncio.DatagramProtocol):
    """Datagram protocol that passes datagrams to a callback and ignores unreachable peers."""

    def __init__(self, receive: Callable[[bytes, Address], None]) -> None:
        self._receive = receive

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Pass a datagram to the callback."""
        self._receive(data, address)


@dataclass
class UdpRelay:
    """Forwards datagrams from `listen` to the agent at `target`, from sockets at `source_host`."""

    listen: Endpoint
    target: Endpoint
    source_host: str
    rng: random.Random
    condition: LinkCondition = field(default_factory=LinkCondition)
    _front: asyncio.DatagramTransport | None = None
    _clients: dict[Address, asyncio.DatagramTransport] = field(default_factory=dict)
    _pending: dict[Address, list[bytes]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Bind; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._front, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(self.forward_to_target),
            local_addr=(self.listen.host, self.listen.port),
        )

    def close(self) -> None:
        """Close every socket."""
        for transport in (self._front, *self._clients.values()):
            if transport is not None:
                transport.close()

    def forward_to_target(self, data: bytes, client: Address) -> None:
        """Forward a datagram to the agent."""
        transport = self._clients.get(client)
        if transport is not None:
            self._forward(True, lambda: transport.sendto(data))
            return
        waiting = self._pending.setdefault(client, [])
        waiting.append(data)
        if len(waiting) == 1:
            task = asyncio.ensure_future(self._open(client))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _open(self, client: Address) -> None:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(lambda data, _: self.forward_to_client(data, client)),
            local_addr=(self.source_host, 0),
            remote_addr=(self.target.host, self.target.port),
        )
        self._clients[client] = transport
        for data in self._pending.pop(client, []):
            self._forward(True, lambda one=data: transport.sendto(one))  # type: ignore[misc]

    def forward_to_client(self, data: bytes, client: Address) -> None:
        """Forward the agent's answer to its client."""
        front = self._front
        if front is not None:
            self._forward(False, lambda: front.sendto(data, client))

    def _forward(self, forward: bool, send: Callable[[], None]) -> None:
        condition = self.condition
        if condition.is_silent(forward) or self.rng.random() < condition.loss:
            return
        if condition.delay_seconds:
            asyncio.get_running_loop().call_later(condition.delay_seconds, send)
        else:
            send()
