"""Scheduling of requests of open flows and of new flows at one agent: queueing, order, shedding.

The load is a burst of urgent requests, each with a flow of its own, at a host whose open flows go
on sending requests. The failure to guard against: requests of open flows reach the host at once,
and only the urgent new flows wait or are refused.
"""

import random

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.host_admission import max_requests
from jasperwalk.agent.datagrams.waiting_requests import MAX_BURST_SECONDS
from jasperwalk.fleet.messages import HostPhase
from jasperwalk.flows.frames import (
    FLAG_WAIT,
    REQUEST_HEAD,
    FrameKind,
    OpeningTerms,
    encode_open_head,
    service_tag,
)
from jasperwalk.flows.terms import CarriedTerms
from jasperwalk.scheduling.fair_shares import FairShares
from jasperwalk.scheduling.request_scheduler import MAX_HOLD_SECONDS
from tests.agent.datagrams.support import BALANCER, CAPACITY, Harness
from tests.flows.support import (
    ENDING,
    GREETING,
    OPENING,
    RESET,
    RETURNED,
    from_caller,
    from_host,
)

FEEDS = Endpoint("198.18.0.1", 443)
HOLDS = Endpoint("198.18.0.1", 80)
FEED_TERMS = CarriedTerms(2, 0.3, 2.5, 7)
HOLD_TERMS = CarriedTerms(1, 0.4, 3.0, 7)
FULL = max_requests(CAPACITY)


class Host(Harness):
    """The agent's harness with flows of two routes whose terms differ."""

    def open_with(self, port, listener, terms, now, waits=False):
        caller = Endpoint("100.64.0.9", port)
        head = encode_open_head(service_tag("web"), OpeningTerms(waits, False, 0.0, terms))
        packet = from_caller(OPENING, caller=caller, listener=listener)
        self.agent.receive_frame(head + packet, BALANCER, now)
        return self.replies[-1][0].kind

    def feed(self, port, now=0.5):
        """Open a flow that is idle: its first request has been answered."""
        assert self.open_with(port, FEEDS, FEED_TERMS, now) is FrameKind.ACCEPTED
        caller = Endpoint("100.64.0.9", port)
        greeting = from_host(0, GREETING + b"h1", caller=caller, listener=FEEDS)
        self.agent.receive_host_packet(greeting, now)
        self.ask(port, 1, now)
        self.answer(port, FEEDS, now)

    def ask(self, port, number, now, listener=FEEDS, flags=0):
        caller = Endpoint("100.64.0.9", port)
        data = bytes((number,)) + b"request@h1"
        self.frame(FrameKind.CARRY, from_caller(flags, data, caller=caller, listener=listener), now)

    def answer(self, port, listener, now, flags=0):
        caller = Endpoint("100.64.0.9", port)
        packet = from_host(flags, b"\x01answer", caller=caller, listener=listener)
        self.agent.receive_host_packet(packet, now)

    def started(self):
        """Return (port, listener's port) of what has reached the host since the last call."""
        packets, self.host_packets[:] = list(self.host_packets), []
        ends = [(Endpoint.unpack(each[:6]), Endpoint.unpack(each[6:12])) for each in packets]
        return [(caller.port, listener.port) for caller, listener in ends]


def overloaded_host(feeds=FULL + 2):
    """Return a host whose places are all taken by requests of open flows, more of which wait."""
    host = Host()
    for port in range(1, feeds + 1):
        host.feed(port)
    host.started()
    for port in range(1, feeds + 1):
        host.ask(port, 2, 1.0)
    return host


def test_a_request_of_an_open_flow_waits_where_the_host_is_busy():
    host = overloaded_host()
    assert len(host.started()) == FULL
    assert len(host.agent.queue) == 2
    host.answer(1, FEEDS, 1.05)
    assert host.started() == [(FULL + 1, FEEDS.port)]


def test_an_urgent_flow_goes_before_the_requests_of_open_ones_that_wait():
    host = overloaded_host()
    host.started()
    assert host.open_with(90, HOLDS, HOLD_TERMS, 1.01, waits=True) is FrameKind.ACCEPTED
    host.answer(1, FEEDS, 1.05)
    assert host.started() == [(90, HOLDS.port)]


def test_where_the_host_has_capacity_nothing_waits():
    host = Host()
    for port in range(1, FULL + 1):
        host.feed(port)
    host.started()
    for port in range(1, FULL + 1):
        host.ask(port, 2, 1.0)
    assert len(host.started()) == FULL
    assert host.agent.counters.requests_held == 0


