"""Packets that arrive before the first routes are handled once the routes are in force."""

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.early_packets import (
    MAX_HOLD_SECONDS,
    MAX_PACKETS,
    EarlyPackets,
)
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.flows.frames import FrameKind
from tests.balancer.datagrams.support import Harness, record
from tests.flows.support import OPENING, from_caller, key_of

OTHER = Endpoint("100.64.0.9", 40009)
SYN = from_caller(OPENING)
OTHER_SYN = from_caller(OPENING, caller=OTHER)
DATA = from_caller(0, b"data")
MORE = from_caller(0, b"more")


def early(*packets, agents=(1,)):
    """Return a balancer without routes that received these packets 0.1 s apart."""
    harness = Harness(*(record(number) for number in agents), version=0)
    for position, packet in enumerate(packets):
        harness.core.receive(packet, 1.0 + 0.1 * position)
    assert harness.take_sent() == harness.resets == []
    return harness


def routes_come(harness, *services, now=1.5):
    harness.route(1, *(services or ("web",)))
    harness.core.routes_changed(now)


def test_a_new_flow_is_opened_once_routes_are_there():
    harness = early(SYN, SYN)
    routes_come(harness)
    assert harness.take_sent() == [(FrameKind.OPEN, 1, SYN)]


def test_the_newest_flow_is_opened_first():
    harness = early(SYN, OTHER_SYN)
    routes_come(harness)
    assert harness.take_sent() == [(FrameKind.OPEN, 1, OTHER_SYN), (FrameKind.OPEN, 1, SYN)]


def test_the_holder_of_an_open_flow_gets_its_packets_in_order():
    harness = early(DATA, MORE)
    routes_come(harness)
    assert harness.take_sent() == [(FrameKind.FIND, 1, key_of())]
    harness.answer(1, FrameKind.HELD, 1.51)
    assert harness.take_sent() == [(FrameKind.CARRY, 1, DATA), (FrameKind.CARRY, 1, MORE)]


def test_a_flow_without_a_route_is_reset_then_and_not_before():
    harness = early(SYN)
    harness.route(1)
    harness.core.routes_changed(1.5)
    assert len(harness.resets) == 1


def test_packets_that_are_too_old_are_dropped():
    harness = early(SYN)
    routes_come(harness, now=1.01 + MAX_HOLD_SECONDS)
    assert harness.take_sent() == []


def test_a_flow_that_waits_for_a_host_has_waited_since_it_came():
    harness = early(SYN, agents=())
    harness.update_fleet(record(1, HostPhase.UNKNOWN), now=1.4)
    routes_come(harness)
    assert harness.core.has_pending()
    harness.core.tick(1.01 + MAX_HOLD_SECONDS)
    assert len(harness.resets) == 1


def test_later_routes_play_nothing_again():
    harness = early(SYN)
    routes_come(harness)
    harness.take_sent()
    harness.route(2, "web")
    harness.core.routes_changed(1.6)
    assert harness.take_sent() == []


def test_a_full_store_keeps_the_newest():
    store = EarlyPackets()
    for number in range(MAX_PACKETS + 1):
        store.hold(number.to_bytes(4, "big"), 1.0)
    taken = store.take(1.0)
    assert len(taken) == MAX_PACKETS
    assert taken[0].packet == (1).to_bytes(4, "big")
    assert len(store) == 0
