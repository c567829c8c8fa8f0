"""The order in which a busy balancer takes packets."""

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.packet_intake import (
    MAX_INTAKE_SECONDS,
    MAX_WAITING_OPENINGS,
    OPENINGS_PER_BATCH,
    PacketIntake,
)
from jasperwalk.flows.frames import FrameKind
from tests.balancer.datagrams.support import Bench, record
from tests.flows.support import OPENING, from_caller

DATA = from_caller(0, b"data")


def syn(port):
    return from_caller(OPENING, caller=Endpoint("100.64.0.9", port))


def intake(**options):
    bench = Bench(record(1), **options)
    return bench, PacketIntake(bench.core)


def opened(bench):
    return [body for kind, _, body in bench.take_sent() if kind is FrameKind.OPEN]


def test_packets_of_other_kinds_do_not_wait():
    bench, desk = intake()
    desk.take(syn(1), 1.0)
    desk.take(DATA, 1.0)
    assert [kind for kind, _, _ in bench.take_sent()] == [FrameKind.FIND]
    assert desk.has_waiting()


def test_new_flows_are_opened_newest_first_and_some_at_a_time():
    bench, desk = intake()
    packets = [syn(port) for port in range(OPENINGS_PER_BATCH + 3)]
    for packet in packets:
        desk.take(packet, 1.0)
    desk.open_waiting(1.0)
    assert opened(bench) == packets[:2:-1]
    assert desk.has_waiting()
    desk.take(syn(1000), 1.1)
    desk.open_waiting(1.1)
    assert opened(bench) == [syn(1000), *packets[2::-1]]
    assert not desk.has_waiting()


def test_a_copy_of_a_waiting_packet_changes_nothing():
    bench, desk = intake()
    desk.take(syn(1), 1.0)
    desk.take(syn(2), 1.1)
    desk.take(syn(1), 1.2)
    desk.open_waiting(1.2)
    assert opened(bench) == [syn(2), syn(1)]


def test_a_copy_of_an_opened_flows_packet_does_not_wait():
    bench, desk = intake()
    desk.take(syn(1), 1.0)
    desk.open_waiting(1.0)
    opened(bench)
    desk.take(syn(1), 1.2)
    assert opened(bench) == [syn(1)]


def test_a_flow_that_waited_too_long_is_reset_at_once():
    bench, desk = intake()
    desk.take(syn(1), 1.0)
    desk.take(syn(2), 1.2)
    desk.open_waiting(1.01 + MAX_INTAKE_SECONDS)
    assert opened(bench) == [syn(2)]
    assert [to for _, to in bench.resets] == [("100.64.0.9", 1)]


def test_a_full_intake_lets_the_oldest_go():
    bench, desk = intake()
    for port in range(MAX_WAITING_OPENINGS + 1):
        desk.take(syn(port + 1), 1.0)
    assert [to for _, to in bench.resets] == [("100.64.0.9", 1)]


def test_without_routes_new_flows_are_kept_with_the_time_of_their_coming():
    bench, desk = intake(version=0)
    desk.take(syn(1), 1.0)
    desk.open_waiting(1.0)
    assert opened(bench) == []
    bench.route(1, "web")
    bench.core.routes_changed(1.5)
    assert opened(bench) == [syn(1)]


def test_malformed_packets_are_counted():
    bench, desk = intake()
    for packet in (b"", b"x", syn(1)[:-1]):
        desk.take(packet, 1.0)
    assert bench.core.counters.packets_malformed == 3
    assert not desk.has_waiting()