def test_without_terms_requests_of_open_flows_are_forwarded_at_once():
    host = Host()
    callers = [Endpoint("100.64.0.9", port) for port in range(1, FULL + 3)]
    for caller in callers:
        host.open(0.5, caller)
        host.agent.receive_host_packet(from_host(0, b"\x01answer", caller=caller), 0.5)
    host.host_packets.clear()
    for caller in callers:
        host.frame(FrameKind.CARRY, from_caller(0, b"\x02request", caller=caller), 1.0)
    assert len(host.host_packets) == len(callers)
    assert not host.agent.queue


def test_copies_of_a_request_that_waits_are_absorbed():
    host = overloaded_host()
    host.started()
    for now in (1.2, 1.6):
        host.ask(FULL + 1, 2, now)
    assert host.started() == []
    assert host.agent.counters.request_copies_absorbed == 2
    host.answer(1, FEEDS, 1.7)
    host.answer(2, FEEDS, 1.7)
    assert host.started().count((FULL + 1, FEEDS.port)) == 1


def test_further_packets_of_a_request_wait_behind_its_first_and_acknowledgements_pass():
    host = overloaded_host()
    host.started()
    host.ask(FULL + 1, 3, 1.01)
    acknowledgement = from_caller(0, caller=Endpoint("100.64.0.9", FULL + 1), listener=FEEDS)
    host.frame(FrameKind.CARRY, acknowledgement, 1.02)
    assert host.host_packets == [acknowledgement]
    host.host_packets.clear()
    host.answer(1, FEEDS, 1.05)
    numbers = [packet[15] for packet in host.host_packets]
    assert numbers == [2, 3]


def test_further_packets_of_a_started_request_are_not_held():
    """Packets of a request whose first one was forwarded follow it at once."""
    host = overloaded_host()
    host.started()
    host.ask(1, 3, 1.01)
    assert host.started() == [(1, FEEDS.port)]


def test_a_reset_of_the_caller_cancels_its_waiting_request():
    host = overloaded_host()
    host.started()
    reset = from_caller(RESET, caller=Endpoint("100.64.0.9", FULL + 1), listener=FEEDS)
    host.frame(FrameKind.CARRY, reset, 1.02)
    assert host.host_packets == [reset]
    host.host_packets.clear()
    host.answer(1, FEEDS, 1.05)
    assert host.started() == [(FULL + 2, FEEDS.port)]
    assert host.agent.counters.requests_left == 1


def test_a_request_whose_limit_has_passed_is_not_begun():
    host = overloaded_host()
    host.started()
    after_limit = 1.01 + FEED_TERMS.limit_seconds
    host.answer(1, FEEDS, after_limit)
    assert host.started() == []
    assert host.agent.counters.requests_expired == 2
    assert "request-expired" in host.agent.log.names()


def test_no_reset_is_ever_sent_on_an_open_flow():
    """A reset would not prove to the caller that nothing of its request ran; its host is alive."""
    host = overloaded_host()
    for port in range(100, 200):
        host.open_with(port, HOLDS, HOLD_TERMS, 1.01, waits=True)
    host.agent.sweep(2.0)
    host.agent.sweep(6.0)
    feeds = {("100.64.0.9", port) for port in range(1, FULL + 3)}
    resets = {to for packet, to in host.caller_packets if packet[12] & RESET}
    assert resets
    assert not resets & feeds


def test_requests_wait_for_no_host_that_was_replaced():
    """The successor returns them, so that their callers learn of the replacement."""
    host = overloaded_host()
    host.started()
    host.agent.on_new_host(1.1)
    assert sorted(host.started()) == [(FULL + 1, FEEDS.port), (FULL + 2, FEEDS.port)]
    packet = from_caller(
        RETURNED, b"\x02request@h1", caller=Endpoint("100.64.0.9", FULL + 1), listener=FEEDS
    )
    host.agent.receive_host_packet(packet, 1.11)
    assert host.replies[-1][0].kind is FrameKind.RETURNED


def test_an_agent_that_stops_forwards_what_waits_to_the_host():
    host = overloaded_host()
    host.started()
    host.agent.release_held(1.1)
    assert len(host.started()) == 2
    assert not host.agent.queue


def test_a_restarted_agent_forwards_requests_until_it_learns_terms():
    """A restart loses nothing: callers send again what was queued."""
    host = Host()
    for port in range(1, FULL + 4):
        host.ask(port, 2, 1.0)
    assert len(host.started()) == FULL + 3


def test_a_packet_of_a_flow_that_the_host_may_not_hold_is_not_held_back():
    """After a loss of power callers go on sending on lost flows; only the host can return them."""
    host = overloaded_host()
    host.started()
    for port in range(60, 70):
        host.ask(port, 2, 1.1)
    assert len(host.started()) == 10
    assert len(host.agent.queue) == 2


