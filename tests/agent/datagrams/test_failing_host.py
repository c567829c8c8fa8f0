"""A host that takes flows and fails their requests, as its agent sees it."""

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


def requested(bench, port, now):
    """Open a flow and send its request."""
    assert bench.open(now, caller(port)).kind is FrameKind.ACCEPTED
    bench.frame(FrameKind.CARRY, from_caller(0, b"request", caller=caller(port)), now)


def reset_by_host(bench, port, now):
    requested(bench, port, now)
    bench.agent.receive_host_packet(from_host(RESET, caller=caller(port)), now + 0.01)


def failing_bench(now=1.0):
    bench = Harness()
    for port in range(MIN_FAILURES):
        reset_by_host(bench, port + 1, now)
    return bench


def test_a_host_that_resets_its_requests_gets_no_more_new_flows():
    bench = failing_bench()
    refused = bench.open(1.1, caller(50))
    assert (refused.kind, refused.flags) == (FrameKind.REFUSED, RefusalReason.FAILING)
    assert bench.agent.counters.requests_broken_off == MIN_FAILURES


def test_a_flow_that_found_no_other_host_is_taken_all_the_same():
    bench = failing_bench()
    assert bench.open(1.1, caller(50), flags=FLAG_WAIT).kind is FrameKind.ACCEPTED


def test_trials_are_made_with_requests_that_may_be_repeated():
    bench = failing_bench()
    now = 1.02 + MIN_PAUSE_SECONDS + TRIAL_INTERVAL_SECONDS
    assert bench.open(now, caller(50)).kind is FrameKind.REFUSED
    assert bench.open(now, caller(51), flags=FLAG_REPEATABLE).kind is FrameKind.ACCEPTED
    assert bench.open(now, caller(52), flags=FLAG_REPEATABLE).kind is FrameKind.REFUSED


def test_a_copy_of_an_opening_that_was_taken_passes():
    bench = Harness()
    assert bench.open(1.0, caller(9)).kind is FrameKind.ACCEPTED
    for port in range(1, MIN_FAILURES + 1):
        reset_by_host(bench, port, 1.0)
    assert bench.open(1.2, caller(9)).kind is FrameKind.ACCEPTED


def test_requests_without_any_answer_count_once():
    bench = Harness()
    requested(bench, 1, 1.0)
    for step in range(4):
        bench.agent.sweep(1.01 + UNANSWERED_SECONDS + step * 0.1)
    assert bench.agent.counters.requests_unanswered == 1


@pytest.mark.parametrize("order", [b"abc", b"cab", b"cba"])
def test_an_upload_that_stands_still_says_nothing_of_the_host(order):
    bench = Harness()
    assert bench.open(1.0, caller(1)).kind is FrameKind.ACCEPTED
    for number in order:
        part = from_caller(0, bytes((number,)), caller=caller(1))
        bench.frame(FrameKind.CARRY, part, 1.0)
    bench.agent.sweep(1.5 + UNANSWERED_SECONDS)
    assert bench.agent.counters.requests_unanswered == 0


def test_a_copy_of_a_request_does_not_make_it_long():
    bench = Harness()
    requested(bench, 1, 1.0)
    bench.frame(FrameKind.CARRY, from_caller(0, b"request", caller=caller(1)), 1.2)
    bench.agent.sweep(1.5 + UNANSWERED_SECONDS)
    assert bench.agent.counters.requests_unanswered == 1


def test_resets_of_flows_without_a_request_do_not_count():
    bench = Harness()
    for port in range(1, 10):
        requested(bench, port, 1.0)
        bench.agent.receive_host_packet(from_host(0, b"answer", caller=caller(port)), 1.01)
        bench.agent.receive_host_packet(from_host(RESET, caller=caller(port)), 1.02)
    assert bench.agent.counters.requests_broken_off == 0
    assert bench.open(1.1, caller(50)).kind is FrameKind.ACCEPTED


def test_another_host_in_its_place_is_not_judged_by_it():
    bench = failing_bench()
    bench.agent.host_changed(1.05)
    assert bench.open(1.1, caller(50)).kind is FrameKind.ACCEPTED


@pytest.mark.parametrize("first_is_the_end", [False, True])
def test_an_answer_counts_once_though_its_end_overtakes_its_data(first_is_the_end):
    bench = Harness()
    for port in range(1, 11):
        requested(bench, port, 1.0)
        packets = [from_host(0, b"answer", caller=caller(port))]
        packets.insert(0 if first_is_the_end else 1, from_host(ENDING, caller=caller(port)))
        for packet in packets:
            bench.agent.receive_host_packet(packet, 1.01)
    assert bench.agent.counters.requests_answered == 10
    assert bench.agent.meter.busy == 0
