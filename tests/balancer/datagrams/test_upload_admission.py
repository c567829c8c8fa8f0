"""Admission of uploads on a low-bandwidth link: the others wait, and are reset if too late."""

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
from tests.balancer.datagrams.support import Harness, record
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


def bulk_harness(megabits=MEGABITS, is_bulk=True):
    """Return a balancer whose only route is for uploads, on a link of this rate."""
    harness = Harness(record(1), record(2), version=0)
    backends = [RouteBackend("web", 1.0)]
    harness.routes.replace(RouteSet(1, [FlowRoute("r", LISTENER, backends, is_bulk)]))
    harness.now = 1.0
    core = harness.core
    core.link = pacer_of(megabits, core.send) if megabits else None
    core.uploads = UploadAdmission(PlainCodec(), core.link, WINDOW_BYTES, RESEND_SECONDS)
    if core.link is not None:
        core.send_bulk = lambda *datagram: core.link.send_bulk(*datagram, harness.now)
    return harness


def opened(harness, now=1.0):
    """Return the ports of the callers whose openings went to an agent, which accepts them."""
    ports = []
    for kind, number, body in harness.take_sent():
        if kind is FrameKind.OPEN:
            harness.answer(number, FrameKind.ACCEPTED, now, key=body[:12])
            ports.append(Endpoint.unpack(body[:6]).port)
    return ports


def full(waiting=(3, 4)):
    """Return a balancer whose link has no capacity left, with some uploads that wait."""
    harness = bulk_harness()
    for number in (1, 2, *waiting):
        harness.core.receive(packet(number, OPENING), 1.0)
    assert opened(harness) == [1, 2]
    return harness


def receive(harness, now, number, flags=0, data=b""):
    harness.now = now
    harness.core.receive(packet(number, flags, data), now)


@pytest.mark.parametrize(
    ("megabits", "count"),
    [(2.0, 1), (MEGABITS, 2), (3.7, 3), (7.4, 7), (0.1, 1), (1000.0, 900), (0.0, 900)],
)
def test_the_link_decides_how_many_windows_are_expected_at_once(megabits, count):
    harness = bulk_harness(megabits)
    for number in range(1, 901):
        harness.core.receive(packet(number, OPENING), 1.0)
    assert len(opened(harness)) == count


def test_an_upload_beyond_the_limit_waits_until_one_has_ended_the_oldest_first():
    harness = full()
    receive(harness, 1.1, 1, ENDING, b"last")
    harness.core.tick(1.12)
    assert opened(harness) == [3]
    receive(harness, 1.2, 2, RESET)
    harness.core.tick(1.22)
    assert opened(harness) == [4]
    assert harness.resets == []


def test_an_idle_upload_frees_capacity_though_it_has_not_ended():
    harness = full(waiting=(3,))
    receive(harness, 1.1, 1, 0, b"data")
    harness.core.tick(1.1 + LOADING_SECONDS)
    assert opened(harness) == []
    harness.core.tick(1.11 + LOADING_SECONDS)
    assert opened(harness) == [3]


def test_an_upload_whose_data_waits_for_the_link_frees_no_capacity():
    harness = full(waiting=(3,))
    keep_the_link_full(harness, 1.1)
    resting = 1.11 + FIRST_DATA_SECONDS
    harness.core.tick(resting)
    assert opened(harness) == []
    for step in range(35):
        harness.core.link.release(resting + step * 0.01)
    harness.core.tick(resting + 0.35)
    assert opened(harness) == [3]


def test_a_copy_of_a_waiting_uploads_opening_packet_changes_nothing():
    harness = full(waiting=(3,))
    receive(harness, 1.2, 3, OPENING, b"\x02")
    receive(harness, 1.3, 1, ENDING, b"last")
    harness.core.tick(1.32)
    receive(harness, 1.4, 2, ENDING, b"last")
    harness.core.tick(1.42)
    assert opened(harness) == [3]


def keep_the_link_full(harness, now):
    """Let two open uploads send more than the link can carry."""
    for number in (1, 2):
        for position in range(40):
            receive(harness, now, number, 0, bytes((position,)).ljust(1000, b"."))


def test_an_upload_that_waits_for_too_long_is_reset_before_its_caller_gives_up():
    harness = full(waiting=(3,))
    for step in range(int(MAX_WAIT_SECONDS / 0.1) + 2):
        now = 1.0 + step * 0.1
        keep_the_link_full(harness, now)
        harness.core.tick(now)
    assert [to for _, to in harness.resets] == [("100.64.0.9", 3)]
    assert not harness.core.uploads.has_waiting()
    assert harness.core.link.backlog_seconds() < MAX_BULK_SECONDS + RESEND_SECONDS


def test_an_upload_that_sends_nothing_is_not_expected_any_more():
    harness = full(waiting=(3,))
    receive(harness, 1.0 + FIRST_DATA_SECONDS, 2, 0, b"data")
    harness.core.tick(1.01 + FIRST_DATA_SECONDS)
    assert opened(harness) == [3]


def test_packets_without_data_free_no_capacity():
    harness = full(waiting=(3,))
    for number in (1, 2):
        receive(harness, 1.1, number)
    harness.core.tick(1.1)
    assert opened(harness) == []


def test_waiting_uploads_are_bounded():
    admission = UploadAdmission(PlainCodec(), pacer_of(MEGABITS, print), WINDOW_BYTES, 0.0)
    assert admission.take(b"first", b"", None, 1.0, 1.0)
    for number in range(MAX_WAITING_UPLOADS + 3):
        assert not admission.take(bytes((number >> 8, number & 255)), b"", None, 1.0, 1.0)
    assert len(admission.take_shed(1.0)) == 3


def test_other_flows_and_links_of_unknown_rate_are_not_limited():
    for harness in (bulk_harness(is_bulk=False), bulk_harness(megabits=0.0)):
        for number in (1, 2, 3, 4):
            harness.core.receive(packet(number, OPENING), 1.0)
        assert opened(harness) == [1, 2, 3, 4]


def test_an_upload_found_by_a_search_takes_its_turns_too():
    harness = bulk_harness()
    for position in range(20):
        receive(harness, 1.0, 7, 0, bytes((position,)).ljust(1000, b"."))
    asked = {number for kind, number, _ in harness.take_sent() if kind is FrameKind.FIND}
    key = PlainCodec().flow_key(packet(7))
    harness.answer(min(asked), FrameKind.HELD, 1.0, key=key)
    carried = [kind for kind, _, _ in harness.take_sent() if kind is FrameKind.CARRY]
    assert 0 < len(carried) < 16
    assert harness.core.link.backlog_bytes() > 0
