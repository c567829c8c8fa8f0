"""A cancellation ends the task that it was meant for, in whatever step of the loop it comes.

`asyncio.wait_for` of Python 3.11 returns the result where the awaited work ends in the same step of
the event loop as the cancellation comes, and the cancellation is lost. A control replica that asks
to join waits for the connection and the Hello; when it lost its cancellation there, it went on
sending requests, `run_together` waited for it, and the process never ended. With two nested time
limits the outer one's expiry is lost in the same way, and the work has no bound any more.

Each test cancels after every number of steps of the event loop that the work takes.
"""

import asyncio
import tomllib
from pathlib import Path

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.tasks import cancel
from jasperwalk.control.fleet import joining
from jasperwalk.control.fleet.joining import JoinRequestHandler, request_to_join
from jasperwalk.control.fleet.messages import JoinReply, JoinRequest, JoinStatus
from jasperwalk.control.peer_links import LinkTimes, PeerLink
from jasperwalk.fleet.dialing import dial_first
from jasperwalk.messages import codec
from jasperwalk.transport.client import connect
from jasperwalk.transport.framed import LENGTH_PREFIX, FramedConnection
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.server import FramedServer
from tests.transport.steps import WAIT_LIMIT_SECONDS, cancel_after, lost_cancellations

ANY_PORT = Endpoint("127.0.0.1", 0)
CLUSTER_ID = "zagreb"
HELLO = make_hello(ConnectionKind.PEER, "tester", CLUSTER_ID, sender_id=3)
PROJECT_FILE = Path(__file__).resolve().parents[2] / "pyproject.toml"
MAX_STEPS = 80
"""More steps of the event loop than any work in these tests takes on loopback."""


class SilentTransport:
    """Transport with an empty write buffer that ignores `abort`."""

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        pass


class FakeWriter:
    def __init__(self):
        self.transport = SilentTransport()
        self.closed = asyncio.Event()

    def is_closing(self):
        return False

    def write(self, _data):
        pass

    async def drain(self):
        pass

    def close(self):
        self.closed.set()

    async def wait_closed(self):
        await self.closed.wait()


def hello_frame():
    payload = codec.encode(HELLO)
    return LENGTH_PREFIX.pack(len(payload)) + payload


@pytest.mark.parametrize("steps", range(8))
def test_a_cancellation_in_the_step_in_which_the_hello_comes_is_kept(steps):
    async def scenario():
        reader = asyncio.StreamReader()
        connection = FramedConnection(reader, FakeWriter())
        greeting = asyncio.ensure_future(connection.exchange_hello(HELLO, WAIT_LIMIT_SECONDS))
        for _ in range(5):
            await asyncio.sleep(0)
        reader.feed_data(hello_frame())
        await cancel_after(greeting, steps)

    asyncio.run(scenario())


@pytest.mark.parametrize("steps", range(8))
def test_a_cancellation_in_the_step_in_which_a_connection_closes_is_kept(steps):
    async def scenario():
        connection = FramedConnection(asyncio.StreamReader(), FakeWriter())
        closing = asyncio.ensure_future(connection.close(WAIT_LIMIT_SECONDS))
        await cancel_after(closing, steps)

    asyncio.run(scenario())


async def idle(connection):
    await connection.receive()


async def start_server(kinds):
    server = FramedServer(ANY_PORT, HELLO, kinds)
    await server.start()
    return server


def test_connecting_ends_when_it_is_cancelled_at_any_step():
    async def scenario():
        server = await start_server({ConnectionKind.PEER: idle})
        try:
            lost = await lost_cancellations(lambda: connect(server.endpoint, HELLO), MAX_STEPS)
        finally:
            await server.close()
        assert lost == []

    asyncio.run(scenario())


def test_dialling_several_replicas_ends_when_it_is_cancelled_at_any_step():
    async def scenario():
        server = await start_server({ConnectionKind.PEER: idle})

        async def dial(endpoint):
            return await connect(endpoint, HELLO)

        try:
            lost = await lost_cancellations(
                lambda: dial_first([server.endpoint] * 3, dial), MAX_STEPS
            )
        finally:
            await server.close()
        assert lost == []

    asyncio.run(scenario())


