"""Flows of a load: one connection per rank, replaced when it has expired or ended."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterator

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.caller import Caller, Connection

MAX_CONCURRENT_OPENS = 8
"""Connections opened concurrently at the start; limits the burst of handshakes."""


class Flow:
    """One connection and the calls on it; it closes once it is retired and idle.

    A PING is sent every `ping_seconds`. It also detects a lost flow for the caller of a stream,
    who sends nothing else.
    """

    def __init__(
        self,
        caller: Caller,
        service: str,
        listener: Endpoint,
        expires_at: float,
        ping_seconds: float | None = None,
    ) -> None:
        self._caller = caller
        self._service = service
        self._listener = listener
        self._expires_at = expires_at
        self._ping_seconds = ping_seconds
        self._calls = 0
        self._retired = False
        self._idle = asyncio.Event()
        loop = asyncio.get_running_loop()
        self._opened: asyncio.Future[Connection | None] = loop.create_future()
        self._task = asyncio.create_task(self._hold())

    async def connection(self) -> Connection | None:
        """Return the connection once it is open, None where it could not be opened."""
        return await asyncio.shield(self._opened)

    def usable(self, now: float) -> bool:
        """Tell whether new calls may go on this flow."""
        if not self._opened.done():
            return True
        connection = self._opened.result()
        return connection is not None and connection.alive and now < self._expires_at

    @contextlib.contextmanager
    def in_use(self) -> Iterator[None]:
        """Keep the connection open for the duration of a call."""
        self._calls += 1
        try:
            yield
        finally:
            self._calls -= 1
            self._close_if_idle()

    def retire(self) -> None:
        """Close the connection once its last call has ended."""
        self._retired = True
        self._close_if_idle()

    async def closed(self) -> None:
        """Wait until the connection is closed."""
        await asyncio.gather(self._task, return_exceptions=True)

    def _close_if_idle(self) -> None:
        if self._retired and not self._calls:
            self._idle.set()

    async def _until_idle(self, connection: Connection | None) -> None:
        while connection is not None and not self._idle.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._ping_seconds):
                    await self._idle.wait()
                    return
            connection.send_ping()
        await self._idle.wait()

    async def _hold(self) -> None:
        try:
            async with self._caller.connect(self._service, self._listener) as connection:
                self._opened.set_result(connection)
                await self._until_idle(connection)
        finally:
            if not self._opened.done():
                self._opened.set_result(None)


class FlowPool:
    """The flows of one service, by rank."""

    def __init__(
        self,
        caller: Caller,
        service: str,
        listener: Endpoint,
        count: int,
        flow_seconds: float,
        source: random.Random,
        ping_seconds: float | None = None,
    ) -> None:
        self._caller = caller
        self._service = service
        self._listener = listener
        self._count = count
        self._flow_seconds = flow_seconds
        self._random = source
        self._ping_seconds = ping_seconds
        self._flows: dict[int, Flow] = {}
        self._retired: list[Flow] = []
        self.opened = 0

    async def open_all(self) -> None:
        """Open the flow of every rank."""
        for first in range(0, self._count, MAX_CONCURRENT_OPENS):
            ranks = range(first, min(first + MAX_CONCURRENT_OPENS, self._count))
            await asyncio.gather(*(self.flow(rank).connection() for rank in ranks))

    def flow(self, rank: int) -> Flow:
        """Return the rank's flow, a new one where the old one is no longer usable."""
        now = asyncio.get_running_loop().time()
        flow = self._flows.get(rank)
        if flow is not None and flow.usable(now):
            return flow
        if flow is not None:
            flow.retire()
            self._retired.append(flow)
        life = self._random.expovariate(1 / self._flow_seconds)
        flow = Flow(self._caller, self._service, self._listener, now + life, self._ping_seconds)
        self._flows[rank] = flow
        self.opened += 1
        return flow

    async def close(self) -> None:
        """Close every flow."""
        flows = [*self._flows.values(), *self._retired]
        for flow in flows:
            flow.retire()
        await asyncio.gather(*(flow.closed() for flow in flows))
