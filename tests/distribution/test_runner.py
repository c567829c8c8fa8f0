"""The follower's asyncio adapter against real sockets on the loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.config.routing_table import VersionedTable
from jasperwalk.distribution.follower import FollowerCore
from jasperwalk.distribution.follower_events import FollowerConfig
from jasperwalk.distribution.publisher import PublisherCore
from jasperwalk.distribution.publisher_events import (
    CloseSubscriber,
    PublisherConfig,
    RegisterAgent,
    SendTo,
)
from jasperwalk.distribution.runner import FollowerRunner
from jasperwalk.errors import JasperwalkError
from jasperwalk.messages.distribution import (
    FROM_SUBSCRIBER_DECODER,
    Subscribe,
    SubscriberRole,
)
from jasperwalk.transport.framed import FramedConnection
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer

CLUSTER = "zagreb"
CHANGES: list[int] = []
"""Revisions that the runner of the current test reported."""


class PublisherServer:
    """A minimal publisher server: one core, registrations are granted at once."""

    def __init__(self, table: VersionedTable) -> None:
        self.core = PublisherCore(table, PublisherConfig())
        handlers = {ConnectionKind.SUBSCRIBER: self.serve}
        hello = make_hello(ConnectionKind.SUBSCRIBER, "replica", CLUSTER, sender_id=1)
        self.server = FramedServer(Endpoint("127.0.0.1", 0), hello, handlers)
        self.connections: dict[int, FramedConnection] = {}
        self.accepted = 0
        self.ticker: asyncio.Task[None] | None = None
        self.closing: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> PublisherServer:
        await self.server.start()
        self.ticker = asyncio.ensure_future(self.tick())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.ticker.cancel()
        await self.server.close()

    async def tick(self) -> None:
        while True:
            self.perform(self.core.tick(time.monotonic(), 0.0))
            await asyncio.sleep(0.02)

    async def serve(self, connection: FramedConnection) -> None:
        self.accepted += 1
        number = self.accepted
        self.connections[number] = connection
        try:
            while True:
                message = FROM_SUBSCRIBER_DECODER.decode(await connection.receive())
                now = time.monotonic()
                if isinstance(message, Subscribe):
                    self.perform(self.core.subscriber_opened(number, message, now))
                else:
                    self.perform(self.core.message(number, message, now))
        finally:
            self.core.subscriber_closed(number)
            self.connections.pop(number, None)

    def perform(self, effects: list) -> None:
        now = time.monotonic()
        for effect in effects:
            match effect:
                case SendTo():
                    self.write(effect.subscriber_id, effect.payload)
                case CloseSubscriber():
                    connection = self.connections[effect.subscriber_id]
                    self.closing.append(asyncio.ensure_future(connection.close()))
                case RegisterAgent():
                    self.perform(self.core.agent_registered(effect.address, effect.boot_id, 4, now))

    def write(self, number: int, payload: bytes) -> None:
        with contextlib.suppress(JasperwalkError):
            self.connections[number].write(payload)


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def running(runner: FollowerRunner) -> AsyncIterator[asyncio.Task[None]]:
    task = asyncio.ensure_future(runner.run())
    yield task
    runner.stop()
    await asyncio.wait_for(task, timeout=5)


@pytest.fixture
def make_runner(builders):
    def make(
        *publishers: PublisherServer,
        role: SubscriberRole = SubscriberRole.BALANCER,
        cluster: str = CLUSTER,
    ) -> FollowerRunner:
        replicas = [replica_server.server.endpoint for replica_server in publishers]
        facts = builders.facts("f", role, builders.address(1))
        core = FollowerCore(FollowerConfig(), facts, replicas, random.Random(3))
        return FollowerRunner(core, cluster, lambda table: CHANGES.append(table.revision))

    CHANGES.clear()
    return make


@pytest.fixture
def table(builders) -> VersionedTable:
    table = VersionedTable()
    table.upsert(builders.service(1), 1)
    table.upsert(builders.member(1, 1), 2)
    return table


def test_a_follower_takes_changes_and_moves_on_when_its_replica_ends(
    builders, table, make_runner
) -> None:
    async def scenario() -> None:
        async with PublisherServer(table) as first, PublisherServer(table) as second:
            runner = make_runner(first, second)
            async with running(runner):
                await until(runner.fresh)
                table.upsert(builders.member(2, 1), 3)
                for replica_server in (first, second):
                    replica_server.perform(replica_server.core.table_advanced(time.monotonic()))
                await until(lambda: runner.table.revision == 3)
                serving, other = (first, second) if first.connections else (second, first)
                await serving.server.close()
                await until(lambda: bool(other.connections and other.core.links()))
                table.upsert(builders.member(3, 1), 4)
                other.perform(other.core.table_advanced(time.monotonic()))
                runner.healthy, runner.open_flows = True, 9
                (link,) = other.core.links()
                assert link.is_balancer
                await until(lambda: link.acknowledged_revision >= table.revision)
                await until(lambda: link.open_flows == 9)
                assert CHANGES == [2, 3, 4]
                assert set(runner.table.entries()) == set(table.entries())

    asyncio.run(scenario())


@pytest.mark.parametrize("payload", [b"", b"\xff", b"\x81\x18\x63", b"GET / HTTP/1.1"])
def test_garbage_from_a_replica_ends_the_connection_not_the_follower(
    table, make_runner, payload: bytes
) -> None:
    async def scenario() -> None:
        async with PublisherServer(table) as replica_server:
            runner = make_runner(replica_server)
            async with running(runner) as task:
                await until(runner.fresh)
                replica_server.write(1, payload)
                await until(lambda: 2 in replica_server.connections)
                assert not task.done()
                assert runner.table.revision == 2

    asyncio.run(scenario())


def test_an_agent_receives_its_incarnation_and_stops_when_it_is_replaced(
    builders, table, make_runner
) -> None:
    async def scenario() -> None:
        async with PublisherServer(table) as replica_server:
            runner = make_runner(replica_server, role=SubscriberRole.AGENT)
            async with running(runner) as task:
                await until(lambda: runner.incarnation == 4)
                now = time.monotonic()
                replica_server.perform(
                    replica_server.core.agent_registered(builders.address(1), "newer", 5, now)
                )
                await asyncio.wait_for(asyncio.shield(task), timeout=10)
                assert runner.incarnation == 0
                assert not runner.fresh()

    asyncio.run(scenario())


def test_a_follower_of_another_cluster_is_sent_nothing(table, make_runner) -> None:
    async def scenario() -> None:
        async with PublisherServer(table) as replica_server:
            runner = make_runner(replica_server, cluster="hanoi")
            async with running(runner):
                await until(lambda: replica_server.server.refused.get("wrong-cluster", 0) >= 2)
                assert runner.table.revision == 0

    asyncio.run(scenario())
