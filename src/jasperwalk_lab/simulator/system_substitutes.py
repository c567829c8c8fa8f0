"""Where the product meets the operating system, and what the simulator puts there.

Each seam is a name in one product module: a socket, a disk, a clock, a source of randomness,
or QUIC's cryptography. Everything between the seams is the product's own code, unchanged.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import secrets
import sys
import time
import types
import uuid
from collections.abc import Awaitable, Callable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from aioquic.quic.configuration import QuicConfiguration

from jasperwalk.addresses import Endpoint
from jasperwalk.agent import endpoint as agent_endpoint
from jasperwalk.agent import ports as agent_ports
from jasperwalk.agent import process as agent_process
from jasperwalk.agent.datagram_port import DatagramPort
from jasperwalk.agent.endpoint import AgentEndpoint
from jasperwalk.balancer import process as balancer_process
from jasperwalk.balancer.outcomes import Forward
from jasperwalk.balancer.receiver import DatagramHandler
from jasperwalk.consensus.config import RaftConfig
from jasperwalk.consensus.durable import DurableState, PersistBatch
from jasperwalk.control import raft_runner, replica
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.errors import JasperwalkError
from jasperwalk.membership.platform import PlatformList
from jasperwalk.observability.admin import AdminServer
from jasperwalk.transport import client as transport_client
from jasperwalk.transport.hello import ConnectionKind, Hello
from jasperwalk.transport.server import FramedServer
from jasperwalk_lab.simulator.backend import ModelBackend
from jasperwalk_lab.simulator.clock import ProcessClock, current_process
from jasperwalk_lab.simulator.model_flow import ModelConnection, ModelHttp
from jasperwalk_lab.simulator.network import Connection, Listener

PRODUCT_PREFIX = "jasperwalk."
NANOSECONDS_PER_SECOND = 1_000_000_000
CONNECT_TIMEOUT_SECONDS = 2.0
TRAILING_ENTRIES = 20
"""Entries kept below a snapshot: few, so that whoever was away needs a snapshot."""


async def connect(
    endpoint: Endpoint,
    hello: Hello,
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    tls: object = None,
    **_: object,
) -> Connection:
    """Open a simulated connection."""
    process = current_process()
    network = process.world.network
    opened: Connection = await network.connect(process, endpoint, hello, connect_timeout_seconds)
    return opened


async def port_accepts(endpoint: Endpoint, timeout_seconds: float) -> bool:
    """Tell whether a simulated connection could be opened."""
    process = current_process()
    accepts: bool = await process.world.network.accepts(process, endpoint, timeout_seconds)
    return accepts


class SimulatedServer:
    """Stands in for `FramedServer`."""

    def __init__(
        self,
        endpoint: Endpoint,
        hello: Hello,
        handlers: Mapping[ConnectionKind, Callable[[Any], Awaitable[None]]],
        **_: object,
    ) -> None:
        self.endpoint = endpoint
        self._handlers = dict(handlers)
        self._process = current_process()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Take connections."""
        listener = Listener(self._process, self._accept)
        self._process.world.network.listen(self.endpoint, listener)

    async def close(self) -> None:
        """Take none any more and end those that stand."""
        self._process.world.network.listeners.pop(self.endpoint, None)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _accept(self, connection: Connection) -> None:
        task = asyncio.ensure_future(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, connection: Connection) -> None:
        try:
            if connection.peer is not None:
                await self._handlers[connection.peer.kind](connection)
        except JasperwalkError:
            pass
        except asyncio.CancelledError:
            connection.abort()
            raise
        await connection.close()


class SimulatedStorage:
    """Stands in for `FileStorage`: the disk of the replica that is starting."""

    def __init__(
        self, folder: Path, cluster_id: str, replica_id: int, new_disk_id: str, **_: object
    ) -> None:
        self._disk = current_process().world.disk(replica_id, new_disk_id)

    def load(self) -> DurableState:
        """Read the disk."""
        loaded: DurableState = self._disk.load()
        return loaded

    def begin(self, batch: PersistBatch) -> None:
        """Begin to write a batch."""
        self._disk.write(batch)

    def persist(self, batch: PersistBatch) -> None:
        """Sync the batch; `VirtualLoop.run_in_executor` has let the disk's time pass."""
        self._disk.sync()

    def close(self) -> None:
        """Close the files."""


class SimulatedPoller:
    """Stands in for `PlatformPoller`: reads the simulated platform's lagging list."""

    def __init__(self, url: str, interval_seconds: float) -> None:
        self._interval_seconds = interval_seconds
        self._latest: PlatformList | None = None
        self.enabled = False

    def take(self) -> PlatformList | None:
        """Return the list fetched since the last call."""
        latest, self._latest = self._latest, None
        return latest

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if self.enabled:
                self._latest = current_process().world.platform.fetch()
            await asyncio.sleep(self._interval_seconds)


class SimulatedReceiver:
    """Stands in for the balancer's `DatagramReceiver`."""

    def __init__(self, listen: Endpoint) -> None:
        self.endpoint = listen
        self.send_failures = 0
        self._process = current_process()

    def start(self, handler: DatagramHandler) -> None:
        """Take datagrams from now on."""
        process = self._process

        def take(data: bytes) -> None:
            outcome = handler.handle(data, process.now())
            if isinstance(outcome, Forward):
                host, port = outcome.destination
                process.world.send_datagram(process, Endpoint(host, port), outcome.data)

        process.world.receivers[self.endpoint] = (process, take)

    def stop(self) -> None:
        """Take none any more."""
        self._process.world.receivers.pop(self.endpoint, None)


