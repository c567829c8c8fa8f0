"""Links between control replicas: one outgoing framed TCP connection to every peer.

A link drops messages that it cannot send (not connected, or its queue is full): the consensus core
retransmits where needed, and waiting proposals have deadlines.

A connection may go silent without a reset, in one direction or both. Both sides therefore send
keepalives, and each closes a connection on which nothing has arrived for the silence limit of
`LinkTimes`; the opener then dials a new one.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.control.peer_messages import PEER_DECODER, LinkAlive
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages import codec
from jasperwalk.transport.client import CONNECT_TIMEOUT_SECONDS, connect
from jasperwalk.transport.errors import PeerSilent, TlsError
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, make_hello

if TYPE_CHECKING:
    import msgspec

    from jasperwalk.transport.tls import LinkTls

QUEUE_LIMIT_MESSAGES = 1024
RECONNECT_SECONDS = 0.2
"""Pause before a lost link is reopened."""
MAX_PAUSE_SECONDS = 5.0
"""Limit of the pause, which doubles while TLS fails: that lasts until files are repaired."""
KEEPALIVE_INTERVAL_SECONDS = 0.5
SILENCE_LIMIT_SECONDS = 3.0
"""A link on which nothing arrives for this long is closed; its opener reopens it."""

MessageHandler = Callable[[int, Any], None]
"""Receives the sender's replica ID and the message, as the decoder returns it."""


@dataclass(frozen=True)
class LinkTimes:
    """Times of a link in seconds: connecting, reconnecting, keepalives and silence."""

    connect_timeout: float = CONNECT_TIMEOUT_SECONDS
    reconnect: float = RECONNECT_SECONDS
    keepalive_interval: float = KEEPALIVE_INTERVAL_SECONDS
    silence_limit: float = SILENCE_LIMIT_SECONDS


LINK_ALIVE = codec.encode(LinkAlive())

logger = structlog.get_logger(__name__)


