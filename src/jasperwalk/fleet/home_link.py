"""A node's link to its home replica: one of the control replicas that it knows.

The node announces itself, pings, and handles the home's messages. It connects to another home when
the link fails or becomes silent, or when the home reports for some time that it is not current
(it is cut off from the other replicas).
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError
from jasperwalk.fleet.dialing import dial_first
from jasperwalk.fleet.messages import (
    CLUSTER_ID,
    HOME_DECODER,
    Announce,
    DrainedZones,
    HomeMessage,
    HomeStatus,
    NodePing,
    NodeRecord,
)
from jasperwalk.messages import codec
from jasperwalk.transport.client import connect
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, make_hello

CONNECT_TIMEOUT_SECONDS = 0.4
"""Time limit for establishing a TCP connection, and for the replica's Hello after that."""
FIRST_CONNECT_SECONDS = 0.1
"""The same for a TCP connection in the first round of dialling; it doubles with each round in which
no replica answered. A machine that has no power yet drops the first packet of a connection, and the
kernel sends it again only after a second; a new connection is established at once."""
RETRY_SECONDS = 0.1
PING_SECONDS = 0.4
SILENCE_SECONDS = 1.2
"""A home answers every ping; without any message for this long its link is closed."""
NOT_CURRENT_SECONDS = 0.5
"""How long a home may be not current before another one is tried."""

logger = structlog.get_logger(__name__)


class HomeLost(JasperwalkError):
    """The home cannot be used any longer, although its connection is still open."""

    kind = "home-not-current"


class HomeLink:
    """Keeps a node linked; `run` never ends by itself."""

    def __init__(
        self,
        record: Callable[[], NodeRecord],
        seeds: Callable[[], Iterable[Endpoint]],
        on_message: Callable[[HomeMessage], None],
        on_link: Callable[[bool], None],
        source: random.Random,
    ) -> None:
        """`record` returns what is announced, `seeds` the replicas that the settings name.

        `seeds` reads the settings file, which may be incomplete at that moment; the replicas that
        it named before are then used.
        """
        self._record = record
        self._seeds = seeds
        self._on_message = on_message
        self._on_link = on_link
        self._random = source
        self._replicas: list[Endpoint] = []
        self._last_seeds: list[Endpoint] = []
        self._connection: FramedConnection | None = None
        self._current_at = 0.0
        self._connect_seconds = FIRST_CONNECT_SECONDS
        self._zones_revision = 0
        self.home: Endpoint | None = None

    def announce(self) -> None:
        """Send the record again after a change; a link that fails sends it when re-established."""
        if self._connection is None:
            return
        try:
            self._connection.write(codec.encode(Announce(self._record())))
        except JasperwalkError as error:
            logger.info("announcement-waits", kind=error.kind)

    async def run(self) -> None:
        """Stay linked until cancelled."""
        while True:
            started_at = time.monotonic()
            dialled = await dial_first(self._candidates(), self._dial)
            if dialled is None:
                self._connect_seconds = min(2 * self._connect_seconds, CONNECT_TIMEOUT_SECONDS)
            else:
                self._connect_seconds = FIRST_CONNECT_SECONDS
                self.home = dialled.replica
                await self._serve_connection(dialled.connection, dialled.replica)
            # A home that closes every link at once must not be dialled in a tight loop.
            elapsed = time.monotonic() - started_at
            await asyncio.sleep(max(0.0, RETRY_SECONDS - elapsed))

    def _candidates(self) -> list[Endpoint]:
        """Return the replicas in the order of dialling; the one just lost comes last."""
        known = list(dict.fromkeys([*self._replicas, *self._read_seeds()]))
        self._random.shuffle(known)
        known.sort(key=lambda replica: replica == self.home)
        return known

    def _read_seeds(self) -> list[Endpoint]:
        try:
            self._last_seeds = list(self._seeds())
        except JasperwalkError as error:
            logger.warning("settings-not-usable", kind=error.kind, detail=error.describe())
        return self._last_seeds

    async def _dial(self, replica: Endpoint) -> FramedConnection:
        hello = make_hello(ConnectionKind.SUBSCRIBER, self._record().name, CLUSTER_ID)
        try:
            return await connect(
                replica, hello, self._connect_seconds, None, CONNECT_TIMEOUT_SECONDS
            )
        except JasperwalkError as error:
            logger.debug("home-not-reached", home=str(replica), kind=error.kind)
            raise

    async def _serve_connection(self, connection: FramedConnection, replica: Endpoint) -> None:
        self._connection = connection
        self._current_at = time.monotonic()
        logger.info("home-linked", home=str(replica))
        self._on_link(True)
        pinging = asyncio.create_task(self._ping(connection))
        try:
            await connection.send(codec.encode(Announce(self._record())))
            while True:
                async with asyncio.timeout(SILENCE_SECONDS):
                    payload = await connection.receive()
                self._handle_message(HOME_DECODER.decode(payload))
        except TimeoutError:
            logger.info("home-lost", home=str(replica), kind="silent")
        except JasperwalkError as error:
            logger.info("home-lost", home=str(replica), kind=error.kind)
        finally:
            pinging.cancel()
            await asyncio.gather(pinging, return_exceptions=True)
            self._connection = None
            connection.abort()
            self._on_link(False)

    async def _ping(self, connection: FramedConnection) -> None:
        while True:
            await asyncio.sleep(PING_SECONDS)
            await connection.send(codec.encode(NodePing(self._zones_revision)))

    def _handle_message(self, message: HomeMessage) -> None:
        now = time.monotonic()
        if isinstance(message, DrainedZones):
            self._zones_revision = max(self._zones_revision, message.revision)
        if isinstance(message, HomeStatus):
            if message.replicas:
                self._replicas = message.replicas
            if message.current:
                self._current_at = now
        self._on_message(message)
        if now - self._current_at > NOT_CURRENT_SECONDS:
            raise HomeLost()