class SimulatedTransport:
    """Stands in for the transport of an agent's datagram socket."""

    def __init__(self) -> None:
        self._process = current_process()

    def is_closing(self) -> bool:
        """Tell whether the socket is closed."""
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send one datagram."""
        self._process.world.send_datagram(self._process, Endpoint(*address), data)

    def close(self) -> None:
        """Close the socket."""


async def open_datagram_port(
    endpoint: AgentEndpoint, listen: Endpoint, fabric: Endpoint
) -> tuple[DatagramPort, Endpoint]:
    """Open an agent's forwarding port."""
    port = DatagramPort(endpoint, fabric)
    transport: Any = SimulatedTransport()
    port.connection_made(transport)
    process = current_process()

    def take(data: bytes) -> None:
        port.datagram_received(data, ("", 0))

    process.world.receivers[listen] = (process, take)
    return port, listen


class NoAdminServer:
    """Stands in for `AdminServer`; nobody scrapes a simulated process."""

    def __init__(self, endpoint: Endpoint, *_: object) -> None:
        self.endpoint = endpoint

    async def __aenter__(self) -> NoAdminServer:
        """Do nothing."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Do nothing."""


class RecordingFollowerRunner(FollowerRunner):
    """The product's follower runner, which also tells the world of every revision."""

    def __init__(
        self,
        core: Any,
        cluster_id: str,
        on_table_change: Callable[[Any], None],
        on_replaced: Callable[[str], None] | None = None,
        **options: Any,
    ) -> None:
        process = current_process()

        def changed(table: Any) -> None:
            process.world.table_changed(process, table)
            on_table_change(table)

        options["clock"] = ProcessClock.monotonic
        super().__init__(core, cluster_id, changed, on_replaced, **options)
        process.world.follower_started(process, core)


def _stop_event() -> asyncio.Event:
    event = asyncio.Event()
    process = current_process()
    process.world.stop_events[process.name] = event
    return event


def _plain_configuration(*_: str) -> QuicConfiguration:
    return QuicConfiguration(is_client=False)


def _random_bytes(count: int) -> bytes:
    return current_process().random.randbytes(count)


def _random_bits(count: int) -> int:
    return current_process().random.getrandbits(count)


def _seeded(*_: object) -> Random:
    return Random(current_process().random.random())


class NoCertificateRenewal:
    """Stands in for `CertificateRenewal`; the model of QUIC has no certificates."""

    def __init__(self, *_: object) -> None:
        """Take the arguments of the original."""

    async def run(self, _: object) -> None:
        """Do nothing."""


def _module_wide_substitutes() -> list[tuple[Any, Any]]:
    """Return what is replaced under every name of every product module: original, stand-in."""
    clock = types.SimpleNamespace(
        monotonic=ProcessClock.monotonic,
        time=ProcessClock.monotonic,
        time_ns=lambda: int(ProcessClock.monotonic() * NANOSECONDS_PER_SECOND),
    )
    seeded_secrets = types.SimpleNamespace(
        token_bytes=_random_bytes,
        token_hex=lambda count: _random_bytes(count).hex(),
        randbits=_random_bits,
    )
    unique = types.SimpleNamespace(uuid4=lambda: types.SimpleNamespace(hex=_random_bytes(16).hex()))
    return [
        (time, clock),
        (secrets, seeded_secrets),
        (uuid, unique),
        (transport_client.connect, connect),
        (transport_client.port_accepts, port_accepts),
        (FramedServer, SimulatedServer),
        (AdminServer, NoAdminServer),
        (FollowerRunner, RecordingFollowerRunner),
    ]


def _module_wide_patch_points() -> list[tuple[Any, str, Any]]:
    substitutes = {id(original): substitute for original, substitute in _module_wide_substitutes()}
    modules = [
        module for name, module in sorted(sys.modules.items()) if name.startswith(PRODUCT_PREFIX)
    ]
    return [
        (module, name, substitutes[id(value)])
        for module in modules
        for name, value in vars(module).items()
        if id(value) in substitutes
    ]


def _patch_points() -> list[tuple[Any, str, Any]]:
    random = types.SimpleNamespace(SystemRandom=_seeded, Random=_seeded)
    return [
        *_module_wide_patch_points(),
        (agent_process, "random", random),
        (balancer_process, "random", random),
        (replica, "PlatformPoller", SimulatedPoller),
        (replica, "RaftConfig", functools.partial(RaftConfig, trailing_entries=TRAILING_ENTRIES)),
        (raft_runner, "FileStorage", SimulatedStorage),
        (balancer_process, "DatagramReceiver", SimulatedReceiver),
        (agent_ports, "open_datagram_port", open_datagram_port),
        (agent_process, "Backend", ModelBackend),
        (agent_process, "CertificateRenewal", NoCertificateRenewal),
        (agent_process, "server_configuration", _plain_configuration),
        (agent_process, "stop_event", _stop_event),
        (agent_process, "os", types.SimpleNamespace(urandom=_random_bytes)),
        (agent_endpoint, "RoutableServerConnection", ModelConnection),
        (agent_endpoint, "Http3Flow", ModelHttp),
    ]


@dataclass(frozen=True)
class Replacement:
    """One name of one module or class, and what stands there while a run lasts."""

    owner: Any
    name: str
    substitute: Any


@contextlib.contextmanager
def replaced(replacements: list[Replacement]) -> Iterator[None]:
    """Put stand-ins in place, and the originals back at the end."""
    originals = [(each.owner, each.name, each.owner.__dict__[each.name]) for each in replacements]
    try:
        for each in replacements:
            setattr(each.owner, each.name, each.substitute)
        yield
    finally:
        for owner, name, original in reversed(originals):
            setattr(owner, name, original)


def system_replacements() -> list[Replacement]:
    """Return the seams of a run."""
    return [Replacement(owner, name, substitute) for owner, name, substitute in _patch_points()]
