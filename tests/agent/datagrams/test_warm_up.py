"""A cold host gets no more new flows in any second than its limit."""

import itertools

import pytest

from jasperwalk.addresses import Endpoint
from jasperwalk.agent.datagrams.host import HostAnnouncement
from jasperwalk.agent.datagrams.host_admission import max_requests
from jasperwalk.agent.datagrams.warm_up import WINDOW_SECONDS, WarmUpLimit
from jasperwalk.fleet.messages import DrainedZones, HostPhase, WarmUp
from jasperwalk.flows.frames import FLAG_WAIT, FrameKind, RefusalReason
from tests.agent.datagrams.support import CAPACITY, ZONE, Harness
from tests.flows.support import OPENING, from_caller, from_host

FLOOR = 5
COLD_SECONDS = 10.0
PER_SECOND = 8
STARTED = -100.0


def cold_host_harness(seconds=COLD_SECONDS, floor=FLOOR, started_at=STARTED):
    harness = Harness(started_at=started_at, warm_up_floor=floor)
    harness.host.announce(HostAnnouncement("h1", HostPhase.READY, 1000, seconds, 2), 0.0)
    return harness


def configure(harness, per_second=PER_SECOND, version=1):
    harness.agent.warm_up.configure(version, WarmUp(2.0, per_second))


def offer(harness, times):
    """Offer a new flow at each time; return the times at which one reached the host.

    The host answers at once.
    """
    reached = []
    for port, now in enumerate(times, start=1):
        before = len(harness.host_packets)
        caller = Endpoint("100.64.0.9", port)
        harness.open(now, caller)
        if len(harness.host_packets) > before:
            reached.append(now)
            harness.agent.receive_host_packet(from_host(0, b"hello h1", caller=caller), now)
    return reached


def most_in_a_second(times):
    return max((sum(start <= one < start + 1.0 for one in times) for start in times), default=0)


@pytest.mark.parametrize("pause", [0.001, 0.03, 0.11, 0.124])
def test_no_second_has_more_flows_than_the_limit(pause):
    harness = cold_host_harness()
    configure(harness)
    reached = offer(harness, [1.0 + pause * number for number in range(int(6 / pause))])
    assert most_in_a_second(reached) == PER_SECOND
    assert harness.agent.counters.flows_refused_warming_up > 0


def test_a_refusal_names_its_reason():
    harness = cold_host_harness()
    configure(harness, per_second=1, version=1)
    offer(harness, [1.0] * FLOOR)
    assert harness.open(1.1).flags == RefusalReason.WARMING_UP


def test_copies_of_an_opening_packet_count_and_stop_at_the_bound():
    harness = cold_host_harness()
    configure(harness, per_second=1)
    for number in range(FLOOR):
        assert harness.open(1.0 + number / 100).kind is FrameKind.ACCEPTED
    assert harness.open(1.3).flags == RefusalReason.WARMING_UP
    assert len(harness.host_packets) == FLOOR


def test_copies_to_a_cold_host_that_is_full_stop_at_the_bound():
    """Guards against copies that exceed a cold host's limit while the host is full.

    A balancer that was frozen sends the copies of its callers' opening packets all at once.
    """
    harness = Harness(started_at=STARTED, warm_up_floor=FLOOR)
    announcement = HostAnnouncement("h1", HostPhase.READY, CAPACITY, COLD_SECONDS, 2)
    harness.host.announce(announcement, 0.0)
    configure(harness)
    for copy in range(3):
        for port in range(1, 1 + max_requests(CAPACITY)):
            harness.open(1.0 + copy / 100, Endpoint("100.64.0.9", port))
    assert len(harness.host_packets) <= PER_SECOND


def test_a_warm_host_gets_as_many_as_come():
    harness = cold_host_harness(seconds=0.0)
    configure(harness)
    assert len(offer(harness, [1.0] * 50)) == 50


def test_a_service_without_a_figure_has_no_bound():
    harness = cold_host_harness()
    harness.agent.warm_up.configure(1, WarmUp())
    assert len(offer(harness, [1.0] * 50)) == 50


def test_before_the_configuration_has_come_the_floor_holds():
    assert len(offer(cold_host_harness(), [1.0] * 50)) == FLOOR


def test_without_a_floor_nothing_holds_before_the_configuration_has_come():
    assert len(offer(cold_host_harness(floor=None), [1.0] * 50)) == 50


def test_an_agent_that_has_just_started_counts_its_first_second_as_spent():
    harness = cold_host_harness(started_at=1.0)
    configure(harness)
    assert offer(harness, [1.1, 1.5, 1.9]) == []
    assert offer(harness, [1.1 + WINDOW_SECONDS]) != []


def test_a_restored_zone_counts_as_cold_before_its_hosts_say_so():
    harness = cold_host_harness(seconds=0.0)
    configure(harness)
    harness.agent.zones_changed(DrainedZones(1, [ZONE]), 1.0)
    harness.agent.zones_changed(DrainedZones(2, []), 5.0)
    assert len(offer(harness, [5.1] * 50)) == PER_SECOND
    assert len(offer(harness, [5.1 + 2.0] * 50)) == 50


def test_an_older_configuration_changes_nothing():
    harness = cold_host_harness()
    configure(harness, per_second=20, version=5)
    configure(harness, per_second=6, version=4)
    assert len(offer(harness, [1.0] * 50)) == 20


def test_a_flow_that_may_wait_is_admitted_when_the_second_is_over():
    harness = cold_host_harness()
    configure(harness, per_second=1)
    offer(harness, [1.0] * FLOOR)
    waiting = Endpoint("100.64.0.10", 1)
    assert harness.open(1.2, waiting, flags=FLAG_WAIT).kind is FrameKind.ACCEPTED
    harness.agent.admit_waiting(1.9)
    assert harness.host_packets[-1] != from_caller(OPENING, caller=waiting)
    harness.agent.admit_waiting(1.001 + WINDOW_SECONDS)
    assert harness.host_packets[-1] == from_caller(OPENING, caller=waiting)


def test_flows_from_the_queue_count_as_well():
    harness = Harness(started_at=STARTED, warm_up_floor=FLOOR)
    harness.host.announce(HostAnnouncement("h1", HostPhase.READY, CAPACITY, COLD_SECONDS, 2), 0.0)
    configure(harness, per_second=1)
    callers = harness.fill()
    for port in range(1, 9):
        harness.open(1.0, Endpoint("100.64.0.10", port), flags=FLAG_WAIT)
    for caller in callers:
        harness.agent.receive_host_packet(from_host(0, b"answer", caller=caller), 1.1)
    assert len(harness.host_packets) <= FLOOR - len(callers)


def test_the_bound_holds_however_the_offers_fall():
    limit = WarmUpLimit(floor=None, started_at=STARTED)
    limit.configure(1, WarmUp(2.0, PER_SECOND))
    passed = []
    for step in itertools.accumulate([0.003, 0.4, 0.01, 0.002, 0.3, 0.05] * 200):
        if not limit.is_reached(slow_until=1e9, now=step):
            limit.record_opening(step)
            passed.append(step)
    assert most_in_a_second(passed) <= PER_SECOND
