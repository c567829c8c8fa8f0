"""Control links that can be cut without notice: a TCP relay in front of each replica.

Balancers, agents and other replicas reach a replica by its relay, which learns who calls from
the caller's certificate. Links are protected by mutual TLS, so the relay ends it with the
replica's certificate and goes on to the replica with the caller's. A cut holds the bytes of one
direction back and closes nothing, as a network does that loses packets: neither side is told.
What was held back goes on when the cut ends.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError
from jasperwalk.transport.certificates import tls_files_of
from jasperwalk.transport.identity import Identity, identity_of
from jasperwalk.transport.tls import LinkTls

ANY_PROCESS = "*"
CHUNK_BYTES = 64 * 1024

log = structlog.get_logger()


class Cut(msgspec.Struct, frozen=True):
    """Nothing gets from `source` to `destination`, by process names; `*` is anybody."""

    source: str
    destination: str


class CutRules:
    """The cuts that hold now."""

    def __init__(self) -> None:
        self._cuts: frozenset[Cut] = frozenset()
        self._changed = asyncio.Event()

    def replace(self, cuts: Iterable[Cut]) -> None:
        """Let these cuts hold, and no others."""
        self._cuts = frozenset(cuts)
        self._changed.set()
        self._changed = asyncio.Event()

    def is_cut(self, source: str, destination: str) -> bool:
        """Return whether bytes from `source` to `destination` are held back."""
        pairs = ((source, destination), (source, ANY_PROCESS), (ANY_PROCESS, destination))
        return any(Cut(*pair) in self._cuts for pair in pairs)

    async def wait_open(self, source: str, destination: str) -> None:
        """Wait until nothing cuts that direction."""
        while self.is_cut(source, destination):
            await self._changed.wait()


class LinkKeys:
    """The certificates of all processes, from the folder that holds them."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._loaded: dict[Identity, LinkTls] = {}

    def of(self, identity: Identity) -> LinkTls:
        """Return a process's TLS; raises `UnusableCertificate`."""
        if identity not in self._loaded:
            self._loaded[identity] = LinkTls(tls_files_of(identity, self._folder), identity)
        return self._loaded[identity]


@dataclass
class LinkRelay:
    """The relay in front of the replica `identity`: listens at `listen`, calls `target`."""

    identity: Identity
    keys: LinkKeys
    listen: Endpoint
    target: Endpoint
    rules: CutRules
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> asyncio.Server:
        """Begin to listen."""
        context = self.keys.of(self.identity).server_context()
        return await asyncio.start_server(
            self._accept, self.listen.host, self.listen.port, ssl=context
        )

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(OSError, JasperwalkError):
                await self._relay(reader, writer)
        finally:
            writer.close()

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        caller = identity_of(writer.get_extra_info("peercert"))
        replica = self.identity.name
        await self.rules.wait_open(caller.name, replica)
        replica_reader, replica_writer = await asyncio.open_connection(
            self.target.host, self.target.port, ssl=self.keys.of(caller).client_context()
        )
        try:
            to_replica = asyncio.create_task(
                self._pump(reader, replica_writer, caller.name, replica)
            )
            to_caller = asyncio.create_task(
                self._pump(replica_reader, writer, replica, caller.name)
            )
            await asyncio.wait((to_replica, to_caller), return_when=asyncio.FIRST_COMPLETED)
            for pump in (to_replica, to_caller):
                pump.cancel()
            await asyncio.gather(to_replica, to_caller, return_exceptions=True)
        finally:
            replica_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        source: str,
        destination: str,
    ) -> None:
        """Carry bytes one way until that side closes; a cut hides the closing too."""
        data = b"\0"
        while data:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            await self.rules.wait_open(source, destination)
            writer.write(data)
            await writer.drain()
