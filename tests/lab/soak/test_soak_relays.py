"""Relays forward bytes both ways, and inject the faults of their condition."""

import asyncio
import contextlib
import random

from jasperwalk.addresses import Endpoint
from jasperwalk_lab.ports import common_port
from jasperwalk_lab.soak.relays import DatagramReceiver, LinkCondition, TcpRelay, UdpRelay

TIMEOUT_SECONDS = 20.0
SHORT_SECONDS = 0.15


def free_endpoint():
    return Endpoint("127.0.0.1", common_port(("127.0.0.1",)))


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


def over_tcp(scenario):
    async def main():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        relay = TcpRelay(free_endpoint(), Endpoint(*server.sockets[0].getsockname()))
        await relay.start()
        try:
            reader, writer = await asyncio.open_connection(relay._listen.host, relay._listen.port)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await scenario(relay, reader, writer)
            writer.close()
        finally:
            await relay.close()
            server.close()

    asyncio.run(main())


def test_a_tcp_relay_forwards_bytes_both_ways():
    async def scenario(_relay, reader, writer):
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"

    over_tcp(scenario)


def test_a_silent_tcp_relay_holds_bytes_back_and_forwards_them_later():
    async def scenario(relay, reader, writer):
        relay.condition = LinkCondition(silent_forward=True)
        writer.write(b"hello")
        arrived = asyncio.create_task(reader.readexactly(5))
        await asyncio.sleep(SHORT_SECONDS)
        assert not arrived.done()
        relay.condition = LinkCondition()
        assert await arrived == b"hello"

    over_tcp(scenario)


def test_connections_that_were_silenced_stay_silent_while_new_ones_work():
    async def scenario(relay, reader, writer):
        writer.write(b"hello")
        await reader.readexactly(5)
        relay.silence_open_connections()
        writer.write(b"again")
        second_reader, second_writer = await asyncio.open_connection(
            relay._listen.host, relay._listen.port
        )
        second_writer.write(b"hello")
        assert await second_reader.readexactly(5) == b"hello"
        second_writer.close()
        left = asyncio.create_task(reader.read(5))
        await asyncio.sleep(SHORT_SECONDS)
        assert not left.done()
        left.cancel()

    over_tcp(scenario)


def test_the_end_of_a_silenced_connection_is_not_forwarded():
    ended = asyncio.Event()

    async def record_end(reader, _writer):
        await reader.read()
        ended.set()

    async def main():
        server = await asyncio.start_server(record_end, "127.0.0.1", 0)
        relay = TcpRelay(free_endpoint(), Endpoint(*server.sockets[0].getsockname()))
        await relay.start()
        _, writer = await asyncio.open_connection(relay._listen.host, relay._listen.port)
        while not relay._connection_conditions:
            await asyncio.sleep(0)
        relay.silence_open_connections()
        writer.transport.abort()
        await asyncio.sleep(SHORT_SECONDS)
        assert not ended.is_set()
        await relay.close()
        server.close()

    asyncio.run(main())


def test_a_reset_ends_every_connection():
    async def scenario(relay, reader, writer):
        writer.write(b"hello")
        await reader.readexactly(5)
        relay.reset()
        with contextlib.suppress(ConnectionResetError):
            assert await reader.read(1) == b""

    over_tcp(scenario)


def over_udp(scenario):
    async def main():
        loop = asyncio.get_running_loop()
        agent = []

        def answer(data, address):
            agent[0].sendto(b"re:" + data, address)

        transport, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(answer), local_addr=("127.0.0.1", 0)
        )
        agent.append(transport)
        target = Endpoint(*transport.get_extra_info("sockname"))
        relay = UdpRelay(free_endpoint(), target, "127.0.0.1", random.Random(1))
        await relay.start()
        received = asyncio.Queue()
        client, _ = await loop.create_datagram_endpoint(
            lambda: DatagramReceiver(lambda data, address: received.put_nowait((data, address))),
            remote_addr=(relay.listen.host, relay.listen.port),
        )
        try:
            async with asyncio.timeout(TIMEOUT_SECONDS):
                await scenario(relay, client, received)
        finally:
            client.close()
            relay.close()
            transport.close()

    asyncio.run(main())


def test_answers_come_from_the_address_that_the_agent_advertises():
    async def scenario(relay, client, received):
        client.sendto(b"one")
        client.sendto(b"two")
        answers = [await received.get(), await received.get()]
        assert [data for data, _ in answers] == [b"re:one", b"re:two"]
        assert {address for _, address in answers} == {(relay.listen.host, relay.listen.port)}

    over_udp(scenario)


def test_a_relay_that_loses_everything_forwards_nothing():
    async def scenario(relay, client, received):
        relay.condition = LinkCondition(loss=1.0)
        client.sendto(b"lost")
        await asyncio.sleep(SHORT_SECONDS)
        relay.condition = LinkCondition()
        client.sendto(b"kept")
        assert (await received.get())[0] == b"re:kept"

    over_udp(scenario)
