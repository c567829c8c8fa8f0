"""Requests are assembled and bounded; malformed ones are refused before they reach a backend."""

import pytest

from jasperwalk.agent.assembly import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    RequestAssembler,
    RequestReady,
    RequestRejected,
)
from jasperwalk.agent.health import EVIDENCE_SECONDS, BackendHealth
from jasperwalk.agent.http3 import RequestCancelled, RequestData, RequestHeaders, StreamReference

STREAM = StreamReference(1, 0)
HEAD = {b":method": b"POST", b":path": b"/submit?x=1", b":authority": b"service.test:443"}


def _headers(stream=STREAM, ended=True, **changes):
    fields = {**HEAD, **{name.encode(): value for name, value in changes.items()}}
    return RequestHeaders(stream, list(fields.items()), ended)


REFUSED = {
    "no path": {":path": b""},
    "path of another form": {":path": b"*"},
    "space in the path": {":path": b"/a HTTP/1.1\r\nx: y"},
    "fragment in the path": {":path": b"/a#b"},
    "line break in a value": {"x": b"a\r\ny: b"},
    "NUL in a value": {"x": b"a\x00"},
    "space in a name": {"x y": b"a"},
    "upper-case name": {"Host": b"a"},
    "user in the authority": {":authority": b"user@service.test"},
    "tunnel": {":method": b"CONNECT"},
    "odd method": {":method": b"GET /x"},
}


@pytest.mark.parametrize("case", REFUSED)
def test_malformed_requests_are_refused(case):
    (item,) = RequestAssembler("t").handle(_headers(**REFUSED[case]), 1000)
    assert isinstance(item, RequestRejected)
    assert item.answer.status == 400


@pytest.mark.parametrize(
    ("value", "expected_ms", "by_caller"),
    [
        (b"250", 250, True),
        (b"9" * 400, 24 * 3600 * 1000, True),
        (b"-1", 1000, False),
        (b"soon", 1000, False),
    ],
)
def test_the_deadline_of_a_request(value, expected_ms, by_caller):
    event = _headers(**{"jasperwalk-deadline-ms": value})
    (item,) = RequestAssembler("t").handle(event, 1000)
    assert isinstance(item, RequestReady)
    assert (item.request.deadline_ms, item.request.deadline_by_caller) == (expected_ms, by_caller)


def _send(assembler, stream, length, ended):
    piece = b"x" * (256 * 1024)
    results = assembler.handle(_headers(stream, ended=False), 1000)
    while length > 0:
        results += assembler.handle(RequestData(stream, piece[:length], False), 1000)
        length -= len(piece)
    return results + (assembler.handle(RequestData(stream, b"", True), 1000) if ended else [])


@pytest.mark.parametrize(("length", "status"), [(MAX_BODY_BYTES, 0), (MAX_BODY_BYTES + 1, 413)])
def test_a_body_is_bounded(length, status):
    (item,) = _send(RequestAssembler("t"), STREAM, length, ended=True)
    assert getattr(getattr(item, "answer", None), "status", 0) == status
    assert status or len(item.request.body) == length


@pytest.mark.parametrize(
    ("announced", "refused"),
    [
        (str(MAX_BODY_BYTES), False),
        (str(MAX_BODY_BYTES + 1), True),
        ("9" * 5_000, True),
        ("-5", False),
        ("many", False),
    ],
)
def test_a_body_that_is_announced_too_long_is_refused_before_it_comes(announced, refused):
    event = _headers(ended=False, **{"content-length": announced.encode()})
    results = RequestAssembler("t").handle(event, 1000)
    assert [item.answer.status for item in results] == ([413] if refused else [])


def test_all_bodies_together_are_bounded_and_cancelled_ones_do_not_count():
    assembler = RequestAssembler("t")
    streams = [StreamReference(1, 4 * n) for n in range(MAX_BUFFERED_BYTES // MAX_BODY_BYTES)]
    for stream in streams:
        assert _send(assembler, stream, MAX_BODY_BYTES, ended=False) == []
    one_more = StreamReference(2, 0)
    (item,) = _send(assembler, one_more, 1, ended=True)
    assert item.answer.status == 503
    assert assembler.handle(RequestCancelled(streams[0]), 1000) == [RequestCancelled(streams[0])]
    (item,) = _send(assembler, StreamReference(2, 4), 1, ended=True)
    assert isinstance(item, RequestReady)


HEALTH = {
    "too few failures": (["monitor_failed"] * 2, True),
    "monitor fails": (["monitor_failed"] * 3, False),
    "an answered request outranks the monitor": (["monitor_failed"] * 3 + ["answered"], True),
    "refused connections outrank an earlier answer": (
        ["answered"] + ["request_refused"] * 3,
        False,
    ),
    "a success heals": (["request_refused"] * 3 + ["monitor_succeeded"], True),
}


@pytest.mark.parametrize("case", HEALTH)
def test_health(case):
    steps, expected = HEALTH[case]
    health = BackendHealth(3)
    for step in steps:
        if step == "answered":
            health.request_answered(1.0)
        else:
            getattr(health, step)()
    assert health.healthy(1.0 + EVIDENCE_SECONDS / 2) is expected