def test_nothing_waits_for_a_host_that_has_not_announced_its_slots():
    host = Host(HostPhase.UNKNOWN)
    host.agent.parts.learned.record(FEEDS.pack(), BALANCER, FEED_TERMS)
    for port in range(1, FULL + 4):
        host.ask(port, 2, 1.0)
    assert len(host.started()) == FULL + 3


def test_a_draining_host_still_serves_its_open_flows():
    host = overloaded_host()
    host.started()
    host.say(HostPhase.DRAINING, 2)
    for port in range(1, FULL + 1):
        host.answer(port, FEEDS, 1.05)
    assert sorted(host.started()) == [(FULL + 1, FEEDS.port), (FULL + 2, FEEDS.port)]


def test_a_host_that_leaves_requests_unanswered_keeps_capacity_for_others():
    host = overloaded_host()
    host.started()
    host.agent.admit_waiting(1.9)
    assert host.started() == []
    host.agent.admit_waiting(2.1)
    assert len(host.started()) == 2


def test_requests_whose_route_names_no_limit_are_forwarded_after_a_while():
    host = overloaded_host()
    host.started()
    host.agent.parts.learned.record(FEEDS.pack(), BALANCER, CarriedTerms(2, 0.3, 0.0, 7))
    for port in range(1, 3):
        host.answer(port, FEEDS, 1.01)
    host.ask(1, 3, 1.02)
    host.ask(2, 3, 1.02)
    host.started()
    host.agent.parts.table.in_flight.record_answer(10.0)
    host.agent.admit_waiting(1.03 + MAX_HOLD_SECONDS)
    assert set(host.started()) == {(1, FEEDS.port), (2, FEEDS.port)}


def test_a_flow_that_cannot_be_answered_in_time_is_refused_at_once():
    host = overloaded_host(FULL + 20)
    host.open_with(89, FEEDS, FEED_TERMS, 1.01, waits=True)
    lasting = 1.02 + MAX_BURST_SECONDS
    refused = host.open_with(90, FEEDS, FEED_TERMS, lasting, waits=True)
    assert refused is FrameKind.REFUSED
    assert host.open_with(91, HOLDS, HOLD_TERMS, lasting, waits=True) is FrameKind.ACCEPTED


def test_a_packet_that_a_flow_waits_to_be_opened_with_is_not_taken_for_a_request():
    host = overloaded_host()
    host.open_with(90, HOLDS, HOLD_TERMS, 1.01, waits=True)
    head = encode_open_head(service_tag("web"), OpeningTerms(True, False, 0.2, HOLD_TERMS))
    caller = Endpoint("100.64.0.9", 90)
    host.agent.receive_frame(
        head + from_caller(OPENING, caller=caller, listener=HOLDS), BALANCER, 1.2
    )
    assert host.agent.queue.openings == 1
    assert not REQUEST_HEAD.unpack_from(head)[1] & ~(FLAG_WAIT | 4 | 0xF0)


WORK_STEPS = 40
"""Milliseconds of a slot that each request takes."""
URGENT_PORTS = range(100, 140)
FEED_PORTS = range(1, 31)


class Burst:
    """40 urgent flows and 60 requests of open flows in a second, at a host that can serve 50."""

    def __init__(self, seed, has_terms):
        drawn = random.Random(seed)
        self.hold_terms, feed_terms = (HOLD_TERMS, FEED_TERMS) if has_terms else (None, None)
        self.host = Host()
        for port in FEED_PORTS:
            self.host.feed(port)
        if feed_terms is None:
            self.host.agent.parts.learned.__init__()
        self.host.started()
        self.asked_at = {port: 1.0 + drawn.random() for port in URGENT_PORTS}
        self.feeds = sorted((1.0 + drawn.random(), drawn.choice(FEED_PORTS)) for _ in range(60))
        self.running = []
        self.answered_at = {}

    def play(self):
        """Return how many urgent requests were answered within their objective."""
        for step in range(2500):
            self._step(1.0 + step / 1000)
        return sum(
            self.answered_at.get(port, 9.0) <= asked_at + HOLD_TERMS.objective_seconds
            for port, asked_at in self.asked_at.items()
        )

    def _step(self, now):
        for port, asked_at in self.asked_at.items():
            if asked_at <= now < asked_at + 0.001:
                self.host.open_with(port, HOLDS, self.hold_terms, now, waits=True)
        while self.feeds and self.feeds[0][0] <= now:
            _, port = self.feeds.pop(0)
            self.host.ask(port, 62 - len(self.feeds), now)
        self._take_in(now)
        for work in self.running[:CAPACITY]:
            work[1] += 1
        for work in [each for each in self.running if each[1] >= WORK_STEPS]:
            self.running.remove(work)
            self._answer(work[0], now)
        self._take_in(now)

    def _take_in(self, now):
        """Let the host accept what has reached it; callers follow their opening packets up."""
        while started := self.host.started():
            for port, listener in started:
                if listener == HOLDS.port and port not in self.answered_at:
                    self.answered_at[port] = float("inf")
                    caller = Endpoint("100.64.0.9", port)
                    greeting = from_host(0, GREETING + b"h1", caller=caller, listener=HOLDS)
                    self.host.agent.receive_host_packet(greeting, now)
                    self.host.ask(port, 1, now, HOLDS)
                else:
                    self.running.append([port, 0])

    def _answer(self, port, now):
        is_urgent = port in URGENT_PORTS
        if is_urgent:
            self.answered_at[port] = now
        self.host.answer(port, HOLDS if is_urgent else FEEDS, now, ENDING if is_urgent else 0)


