"""Which new flows an agent admits, refuses or queues."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.half_open import (
    MAX_FOLLOW_UP_SECONDS,
    MIN_FOLLOW_UP_SECONDS,
    FollowUpTime,
)
from jasperwalk.agent.datagrams.host_admission import max_requests
from jasperwalk.agent.datagrams.host_response import (
    HOST_SILENCE_SECONDS,
    MAX_CONSECUTIVE_RETURNS,
    SILENT_LOAD_FACTOR,
    TRIAL_INTERVAL_SECONDS,
)
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.flows.frames import (
    FrameKind,
    OpeningTerms,
    RefusalReason,
    opening_flags,
)
from jasperwalk.scheduling.request_scheduler import MAX_WAIT_SECONDS
from tests.agent.datagrams.support import BALANCER, Harness
from tests.flows.support import (
    CALLER,
    ENDING,
    GREETING,
    OPENING,
    RESET,
    RETURNED,
    from_caller,
    from_host,
)


@pytest.mark.parametrize(
    ("phase", "service", "reason"),
    [
        (HostPhase.UNKNOWN, "web", RefusalReason.NOT_READY),
        (HostPhase.DRAINING, "web", RefusalReason.DRAINING),
        (HostPhase.READY, "export", RefusalReason.OTHER_SERVICE),
    ],
)
def test_a_new_flow_that_is_not_for_this_host_is_refused(phase, service, reason):
    harness = Harness(phase)
    reply = harness.open(service=service)
    assert (reply.kind, reply.flags) == (FrameKind.REFUSED, reason)
    assert harness.host_packets == []


def test_a_draining_host_gets_no_copy_of_an_opening_packet_either():
    harness = Harness()
    harness.open()
    harness.say(HostPhase.DRAINING, 2)
    assert harness.open(1.2).kind is FrameKind.REFUSED
    assert len(harness.host_packets) == 1


def test_a_full_host_refuses_at_once_and_takes_flows_again():
    harness = Harness()
    callers = harness.fill()
    assert harness.open().flags == RefusalReason.FULL
    harness.agent.receive_host_packet(from_host(ENDING, b"answer", caller=callers[0]), 1.1)
    assert harness.open().kind is FrameKind.ACCEPTED


def test_a_host_that_does_not_answer_gets_no_more_flows():
    """A host that crashed: its last announcement still says that it is ready."""
    harness = Harness()
    assert harness.open(1.0).kind is FrameKind.ACCEPTED
    later = 1.01 + HOST_SILENCE_SECONDS
    answer = harness.open(later, Endpoint("100.64.0.9", 1))
    assert (answer.kind, answer.flags) == (FrameKind.REFUSED, RefusalReason.SILENT)
    assert answer.load == SILENT_LOAD_FACTOR * 2
    harness.agent.sweep(later)
    assert harness.agent.log.names()[-1] == "host-silent"


def test_a_host_that_answers_again_gets_flows_at_once():
    harness = Harness()
    harness.open(1.0)
    harness.agent.sweep(2.0)
    harness.agent.receive_host_packet(from_host(0, b"hello"), 2.1)
    assert harness.agent.log.names()[-1] == "host-answers-again"
    assert harness.open(2.2, Endpoint("100.64.0.9", 1)).kind is FrameKind.ACCEPTED


def test_a_copy_of_the_opening_packet_is_accepted_again_but_counts_once():
    harness = Harness()
    harness.open()
    assert harness.open(1.2).kind is FrameKind.ACCEPTED
    assert len(harness.host_packets) == 2
    assert harness.agent.counters.flows_accepted == 1
    assert harness.agent.meter.busy == 1


def test_an_opening_packet_that_the_host_returns_is_a_refusal():
    harness = Harness()
    harness.open()
    harness.agent.receive_host_packet(from_caller(OPENING | RETURNED), 1.1)
    reply, to = harness.replies[-1]
    assert (reply.kind, reply.flags, to) == (
        FrameKind.REFUSED,
        RefusalReason.RETURNED,
        BALANCER,
    )
    assert harness.agent.meter.busy == 0


def test_a_flow_that_may_wait_is_admitted_when_a_request_ends():
    harness = Harness()
    callers = harness.fill()
    waiting = harness.wait(1)
    assert harness.host_packets == []
    harness.agent.receive_host_packet(from_host(0, b"answer", caller=callers[0]), 1.1)
    assert harness.host_packets == [from_caller(OPENING, caller=waiting)]


def test_the_newest_waiting_flow_is_admitted_first():
    harness = Harness()
    callers = harness.fill()
    old, new = harness.wait(1, 1.0), harness.wait(2, 1.1)
    for caller in callers[:2]:
        harness.agent.receive_host_packet(from_host(0, b"answer", caller=caller), 1.2)
    assert harness.host_packets == [
        from_caller(OPENING, caller=new),
        from_caller(OPENING, caller=old),
    ]


def test_a_copy_of_a_waiting_flows_packet_waits_with_it():
    harness = Harness()
    harness.fill()
    waiting = harness.wait(1)
    assert harness.open(1.2, waiting).kind is FrameKind.ACCEPTED
    assert len(harness.agent.queue) == 1


def test_a_full_queue_resets_its_oldest_flow_at_once():
    harness = Harness()
    harness.fill()
    limit = 0
    while not harness.caller_packets:
        harness.wait(limit + 1, 1.0 + limit * 0.001)
        limit += 1
    ((packet, to),) = harness.caller_packets
    assert (packet[12], to) == (RESET, ("100.64.0.10", 1))
    assert len(harness.agent.queue) == limit - 1


def test_a_flow_that_has_waited_too_long_is_reset():
    harness = Harness()
    harness.follow_up(harness.fill())
    harness.wait(1)
    harness.agent.admit_waiting(1.0 + MAX_WAIT_SECONDS)
    assert harness.caller_packets == []
    harness.agent.admit_waiting(1.01 + MAX_WAIT_SECONDS)
    assert [packet[12] for packet, _ in harness.caller_packets] == [RESET]
    assert harness.host_packets == []


def test_flows_that_wait_at_a_host_that_drains_are_reset_and_never_reach_it():
    harness = Harness()
    callers = harness.fill()
    harness.wait(1)
    harness.say(HostPhase.DRAINING, 2)
    harness.agent.receive_host_packet(from_host(0, b"answer", caller=callers[0]), 1.1)
    assert harness.host_packets == []
    assert [to for _, to in harness.caller_packets if _[12] == RESET] == [("100.64.0.10", 1)]


def test_a_flow_that_waited_and_is_returned_by_the_host_is_reset():
    harness = Harness()
    callers = harness.fill()
    waiting = harness.wait(1)
    harness.agent.receive_host_packet(from_host(0, b"answer", caller=callers[0]), 1.1)
    harness.agent.receive_host_packet(from_caller(OPENING | RETURNED, caller=waiting), 1.2)
    assert harness.caller_packets[-1][0][12] == RESET


def test_a_flow_whose_caller_had_given_up_does_not_keep_a_place():
    harness = Harness()
    harness.fill()
    assert harness.open(1.0 + MAX_FOLLOW_UP_SECONDS).flags == RefusalReason.FULL
    assert harness.open(1.01 + MAX_FOLLOW_UP_SECONDS).kind is FrameKind.ACCEPTED


def test_a_flow_whose_caller_followed_up_keeps_its_place():
    harness = Harness()
    harness.follow_up(harness.fill(), 1.1)
    assert harness.open(3.0).flags == RefusalReason.FULL


def test_waiting_flows_are_admitted_in_the_place_of_callers_that_gave_up():
    harness = Harness()
    harness.fill()
    harness.wait(1)
    harness.agent.admit_waiting(1.01 + MAX_FOLLOW_UP_SECONDS)
    assert len(harness.host_packets) == 1


@pytest.mark.parametrize(("age", "waits_for"), [(0.0, MAX_WAIT_SECONDS), (0.6, 0.6)])
def test_a_flow_waits_only_as_long_as_its_caller(age, waits_for):
    harness = Harness()
    harness.follow_up(harness.fill())
    caller = Endpoint("100.64.0.10", 1)
    flags = opening_flags(OpeningTerms(True, False, age))
    assert harness.open(1.0, caller, flags=flags).kind is FrameKind.ACCEPTED
    harness.agent.admit_waiting(0.99 + waits_for)
    assert harness.caller_packets == []
    harness.agent.admit_waiting(1.01 + waits_for)
    assert [to for _, to in harness.caller_packets] == [(caller.host, caller.port)]


def test_a_place_goes_to_no_flow_that_has_waited_too_long():
    harness = Harness()
    callers = harness.fill()
    harness.follow_up(callers)
    harness.wait(1)
    harness.agent.receive_host_packet(from_host(ENDING, caller=callers[0]), 3.0)
    assert harness.host_packets == []
    assert len(harness.caller_packets) == 2


@pytest.mark.parametrize(("slots", "requests"), [(1, 2), (2, 3), (3, 5), (4, 6), (10, 14)])
def test_a_host_has_its_next_requests_and_no_more(slots, requests):
    assert max_requests(slots) == requests


def greeting(caller=CALLER):
    """Return the host's answer to an opening packet."""
    return from_host(0, GREETING + b"h1", caller=caller)


