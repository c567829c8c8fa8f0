"""An agent detects a host that takes flows and fails their requests."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.held_flow import UNANSWERED_SECONDS
from jasperwalk.flows.frames import FLAG_REPEATABLE, FLAG_WAIT, FrameKind, RefusalReason
from jasperwalk.scheduling.request_outcomes import (
    MIN_FAILURES,
    MIN_PAUSE_SECONDS,
    TRIAL_INTERVAL_SECONDS,
)
from tests.agent.datagrams.support import Harness
from tests.flows.support import ENDING, RESET, from_caller, from_host


def caller(port):
    return Endpoint("100.64.0.20", port)


def requested(harness, port, now):
    """Open a flow and send its request."""
    assert harness.open(now, caller(port)).kind is FrameKind.ACCEPTED
    harness.frame(FrameKind.CARRY, from_caller(0, b"request", caller=caller(port)), now)


def reset_by_host(harness, port, now):
    requested(harness, port, now)
    harness.agent.receive_host_packet(from_host(RESET, caller=caller(port)), now + 0.01)


def failing_host_harness(now=1.0):
    harness = Harness()
    for port in range(MIN_FAILURES):
        reset_by_host(harness, port + 1, now)
    return harness


def test_a_host_that_resets_its_requests_gets_no_more_new_flows():
    harness = failing_host_harness()
    refused = harness.open(1.1, caller(50))
    assert (refused.kind, refused.flags) == (FrameKind.REFUSED, RefusalReason.FAILING)
    assert harness.agent.counters.requests_broken_off == MIN_FAILURES


def test_a_flow_that_found_no_other_host_is_taken_all_the_same():
    harness = failing_host_harness()
    assert harness.open(1.1, caller(50), flags=FLAG_WAIT).kind is FrameKind.ACCEPTED


def test_trials_are_made_with_requests_that_may_be_repeated():
    harness = failing_host_harness()
    now = 1.02 + MIN_PAUSE_SECONDS + TRIAL_INTERVAL_SECONDS
    assert harness.open(now, caller(50)).kind is FrameKind.REFUSED
    assert harness.open(now, caller(51), flags=FLAG_REPEATABLE).kind is FrameKind.ACCEPTED
    assert harness.open(now, caller(52), flags=FLAG_REPEATABLE).kind is FrameKind.REFUSED


def test_a_copy_of_an_admitted_opening_is_forwarded():
    harness = Harness()
    assert harness.open(1.0, caller(9)).kind is FrameKind.ACCEPTED
    for port in range(1, MIN_FAILURES + 1):
        reset_by_host(harness, port, 1.0)
    assert harness.open(1.2, caller(9)).kind is FrameKind.ACCEPTED


def test_requests_without_any_answer_count_once():
    harness = Harness()
    requested(harness, 1, 1.0)
    for step in range(4):
        harness.agent.sweep(1.01 + UNANSWERED_SECONDS + step * 0.1)
    assert harness.agent.counters.requests_unanswered == 1


@pytest.mark.parametrize("order", [b"abc", b"cab", b"cba"])
def test_an_upload_that_stands_still_says_nothing_of_the_host(order):
    harness = Harness()
    assert harness.open(1.0, caller(1)).kind is FrameKind.ACCEPTED
    for number in order:
        part = from_caller(0, bytes((number,)), caller=caller(1))
        harness.frame(FrameKind.CARRY, part, 1.0)
    harness.agent.sweep(1.5 + UNANSWERED_SECONDS)
    assert harness.agent.counters.requests_unanswered == 0


def test_a_copy_of_a_request_does_not_make_it_long():
    harness = Harness()
    requested(harness, 1, 1.0)
    harness.frame(FrameKind.CARRY, from_caller(0, b"request", caller=caller(1)), 1.2)
    harness.agent.sweep(1.5 + UNANSWERED_SECONDS)
    assert harness.agent.counters.requests_unanswered == 1


def test_resets_of_flows_without_a_request_do_not_count():
    harness = Harness()
    for port in range(1, 10):
        requested(harness, port, 1.0)
        harness.agent.receive_host_packet(from_host(0, b"answer", caller=caller(port)), 1.01)
        harness.agent.receive_host_packet(from_host(RESET, caller=caller(port)), 1.02)
    assert harness.agent.counters.requests_broken_off == 0
    assert harness.open(1.1, caller(50)).kind is FrameKind.ACCEPTED


def test_a_replacement_host_does_not_inherit_the_verdict():
    harness = failing_host_harness()
    harness.agent.on_new_host(1.05)
    assert harness.open(1.1, caller(50)).kind is FrameKind.ACCEPTED


@pytest.mark.parametrize("first_is_the_end", [False, True])
def test_an_answer_counts_once_though_its_end_overtakes_its_data(first_is_the_end):
    harness = Harness()
    for port in range(1, 11):
        requested(harness, port, 1.0)
        packets = [from_host(0, b"answer", caller=caller(port))]
        packets.insert(0 if first_is_the_end else 1, from_host(ENDING, caller=caller(port)))
        for packet in packets:
            harness.agent.receive_host_packet(packet, 1.01)
    assert harness.agent.counters.requests_answered == 10
    assert harness.agent.meter.busy == 0