@pytest.mark.parametrize("seed", range(5))
def test_in_a_burst_urgent_flows_are_not_delayed_by_open_ones(seed):
    """Without terms requests of open flows reach the host at once, and only new flows wait."""
    assert Burst(seed, has_terms=False).play() <= 10
    assert Burst(seed, has_terms=True).play() >= 30


def test_a_burst_of_one_group_of_callers_affects_that_group_only():
    """Ten flows of a group with a burst, and one of another group that comes last but one."""
    host = Host(shares=FairShares())
    rushing = CarriedTerms(1, 0.4, 3.0, group=1)
    calm = CarriedTerms(1, 0.4, 3.0, group=2)
    for port in range(1, FULL + 1):
        host.open_with(port, HOLDS, rushing, 1.0)
    host.started()
    for port in range(10, 13):
        host.open_with(port, HOLDS, rushing, 1.001, waits=True)
    host.open_with(50, HOLDS, calm, 1.01, waits=True)
    host.open_with(13, HOLDS, rushing, 1.02, waits=True)
    host.answer(1, HOLDS, 1.04, ENDING)
    assert host.started() == [(50, HOLDS.port)]


def test_requests_that_did_not_wait_count_against_their_groups_share():
    host = Host(shares=FairShares())
    for port in range(1, 6):
        host.open_with(port, FEEDS, FEED_TERMS, 0.5)
        host.ask(port, 1, 0.5)
        host.answer(port, FEEDS, 0.5)
    assert host.agent.shares.group_to_serve([FEED_TERMS.group, 99], 0.6) == 99


def test_a_short_burst_waits_and_a_lasting_one_is_refused_at_once():
    """After an outage all callers return together and are served within their wait limit."""
    host = overloaded_host(FULL + 20)
    assert host.open_with(90, FEEDS, FEED_TERMS, 1.01, waits=True) is FrameKind.ACCEPTED
    at_end = 1.01 + MAX_BURST_SECONDS
    assert host.open_with(91, FEEDS, FEED_TERMS, at_end - 0.01, waits=True) is FrameKind.ACCEPTED
    assert host.open_with(92, FEEDS, FEED_TERMS, at_end + 0.01, waits=True) is FrameKind.REFUSED


def test_a_burst_is_over_once_a_flow_may_expect_its_answer_in_time():
    host = overloaded_host(FULL + 20)
    host.open_with(90, FEEDS, FEED_TERMS, 1.01, waits=True)
    host.agent.release_held(1.5)
    later = 1.1 + MAX_BURST_SECONDS
    assert host.open_with(91, FEEDS, FEED_TERMS, later, waits=True) is FrameKind.ACCEPTED
    for port in range(1, FULL + 21):
        host.ask(port, 3, later)
    assert host.open_with(92, FEEDS, FEED_TERMS, later + 0.1, waits=True) is FrameKind.ACCEPTED


def test_no_urgent_flow_is_refused_while_a_less_urgent_one_waits():
    """Else the host would later start the less urgent one, having refused the urgent one."""
    host = overloaded_host(FULL + 1)
    host.open_with(89, FEEDS, FEED_TERMS, 1.01, waits=True)
    for port in range(90, 100):
        host.open_with(port, HOLDS, HOLD_TERMS, 1.02, waits=True)
    lasting = 1.6
    host.open_with(88, FEEDS, FEED_TERMS, lasting, waits=True)
    later = 1.05 + MAX_BURST_SECONDS
    assert host.open_with(100, HOLDS, HOLD_TERMS, later, waits=True) is FrameKind.ACCEPTED
