"""Uploads on a thin link: opened as it has room, the others wait or are told to come back."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.flows.frames import FrameKind
from jasperwalk.flows.routes import FlowRoute, RouteBackend, RouteSet
from jasperwalk.scheduling.link_pacer import (
    MAX_BULK_SECONDS,
    PACED_SHARE,
    LinkPacer,
    link_bytes_per_second,
)
from jasperwalk.scheduling.upload_admission import (
    FIRST_DATA_SECONDS,
    LOADING_SECONDS,
    MAX_WAIT_SECONDS,
    MAX_WAITING_UPLOADS,
    UploadAdmission,
)
from tests.balancer.datagrams.support import Bench, record
from tests.flows.support import (
    ENDING,
    LISTENER,
    OPENING,
    RESET,
    PlainCodec,
    from_caller,
)

WINDOW_BYTES = 20_000
RESEND_SECONDS = 0.2
MEGABITS = 2.5
"""A link that carries two windows before a caller sends again."""


def pacer_of(megabits, transmit):
    return LinkPacer(PACED_SHARE * link_bytes_per_second(megabits), transmit)


def caller(number):
    return Endpoint("100.64.0.9", number)


def packet(number, flags=0, data=b""):
    return from_caller(flags, data, caller=caller(number))


def bulk_bench(megabits=MEGABITS, is_bulk=True):
    """Return a balancer whose only route takes uploads, on a link of this rate."""
    bench = Bench(record(1), record(2), version=0)
    backends = [RouteBackend("web", 1.0)]
    bench.routes.replace(RouteSet(1, [FlowRoute("r", LISTENER, backends, is_bulk)]))
    bench.now = 1.0
    core = bench.core
    core.link = pacer_of(megabits, core.send) if megabits else None
    core.uploads = UploadAdmission(PlainCodec(), core.link, WINDOW_BYTES, RESEND_SECONDS)
    if core.link is not None:
        core.send_bulk = lambda *datagram: core.link.send_bulk(*datagram, bench.now)
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
    """Return a balancer that expects as much as its link carries, and some uploads that wait."""
    bench = bulk_bench()
    for number in (1, 2, *waiting):
        bench.core.receive(packet(number, OPENING), 1.0)
    assert opened(bench) == [1, 2]
    return bench


def receive(bench, now, number, flags=0, data=b""):
    bench.now = now
    bench.core.receive(packet(number, flags, data), now)


@pytest.mark.parametrize(
    ("megabits", "count"),
    [(2.0, 1), (MEGABITS, 2), (3.7, 3), (7.4, 7), (0.1, 1), (1000.0, 900), (0.0, 900)],
)
def test_the_link_decides_how_many_windows_are_expected_at_once(megabits, count):
    bench = bulk_bench(megabits)
    for number in range(1, 901):
        bench.core.receive(packet(number, OPENING), 1.0)
    assert len(opened(bench)) == count


def test_an_upload_beyond_the_limit_waits_until_one_has_ended_the_oldest_first():
    bench = full()
    receive(bench, 1.1, 1, ENDING, b"last")
    bench.core.tick(1.12)
    assert opened(bench) == [3]
    receive(bench, 1.2, 2, RESET)
    bench.core.tick(1.22)
    assert opened(bench) == [4]
    assert bench.resets == []


def test_an_upload_that_rests_makes_room_though_it_has_not_ended():
    bench = full(waiting=(3,))
    receive(bench, 1.1, 1, 0, b"data")
    bench.core.tick(1.1 + LOADING_SECONDS)
    assert opened(bench) == []
    bench.core.tick(1.11 + LOADING_SECONDS)
    assert opened(bench) == [3]


def test_an_upload_whose_data_waits_for_the_link_makes_no_room():
    bench = full(waiting=(3,))
    keep_the_link_full(bench, 1.1)
    resting = 1.11 + FIRST_DATA_SECONDS
    bench.core.tick(resting)
    assert opened(bench) == []
    for step in range(35):
        bench.core.link.release(resting + step * 0.01)
    bench.core.tick(resting + 0.35)
    assert opened(bench) == [3]


def test_a_copy_of_a_waiting_uploads_opening_packet_changes_nothing():
    bench = full(waiting=(3,))
    receive(bench, 1.2, 3, OPENING, b"\x02")
    receive(bench, 1.3, 1, ENDING, b"last")
    bench.core.tick(1.32)
    receive(bench, 1.4, 2, ENDING, b"last")
    bench.core.tick(1.42)
    assert opened(bench) == [3]


def keep_the_link_full(bench, now):
    """Let two open uploads send more than the link carries."""
    for number in (1, 2):
        for position in range(40):
            receive(bench, now, number, 0, bytes((position,)).ljust(1000, b"."))


def test_an_upload_that_waits_for_too_long_is_reset_before_its_caller_gives_up():
    bench = full(waiting=(3,))
    for step in range(int(MAX_WAIT_SECONDS / 0.1) + 2):
        now = 1.0 + step * 0.1
        keep_the_link_full(bench, now)
        bench.core.tick(now)
    assert [to for _, to in bench.resets] == [("100.64.0.9", 3)]
    assert not bench.core.uploads.has_waiting()
    assert bench.core.link.backlog_seconds() < MAX_BULK_SECONDS + RESEND_SECONDS


def test_an_upload_that_sends_nothing_is_not_expected_any_more():
    bench = full(waiting=(3,))
    receive(bench, 1.0 + FIRST_DATA_SECONDS, 2, 0, b"data")
    bench.core.tick(1.01 + FIRST_DATA_SECONDS)
    assert opened(bench) == [3]


def test_packets_without_data_make_no_room():
    bench = full(waiting=(3,))
    for number in (1, 2):
        receive(bench, 1.1, number)
    bench.core.tick(1.1)
    assert opened(bench) == []


def test_waiting_uploads_are_bounded():
    admission = UploadAdmission(PlainCodec(), pacer_of(MEGABITS, print), WINDOW_BYTES, 0.0)
    assert admission.take(b"first", b"", None, 1.0, 1.0)
    for number in range(MAX_WAITING_UPLOADS + 3):
        assert not admission.take(bytes((number >> 8, number & 255)), b"", None, 1.0, 1.0)
    assert len(admission.take_shed(1.0)) == 3


def test_other_flows_and_links_of_unknown_rate_are_not_limited():
    for bench in (bulk_bench(is_bulk=False), bulk_bench(megabits=0.0)):
        for number in (1, 2, 3, 4):
            bench.core.receive(packet(number, OPENING), 1.0)
        assert opened(bench) == [1, 2, 3, 4]


def test_an_upload_found_by_a_search_takes_its_turns_too():
    bench = bulk_bench()
    for position in range(20):
        receive(bench, 1.0, 7, 0, bytes((position,)).ljust(1000, b"."))
    asked = {number for kind, number, _ in bench.take_sent() if kind is FrameKind.FIND}
    key = PlainCodec().flow_key(packet(7))
    bench.answer(min(asked), FrameKind.HELD, 1.0, key=key)
    carried = [kind for kind, _, _ in bench.take_sent() if kind is FrameKind.CARRY]
    assert 0 < len(carried) < 16
    assert bench.core.link.backlog_bytes() > 0