def return_openings(harness, count, now=1.0):
    """Let the host return the opening packets of this many callers."""
    for port in range(1, count + 1):
        caller = Endpoint("100.64.0.8", port)
        harness.open(now, caller)
        harness.agent.receive_host_packet(from_caller(OPENING | RETURNED, caller=caller), now)


def test_a_host_that_returns_every_opening_gets_only_trials():
    """Such a host answers at once and looks idle, so it would attract all new flows."""
    harness = Harness()
    return_openings(harness, MAX_CONSECUTIVE_RETURNS)
    assert harness.agent.log.names()[-2] == "host-returns-openings"
    answer = harness.open(1.1, Endpoint("100.64.0.9", 1))
    assert (answer.kind, answer.flags) == (FrameKind.REFUSED, RefusalReason.RETURNED)
    assert answer.load == SILENT_LOAD_FACTOR * 2
    trial = Endpoint("100.64.0.9", 2)
    assert harness.open(1.0 + TRIAL_INTERVAL_SECONDS, trial).kind is FrameKind.ACCEPTED
    harness.agent.receive_host_packet(greeting(trial), 1.6)
    assert harness.agent.log.names()[-1] == "host-takes-openings"
    assert harness.open(1.61, Endpoint("100.64.0.9", 3)).kind is FrameKind.ACCEPTED


