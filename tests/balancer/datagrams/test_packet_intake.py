"""The order in which a busy balancer handles packets, and its load shedding of new flows."""

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.packet_intake import (
    MAX_INTAKE_SECONDS,
    MAX_WAITING_OPENINGS,
    OPENINGS_PER_BATCH,
    PacketIntake,
)
from jasperwalk.flows.frames import FrameKind
from tests.balancer.datagrams.support import Harness, record
from tests.flows.support import OPENING, from_caller

DATA = from_caller(0, b"data")


def syn(port):
    return from_caller(OPENING, caller=Endpoint("100.64.0.9", port))


def intake(**options):
    harness = Harness(record(1), **options)
    return harness, PacketIntake(harness.core)


def opened(harness):
    return [body for kind, _, body in harness.take_sent() if kind is FrameKind.OPEN]


def test_packets_of_other_kinds_do_not_wait():
    harness, desk = intake()
    desk.receive(syn(1), 1.0)
    desk.receive(DATA, 1.0)
    assert [kind for kind, _, _ in harness.take_sent()] == [FrameKind.FIND]
    assert desk.has_waiting()


def test_new_flows_are_opened_newest_first_and_some_at_a_time():
    harness, desk = intake()
    packets = [syn(port) for port in range(OPENINGS_PER_BATCH + 3)]
    for packet in packets:
        desk.receive(packet, 1.0)
    desk.open_waiting(1.0)
    assert opened(harness) == packets[:2:-1]
    assert desk.has_waiting()
    desk.receive(syn(1000), 1.1)
    desk.open_waiting(1.1)
    assert opened(harness) == [syn(1000), *packets[2::-1]]
    assert not desk.has_waiting()


def test_a_copy_of_a_waiting_packet_changes_nothing():
    harness, desk = intake()
    desk.receive(syn(1), 1.0)
    desk.receive(syn(2), 1.1)
    desk.receive(syn(1), 1.2)
    desk.open_waiting(1.2)
    assert opened(harness) == [syn(2), syn(1)]


def test_a_copy_of_an_opened_flows_packet_does_not_wait():
    harness, desk = intake()
    desk.receive(syn(1), 1.0)
    desk.open_waiting(1.0)
    opened(harness)
    desk.receive(syn(1), 1.2)
    assert opened(harness) == [syn(1)]


def test_a_flow_that_waited_too_long_is_reset_at_once():
    harness, desk = intake()
    desk.receive(syn(1), 1.0)
    desk.receive(syn(2), 1.2)
    desk.open_waiting(1.01 + MAX_INTAKE_SECONDS)
    assert opened(harness) == [syn(2)]
    assert [to for _, to in harness.resets] == [("100.64.0.9", 1)]


def test_a_full_intake_resets_the_oldest():
    harness, desk = intake()
    for port in range(MAX_WAITING_OPENINGS + 1):
        desk.receive(syn(port + 1), 1.0)
    assert [to for _, to in harness.resets] == [("100.64.0.9", 1)]


def test_without_routes_new_flows_are_kept_with_their_arrival_time():
    harness, desk = intake(version=0)
    desk.receive(syn(1), 1.0)
    desk.open_waiting(1.0)
    assert opened(harness) == []
    harness.route(1, "web")
    harness.core.routes_changed(1.5)
    assert opened(harness) == [syn(1)]


def test_malformed_packets_are_counted():
    harness, desk = intake()
    for packet in (b"", b"x", syn(1)[:-1]):
        desk.receive(packet, 1.0)
    assert harness.core.counters.packets_malformed == 3
    assert not desk.has_waiting()
