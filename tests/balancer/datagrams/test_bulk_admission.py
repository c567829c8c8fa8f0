"""Uploads on a thin link: a few at once, the others wait or are told to come back."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.balancer.datagrams.bulk_admission import (
    IDLE_SECONDS,
    LONGEST_WAIT_SECONDS,
    MAXIMUM_WAITING,
    BulkAdmission,
    uploads_at_once,
)
from jasperwalk.flows.frames import FrameKind
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet
from tests.balancer.datagrams.support import Bench, record
from tests.flows.support import (
    ENDING,
    LISTENER,
    OPENING,
    RESET,
    PlainCodec,
    from_caller,
)

LIMIT = 2


@pytest.mark.parametrize(
    ("megabits", "window_bytes", "limit"),
    [(3.7, 20_000, 2), (7.4, 20_000, 4), (0.1, 20_000, 1), (1000.0, 20_000, 625), (0.0, 1, None)],
)
def test_the_link_decides_how_many(megabits, window_bytes, limit):
    assert uploads_at_once(megabits, window_bytes) == limit


def caller(number):
    return Endpoint("100.64.0.9", number)


def packet(number, flags=0, data=b""):
    return from_caller(flags, data, caller=caller(number))


def bulk_bench(is_bulk=True):
    """Return a balancer whose only route takes uploads."""
    bench = Bench(record(1), record(2), version=0)
    backends = [RouteBackend("web", 1.0)]
    bench.routes.replace(RouteSet(1, [FlowRoute("r", LISTENER, backends, is_bulk)]))
    bench.core.uploads = BulkAdmission(PlainCodec(), LIMIT)
    return bench


def opened(bench, now=1.0):
    """Return the callers' ports whose openings went to an agent, which takes them."""
    ports = []
    for kind, number, body in bench.take_sent():
        if kind is FrameKind.OPEN:
            bench.answer(number, FrameKind.ACCEPTED, now, key=body[:12])
            ports.append(Endpoint.unpack(body[:6]).port)
    return ports


def full(waiting=(3, 4)):
    """Return a balancer with as many uploads as it carries at once, and some that wait."""
    bench = bulk_bench()
    for number in (1, 2, *waiting):
        bench.core.receive(packet(number, OPENING), 1.0)
    assert opened(bench) == [1, 2]
    return bench


def test_an_upload_beyond_the_limit_waits_until_one_has_ended_the_oldest_first():
    bench = full()
    bench.core.receive(packet(1, ENDING, b"last"), 1.1)
    bench.core.tick(1.12)
    assert opened(bench) == [3]
    bench.core.receive(packet(2, RESET), 1.2)
    bench.core.tick(1.22)
    assert opened(bench) == [4]
    assert bench.resets == []


def test_a_copy_of_a_waiting_uploads_opening_packet_changes_nothing():
    bench = full(waiting=(3,))
    bench.core.receive(packet(3, OPENING, b"\x02"), 1.2)
    bench.core.receive(packet(1, ENDING, b"last"), 1.3)
    bench.core.tick(1.32)
    bench.core.receive(packet(2, ENDING, b"last"), 1.4)
    bench.core.tick(1.42)
    assert opened(bench) == [3]


def test_an_upload_that_waits_for_too_long_is_reset_before_its_caller_gives_up():
    bench = full(waiting=(3,))
    for step in range(int(LONGEST_WAIT_SECONDS / 0.1) + 2):
        now = 1.0 + step * 0.1
        for number in (1, 2):
            bench.core.receive(packet(number, 0, b"data"), now)
        bench.core.tick(now)
    assert [to for _, to in bench.resets] == [("100.64.0.9", 3)]
    assert not bench.core.uploads.has_waiting()


def test_an_upload_that_has_come_to_rest_gives_its_place_up():
    bench = full(waiting=(3,))
    bench.core.receive(packet(2, 0, b"data"), 1.0 + IDLE_SECONDS)
    bench.core.tick(1.01 + IDLE_SECONDS)
    assert opened(bench) == [3]


def test_packets_without_data_do_not_load_the_link():
    bench = full(waiting=(3,))
    for step in range(1, 5):
        now = 1.0 + step * 0.1
        for number in (1, 2):
            bench.core.receive(packet(number), now)
    bench.core.tick(1.4)
    assert opened(bench) == [3]


def test_waiting_uploads_are_bounded():
    admission = BulkAdmission(PlainCodec(), 0)
    for number in range(MAXIMUM_WAITING + 3):
        assert not admission.take(bytes((number >> 8, number & 255)), b"", None, 1.0, 1.0)
    assert len(admission.take_late(1.0)) == 3


def test_other_flows_and_fat_links_are_not_limited():
    bench = bulk_bench(is_bulk=False)
    bench.core.receive(packet(1, OPENING), 1.0)
    for number in (2, 3, 4):
        bench.core.receive(packet(number, OPENING), 1.0)
    assert opened(bench) == [1, 2, 3, 4]
    unlimited = bulk_bench()
    unlimited.core.uploads = BulkAdmission(PlainCodec(), None)
    for number in (1, 2, 3, 4):
        unlimited.core.receive(packet(number, OPENING), 1.0)
    assert opened(unlimited) == [1, 2, 3, 4]
