"""Control links that can be cut silently: a TCP relay in front of each replica.

Balancers, agents and other replicas connect to a replica through its relay, which identifies the
caller by its certificate. Links use mutual TLS, so the relay terminates it with the replica's
certificate and connects to the replica with the caller's. A cut holds back the bytes of one
direction and closes nothing, like a network that loses packets: neither side is notified. The bytes
are forwarded when the cut ends.
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
    """Nothing gets from `source` to `destination`: process names, or `*` for any process."""

    source: str
    destination: str


class CutRules:
    """The cuts in effect."""

    def __init__(self) -> None:
        self._cuts: frozenset[Cut] = frozenset()
        self._changed = asyncio.Event()

    def replace(self, cuts: Iterable[Cut]) -> None:
        """Replace all cuts in effect by these."""
        self._cuts = frozenset(cuts)
        self._changed.set()
        self._changed = asyncio.Event()

    def is_cut(self, source: str, destination: str) -> bool:
        """Return whether bytes from `source` to `destination` are held back."""
        pairs = ((source, destination), (source, ANY_PROCESS), (ANY_PROCESS, destination))
        return any(Cut(*pair) in self._cuts for pair in pairs)

    async def wait_open(self, source: str, destination: str) -> None:
        """Wait until that direction is not cut."""
        while self.is_cut(source, destination):
            await self._changed.wait()


class LinkKeys:
    """TLS of all processes, loaded from the folder with their certificates when first used."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._loaded: dict[Identity, LinkTls] = {}

    def of(self, identity: Identity) -> LinkTls:
        """Return a process's TLS; raise `UnusableCertificate`."""
        if identity not in self._loaded:
            self._loaded[identity] = LinkTls(tls_files_of(identity, self._folder), identity)
        return self._loaded[identity]


@dataclass
class LinkRelay:
    """The relay in front of the replica `identity`: listens at `listen`, connects to `target`."""

    identity: Identity
    keys: LinkKeys
    listen: Endpoint
    target: Endpoint
    rules: CutRules
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> asyncio.Server:
        """Start to listen."""
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
        """Forward bytes in one direction until its source closes; a cut delays the closing too."""
        data = b"\0"
        while data:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                data = b""
            await self.rules.wait_open(source, destination)
            writer.write(data)
            await writer.drain()
