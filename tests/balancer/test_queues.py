"""Datagrams of new flows have a queue of their own, with lower priority than established ones."""

import socket

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.outcomes import DropReason, Outcomes
from jasperwalk.balancer.queues import DatagramQueues, QueueDrop
from jasperwalk.balancer.receiver import DatagramReceiver
from jasperwalk.messages.proxy_protocol import encode_header
from jasperwalk.routing.connection_ids import CONNECTION_ID_LENGTH

LOOPBACK = Endpoint("127.0.0.1", 0)
HEADER = encode_header(Endpoint("127.9.9.9", 40_000), Endpoint("127.1.0.1", 443))
FLOOD_COUNT = 20_000
ESTABLISHED_COUNT = 50


def long(connection_id_length):
    return HEADER + b"\xc0\x00\x00\x00\x01" + bytes([connection_id_length]) + bytes(1_200)


SHORT = HEADER + b"\x40" + bytes(100)
OPENING = long(8)


class Handler:
    def __init__(self):
        self.seen = []

    def handle(self, datagram, now):
        self.seen.append(datagram)
        return DropReason.NO_MEMBER

    def handle_all(self, datagrams, now):
        outcomes = Outcomes()
        for datagram in datagrams:
            outcomes.add(self.handle(datagram, now))
        return outcomes

    def agent_refused(self, agent, now):
        raise AssertionError(agent)


@pytest.fixture
def receiver():
    opened = DatagramReceiver(LOOPBACK)
    yield opened
    opened.close()


@pytest.fixture
def send(receiver):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.connect((receiver.endpoint.host, receiver.endpoint.port))
        yield sender.send


def test_a_flood_of_new_flows_neither_drops_nor_delays_established_datagrams(receiver, send):
    handler = Handler()
    for _ in range(FLOOD_COUNT):
        send(OPENING)
    for _ in range(ESTABLISHED_COUNT):
        send(SHORT)
    receiver.drain_openings(handler)
    assert handler.seen[:ESTABLISHED_COUNT] == [SHORT] * ESTABLISHED_COUNT
    assert set(handler.seen[ESTABLISHED_COUNT:]) == {OPENING}
    drops = receiver.queue_drops()
    assert drops[QueueDrop.ESTABLISHED] == 0
    assert drops[QueueDrop.OPENING] > 0


def test_new_flows_wait_while_established_datagrams_do(receiver, send):
    handler = Handler()
    send(OPENING)
    for _ in range(500):
        send(SHORT)
    turns = 0
    while OPENING not in handler.seen:
        receiver.drain_openings(handler)
        turns += 1
        assert turns < 10
    assert handler.seen == [SHORT] * 500 + [OPENING]


@pytest.mark.parametrize(
    ("datagram", "opens"),
    [
        (OPENING, True),
        (long(20), True),
        (long(CONNECTION_ID_LENGTH), False),
        (SHORT, False),
        (HEADER, False),
        (HEADER + b"\xc0", False),
        (b"", False),
    ],
    ids=["initial", "long-cid", "routable", "short", "empty-packet", "cut", "empty"],
)
def test_datagrams_wait_in_the_queue_of_their_class(receiver, send, datagram, opens):
    send(datagram)
    established = Handler()
    receiver.drain(established)
    assert established.seen == ([] if opens else [datagram])


def test_one_queue_serves_all_where_the_kernel_refuses_a_second(monkeypatch):
    monkeypatch.setattr("jasperwalk.balancer.queues.SO_ATTACH_REUSEPORT_CBPF", -1)
    queues = DatagramQueues(LOOPBACK)
    assert queues.opening is None
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in (OPENING, SHORT) * 20:
            sender.sendto(datagram, (queues.endpoint.host, queues.endpoint.port))
    assert [queues.established.recv(2_048) for _ in range(40)] == [OPENING, SHORT] * 20
    queues.close()