class PeerLink:
    """The outgoing link to one peer; `run` keeps it open until cancelled."""

    def __init__(
        self,
        endpoint: Endpoint,
        name: str,
        replica_id: int,
        cluster_id: str,
        tls: LinkTls | None = None,
        times: LinkTimes | None = None,
    ) -> None:
        self.endpoint = endpoint
        self._tls = tls
        self._times = times or LinkTimes()
        self.connected = False
        self.dropped_messages = 0
        self._hello = make_hello(ConnectionKind.PEER, name, cluster_id, replica_id)
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(maxsize=QUEUE_LIMIT_MESSAGES)
        self._redial = asyncio.Event()

    def peer_connected(self) -> None:
        """Dial at once: the peer has just opened a link of its own, so it is reachable.

        An attempt started while the peer's machine had no power would hang until its time-out,
        although the peer is back by then.
        """
        if not self.connected:
            self._redial.set()

    def send(self, payload: bytes) -> bool:
        """Queue one message; False if it was dropped."""
        if not self.connected or self._queue.full():
            self.dropped_messages += 1
            return False
        self._queue.put_nowait(payload)
        return True

    async def run(self) -> None:
        """Keep the link open."""
        pause_seconds = self._times.reconnect
        while True:
            try:
                connection = await self._connect()
                pause_seconds = self._times.reconnect
                await self._serve(connection)
            except TlsError as error:
                peer = str(self.endpoint)
                logger.warning("peer-refused", peer=peer, kind=error.kind, detail=str(error))
                pause_seconds = min(2 * pause_seconds, MAX_PAUSE_SECONDS)
                await asyncio.sleep(pause_seconds)
            except JasperwalkError as error:
                logger.debug("peer-link-lost", peer=str(self.endpoint), kind=error.kind)
                await self._pause(pause_seconds)

    async def _connect(self) -> FramedConnection:
        """Open a connection; a redial request restarts the attempt in progress."""
        while True:
            self._redial.clear()
            dialing = asyncio.create_task(
                connect(self.endpoint, self._hello, self._times.connect_timeout, self._tls)
            )
            redial_requested = asyncio.create_task(self._redial.wait())
            try:
                await asyncio.wait({dialing, redial_requested}, return_when=asyncio.FIRST_COMPLETED)
                if dialing.done():
                    return dialing.result()
            finally:
                redial_requested.cancel()
                dialing.cancel()
                await asyncio.gather(dialing, redial_requested, return_exceptions=True)

    async def _pause(self, seconds: float) -> None:
        """Wait before the next attempt, or until a redial is requested."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._redial.wait()

    async def _serve(self, connection: FramedConnection) -> None:
        """Send until the link fails; raise the failure."""
        self.connected = True
        jobs = {
            asyncio.create_task(self._send_queued(connection)),
            asyncio.create_task(_receive_until_silent(connection, self._times.silence_limit)),
        }
        try:
            done, _ = await asyncio.wait(jobs, return_when=asyncio.FIRST_COMPLETED)
            for job in done:
                job.result()
        finally:
            self.connected = False
            # Messages queued for the old connection are out of date on the next one.
            while not self._queue.empty():
                self._queue.get_nowait()
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)
            connection.abort()

    async def _send_queued(self, connection: FramedConnection) -> None:
        while True:
            await connection.send(await self._next_payload())

    async def _next_payload(self) -> bytes:
        """Return the next queued message, or a keepalive if there is none within the interval."""
        try:
            async with asyncio.timeout(self._times.keepalive_interval):
                return await self._queue.get()
        except TimeoutError:
            return LINK_ALIVE


async def _receive_until_silent(connection: FramedConnection, limit_seconds: float) -> None:
    """Receive until the link fails; raise `PeerSilent` or the failure of the connection."""
    while True:
        await _receive_within(connection, limit_seconds)


async def _receive_within(connection: FramedConnection, limit_seconds: float) -> bytes:
    """Return the next frame; raises `PeerSilent`, or as `FramedConnection.receive` does."""
    try:
        async with asyncio.timeout(limit_seconds):
            return await connection.receive()
    except TimeoutError as error:
        raise PeerSilent(limit_seconds=limit_seconds) from error


class PeerNetwork:
    """All outgoing links of one replica, and the handler of links that peers opened to it."""

    def __init__(
        self,
        name: str,
        replica_id: int,
        cluster_id: str,
        on_message: MessageHandler,
        tls: LinkTls | None = None,
        decoder: codec.Decoder[Any] = PEER_DECODER,
        times: LinkTimes | None = None,
    ) -> None:
        self._decoder = decoder
        self._times = times or LinkTimes()
        self._tls = tls
        self._name = name
        self._replica_id = replica_id
        self._cluster_id = cluster_id
        self.on_message = on_message
        self._links: dict[int, PeerLink] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._accepted: set[FramedConnection] = set()
        self.malformed_messages = 0

    def set_peers(self, peers: Mapping[int, Endpoint]) -> None:
        """Open links to new or moved peers and close those to removed peers."""
        wanted = {each: peers[each] for each in peers if each != self._replica_id}
        for replica_id in list(self._links):
            if wanted.get(replica_id) != self._links[replica_id].endpoint:
                self._close(replica_id)
        for replica_id, endpoint in wanted.items():
            if replica_id not in self._links:
                self._open(replica_id, endpoint)

    def send(self, replica_id: int, message: msgspec.Struct) -> bool:
        """Send one message to a peer; False if it was certainly not sent."""
        link = self._links.get(replica_id)
        if link is None:
            return False
        return link.send(codec.encode(message))

    def dropped_messages(self) -> int:
        """Return the number of messages dropped on the present links."""
        return sum(link.dropped_messages for link in self._links.values())

    def connected_ids(self) -> list[int]:
        """Return the IDs of the peers to which a link is connected."""
        return [each for each, link in self._links.items() if link.connected]

    async def serve(self, connection: FramedConnection) -> None:
        """Receive messages on a link that a peer opened, until it ends."""
        keepalive = asyncio.create_task(
            _send_keepalives(connection, self._times.keepalive_interval)
        )
        self._accepted.add(connection)
        self._redial_peer(connection)
        try:
            while True:
                payload = await _receive_within(connection, self._times.silence_limit)
                self._take(connection, payload)
        except PeerSilent:
            # Unsent data would only delay the close.
            connection.abort()
            raise
        finally:
            self._accepted.discard(connection)
            keepalive.cancel()

    async def close(self) -> None:
        """Close all links, including those that peers opened.

        A peer takes an open link for a replica that receives: left open, its messages would
        go to a replica that has ended, and a successor in the same process would get none.
        """
        for connection in list(self._accepted):
            connection.abort()
        tasks = list(self._tasks.values())
        for replica_id in list(self._links):
            self._close(replica_id)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _redial_peer(self, connection: FramedConnection) -> None:
        link = None if connection.peer is None else self._links.get(connection.peer.sender_id)
        if link is not None:
            link.peer_connected()

    def _take(self, connection: FramedConnection, payload: bytes) -> None:
        sender = connection.peer.sender_id if connection.peer is not None else 0
        try:
            message = self._decoder.decode(payload)
        except JasperwalkError as error:
            self.malformed_messages += 1
            logger.warning("peer-message-refused", sender=sender, detail=error.describe())
            return
        self.on_message(sender, message)

    def _open(self, replica_id: int, endpoint: Endpoint) -> None:
        link = PeerLink(
            endpoint, self._name, self._replica_id, self._cluster_id, self._tls, self._times
        )
        self._links[replica_id] = link
        self._tasks[replica_id] = asyncio.create_task(link.run())

    def _close(self, replica_id: int) -> None:
        del self._links[replica_id]
        self._tasks.pop(replica_id).cancel()


async def _send_keepalives(connection: FramedConnection, interval_seconds: float) -> None:
    with contextlib.suppress(JasperwalkError):
        while True:
            await connection.send(LINK_ALIVE)
            await asyncio.sleep(interval_seconds)
