"""Sides that go silent without a reset, while new connections to them work, hold nothing up.

A caller that introduces itself and then says nothing ends with a typed error, not with a fault.

Soaks: 98 lines `connection-handler-failed ... TimeoutError` in 49 logs of control replicas, each
with a stack of 30 lines, where a replica that asked to join was killed or cut off in between.
"""

import asyncio
import contextlib
import socket

import pytest
from structlog.testing import capture_logs

from jasperwalk.addresses import Endpoint
from jasperwalk.agent import relay_server
from jasperwalk.control.fleet import joining, operator_requests
from jasperwalk.control.fleet.joining import JoinRequestHandler, request_to_join
from jasperwalk.control.fleet.messages import JoinReply, JoinRequest, JoinStatus
from jasperwalk.control.fleet.operator_requests import OperatorRequestHandler
from jasperwalk.transport import client, http_connection, keep_alive
from jasperwalk.transport import server as framed_server
from jasperwalk.transport.client import connect
from jasperwalk.transport.hello import ConnectionKind, make_hello
from jasperwalk.transport.http_messages import HttpResponse
from jasperwalk.transport.http_server import HttpServer
from jasperwalk.transport.server import FramedServer

ANY_PORT = Endpoint("127.0.0.1", 0)
HANDLERS = {
    ConnectionKind.REPORTER: JoinRequestHandler(lambda _request: None).serve,
    ConnectionKind.OPERATOR: OperatorRequestHandler(None).serve,
}


async def serve_no_relay(connection):
    await relay_server.serve_relay(connection, lambda *_: never())


HANDLERS[ConnectionKind.RELAY] = serve_no_relay


@pytest.mark.parametrize("kind", list(HANDLERS))
def test_a_request_that_does_not_come_is_a_typed_refusal(monkeypatch, kind):
    monkeypatch.setattr(relay_server, "RECEIVE_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(joining, "ANSWER_TIMEOUT_SECONDS", 0.05)
    monkeypatch.setattr(operator_requests, "REQUEST_TIMEOUT_SECONDS", 0.05)

    async def scenario():
        server = FramedServer(ANY_PORT, make_hello(ConnectionKind.PEER, "c", "zagreb"), HANDLERS)
        await server.start()
        connection = await connect(server.endpoint, make_hello(kind, "caller", "zagreb"))
        async with asyncio.timeout(10):
            while not server.refused:
                await asyncio.sleep(0.01)
        connection.abort()
        await server.close()
        return server.refused

    with capture_logs() as lines:
        refused = asyncio.run(scenario())
    assert refused == {"request-timeout": 1}
    assert "connection-handler-failed" not in [line["event"] for line in lines]


GET = b"GET /path HTTP/1.1\r\nHost: x\r\n\r\n"
LONG_BODY = b"x" * (8 << 20)
"""More than the socket buffers of both sides hold."""


async def never():
    await asyncio.Event().wait()


@pytest.mark.parametrize(
    "sent", [b"", GET[:9], GET], ids=["nothing", "half a request", "a request"]
)
def test_a_caller_that_reads_and_says_nothing_more_is_closed(monkeypatch, sent):
    monkeypatch.setattr(http_connection, "IDLE_SECONDS", 0.1)

    async def answer(_request):
        return HttpResponse(200, LONG_BODY)

    async def scenario():
        server = HttpServer(ANY_PORT, answer)
        await server.start()
        _, writer = await asyncio.open_connection(
            server.endpoint.host, server.endpoint.port, limit=1
        )
        writer.write(sent)
        async with asyncio.timeout(20):
            while not server._connections:
                await asyncio.sleep(0.01)
            while server._connections:
                await asyncio.sleep(0.01)
        writer.transport.abort()
        await server.close()

    asyncio.run(scenario())


def test_a_blocked_handler_does_not_keep_its_connection_open(monkeypatch):
    monkeypatch.setattr(http_connection, "IDLE_SECONDS", 0.1)

    async def scenario():
        server = HttpServer(ANY_PORT, lambda _request: never())
        await server.start()
        reader, writer = await asyncio.open_connection(server.endpoint.host, server.endpoint.port)
        writer.write(GET)
        async with asyncio.timeout(20):
            with contextlib.suppress(ConnectionResetError):
                assert await reader.read() == b""
        writer.transport.abort()
        await server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("says_hello", [False, True])
def test_a_joining_replica_skips_one_that_went_silent(monkeypatch, says_hello):
    monkeypatch.setattr(joining, "ANSWER_TIMEOUT_SECONDS", 0.2)
    reply = JoinReply(JoinStatus.PENDING, None, [])
    hello = make_hello(ConnectionKind.PEER, "c", "zagreb")

    async def say_nothing(connection):
        await connection.receive()
        await never()

    async def scenario():
        answering = {ConnectionKind.REPORTER: JoinRequestHandler(lambda _request: reply).serve}
        answering_server = FramedServer(ANY_PORT, hello, answering)
        await answering_server.start()
        silent = FramedServer(ANY_PORT, hello, {ConnectionKind.REPORTER: say_nothing})
        await silent.start()
        silent_listener = await asyncio.start_server(lambda *_: never(), "127.0.0.1", 0)
        silent_endpoint = (
            silent.endpoint if says_hello else Endpoint(*silent_listener.sockets[0].getsockname())
        )
        request = JoinRequest(3, answering_server.endpoint, founding=False)
        answer = await request_to_join(
            request, "c3", "zagreb", [silent_endpoint, answering_server.endpoint]
        )
        silent_listener.close()
        await silent.close()
        await answering_server.close()
        return answer

    assert asyncio.run(scenario()) == reply


def test_both_sides_of_a_framed_connection_are_kept_alive(monkeypatch):
    asked = []
    real = keep_alive.keep_alive

    def record_option(writer):
        real(writer)
        connection = writer.get_extra_info("socket")
        asked.append(connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))

    monkeypatch.setattr(client, "keep_alive", record_option)
    monkeypatch.setattr(framed_server, "keep_alive", record_option)

    async def scenario():
        hello = make_hello(ConnectionKind.PEER, "c", "zagreb")
        server = FramedServer(ANY_PORT, hello, {ConnectionKind.PEER: lambda _: never()})
        await server.start()
        connection = await connect(server.endpoint, hello)
        connection.abort()
        await server.close()

    asyncio.run(scenario())
    assert asked == [1, 1]
