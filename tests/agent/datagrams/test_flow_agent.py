"""The agent forwards packets both ways and counts requests in flight."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.held_flow import HeldFlow
from jasperwalk.flows.frames import (
    FrameKind,
    encode_request,
)
from tests.agent.datagrams.support import BALANCER, LIFETIME, OTHER_BALANCER, Harness
from tests.flows.support import (
    CALLER,
    ENDING,
    OPENING,
    RESET,
    RETURNED,
    from_caller,
    from_host,
)


def test_a_new_flow_goes_to_the_host_and_is_confirmed():
    harness = Harness()
    assert harness.open().kind is FrameKind.ACCEPTED
    assert harness.host_packets == [from_caller(OPENING)]
    harness.follow_up([CALLER])
    assert harness.find() is FrameKind.HELD


@pytest.mark.parametrize(
    ("numbers", "busy"),
    [
        ([5], 1),
        ([5, 5], 0),
        ([5, 4], 0),
        ([5, 6], 1),
        ([0xFF, 0x00], 0),
    ],
)
def test_a_copy_of_a_request_that_was_answered_is_no_request(numbers, busy):
    harness = Harness()
    harness.open()
    first, *later = numbers
    harness.frame(FrameKind.CARRY, from_caller(0, bytes((first,))))
    if later:
        harness.agent.receive_host_packet(from_host(0, b"answer"), 1.1)
    for number in later:
        harness.frame(FrameKind.CARRY, from_caller(0, bytes((number,))), 1.2)
    assert harness.agent.meter.busy == busy


@pytest.mark.parametrize(
    ("before", "after", "is_new"), [(2**32 - 1, 0, True), (0, 2**32 - 1, False)]
)
def test_numbers_of_data_wrap_around(before, after, is_new):
    flow = HeldFlow(BALANCER, 0.0, 0.0, data_number=before)
    assert flow.record_data_number(after) is is_new


def test_packets_of_a_held_flow_pass_both_ways_unchanged():
    harness = Harness()
    harness.open()
    harness.frame(FrameKind.CARRY, from_caller(0, b"request"))
    harness.agent.receive_host_packet(from_host(0, b"answer"), 1.1)
    assert harness.host_packets[-1] == from_caller(0, b"request")
    assert harness.caller_packets == [(from_host(0, b"answer"), (CALLER.host, CALLER.port))]


def test_the_load_counts_requests_under_way():
    harness = Harness()
    harness.open()
    assert harness.agent.meter.busy == 1
    harness.agent.receive_host_packet(from_host(0, b"answer"), 1.1)
    assert harness.agent.meter.busy == 0
    harness.frame(FrameKind.CARRY, from_caller(0, b"next request"), 1.2)
    assert harness.agent.meter.busy == 1
    harness.frame(FrameKind.CARRY, from_caller(RESET), 1.3)
    assert harness.agent.meter.busy == 0


def test_a_returned_packet_is_as_the_caller_wrote_it():
    harness = Harness()
    harness.frame(FrameKind.CARRY, from_caller(0, b"data"))
    harness.agent.receive_host_packet(from_caller(RETURNED, b"data"), 1.1)
    reply, _ = harness.replies[-1]
    assert (reply.kind, reply.packet) == (FrameKind.RETURNED, from_caller(0, b"data"))


def test_a_packet_for_another_service_never_reaches_the_host():
    harness = Harness()
    harness.frame(FrameKind.CARRY, from_caller(0, b"data"), service="export")
    assert harness.host_packets == []
    assert harness.replies[-1][0].kind is FrameKind.RETURNED
    assert harness.find(service="export") is FrameKind.NOT_HELD


def test_the_answer_goes_to_the_balancer_that_sent_last():
    harness = Harness()
    harness.open()
    harness.frame(FrameKind.CARRY, from_caller(0, b"data"), sender=OTHER_BALANCER)
    harness.agent.receive_host_packet(from_caller(RETURNED, b"data"), 1.1)
    assert harness.replies[-1][1] == OTHER_BALANCER


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\x01",
        encode_request(FrameKind.OPEN, 0, 1, b""),
        encode_request(FrameKind.CARRY, 0, 1, from_caller(0, b"data")[:-1]),
        encode_request(FrameKind.FIND, 0, 1, b"short"),
        encode_request(FrameKind.HELD, 0, 1, from_caller()),
        b"\xff" * 50,
    ],
    ids=["empty", "one byte", "no packet", "cut", "short key", "agent's kind", "noise"],
)
def test_malformed_frames_are_counted_and_go_nowhere(data):
    harness = Harness()
    harness.agent.receive_frame(data, BALANCER, 1.0)
    assert harness.agent.counters.frames_malformed == 1
    assert harness.host_packets == harness.replies == []


def test_malformed_packets_of_the_host_are_counted():
    harness = Harness()
    harness.agent.receive_host_packet(b"noise", 1.0)
    assert harness.agent.counters.host_packets_malformed == 1
    assert harness.caller_packets == []


def test_ended_flows_are_forgotten_after_a_while_and_open_ones_are_kept():
    harness = Harness()
    harness.open()
    harness.open(caller=Endpoint("100.64.0.8", 1))
    harness.agent.receive_host_packet(from_host(ENDING, b"answer"), 1.1)
    harness.frame(FrameKind.CARRY, from_caller(ENDING), 1.2)
    harness.agent.sweep(2.0)
    assert len(harness.agent) == 2
    harness.agent.sweep(20.0)
    assert len(harness.agent) == 1
    assert harness.agent.meter.busy == 0
    harness.agent.sweep(1.0 + LIFETIME + 11.0)
    assert len(harness.agent) == 0
