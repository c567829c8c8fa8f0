"""The fabric stand-in: header bytes, spraying, delays, health, and datagrams over loopback."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter

import pytest
import uvloop

from jasperwalk.addresses import Endpoint
from jasperwalk.messages.proxy_protocol import HEADER_LENGTH, decode_header, encode_header
from jasperwalk_lab.fabric import Fabric
from jasperwalk_lab.fabric_core import AgentSightings, DelayQueue, FabricBalancer, Sprayer

SEED = 20_261
BURST = 20
ANY_PORT = Endpoint(host="127.0.0.1", port=0)
CALLER = Endpoint(host="127.0.0.9", port=40_000)
VIP = Endpoint(host="127.0.0.1", port=443)


def balancer(name, endpoint=ANY_PORT, healthy=True):
    made = FabricBalancer(name=name, endpoint=endpoint, admin=ANY_PORT, delay=0.0)
    if healthy:
        made.failures = 0
    return made


def sprayer(*balancers):
    print("seed", SEED)
    made = Sprayer(random.Random(SEED))
    for each in balancers:
        made.add(each)
    return made


def test_spraying_is_even_over_healthy_balancers_only():
    spray = sprayer(balancer("a"), balancer("b"), balancer("c", healthy=False))
    chosen = Counter(spray.choose().name for _ in range(2000))
    assert chosen.keys() == {"a", "b"}
    assert min(chosen.values()) > 900


def test_two_failed_probes_remove_a_balancer_and_one_good_brings_it_back():
    spray = sprayer(balancer("a"))
    spray.record_probe("a", healthy=False)
    assert spray.choose() is not None
    spray.record_probe("a", healthy=False)
    assert spray.choose() is None
    spray.record_probe("a", healthy=True)
    assert spray.choose() is not None


def test_delay_queue_orders_by_due_time_then_by_arrival():
    queue = DelayQueue()
    for due, payload in [(2.0, b"late"), (1.0, b"first"), (1.0, b"second")]:
        queue.put(due, 0, VIP, payload)
    assert queue.next_due() == 1.0
    assert [datagram.payload for datagram in queue.take_due(1.5)] == [b"first", b"second"]
    assert [datagram.payload for datagram in queue.take_due(2.0)] == [b"late"]
    assert queue.next_due() is None


@pytest.mark.parametrize(
    "return_delay", [0.0, 0.0001, 0.002], ids=["at-once", "under-resolution", "delayed"]
)
def test_datagrams_go_to_a_balancer_and_answers_come_from_the_vip(return_delay):
    async def scenario():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: failures.append(context))
        fabric = Fabric(random.Random(SEED), return_delay)
        opened = fabric.start([ANY_PORT, ANY_PORT], ANY_PORT)
        with udp_socket() as behind, udp_socket() as caller:
            made = balancer("a", Endpoint(*behind.getsockname()))
            made.delay = return_delay
            fabric.sprayer.add(made)
            async with asyncio.timeout(10):
                for vip in opened.listeners:
                    for _ in range(BURST):
                        caller.sendto(b"question", (vip.host, vip.port))
                    for _ in range(BURST):
                        datagram, _ = await receive(behind)
                        source, destination = decode_header(datagram)
                        assert (source, destination) == (Endpoint(*caller.getsockname()), vip)
                        assert datagram[HEADER_LENGTH:] == b"question"
                        answer = encode_header(vip, source) + b"answer"
                        back = opened.return_endpoint
                        behind.sendto(answer, (back.host, back.port))
                    for _ in range(BURST):
                        assert await receive(caller) == (b"answer", (vip.host, vip.port))
        fabric.stop()
        assert (fabric.counters.sprayed, fabric.counters.answered) == (2 * BURST, 2 * BURST)

    failures = []
    uvloop.run(scenario())
    assert failures == []


def test_lost_and_malformed_datagrams_are_counted():
    async def scenario():
        fabric = Fabric(random.Random(SEED), 0.0)
        opened = fabric.start([ANY_PORT], ANY_PORT)
        with udp_socket() as sender:
            vip, back = opened.listeners[0], opened.return_endpoint
            sender.sendto(b"x", (vip.host, vip.port))
            sender.sendto(b"no header", (back.host, back.port))
            unknown_vip = encode_header(VIP, CALLER) + b"x"
            sender.sendto(unknown_vip, (back.host, back.port))
            async with asyncio.timeout(10):
                while fabric.counters.malformed < 2:
                    await asyncio.sleep(0.005)
        fabric.stop()
        assert fabric.counters.dropped_without_balancer == 1
        assert fabric.counters.answered == 0

    asyncio.run(scenario())


def udp_socket():
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind(("127.0.0.1", 0))
    opened.setblocking(False)
    return opened


async def receive(opened):
    while True:
        try:
            return opened.recvfrom(2048)
        except BlockingIOError:
            await asyncio.sleep(0)


def test_a_port_that_is_used_again_is_seen_again():
    sightings = AgentSightings()
    for at in (1.0, 1.9, 2.5, 4.0):
        sightings.record_answer(5000, ("127.0.0.1", 7100), at)
    assert [seen.at for seen in sightings.all()] == [1.0, 4.0]
