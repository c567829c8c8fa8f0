"""The asyncio adapter of `FollowerCore`: its connection, its clock and its callbacks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from jasperwalk.addresses import Endpoint
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import (
    Connect,
    Disconnect,
    FollowerEffect,
    Replaced,
    Send,
    TableChanged,
)
from jasperwalk.distribution.follower_table import FollowerTable
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages import codec
from jasperwalk.messages.distribution import (
    FROM_PUBLISHER_DECODER,
    FromPublisher,
    FromSubscriber,
)
from jasperwalk.transport.client import connect
from jasperwalk.transport.errors import TlsError
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, Hello, make_hello
from jasperwalk.transport.tls import LinkTls

EVENT_QUEUE_LENGTH = 64
"""Events that may wait for the core; while the queue is full, the connection is not read."""

MAX_WAIT_SECONDS = 1.0
"""Maximum time between two ticks."""

MAX_HELLO_WAIT_SECONDS = 10.0
"""Maximum wait for a replica's Hello; the core cancels an attempt before."""


logger = structlog.get_logger(__name__)


@dataclass(frozen=True)
class _Opened:
    attempt: int
    replica: Endpoint
    connection: FramedConnection


@dataclass(frozen=True)
class _Received:
    attempt: int
    message: FromPublisher


@dataclass(frozen=True)
class _Ended:
    attempt: int
    error: JasperwalkError


_Event = _Opened | _Received | _Ended


class FollowerRunner:
    """Runs a follower on sockets. `run` returns after `stop` or when the agent is replaced.

    `on_table_change` is called with the table after every change, `on_replaced` with the
    detail when a newer process has this agent's address. `healthy` and `open_flows` may be set
    at any time; the next acknowledgement has them.
    """

    def __init__(
        self,
        core: FollowerCore,
        cluster_id: str,
        on_table_change: Callable[[FollowerTable], None],
        on_replaced: Callable[[str], None] | None = None,
        *,
        clock: Callable[[], float] = time.monotonic,
        tls: LinkTls | None = None,
    ) -> None:
        self.core = core
        self._hello: Hello = make_hello(ConnectionKind.SUBSCRIBER, core.facts.name, cluster_id)
        self._on_table_change = on_table_change
        self._on_replaced = on_replaced
        self._clock = clock
        self._tls = tls
        self._events: asyncio.Queue[_Event] = asyncio.Queue(EVENT_QUEUE_LENGTH)
        self._attempt = 0
        self._connection: FramedConnection | None = None
        self._connection_task: asyncio.Task[None] | None = None
        self._running = True
        self._stop = asyncio.Event()

    @property
    def table(self) -> FollowerTable:
        """The current table."""
        return self.core.table

    @property
    def incarnation(self) -> int:
        """The committed incarnation of this agent, 0 while it has none."""
        return self.core.incarnation

    @property
    def healthy(self) -> bool:
        """Health of the backend, as acknowledgements report it."""
        return self.core.healthy

    @healthy.setter
    def healthy(self, healthy: bool) -> None:
        self.core.healthy = healthy

    @property
    def open_flows(self) -> int:
        """Number of open flows, as acknowledgements report it."""
        return self.core.open_flows

    @open_flows.setter
    def open_flows(self, open_flows: int) -> None:
        self.core.open_flows = open_flows

    def fresh(self) -> bool:
        """Return whether the table was a quorum's newest one within the stale limit."""
        return self.core.fresh(self._clock())

    def stop(self) -> None:
        """Make `run` return soon."""
        self._running = False
        self._stop.set()

    async def run(self) -> None:
        """Follow until stopped, replaced or cancelled."""
        try:
            while self._running:
                self._perform(self.core.tick(self._clock()))
                event = await self._next_event()
                if event is not None:
                    self._handle(event)
        finally:
            self._drop_connection()

    async def _next_event(self) -> _Event | None:
        wait_seconds = self.core.next_deadline() - self._clock()
        wait_seconds = max(0.0, min(wait_seconds, MAX_WAIT_SECONDS))
        stop = asyncio.ensure_future(self._stop.wait())
        take = asyncio.ensure_future(self._events.get())
        try:
            await asyncio.wait(
                (take, stop), timeout=wait_seconds, return_when=asyncio.FIRST_COMPLETED
            )
            return take.result() if take.done() else None
        finally:
            stop.cancel()
            take.cancel()

    def _handle(self, event: _Event) -> None:
        if event.attempt != self._attempt:
            # The connection was dropped while the event waited in the queue.
            if isinstance(event, _Opened):
                event.connection.abort()
            return
        now = self._clock()
        match event:
            case _Opened():
                self._connection = event.connection
                self._perform(self.core.connected(event.replica, now))
            case _Received():
                self._perform(self.core.message(event.message, now))
            case _Ended():
                log = logger.warning if isinstance(event.error, TlsError) else logger.info
                log("replica-lost", kind=event.error.kind, detail=str(event.error))
                self._drop_connection()
                self._perform(self.core.disconnected(now))

    def _perform(self, effects: list[FollowerEffect]) -> None:
        for effect in effects:
            match effect:
                case Connect():
                    self._open_connection(effect.endpoint)
                case Disconnect():
                    logger.info("replica-left", reason=effect.reason)
                    self._drop_connection()
                case Send():
                    self._send(effect.message)
                case TableChanged():
                    self._on_table_change(self.core.table)
                case Replaced():
                    self._replaced(effect.detail)

    def _replaced(self, detail: str) -> None:
        logger.error("agent-replaced", detail=detail)
        self.stop()
        if self._on_replaced is not None:
            self._on_replaced(detail)

    def _send(self, message: FromSubscriber) -> None:
        if self._connection is None:
            return
        try:
            self._connection.write(codec.encode(message))
        except JasperwalkError as error:
            # The reading task sees the same failure, or the core leaves a silent replica.
            logger.debug("send-failed", kind=error.kind, detail=str(error))
            self._connection.abort()

    def _open_connection(self, replica: Endpoint) -> None:
        self._drop_connection()
        self._connection_task = asyncio.ensure_future(self._run_connection(replica, self._attempt))

    def _drop_connection(self) -> None:
        self._attempt += 1
        if self._connection_task is not None:
            self._connection_task.cancel()
            self._connection_task = None
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _run_connection(self, replica: Endpoint, attempt: int) -> None:
        """Connect, then put received messages into the event queue until the connection ends."""
        try:
            connection = await connect(
                replica,
                self._hello,
                tls=self._tls,
                hello_timeout_seconds=MAX_HELLO_WAIT_SECONDS,
            )
        except JasperwalkError as error:
            await self._events.put(_Ended(attempt=attempt, error=error))
            return
        try:
            opened = _Opened(attempt=attempt, replica=replica, connection=connection)
            await self._events.put(opened)
            while True:
                message = FROM_PUBLISHER_DECODER.decode(await connection.receive())
                await self._events.put(_Received(attempt=attempt, message=message))
        except JasperwalkError as error:
            await self._events.put(_Ended(attempt=attempt, error=error))
        finally:
            connection.abort()