def test_asking_to_join_ends_when_it_is_cancelled_at_any_step():
    async def scenario():
        not_leader = JoinReply(JoinStatus.NOT_LEADER, None, [])
        server = await start_server(
            {ConnectionKind.REPORTER: JoinRequestHandler(lambda _: not_leader).serve}
        )
        request = JoinRequest(7, server.endpoint, False)

        async def join_again_and_again():
            while True:
                await request_to_join(request, "tester", CLUSTER_ID, [server.endpoint])

        try:
            lost = await lost_cancellations(join_again_and_again, 2 * MAX_STEPS)
        finally:
            await server.close()
        assert lost == []

    asyncio.run(scenario())


def test_a_link_to_a_peer_ends_when_it_is_cancelled_at_any_step():
    async def scenario():
        server = await start_server({ConnectionKind.PEER: idle})
        times = LinkTimes(reconnect=0.0)

        def link():
            return PeerLink(server.endpoint, "tester", 3, CLUSTER_ID, times=times).run()

        try:
            lost = await lost_cancellations(link, MAX_STEPS)
        finally:
            await server.close()
        assert lost == []

    asyncio.run(scenario())


def test_a_cancelled_link_leaves_no_connection_open_at_its_peer():
    """A peer takes an open link for a replica that receives what it sends."""

    async def scenario():
        open_connections = set()

        async def record_connection(connection):
            open_connections.add(connection)
            try:
                await connection.receive()
            finally:
                open_connections.discard(connection)

        server = await start_server({ConnectionKind.PEER: record_connection})
        try:
            await lost_cancellations(
                lambda: PeerLink(server.endpoint, "tester", 3, CLUSTER_ID).run(), MAX_STEPS
            )
            async with asyncio.timeout(WAIT_LIMIT_SECONDS):
                while open_connections:
                    await asyncio.sleep(0.01)
        finally:
            await server.close()

    asyncio.run(scenario())


def test_the_outer_time_limit_of_a_join_request_holds_where_the_inner_one_is_met(monkeypatch):
    """The replica sends its Hello in the step in which the outer limit expires, then nothing."""
    monkeypatch.setattr(joining, "ANSWER_TIMEOUT_SECONDS", 0.02)

    async def greet_at_the_end(*_):
        reader = asyncio.StreamReader()
        connection = FramedConnection(reader, FakeWriter())
        loop = asyncio.get_running_loop()
        just_in_time = loop.time() + joining.ANSWER_TIMEOUT_SECONDS - 0.0001
        loop.call_at(just_in_time, reader.feed_data, hello_frame())
        await connection.exchange_hello(HELLO, WAIT_LIMIT_SECONDS)
        return connection

    monkeypatch.setattr(joining, "connect", greet_at_the_end)

    async def scenario():
        request = JoinRequest(7, ANY_PORT, False)
        asked = asyncio.ensure_future(request_to_join(request, "tester", CLUSTER_ID, [ANY_PORT]))
        done, _ = await asyncio.wait({asked}, timeout=WAIT_LIMIT_SECONDS)
        assert done, "the request has no bound left"

    for _ in range(20):
        asyncio.run(scenario())


def test_waiting_for_a_cancelled_task_can_be_cancelled_itself():
    async def scenario():
        released = asyncio.Event()

        async def slow_to_end():
            try:
                await asyncio.sleep(WAIT_LIMIT_SECONDS)
            finally:
                await released.wait()

        task = asyncio.ensure_future(slow_to_end())
        await asyncio.sleep(0)
        waiting = asyncio.ensure_future(cancel(task))
        await asyncio.sleep(0)
        waiting.cancel()
        done, _ = await asyncio.wait({waiting}, timeout=1.0)
        released.set()
        await asyncio.wait({waiting, task})
        assert done and waiting.cancelled()

    asyncio.run(scenario())


def test_the_linter_refuses_the_function_that_loses_cancellations():
    settings = tomllib.loads(PROJECT_FILE.read_text(encoding="utf-8"))
    lint = settings["tool"]["ruff"]["lint"]
    assert "TID251" in lint["select"]
    assert "asyncio.wait_for" in lint["flake8-tidy-imports"]["banned-api"]
