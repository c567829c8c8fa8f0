"""A host that turns slow, as its agent sees it and tells it."""

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


class SlowBench(Harness):
    """Serves one request after the other."""

    def __init__(self, measures_pace=True):
        super().__init__()
        self.agent.pace.is_enabled = measures_pace
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


def slow_bench(measures_pace=True):
    bench = SlowBench(measures_pace)
    bench.serve(20, WORK)
    bench.serve(4, SLOW_FACTOR * WORK)
    bench.ask(waits=True)
    bench.request()
    return bench


def test_an_acceptance_tells_the_pace_once_it_is_known():
    bench = SlowBench()
    assert bench.ask(URGENT).flags == UNKNOWN_SERVICE_TIME
    bench.serve(20, WORK)
    assert decode_service_time(bench.ask(URGENT).flags) == pytest.approx(WORK, rel=0.05)


def test_an_acceptance_tells_that_the_host_is_slow():
    bench = slow_bench()
    told = decode_service_time(bench.ask(PATIENT).flags)
    assert told == pytest.approx(SLOW_FACTOR * WORK, rel=0.1)


def test_a_slow_host_refuses_what_it_would_serve_too_late():
    bench = slow_bench()
    refused = bench.ask(URGENT)
    assert (refused.kind, refused.flags) == (FrameKind.REFUSED, RefusalReason.SLOW)
    assert bench.agent.counters.flows_refused_slow == 1
    assert bench.ask(PATIENT).kind is FrameKind.ACCEPTED


def test_a_flow_that_found_no_other_host_is_taken():
    assert slow_bench().ask(URGENT, waits=True).kind is FrameKind.ACCEPTED


def test_a_balancer_that_tells_no_terms_never_meets_the_new_reason():
    bench = slow_bench()
    answers = [bench.ask() for _ in range(2 * CAPACITY)]
    refused = {answer.flags for answer in answers if answer.kind is FrameKind.REFUSED}
    assert refused == {RefusalReason.FULL}


def test_a_copy_of_an_opening_that_was_taken_passes():
    bench = SlowBench()
    bench.serve(20, WORK)
    bench.serve(4, SLOW_FACTOR * WORK)
    bench.ask(waits=True)
    packet = from_caller(OPENING, caller=caller(bench.number))
    head = encode_open_head(service_tag("web"), OpeningTerms(False, False, 0.2, URGENT))
    bench.agent.receive_frame(head + packet, BALANCER, bench.now)
    assert bench.replies[-1][0].kind is FrameKind.ACCEPTED


def test_each_change_is_logged_once():
    bench = slow_bench()
    bench.now += WORK
    bench.answer()
    bench.serve(10, WORK)
    names = [name for name in bench.agent.log.names() if name in ("host-slow", "host-usual-again")]
    assert names == ["host-slow", "host-usual-again"]
    fields = dict(bench.agent.log.events)["host-slow"]
    assert fields["usual_ms"] == pytest.approx(1000 * WORK, rel=0.1)
    assert fields["pace_ms"] > 3 * fields["usual_ms"]


def test_switched_off_nothing_is_told_or_refused():
    bench = slow_bench(measures_pace=False)
    answer = bench.ask(URGENT)
    assert (answer.kind, answer.flags) == (FrameKind.ACCEPTED, UNKNOWN_SERVICE_TIME)
    assert "host-slow" not in bench.agent.log.names()


def test_a_cold_host_is_not_measured():
    bench = SlowBench()
    bench.host.slow_until = 1000.0
    bench.serve(20, WORK)
    assert bench.ask().flags == UNKNOWN_SERVICE_TIME


def test_another_host_is_judged_anew():
    bench = slow_bench()
    bench.agent.host_changed(bench.now)
    assert bench.ask(URGENT).kind is FrameKind.ACCEPTED


def test_a_cut_frame_with_terms_changes_nothing():
    bench = slow_bench()
    sent = len(bench.replies)
    head = encode_open_head(service_tag("web"), OpeningTerms(False, False, 0.0, URGENT))
    for length in range(REQUEST_HEAD.size, len(head)):
        bench.agent.receive_frame(head[:length], BALANCER, bench.now)
    assert len(bench.replies) == sent
