"""An agent detects a slow host, refuses flows for it and reports its service time."""

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.flows.frames import (
    REQUEST_HEAD,
    FrameKind,
    OpeningTerms,
    RefusalReason,
    encode_open_head,
    service_tag,
)
from jasperwalk.flows.service_time import UNKNOWN_SERVICE_TIME, decode_service_time
from jasperwalk.flows.terms import CarriedTerms
from tests.agent.datagrams.support import BALANCER, CAPACITY, Harness
from tests.flows.support import ENDING, OPENING, from_caller, from_host

WORK = 0.05
SLOW_FACTOR = 8
URGENT = CarriedTerms(2, 0.2, 3.0, 1)
PATIENT = CarriedTerms(5, 5.0, 9.0, 1)


def caller(number):
    return Endpoint("100.64.0.30", number)


class SlowHostHarness(Harness):
    """Serves one request after the other."""

    def __init__(self, measures_service_times=True):
        super().__init__()
        self.agent.service_times.is_enabled = measures_service_times
        self.now, self.number = 1.0, 0

    def ask(self, route=None, waits=False):
        """Open a flow; return the agent's answer."""
        self.number += 1
        terms = OpeningTerms(waits, False, 0.0, route)
        packet = from_caller(OPENING, caller=caller(self.number))
        head = encode_open_head(service_tag("web"), terms)
        self.agent.receive_frame(head + packet, BALANCER, self.now)
        return self.replies[-1][0]

    def serve(self, count, seconds):
        for _ in range(count):
            assert self.ask(waits=True).kind is FrameKind.ACCEPTED
            self.request()
            self.now += seconds
            self.answer()

    def request(self):
        packet = from_caller(0, b"request", caller=caller(self.number))
        self.frame(FrameKind.CARRY, packet, self.now)

    def answer(self):
        packet = from_host(ENDING, b"answer", caller=caller(self.number))
        self.agent.receive_host_packet(packet, self.now)


def slow_host_harness(measures_service_times=True):
    harness = SlowHostHarness(measures_service_times)
    harness.serve(20, WORK)
    harness.serve(4, SLOW_FACTOR * WORK)
    harness.ask(waits=True)
    harness.request()
    return harness


def test_an_acceptance_reports_the_service_time_once_it_is_known():
    harness = SlowHostHarness()
    assert harness.ask(URGENT).flags == UNKNOWN_SERVICE_TIME
    harness.serve(20, WORK)
    assert decode_service_time(harness.ask(URGENT).flags) == pytest.approx(WORK, rel=0.05)


def test_an_acceptance_reports_that_the_host_is_slow():
    harness = slow_host_harness()
    told = decode_service_time(harness.ask(PATIENT).flags)
    assert told == pytest.approx(SLOW_FACTOR * WORK, rel=0.1)


def test_a_slow_host_refuses_what_it_would_serve_too_late():
    harness = slow_host_harness()
    refused = harness.ask(URGENT)
    assert (refused.kind, refused.flags) == (FrameKind.REFUSED, RefusalReason.SLOW)
    assert harness.agent.counters.flows_refused_slow == 1
    assert harness.ask(PATIENT).kind is FrameKind.ACCEPTED


def test_a_flow_that_found_no_other_host_is_taken():
    assert slow_host_harness().ask(URGENT, waits=True).kind is FrameKind.ACCEPTED


def test_a_balancer_that_sends_no_terms_never_gets_the_reason_slow():
    harness = slow_host_harness()
    answers = [harness.ask() for _ in range(2 * CAPACITY)]
    refused = {answer.flags for answer in answers if answer.kind is FrameKind.REFUSED}
    assert refused == {RefusalReason.FULL}


def test_a_copy_of_an_admitted_opening_is_forwarded():
    harness = SlowHostHarness()
    harness.serve(20, WORK)
    harness.serve(4, SLOW_FACTOR * WORK)
    harness.ask(waits=True)
    packet = from_caller(OPENING, caller=caller(harness.number))
    head = encode_open_head(service_tag("web"), OpeningTerms(False, False, 0.2, URGENT))
    harness.agent.receive_frame(head + packet, BALANCER, harness.now)
    assert harness.replies[-1][0].kind is FrameKind.ACCEPTED


def test_each_change_is_logged_once():
    harness = slow_host_harness()
    harness.now += WORK
    harness.answer()
    harness.serve(10, WORK)
    names = [
        name for name in harness.agent.log.names() if name in ("host-slow", "host-usual-again")
    ]
    assert names == ["host-slow", "host-usual-again"]
    fields = dict(harness.agent.log.events)["host-slow"]
    assert fields["usual_ms"] == pytest.approx(1000 * WORK, rel=0.1)
    assert fields["pace_ms"] > 3 * fields["usual_ms"]


def test_when_disabled_nothing_is_reported_or_refused():
    harness = slow_host_harness(measures_service_times=False)
    answer = harness.ask(URGENT)
    assert (answer.kind, answer.flags) == (FrameKind.ACCEPTED, UNKNOWN_SERVICE_TIME)
    assert "host-slow" not in harness.agent.log.names()


def test_a_cold_host_is_not_measured():
    harness = SlowHostHarness()
    harness.host.slow_until = 1000.0
    harness.serve(20, WORK)
    assert harness.ask().flags == UNKNOWN_SERVICE_TIME


def test_a_replacement_host_starts_without_a_verdict():
    harness = slow_host_harness()
    harness.agent.on_new_host(harness.now)
    assert harness.ask(URGENT).kind is FrameKind.ACCEPTED


def test_a_cut_frame_with_terms_changes_nothing():
    harness = slow_host_harness()
    sent = len(harness.replies)
    head = encode_open_head(service_tag("web"), OpeningTerms(False, False, 0.0, URGENT))
    for length in range(REQUEST_HEAD.size, len(head)):
        harness.agent.receive_frame(head[:length], BALANCER, harness.now)
    assert len(harness.replies) == sent