def test_a_host_that_returns_some_openings_goes_on_getting_flows():
    harness = Harness()
    return_openings(harness, MAX_CONSECUTIVE_RETURNS - 1)
    taken = Endpoint("100.64.0.9", 1)
    harness.open(1.1, taken)
    harness.agent.receive_host_packet(greeting(taken), 1.1)
    return_openings(harness, MAX_CONSECUTIVE_RETURNS - 1, 1.2)
    assert harness.open(1.3, Endpoint("100.64.0.9", 2)).kind is FrameKind.ACCEPTED


def test_a_copy_that_comes_back_after_the_hosts_answer_changes_nothing():
    harness = Harness()
    harness.open()
    harness.agent.receive_host_packet(greeting(), 1.1)
    before = len(harness.replies)
    harness.agent.receive_host_packet(from_caller(OPENING | RETURNED), 1.2)
    assert len(harness.replies) == before
    assert len(harness.agent) == 1


def test_a_replacement_host_starts_without_returned_openings():
    harness = Harness()
    return_openings(harness, MAX_CONSECUTIVE_RETURNS)
    harness.agent.on_new_host(1.1)
    assert harness.open(1.2, Endpoint("100.64.0.9", 1)).kind is FrameKind.ACCEPTED


def test_callers_that_left_are_detected_by_the_follow_up_time_of_others():
    """After an outage most waiting callers have left; each must not keep its place for 0.25 s."""
    harness = Harness()
    for number in range(20):
        caller = Endpoint("100.64.0.8", 1 + number)
        at = 1.0 + number / 10
        assert harness.open(at, caller).kind is FrameKind.ACCEPTED
        harness.follow_up([caller], at + 0.008)
        harness.agent.receive_host_packet(from_host(0, b"answer", caller=caller), at + 0.02)
    harness.fill_at(4.0)
    assert harness.open(3.99 + MIN_FOLLOW_UP_SECONDS).flags == RefusalReason.FULL
    assert harness.open(4.01 + MIN_FOLLOW_UP_SECONDS).kind is FrameKind.ACCEPTED


def test_the_follow_up_timeout_is_bounded_both_ways():
    times = FollowUpTime()
    assert times.timeout_seconds() == MAX_FOLLOW_UP_SECONDS
    times.record(0.0001)
    assert times.timeout_seconds() == MIN_FOLLOW_UP_SECONDS
    for _ in range(50):
        times.record(2.0)
    assert times.timeout_seconds() == MAX_FOLLOW_UP_SECONDS


def test_slower_callers_raise_the_follow_up_timeout():
    times = FollowUpTime()
    for _ in range(100):
        times.record(0.05)
    steady = times.timeout_seconds()
    for number in range(100):
        times.record(0.05 + 0.03 * (number % 2))
    assert MIN_FOLLOW_UP_SECONDS < steady < times.timeout_seconds()
