import asyncio
import socket

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.outcomes import DropReason, Forward, Outcomes
from jasperwalk.balancer.receiver import RECEIVE_BYTES, DatagramReceiver

LOOPBACK = Endpoint("127.0.0.1", 0)


class Handler:
    """Forwards to one destination, drops empty datagrams, and records what it received."""

    def __init__(self, destination, wanted, repeat, alternative=None):
        self.destination = destination
        self.alternative = alternative
        self.refused = []
        self.wanted = wanted
        self.repeat = repeat
        self.seen = []
        self.complete = asyncio.Event()

    def handle(self, datagram, now):
        self.seen.append(datagram)
        if len(self.seen) == self.wanted:
            self.complete.set()
        if not datagram:
            return DropReason.BAD_PROXY_HEADER
        return Forward(self.destination, datagram * self.repeat, self.alternative)

    def handle_all(self, datagrams, now):
        outcomes = Outcomes()
        for datagram in datagrams:
            outcomes.add(self.handle(datagram, now))
        return outcomes

    def agent_refused(self, agent, now):
        self.refused.append(agent)


async def exchange(datagrams, destination, repeat=1):
    receiver = DatagramReceiver(LOOPBACK)
    handler = Handler(destination, len(datagrams), repeat)
    receiver.start(handler)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in datagrams:
            sender.sendto(datagram, (receiver.endpoint.host, receiver.endpoint.port))
        await asyncio.wait_for(handler.complete.wait(), timeout=10)
    receiver.stop()
    return receiver, handler


def test_datagrams_are_handled_in_order_and_forwarded_unless_dropped():
    datagrams = [b"one", b"", b"two", b"x" * RECEIVE_BYTES]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent:
        agent.bind(("127.0.0.1", 0))
        agent.settimeout(10)
        _, handler = asyncio.run(exchange(datagrams, agent.getsockname()))
        assert handler.seen == datagrams
        assert [agent.recv(4096) for _ in range(3)] == [b"one", b"two", b"x" * RECEIVE_BYTES]


def test_a_longer_datagram_is_seen_to_be_too_long():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent:
        agent.bind(("127.0.0.1", 0))
        _, handler = asyncio.run(exchange([b"x" * 5000], agent.getsockname()))
    assert len(handler.seen[0]) == RECEIVE_BYTES


def test_a_failed_send_is_counted_and_stops_nothing():
    # The kernel refuses a datagram over 65,507 bytes.
    receiver, handler = asyncio.run(exchange([b"one", b"two"], ("127.0.0.1", 9), repeat=70_000))
    assert len(handler.seen) == 2
    assert receiver.send_failures == 2


def test_a_refusing_agent_costs_no_exception():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as agent:
        agent.bind(("127.0.0.1", 0))
        closed_port = agent.getsockname()
    receiver, handler = asyncio.run(exchange([b"one", b"two", b"three"], closed_port))
    assert len(handler.seen) == 3
    # The refusal of one datagram is reported by the next send.
    assert receiver.send_failures > 0


def open_socket(address=("127.0.0.1", 0)):
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind(address)
    opened.settimeout(10)
    return opened


@pytest.mark.parametrize("with_alternative", [False, True])
def test_what_reports_an_earlier_refusal_is_sent_all_the_same(with_alternative):
    # A connected socket fails the next send with the ICMP error of the one before.
    agent, other, sender = open_socket(), open_socket(), open_socket()
    address = agent.getsockname()
    agent.close()
    receiver = DatagramReceiver(LOOPBACK)
    handler = Handler(address, 2, 1, other.getsockname() if with_alternative else None)
    sender.sendto(b"lost", (receiver.endpoint.host, receiver.endpoint.port))
    while not handler.seen:
        receiver.drain(handler)
    agent = open_socket(address)
    sender.sendto(b"sent", (receiver.endpoint.host, receiver.endpoint.port))
    while len(handler.seen) < 2:
        receiver.drain(handler)
    taker = other if with_alternative else agent
    assert taker.recv(100) == b"sent"
    assert handler.refused == [address]
    assert receiver.send_failures == 1
    receiver.close()
    for opened in (agent, other, sender):
        opened.close()


def test_a_port_in_use_is_refused():
    first = DatagramReceiver(LOOPBACK)
    try:
        with pytest.raises(OSError, match="in use"):
            DatagramReceiver(first.endpoint)
    finally:
        first.close()
