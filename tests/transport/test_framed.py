"""Framed TCP: round trips, and a table of invalid input from faulty or foreign senders."""

import asyncio
import contextlib
import struct
from collections.abc import AsyncIterator

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.errors import JasperwalkError, UnsupportedVersion
from jasperwalk.messages import codec
from jasperwalk.transport.client import connect
from jasperwalk.transport.errors import ConnectFailed, OversizedFrame, WrongCluster
from jasperwalk.transport.framed import MAX_FRAME_BYTES, FramedConnection
from jasperwalk.transport.hello import ConnectionKind, Hello, make_hello
from jasperwalk.transport.server import FramedServer

ANY_PORT = Endpoint(host="127.0.0.1", port=0)
HELLO_TIMEOUT_SECONDS = 0.2
HELLO = make_hello(ConnectionKind.PEER, "tester", "zagreb", sender_id=3)


def frame(payload: bytes) -> bytes:
    return struct.pack("!I", len(payload)) + payload


def hello_bytes(**changes: object) -> bytes:
    fields = {
        "version": codec.PROTOCOL_VERSION,
        "kind": ConnectionKind.PEER,
        "name": "n",
        "sender_id": 1,
        "cluster_id": "zagreb",
    }
    return frame(codec.encode(Hello(**{**fields, **changes})))


async def echo(connection: FramedConnection) -> None:
    while True:
        await connection.send(await connection.receive())


@contextlib.asynccontextmanager
async def serving(hello: Hello = HELLO) -> AsyncIterator[FramedServer]:
    server = FramedServer(ANY_PORT, hello, {ConnectionKind.PEER: echo}, HELLO_TIMEOUT_SECONDS)
    await server.start()
    try:
        yield server
    finally:
        await server.close()


async def echoed(server: FramedServer, payload: bytes) -> bytes:
    connection = await connect(server.endpoint, HELLO)
    await connection.send(payload)
    answer = await connection.receive()
    await connection.close()
    return answer


@pytest.mark.parametrize("length", [0, 1, 70_000, MAX_FRAME_BYTES])
def test_round_trip_of_every_length(length: int) -> None:
    async def scenario() -> None:
        async with serving() as server:
            assert await echoed(server, bytes(length)) == bytes(length)

    asyncio.run(scenario())


FAULTS = {
    "silent": (b"", False, "hello-timeout"),
    "closed at once": (b"", True, "connection-lost"),
    "cut prefix": (b"\x00\x00", True, "truncated-frame"),
    "cut hello": (hello_bytes()[:-1], True, "truncated-frame"),
    "endless hello": (struct.pack("!I", 1_000_000), False, "oversized-frame"),
    "another protocol": (b"GET / HTTP/1.1\r\n\r\n", False, "oversized-frame"),
    "hello not cbor": (frame(b"\xff\xff\xff"), False, "malformed-message"),
    "hello of wrong type": (frame(b"\x81\x01"), False, "malformed-message"),
    "unknown kind": (frame(b"\x86\x01\x01\x61x\x61n\x01\x66zagreb"), False, "malformed-message"),
    "deep nesting": (frame(b"\x81" * 1000), False, "malformed-message"),
    "wrong version": (hello_bytes(version=99), False, "unsupported-version"),
    "wrong cluster": (hello_bytes(cluster_id="hanoi"), False, "wrong-cluster"),
    "kind not served": (hello_bytes(kind=ConnectionKind.RELAY), False, "unhandled-kind"),
    "oversized frame": (hello_bytes() + b"\xff\xff\xff\xff", False, "oversized-frame"),
    "cut frame": (hello_bytes() + b"\x00\x00\x00\x09abc", True, "truncated-frame"),
}


@pytest.mark.parametrize(("sent", "closes", "kind"), FAULTS.values(), ids=FAULTS.keys())
def test_a_faulty_sender_ends_its_own_connection_only(sent: bytes, closes: bool, kind: str) -> None:
    async def scenario() -> None:
        async with serving() as server:
            endpoint = server.endpoint
            reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
            writer.write(sent)
            if closes:
                writer.write_eof()
            with contextlib.suppress(ConnectionError):
                await asyncio.wait_for(reader.read(), timeout=10)
            writer.close()
            assert server.refused == {kind: 1}
            assert await echoed(server, b"still here") == b"still here"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("server_hello", "error"),
    [
        (make_hello(ConnectionKind.PEER, "s", "hanoi"), WrongCluster),
        (Hello(2, ConnectionKind.PEER, "s", 1, "zagreb"), UnsupportedVersion),
    ],
)
def test_the_client_names_what_does_not_fit(
    server_hello: Hello, error: type[JasperwalkError]
) -> None:
    async def scenario() -> None:
        async with serving(server_hello) as server:
            with pytest.raises(error):
                await connect(server.endpoint, HELLO)

    asyncio.run(scenario())


def test_connecting_to_a_closed_port_is_a_typed_error() -> None:
    async def scenario() -> None:
        async with serving() as server:
            pass
        with pytest.raises(ConnectFailed):
            await connect(server.endpoint, HELLO)

    asyncio.run(scenario())


def test_limits_of_frames_hold_both_ways() -> None:
    async def scenario() -> None:
        async with serving() as server:
            connection = await connect(server.endpoint, HELLO)
            assert connection.peer == HELLO
            with pytest.raises(OversizedFrame):
                connection.write(bytes(MAX_FRAME_BYTES + 1))
            connection.limit_received_frames(100)
            connection.write(bytes(101))
            with pytest.raises(OversizedFrame):
                await connection.receive()
            connection.abort()

    asyncio.run(scenario())
